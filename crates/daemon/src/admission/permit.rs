//! Permission to run one call at a target.

use std::sync::Arc;

use yuccaseam_admit::PermitId;
use yuccaseam_base::InstanceName;

use super::entry::EntryAdmission;
use crate::fleet::Announcement;

/// Permission to run one call at a target. Dropping it returns it to the target's owner.
pub(crate) struct Permit {
    pub(crate) target: Announcement,
    pub(super) id: PermitId,
    pub(super) owner: InstanceName,
    pub(super) entry: Arc<EntryAdmission>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.entry.return_permit(self);
    }
}
