//! Bytes that a codec encodes as one byte string rather than element by element.

use std::{
    fmt,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::{
        self,
        Visitor, //
    }, //
};
use yuccaseam_base::value;

/// Bytes that a codec encodes as one byte string.
#[value]
pub struct WireBytes(pub Arc<[u8]>);

impl Serialize for WireBytes {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for WireBytes {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_bytes(BytesVisitor)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = WireBytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<WireBytes, E>
    where
        E: de::Error,
    {
        Ok(WireBytes(bytes.into()))
    }
}
