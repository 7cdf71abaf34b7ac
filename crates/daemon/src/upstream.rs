//! HTTP client for calls to targets.

mod transport;

use std::{
    io::{
        self,
        Read, //
    },
    net::SocketAddr,
    ops::RangeInclusive,
};

use ureq::{
    Agent, Timeout,
    unversioned::{
        resolver::DefaultResolver,
        transport::{
            Connector as _,
            DefaultConnector, //
        },
    },
};
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};

use transport::ResetDetector;

/// Time-out of opening a connection to a target.
const CONNECT_TIMEOUT: Millis = Millis(1_000);
/// How long a target may send nothing before its call fails.
const READ_TIMEOUT: Millis = Millis::from_secs(30);

/// Statuses of final responses. The HTTP library accepts others.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// HTTP client for calls to targets.
pub(crate) struct Upstream {
    agent: Agent,
}

/// One call to a target.
#[derive(Debug)]
pub(crate) struct TargetRequest<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) method: &'a str,
    /// The path including the query.
    pub(crate) path: &'a str,
    pub(crate) headers: Vec<(&'a str, &'a str)>,
    pub(crate) body: &'a [u8],
}

/// A target's response, whose body is still to be read. Dropping it closes the connection, which
/// cancels the call.
pub(crate) struct TargetResponse {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Box<dyn Read + Send>,
}

impl Upstream {
    pub(crate) fn new() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT.duration()))
            .timeout_per_read(Some(READ_TIMEOUT.duration()))
            // The target may close an idle connection while a call is written to it, and the call
            // would fail as "may have run". Each call therefore opens a connection of its own.
            .max_idle_connections(0)
            .build();
        let connector = DefaultConnector::default().chain(ResetDetector);
        Self {
            agent: Agent::with_parts(config, connector, DefaultResolver::default()),
        }
    }

    /// Sends a call and returns once the response begins.
    ///
    /// # Errors
    ///
    /// The verdict is "not run" only if no connection was opened.
    pub(crate) fn send(&self, call: &TargetRequest<'_>) -> Result<TargetResponse, Refusal> {
        self.run(call, None)
    }

    /// Sends a call whose complete response must arrive within a time-out.
    ///
    /// # Errors
    ///
    /// As for [`Upstream::send`].
    pub(crate) fn send_with_timeout(
        &self,
        call: &TargetRequest<'_>,
        timeout: Millis,
    ) -> Result<TargetResponse, Refusal> {
        self.run(call, Some(timeout))
    }

    fn run(
        &self,
        call: &TargetRequest<'_>,
        timeout: Option<Millis>,
    ) -> Result<TargetResponse, Refusal> {
        let mut builder = ureq::http::Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.address, call.path));
        for (name, value) in &call.headers {
            builder = builder.header(*name, *value);
        }
        let req = builder.body(call.body).map_err(|error| {
            Refusal::not_run(
                Reason::BadRequest,
                format!("cannot forward the request: {error}"),
            )
        })?;
        let req = self
            .agent
            .configure_request(req)
            .timeout_global(timeout.map(Millis::duration))
            .build();
        let response = self
            .agent
            .run(req)
            .map_err(|error| call_failure(call.address, &error))?;
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            let detail = format!("target at {}: invalid status {status:03}", call.address);
            return Err(Refusal::may_have_run(Reason::TargetFailed, detail));
        }
        let content_type = response
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        Ok(TargetResponse {
            status,
            content_type,
            body: Box::new(response.into_body().into_reader()),
        })
    }
}

impl TargetResponse {
    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early.
    pub(crate) fn read_body(mut self) -> Result<Vec<u8>, Refusal> {
        let mut body = Vec::new();
        match self.body.read_to_end(&mut body) {
            Ok(_) => Ok(body),
            Err(error) => Err(response_truncated(&error)),
        }
    }
}

/// The refusal for a call whose response ended early.
pub(crate) fn response_truncated(error: &io::Error) -> Refusal {
    Refusal::may_have_run(
        Reason::AnswerCut,
        format!("the response ended early: {error}"),
    )
}

fn call_failure(address: SocketAddr, error: &ureq::Error) -> Refusal {
    let detail = format!("target at {address}: {error}");
    if failed_before_connect(error) {
        Refusal::not_run(Reason::TargetFailed, detail)
    } else {
        Refusal::may_have_run(Reason::TargetFailed, detail)
    }
}

/// Whether the call failed before its connection was open, so that no byte was sent.
fn failed_before_connect(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
