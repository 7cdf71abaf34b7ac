//! Status of the replica, published by the driver for other threads.

use std::sync::{
    Arc,
    RwLock, //
};

use yuccaseam_base::{
    InstanceName,
    Millis, //
};

use super::members::MemberStatus;

/// Status of a replica when its driver last published it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaStatus {
    /// The leader, if known.
    pub(crate) leader: Option<InstanceName>,
    /// End of this replica's leader lease. Compare it with the clock before every action outside
    /// the log, since the lease may have expired while the process was suspended.
    pub(crate) lease_until: Option<Millis>,
    pub(crate) term: u64,
    /// Index of the last entry applied to the state machine.
    pub(crate) applied: u64,
    pub(crate) members: Vec<MemberStatus>,
    /// Instances of the voters.
    pub(crate) voters: Vec<InstanceName>,
    /// Whether this replica's disk is a voter.
    pub(crate) votes: bool,
    /// Whether the group lacks voters that it needs before it accepts proposals.
    pub(crate) forming: bool,
}

impl ReplicaStatus {
    /// Whether this replica is the leader and its lease has not expired.
    pub(crate) fn holds_lease(&self, now: Millis) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }
}

/// Status shared between threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedStatus(Arc<RwLock<ReplicaStatus>>);

impl SharedStatus {
    pub(crate) fn get(&self) -> ReplicaStatus {
        let status = self.0.read().expect("no thread panics with the lock");
        status.clone()
    }

    pub(crate) fn set(&self, status: ReplicaStatus) {
        *self.0.write().expect("no thread panics with the lock") = status;
    }
}
