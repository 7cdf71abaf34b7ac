//! A caller of one daemon or of one target.

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::Value;
use ureq::{
    Agent,
    Body,
    http::Response, //
};

/// How long a caller waits for a whole answer.
const ANSWER_BOUND: Duration = Duration::from_secs(60);

/// Sends calls to one address.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
    address: SocketAddr,
    headers: Vec<(String, String)>,
}

/// An answer that isn't streamed.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body as text.
    pub text: String,
}

/// What a caller got of a stream.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    /// The HTTP status.
    pub status: u16,
    /// The text of every token.
    pub text: String,
    /// How many tokens came.
    pub tokens: u32,
    /// Whether the end mark came, and nothing after it.
    pub done: bool,
    /// The error event or the error body, if one came.
    pub error: Option<Value>,
    /// From the call to the first token.
    pub first_token: Option<Duration>,
    /// The times between tokens.
    pub between: Vec<Duration>,
    /// From the call to the end.
    pub total: Duration,
}

/// Why there is no answer: the connection failed before the whole answer was there.
#[derive(Debug)]
pub struct Broken(pub String);

impl Answer {
    /// The body as JSON, or null if it isn't.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// The verdict of an error body.
    pub fn verdict(&self) -> Option<String> {
        let verdict = &self.json()["error"]["verdict"];
        verdict.as_str().map(str::to_owned)
    }
}

impl Caller {
    /// A caller of one address, with a connection for each call.
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(ANSWER_BOUND))
            .build();
        Self {
            agent: config.new_agent(),
            address,
            headers: Vec::new(),
        }
    }

    /// The same caller with one more header in each call.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The JSON body of a `GET`, if the answer is 200.
    pub fn get(&self, path: &str) -> Option<Value> {
        let answer = self.call("GET", path, "").ok()?;
        (answer.status == 200).then(|| answer.json())
    }

    /// Posts JSON.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub fn post(&self, path: &str, body: &Value) -> Result<Answer, Broken> {
        self.call("POST", path, &body.to_string())
    }

    /// Sends a call with a body.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Result<Answer, Broken> {
        let mut res = self.send(method, path, body)?;
        let status = res.status().as_u16();
        let read = res.body_mut().with_config().limit(u64::MAX);
        let text = read.read_to_string().map_err(broken)?;
        Ok(Answer { status, text })
    }

    /// Posts JSON and reads the answer as a stream, to its end or to where it broke.
    ///
    /// # Errors
    ///
    /// Fails if the connection does before the answer begins.
    pub fn stream(&self, path: &str, body: &Value) -> Result<Streamed, Broken> {
        self.stream_while(path, body, |_| true)
    }

    /// Reads a stream as [`Self::stream`] does while `more` holds of what came so far, and closes
    /// the connection after that.
    ///
    /// # Errors
    ///
    /// Fails if the connection does before the answer begins.
    pub fn stream_while<M>(&self, path: &str, body: &Value, more: M) -> Result<Streamed, Broken>
    where
        M: FnMut(&Streamed) -> bool,
    {
        let start = Instant::now();
        let res = self.send("POST", path, &body.to_string())?;
        let mut streamed = Streamed {
            status: res.status().as_u16(),
            ..Streamed::default()
        };
        if streamed.status == 200 {
            streamed.read(res, start, more);
        } else {
            let body = res.into_body().read_json();
            streamed.error = Some(body.unwrap_or_default());
        }
        streamed.total = start.elapsed();
        Ok(streamed)
    }

    fn send(&self, method: &str, path: &str, body: &str) -> Result<Response<Body>, Broken> {
        let mut req = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("Content-Type", "application/json");
        for (name, value) in &self.headers {
            req = req.header(name, value);
        }
        let req = req.body(body.to_owned()).map_err(broken)?;
        self.agent.run(req).map_err(broken)
    }
}

impl Streamed {
    fn read<M>(&mut self, res: Response<Body>, start: Instant, mut more: M)
    where
        M: FnMut(&Self) -> bool,
    {
        let mut last = start;
        let reader = BufReader::new(res.into_body().into_reader());
        for line in reader.lines() {
            let Ok(line) = line else {
                return;
            };
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            self.take(data.trim(), &mut last, start);
            if !more(self) {
                return;
            }
        }
    }

    fn take(&mut self, data: &str, last: &mut Instant, start: Instant) {
        // An event after the end mark would make the answer one of two.
        self.done = data == "[DONE]" && !self.done;
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if !event["error"].is_null() {
            self.error = Some(event);
            return;
        }
        let choice = &event["choices"][0];
        let text = choice["text"].as_str();
        let text = text.or_else(|| choice["delta"]["content"].as_str());
        let Some(text) = text.filter(|text| !text.is_empty()) else {
            return;
        };
        let now = Instant::now();
        match self.first_token {
            None => self.first_token = Some(now - start),
            Some(_) => self.between.push(now - *last),
        }
        *last = now;
        self.tokens += 1;
        self.text.push_str(text);
    }
}

fn broken<E>(err: E) -> Broken
where
    E: std::fmt::Display,
{
    Broken(err.to_string())
}
