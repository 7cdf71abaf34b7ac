//! Identifiers of replicas, log positions and requests.

use std::fmt;

use yuccaseam_base::key;

/// Random identity of a disk, chosen when its data folder is created.
///
/// It also identifies the replica: votes, acknowledgements and leases count under the disk's
/// identity, never under the instance's name, so an instance that returns with an empty disk does
/// not count in a quorum.
#[key]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Election term.
#[key]
#[derive(Default)]
pub struct Term(pub u64);

impl Term {
    /// Next term.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Position of an entry in the log. The first entry has index 1; index 0 precedes every log.
#[key]
#[derive(Default)]
pub struct Index(pub u64);

impl Index {
    /// Position before the first entry.
    pub const ZERO: Self = Self(0);

    /// Next position.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Previous position, saturating at index 0.
    pub const fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Identifier of a proposal, read or membership change, chosen by the caller of the core.
#[key]
pub struct Token(pub u64);

/// Sequence number of a [`Persist`](crate::Persist). Consecutive writes have consecutive numbers.
#[key]
#[derive(Default)]
pub struct SyncSeq(pub u64);

/// Number of a leader's heartbeat round.
#[key]
#[derive(Default)]
pub struct Round(pub u64);

impl Round {
    /// Next round.
    pub(crate) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
