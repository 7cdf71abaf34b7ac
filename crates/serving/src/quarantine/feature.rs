//! What several requests can have in common that crashes targets.

use std::fmt;

use http::{
    HeaderMap,
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
    /// query, declared prompt, and body; ids, deadlines and other headers differ.
    pub fn whole_request(head: &Parts, body: &[u8]) -> Self {
        let host = headers::text(&head.headers, &header::HOST).unwrap_or_default();
        let path = head.uri.path_and_query().map_or("", |path| path.as_str());
        let prompt = headers::text(&head.headers, &headers::PROMPT_PARTS).unwrap_or_default();
        let mut hasher = Xxh3::new();
        for field in [head.method.as_str(), host, path, prompt] {
            hasher.update(field.as_bytes());
            hasher.update(&[FIELD_SEPARATOR]);
        }
        hasher.update(body);
        Self(hasher.digest128() | Self::WHOLE_REQUEST)
    }

    /// Returns the features of a caller's request: the shared parts of its prompt in order, then the whole
    /// request.
    pub fn of_request(headers: &HeaderMap, whole_request: Self) -> Vec<Self> {
        let parts = PromptPart::shared_of(headers).into_iter();
        parts
            .map(Self::prompt_part)
            .chain([whole_request])
            .collect()
    }

    /// Returns the features of a batch item: the shared parts of its prompt. An accepted item is owed
    /// whatever happens to its targets, so the item itself is none.
    pub fn of_item(item_headers: &[(String, String)]) -> Vec<Self> {
        let parts = PromptPart::shared_of_item(item_headers).into_iter();
        parts.map(Self::prompt_part).collect()
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
