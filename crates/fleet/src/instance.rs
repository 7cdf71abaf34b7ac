//! Records of instances.

use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    Region,
    key,
    value, //
};

slotmap::new_key_type! {
    /// Key of an instance in the tables of one daemon.
    pub(crate) struct Instance;
}

/// Membership status of an instance. Of two claims about the same incarnation, the later variant
/// wins.
#[key]
pub enum Status {
    /// Responds to probes.
    Alive,
    /// Failed a probe and can still refute.
    Suspect,
    /// Stopping on purpose: responds to probes but owns no targets.
    Leaving,
    /// Failed a probe without refuting, or has left.
    Dead,
}

/// Membership record of an instance.
#[value]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address on which its daemon listens for other daemons.
    pub address: String,
    /// Failure domain of the instance.
    pub domain: FailureDomain,
    /// Region of the instance.
    pub region: Region,
    /// Increases with each start of the daemon and with each refutation.
    pub incarnation: u64,
    /// Membership status.
    pub status: Status,
}

impl InstanceRecord {
    /// Whether the instance can own targets. A suspect can, because most suspects refute.
    pub fn can_own(&self) -> bool {
        self.status <= Status::Suspect
    }

    /// Whether packets are sent to the instance.
    pub fn is_reachable(&self) -> bool {
        self.status < Status::Dead
    }
}
