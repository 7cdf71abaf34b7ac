//! Small `Copy` values that identify replicas, log positions and requests.

use std::fmt;

use yuccaseam_base::key;

/// The identity of one disk, drawn at random when its data folder is created.
///
/// A replica *is* its disk: votes, acknowledgements and leases count under this identity and never
/// under the instance's name, so that an empty disk under an old name counts for nothing.
#[key]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An election term.
#[key]
#[derive(Default)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The position of an entry in the log. The first entry has index 1; index 0 is the position
/// before every log.
#[key]
#[derive(Default)]
pub struct Index(pub u64);

impl Index {
    /// The position before the first entry.
    pub const ZERO: Self = Self(0);

    /// The position after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one; that of index 0 is index 0.
    pub const fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Names one proposal, read or change towards the caller of the core.
#[key]
pub struct Token(pub u64);

/// The number of one [`Persist`](crate::Persist). Numbers rise by one.
#[key]
#[derive(Default)]
pub struct SyncSeq(pub u64);

/// The number of one heartbeat round of a leader.
#[key]
#[derive(Default)]
pub struct Round(pub u64);

impl Round {
    /// The round after this one.
    pub(crate) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
