//! HTTP client for the instances.

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

/// Address of the instance that is used if none is given.
const DEFAULT_SERVER: &str = "127.0.0.1:8480";
/// Limit on the duration of a call, from connect to the end of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit on the time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Client that calls the first reachable instance of a list.
pub(crate) struct Client {
    agent: Agent,
    servers: Vec<String>,
    team: Option<String>,
}

/// A call to an instance.
pub(crate) struct Call<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) body: &'a [u8],
    pub(crate) headers: &'a [(&'a str, &'a str)],
}

impl Client {
    /// Creates a client for a comma-separated list of addresses. Defaults to the list in
    /// `YUCCASEAM_SERVER`, then to [`DEFAULT_SERVER`].
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
            return Err(Failure::Local("--server contains no address".to_owned()));
        }
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Ok(Self {
            agent: config.new_agent(),
            servers,
            team: team
                .map(str::to_owned)
                .or_else(|| env::var("YUCCASEAM_TEAM").ok()),
        })
    }

    /// Gets a path and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the one that responds refuses the call.
    pub(crate) fn get(&self, path: &str) -> Result<Value, Failure> {
        self.call_json(&Call {
            method: "GET",
            path,
            body: b"",
            headers: &[],
        })
    }

    /// Posts JSON to a path and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the one that responds refuses the call.
    pub(crate) fn post(&self, path: &str, value: &Value) -> Result<Value, Failure> {
        self.call_json(&Call {
            method: "POST",
            path,
            body: value.to_string().as_bytes(),
            headers: &[("content-type", "application/json")],
        })
    }

    /// Sends a call and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the one that responds refuses the call.
    pub(crate) fn call_json(&self, call: &Call<'_>) -> Result<Value, Failure> {
        let body = self.call(call)?;
        serde_json::from_slice(&body)
            .map_err(|error| Failure::Local(format!("response is not JSON: {error}")))
    }

    /// Sends a call and returns the response's body. Tries the next instance only if no connection
    /// could be opened, so that the client never repeats a call that may have run.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or the one that responds refuses the call.
    pub(crate) fn call(&self, call: &Call<'_>) -> Result<Vec<u8>, Failure> {
        let mut last = String::new();
        for server in &self.servers {
            match self.call_one(server, call) {
                Err(Failure::Local(text)) => last = text,
                result => return result,
            }
        }
        Err(Failure::Local(format!(
            "no instance responded: {last}\nspecify others with --server ADDRESS,ADDRESS"
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
        let response = self.agent.run(req).map_err(|error| {
            let text = format!("{server}: {error}");
            if is_before_connect(&error) {
                Failure::Local(text)
            } else {
                Failure::Unknown(text)
            }
        })?;
        let status = response.status().as_u16();
        let mut body = Vec::new();
        response
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

/// Whether the call failed before the connection was established.
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
    let message = error["message"].as_str().unwrap_or("no reason given");
    let text = format!("{message} ({code}, HTTP status {status})");
    match error["verdict"].as_str() {
        Some("not_run") => Failure::Refused(text),
        _ => Failure::Unknown(text),
    }
}
