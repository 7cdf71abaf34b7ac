//! What several requests can have in common that crashes targets.

use std::fmt;

use http::{
    Method,
    Uri,
    header,
    request::Parts, //
};
use xxhash_rust::xxh3::Xxh3;
use yuccaseam_base::key;
use yuccaseam_platform::{
    PromptPart,
    headers, //
};

/// Separates the fields of a request, so that bytes of one cannot pass for bytes of the next.
const FIELD_SEPARATOR: u8 = 0;

/// Feature of requests that can crash targets: a shared part of their prompts, or the whole request,
/// which callers may repeat.
#[key]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Feature(u128);

impl Feature {
    /// Marks whole requests. Prompt parts never have this bit.
    const WHOLE_REQUEST: u128 = 1 << 127;

    /// Returns the feature of a prompt part.
    pub const fn prompt_part(part: PromptPart) -> Self {
        Self(part.0 & !Self::WHOLE_REQUEST)
    }

    /// Returns the feature of a whole request. Repeats of a request have the same method, host, path and
    /// query, and body; ids, deadlines and other headers differ.
    pub fn whole_request(method: &Method, host: &str, uri: &Uri, body: &[u8]) -> Self {
        let path = uri.path_and_query().map_or("", |path| path.as_str());
        let mut hasher = Xxh3::new();
        for field in [method.as_str(), host, path] {
            hasher.update(field.as_bytes());
            hasher.update(&[FIELD_SEPARATOR]);
        }
        hasher.update(body);
        Self(hasher.digest128() | Self::WHOLE_REQUEST)
    }

    /// Returns the feature of a whole request, from its head and body.
    pub fn of_whole(head: &Parts, body: &[u8]) -> Self {
        let host = headers::text(&head.headers, &header::HOST).unwrap_or_default();
        Self::whole_request(&head.method, host, &head.uri, body)
    }

    /// Whether this is a whole request, and no prompt part.
    pub fn is_whole_request(self) -> bool {
        self.0 & Self::WHOLE_REQUEST != 0
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = self.0 & !Self::WHOLE_REQUEST;
        if self.is_whole_request() {
            write!(f, "request:{id:x}")
        } else {
            write!(f, "{id:x}")
        }
    }
}
