//! Wire types: what leaves the process in messages and files.
//!
//! They are plain data with the derives of `serde`. `From` makes them of the core's types and
//! `TryFrom` checks what a core type promises and a decoder cannot know.

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

/// Why a decoded value is no value of the core.
#[key]
pub enum WireError {
    /// The entries of a message do not follow one another.
    Gap,
    /// An entry has index 0, or a term later than the message's.
    BadEntry,
    /// A disk is a member twice.
    DoubleMember,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gap => "the entries do not follow one another",
            Self::BadEntry => "an entry has an impossible index or term",
            Self::DoubleMember => "a disk is a member twice",
        })
    }
}

impl error::Error for WireError {}
