//! What a replica last knew, for other threads.

use std::sync::{
    Arc,
    RwLock, //
};

use yuccaseam_base::{
    InstanceName,
    Millis, //
};

use super::members::MemberStatus;

/// What a replica last knew.
#[derive(Clone, Debug, Default)]
pub(crate) struct Status {
    /// The leader, if known.
    pub(crate) leader: Option<InstanceName>,
    /// When the lease of this replica ends, if it leads. Compare it with the clock before every
    /// act outside the log: a process that was frozen finds it in the past.
    pub(crate) lease_until: Option<Millis>,
    pub(crate) term: u64,
    /// The last entry that the state machine applied.
    pub(crate) applied: u64,
    pub(crate) members: Vec<MemberStatus>,
    /// The instances that vote.
    pub(crate) voters: Vec<InstanceName>,
    /// Whether this replica's disk votes.
    pub(crate) votes: bool,
    /// Whether the group waits for its second voter.
    pub(crate) forming: bool,
}

impl Status {
    /// Whether this replica leads and its lease lasts.
    pub(crate) fn holds_lease(&self, now: Millis) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }
}

/// The status, shared between threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedStatus(Arc<RwLock<Status>>);

impl SharedStatus {
    pub(crate) fn get(&self) -> Status {
        let status = self.0.read().expect("no thread panics with the lock");
        status.clone()
    }

    pub(crate) fn set(&self, status: Status) {
        *self.0.write().expect("no thread panics with the lock") = status;
    }
}
