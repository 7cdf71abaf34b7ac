//! Wire types: the encoding of messages and stored data.
//!
//! They are plain data with `serde` derives. `From` converts from the core's types; `TryFrom`
//! converts back and checks the invariants that a decoder does not.

mod bytes;
mod entry;
mod message;

use std::{
    error,
    fmt, //
};

use yuccaseam_base::key;

pub use bytes::WireBytes;
pub use entry::{
    WireEntry,
    WireHardState,
    WireMember,
    WireMembership,
    WirePayload,
    WireSnapshot,
    WireSnapshotId, //
};
pub use message::{
    WireAppend,
    WireBody,
    WireEcho,
    WireEnvelope, //
};

/// Reason why a decoded value violates an invariant of the core's types.
#[key]
pub enum WireError {
    /// The entries of a message are not consecutive.
    Gap,
    /// An entry has index 0, its index overflows, or its term is later than its message's.
    InvalidEntry,
    /// A disk is listed as a member twice.
    DuplicateMember,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gap => "the entries are not consecutive",
            Self::InvalidEntry => "an entry has an invalid index or term",
            Self::DuplicateMember => "a disk is listed as a member twice",
        })
    }
}

impl error::Error for WireError {}
