//! One HTTP request, as passed to the handlers.

use serde::de::DeserializeOwned;
use tiny_http::{
    Method,
    Request, //
};
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};

/// Header with the caller's team.
const TEAM_HEADER: &str = "x-yuccaseam-team";
/// Header with the request class.
const CLASS_HEADER: &str = "x-yuccaseam-class";
/// Team of a caller that names none.
const DEFAULT_TEAM: &str = "default";

/// One request: its method, path, headers and body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// Path without the query.
    pub(crate) path: String,
    /// Query without the question mark; empty if there is none.
    pub(crate) query: String,
    /// Names, in lower case, and values.
    headers: Vec<(String, String)>,
    /// Empty if the handler reads the body as a stream.
    pub(crate) body: Vec<u8>,
    pub(crate) arrived_at: Millis,
    /// Identifies the request in logs and responses.
    pub(crate) id: String,
}

impl Call {
    /// Creates a call from the request line and the headers, with an empty body.
    pub(crate) fn from_head(req: &Request, now: Millis) -> Self {
        let headers: Vec<_> = req
            .headers()
            .iter()
            .map(|header| {
                let name = header.field.as_str().as_str().to_ascii_lowercase();
                (name, header.value.as_str().to_owned())
            })
            .collect();
        let (path, query) = match req.url().split_once('?') {
            Some((path, query)) => (path.to_owned(), query.to_owned()),
            None => (req.url().to_owned(), String::new()),
        };
        let mut call = Self {
            method: req.method().clone(),
            path,
            query,
            headers,
            body: Vec::new(),
            arrived_at: now,
            id: String::new(),
        };
        call.id = match call.header("x-request-id") {
            Some(id) => id.to_owned(),
            None => format!("{:016x}", rand::random::<u64>()),
        };
        call
    }

    /// Value of a header. `name` must be in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }

    /// Value of a query parameter, not percent-decoded.
    pub(crate) fn param(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The caller's team.
    pub(crate) fn team(&self) -> &str {
        self.header(TEAM_HEADER).unwrap_or(DEFAULT_TEAM)
    }

    /// Request class that the caller names, if any.
    pub(crate) fn class(&self) -> Option<&str> {
        self.header(CLASS_HEADER)
    }

    /// Deserializes the body from JSON.
    ///
    /// # Errors
    ///
    /// Refuses a body that cannot be deserialized to `T`.
    pub(crate) fn json<T>(&self) -> Result<T, Refusal>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(|error| {
            Refusal::not_run(
                Reason::BadRequest,
                format!("the body is malformed: {error}"),
            )
        })
    }
}
