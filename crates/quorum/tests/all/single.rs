//! Single replica that a test steps directly.

use yuccaseam_base::Millis;
use yuccaseam_quorum::{
    Config,
    Core,
    DiskId,
    Membership,
    Restored,
    Snapshot,
    Timing, //
};

pub(crate) fn voter(id: DiskId, restored: Restored) -> Core {
    let cfg = Config {
        id,
        timing: Timing::default(),
        seed: 7,
    };
    Core::new(cfg, restored, Millis::ZERO)
}

/// Disk of a voter in a group of three, without entries.
pub(crate) fn group_of_three() -> Restored {
    let voters = (1..=3).map(|n| (DiskId(n), format!("instance-{n}").as_str().into()));
    Restored {
        snapshot: Snapshot::initial(Membership::of_voters(voters)),
        ..Restored::default()
    }
}
