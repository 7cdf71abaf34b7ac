//! Message encoding: a version byte followed by `postcard` data.

use std::{
    error,
    fmt, //
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// Version byte of every encoding of this crate.
const ENCODING_VERSION: u8 = 1;

/// Error returned when bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The input is empty.
    Empty,
    /// The version byte is unknown.
    Version(u8),
    /// The input is truncated, has trailing bytes or does not match the type.
    Malformed,
    /// The input matches the type, but a value is out of bounds.
    Invalid(&'static str),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("empty input"),
            Self::Version(version) => write!(f, "unknown encoding version {version}"),
            Self::Malformed => f.write_str("malformed message"),
            Self::Invalid(rule) => f.write_str(rule),
        }
    }
}

impl error::Error for DecodeError {}

/// Encodes a message.
///
/// # Panics
///
/// Panics if `postcard` cannot encode the type. It can encode every message type of this crate.
pub(crate) fn encode<T>(message: &T) -> Vec<u8>
where
    T: Serialize,
{
    postcard::to_extend(message, vec![ENCODING_VERSION]).expect("message types are encodable")
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if `bytes` is not exactly one message of the current version.
pub(crate) fn decode<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    let (&version, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if version != ENCODING_VERSION {
        return Err(DecodeError::Version(version));
    }
    let (message, rest) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::Malformed)?;
    if !rest.is_empty() {
        return Err(DecodeError::Malformed);
    }
    Ok(message)
}
