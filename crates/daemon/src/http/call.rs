//! One request as the handlers see it.

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

/// The header that names the caller's team.
const TEAM: &str = "x-yuccaseam-team";
/// The header that names the request class.
const CLASS: &str = "x-yuccaseam-class";
/// The team of a caller that names none.
const DEFAULT_TEAM: &str = "default";

/// One request: its method, path, headers and body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// The path without the query.
    pub(crate) path: String,
    /// The query without the question mark; empty if there is none.
    pub(crate) query: String,
    /// Header names are in lower case.
    headers: Vec<(String, String)>,
    /// Empty for a handler that reads the body as it comes.
    pub(crate) body: Vec<u8>,
    pub(crate) arrived_at: Millis,
    /// Identifies the request in logs and answers.
    pub(crate) id: String,
}

impl Call {
    /// Reads what comes before the body.
    pub(crate) fn of(req: &Request, now: Millis) -> Self {
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

    /// The value of a header, whose name is given in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }

    /// The parameter of the query by this name.
    pub(crate) fn param(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The caller's team.
    pub(crate) fn team(&self) -> &str {
        self.header(TEAM).unwrap_or(DEFAULT_TEAM)
    }

    /// The request class that the caller names, if any.
    pub(crate) fn class(&self) -> Option<&str> {
        self.header(CLASS)
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// Refuses a body that is not JSON of this shape.
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
