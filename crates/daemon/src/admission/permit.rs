//! Leave to run one call at a target.

use std::sync::Arc;

use yuccaseam_admit::PermitId;
use yuccaseam_base::InstanceName;

use super::entry::EntrySide;
use crate::fleet::Announcement;

/// Leave to run one call at a target. Dropping it returns it.
pub(crate) struct Permit {
    pub(crate) target: Announcement,
    pub(super) id: PermitId,
    pub(super) owner: InstanceName,
    pub(super) entry: Arc<EntrySide>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.entry.returned(self);
    }
}
