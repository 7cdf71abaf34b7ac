//! Identifiers: log indexes, content hashes and owners.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};
use yuccaseam_base::{
    InstanceName,
    key,
    record, //
};

/// An index in the replicated log. It also serves as lease epoch, claim number and fencing number,
/// because it only grows and is never reused.
#[key]
#[derive(Default, Serialize, Deserialize)]
pub struct LogIndex(pub u64);

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Error returned when text is not the expected number of hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseIdError;

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid identifier: wrong length or not hexadecimal")
    }
}

impl std::error::Error for ParseIdError {}

macro_rules! byte_ids {
    ($($(#[$doc:meta])+ $name:ident[$len:literal];)+) => {
        $(
            $(#[$doc])+
            #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
            pub struct $name(pub [u8; $len]);

            impl fmt::Debug for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    write!(f, "{}({self})", stringify!($name))
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
                }
            }

            impl FromStr for $name {
                type Err = ParseIdError;

                fn from_str(text: &str) -> Result<Self, Self::Err> {
                    let mut bytes = [0; $len];
                    parse_hex(text, &mut bytes)?;
                    Ok(Self(bytes))
                }
            }
        )+
    };
}

byte_ids! {
    /// SHA-256 of a blob: a payload or a result stored outside the log.
    BlobId[32];
    /// Identifier of a batch job.
    JobId[16];
    /// Hash of a request's content, which distinguishes a retry from another request with the same
    /// key.
    Fingerprint[16];
    /// Identifier of an idempotency key of one team for one service.
    KeyId[16];
}

impl BlobId {
    /// Computes the identifier of a blob.
    pub fn of(data: &[u8]) -> Self {
        Self(Sha256::digest(data).into())
    }
}

impl JobId {
    /// Derives the identifier of the job that a team creates with an idempotency key.
    pub fn of_key(team: &str, key: &str) -> Self {
        Self(hash_parts(&["job", team, key]))
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request's content.
    pub fn of(content: &[u8]) -> Self {
        let digest: [u8; 32] = Sha256::digest(content).into();
        Self(truncate(digest))
    }
}

impl KeyId {
    /// Derives the identifier of a team's key for a service.
    pub fn of(team: &str, service: &str, key: &str) -> Self {
        Self(hash_parts(&["key", team, service, key]))
    }
}

/// One run of the daemon on one instance.
#[record]
#[derive(Hash, PartialOrd, Ord)]
pub struct OwnerId {
    /// Instance of the daemon.
    pub instance: InstanceName,
    /// Number of the run, which grows with each start of the daemon.
    pub incarnation: u64,
}

impl fmt::Display for OwnerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.incarnation)
    }
}

/// Hashes strings with their lengths, so that different lists never hash as the same bytes.
fn hash_parts(parts: &[&str]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    truncate(hasher.finalize().into())
}

fn truncate(digest: [u8; 32]) -> [u8; 16] {
    let mut out = [0; 16];
    out.copy_from_slice(&digest[..16]);
    out
}

fn parse_hex(text: &str, bytes: &mut [u8]) -> Result<(), ParseIdError> {
    if text.len() != bytes.len() * 2 || !text.is_ascii() {
        return Err(ParseIdError);
    }
    for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
        let digits = str::from_utf8(digits).map_err(|_| ParseIdError)?;
        *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseIdError)?;
    }
    Ok(())
}
