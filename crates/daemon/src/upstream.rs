//! Calls to targets over HTTP.

use std::{
    io::{
        self,
        Read, //
    },
    net::SocketAddr,
};

use ureq::{
    Agent,
    Timeout, //
};
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};

/// How long a connection to a target may take to open.
const CONNECT: Millis = Millis(1_000);
/// How long a target may send nothing before its call counts as failed.
const SILENCE: Millis = Millis::from_secs(30);

/// The HTTP client towards targets.
pub(crate) struct Upstream {
    agent: Agent,
}

/// One call to a target.
#[derive(Debug)]
pub(crate) struct Outgoing<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) method: &'a str,
    /// The path with its query.
    pub(crate) path: &'a str,
    pub(crate) headers: Vec<(&'a str, &'a str)>,
    pub(crate) body: &'a [u8],
}

/// The beginning of a target's answer. Dropping it closes the connection, which cancels the call.
pub(crate) struct Answer {
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
            .timeout_connect(Some(CONNECT.duration()))
            .timeout_per_read(Some(SILENCE.duration()))
            // A kept connection may be closed by the target while a call is written to it. The
            // call would then fail as "may have run", so each call opens a connection.
            .max_idle_connections(0)
            .build();
        Self {
            agent: config.new_agent(),
        }
    }

    /// Sends a call and returns once the answer begins.
    ///
    /// # Errors
    ///
    /// The verdict is "not run" only if no connection was opened.
    pub(crate) fn send(&self, call: &Outgoing<'_>) -> Result<Answer, Refusal> {
        self.run(call, None)
    }

    /// Sends a call whose whole answer must come within a bound.
    ///
    /// # Errors
    ///
    /// As [`Upstream::send`].
    pub(crate) fn send_within(
        &self,
        call: &Outgoing<'_>,
        bound: Millis,
    ) -> Result<Answer, Refusal> {
        self.run(call, Some(bound))
    }

    fn run(&self, call: &Outgoing<'_>, bound: Option<Millis>) -> Result<Answer, Refusal> {
        let mut builder = ureq::http::Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.address, call.path));
        for (name, value) in &call.headers {
            builder = builder.header(*name, *value);
        }
        let req = builder.body(call.body).map_err(|error| {
            Refusal::not_run(Reason::BadRequest, format!("cannot be forwarded: {error}"))
        })?;
        let req = self
            .agent
            .configure_request(req)
            .timeout_global(bound.map(Millis::duration))
            .build();
        let answer = self
            .agent
            .run(req)
            .map_err(|error| failure(call.address, &error))?;
        let content_type = answer
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        Ok(Answer {
            status: answer.status().as_u16(),
            content_type,
            body: Box::new(answer.into_body().into_reader()),
        })
    }
}

impl Answer {
    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails if the body ends before its announced end.
    pub(crate) fn read_whole(mut self) -> Result<Vec<u8>, Refusal> {
        let mut body = Vec::new();
        match self.body.read_to_end(&mut body) {
            Ok(_) => Ok(body),
            Err(error) => Err(cut(&error)),
        }
    }
}

/// The failure of a call whose answer ended early.
pub(crate) fn cut(error: &io::Error) -> Refusal {
    Refusal::may_have_run(Reason::AnswerCut, format!("the answer was cut: {error}"))
}

fn failure(address: SocketAddr, error: &ureq::Error) -> Refusal {
    let detail = format!("target at {address}: {error}");
    if is_before_connect(error) {
        Refusal::not_run(Reason::TargetFailed, detail)
    } else {
        Refusal::may_have_run(Reason::TargetFailed, detail)
    }
}

/// Whether the call failed before its connection was open, so that no byte can have been sent.
fn is_before_connect(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
