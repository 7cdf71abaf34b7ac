//! HTTP calls to an instance.

use std::{
    env,
    io::Read,
    time::Duration, //
};

use serde_json::Value;
use ureq::{
    Agent,
    http::Request, //
};

use crate::exit::Failure;

/// The instance that is asked if none is named.
const DEFAULT_SERVER: &str = "127.0.0.1:8480";
/// How long an instance may take to answer.
const TIMEOUT: Duration = Duration::from_secs(60);
/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_secs(2);

/// Calls the first instance of a list that answers.
pub(crate) struct Client {
    agent: Agent,
    servers: Vec<String>,
    team: Option<String>,
}

/// One call to an instance.
pub(crate) struct Call<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) body: &'a [u8],
    pub(crate) headers: &'a [(&'a str, &'a str)],
}

impl Client {
    /// Makes a client for a list of addresses, or for those of the environment.
    ///
    /// # Errors
    ///
    /// Fails if the list is empty.
    pub(crate) fn new(servers: Option<&str>, team: Option<&str>) -> Result<Self, Failure> {
        let from_env = env::var("YUCCASEAM_SERVER").ok();
        let list = servers.or(from_env.as_deref()).unwrap_or(DEFAULT_SERVER);
        let servers: Vec<_> = list
            .split(',')
            .map(str::trim)
            .filter(|server| !server.is_empty())
            .map(str::to_owned)
            .collect();
        if servers.is_empty() {
            return Err(Failure::Local("--server names no instance".to_owned()));
        }
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_connect(Some(CONNECT))
            .timeout_global(Some(TIMEOUT))
            .build();
        Ok(Self {
            agent: config.new_agent(),
            servers,
            team: team
                .map(str::to_owned)
                .or_else(|| env::var("YUCCASEAM_TEAM").ok()),
        })
    }

    /// Reads a path as JSON.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the one that answers refuses.
    pub(crate) fn get(&self, path: &str) -> Result<Value, Failure> {
        self.call_json(&Call {
            method: "GET",
            path,
            body: b"",
            headers: &[],
        })
    }

    /// Sends JSON to a path.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the one that answers refuses.
    pub(crate) fn post(&self, path: &str, value: &Value) -> Result<Value, Failure> {
        self.call_json(&Call {
            method: "POST",
            path,
            body: value.to_string().as_bytes(),
            headers: &[("content-type", "application/json")],
        })
    }

    /// Sends a call and reads the answer as JSON.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the one that answers refuses.
    pub(crate) fn call_json(&self, call: &Call<'_>) -> Result<Value, Failure> {
        let body = self.call(call)?;
        serde_json::from_slice(&body)
            .map_err(|error| Failure::Local(format!("the answer is not JSON: {error}")))
    }

    /// Sends a call and reads the answer's body. The next instance is asked only if no connection
    /// could be opened, so that a call never runs twice by itself.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or the one that answers refuses.
    pub(crate) fn call(&self, call: &Call<'_>) -> Result<Vec<u8>, Failure> {
        let mut last = String::new();
        for server in &self.servers {
            match self.call_one(server, call) {
                Err(Failure::Local(text)) => last = text,
                result => return result,
            }
        }
        Err(Failure::Local(format!(
            "no instance answers: {last}\nname others with --server ADDRESS,ADDRESS"
        )))
    }

    fn call_one(&self, server: &str, call: &Call<'_>) -> Result<Vec<u8>, Failure> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(format!("http://{server}{}", call.path));
        for (name, value) in call.headers {
            builder = builder.header(*name, *value);
        }
        if let Some(team) = &self.team {
            builder = builder.header("x-yuccaseam-team", team);
        }
        let req = builder
            .body(call.body)
            .map_err(|error| Failure::Refused(error.to_string()))?;
        let answer = self.agent.run(req).map_err(|error| {
            let text = format!("{server}: {error}");
            if is_before_connect(&error) {
                Failure::Local(text)
            } else {
                Failure::Unknown(text)
            }
        })?;
        let status = answer.status().as_u16();
        let mut body = Vec::new();
        answer
            .into_body()
            .into_reader()
            .read_to_end(&mut body)
            .map_err(|error| Failure::Unknown(format!("{server}: {error}")))?;
        if status < 400 {
            return Ok(body);
        }
        Err(refusal_of(status, &body))
    }
}

/// Whether the call failed before its connection was open.
fn is_before_connect(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn refusal_of(status: u16, body: &[u8]) -> Failure {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    let code = error["code"].as_str().unwrap_or("unknown");
    let message = error["message"].as_str().unwrap_or("no reason was given");
    let text = format!("{message} ({code}, HTTP status {status})");
    match error["verdict"].as_str() {
        Some("not_run") => Failure::Refused(text),
        _ => Failure::Unknown(text),
    }
}
