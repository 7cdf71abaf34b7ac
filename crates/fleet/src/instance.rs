//! What is known of an instance.

use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    Region,
    key,
    value, //
};

slotmap::new_key_type! {
    /// The key of an instance in the tables of one daemon.
    pub(crate) struct Instance;
}

/// Whether an instance takes part. Of two statements about one incarnation the later variant wins.
#[key]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer a probe, and may still refute.
    Suspect,
    /// It is stopping on purpose: it answers, and owns no targets.
    Leaving,
    /// It did not answer and did not refute, or has left.
    Dead,
}

/// An instance as others know it.
#[value]
pub struct InstanceRecord {
    /// Its name.
    pub name: InstanceName,
    /// Where its daemon listens for other daemons.
    pub address: String,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// Grows with each start of the daemon, and with each refutation.
    pub incarnation: u64,
    /// Whether it takes part.
    pub status: Status,
}

impl InstanceRecord {
    /// Whether it may own targets. A suspect may, since most suspects refute.
    pub fn may_own(&self) -> bool {
        self.status <= Status::Suspect
    }

    /// Whether packets are sent to it.
    pub fn is_reachable(&self) -> bool {
        self.status < Status::Dead
    }
}
