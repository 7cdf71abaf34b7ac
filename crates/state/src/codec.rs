//! Encoding of messages: a version byte, then `postcard`.

use std::{
    error,
    fmt, //
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// The version of every encoding of this crate.
const VERSION: u8 = 1;

/// Bytes that are not a message of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// There are no bytes.
    Empty,
    /// The version byte is not known.
    Version(u8),
    /// The bytes are cut, too long or of another shape.
    Malformed,
    /// The shape is right and a value breaks a rule.
    Invalid(&'static str),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("no bytes to decode"),
            Self::Version(version) => write!(f, "encoding version {version} is not known"),
            Self::Malformed => f.write_str("malformed bytes"),
            Self::Invalid(rule) => f.write_str(rule),
        }
    }
}

impl error::Error for DecodeError {}

/// Encodes a wire type.
///
/// # Panics
///
/// If the type has a shape that `postcard` cannot encode, which no type of this crate has.
pub(crate) fn encode<T>(message: &T) -> Vec<u8>
where
    T: Serialize,
{
    postcard::to_extend(message, vec![VERSION]).expect("wire types can be encoded")
}

/// Decodes a wire type.
///
/// # Errors
///
/// If the bytes are not exactly one message of the known version.
pub(crate) fn decode<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: DeserializeOwned,
{
    let (&version, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if version != VERSION {
        return Err(DecodeError::Version(version));
    }
    let (message, rest) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::Malformed)?;
    if !rest.is_empty() {
        return Err(DecodeError::Malformed);
    }
    Ok(message)
}
