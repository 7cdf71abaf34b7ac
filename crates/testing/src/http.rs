//! The few HTTP shapes that the fakes answer with.

use std::{
    io::{
        self,
        Write, //
    },
    sync::Arc,
    thread,
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tiny_http::{
    Header,
    Request,
    Response,
    Server, //
};

/// Serves each request in a thread of its own, until the process ends.
pub(crate) fn serve<H>(server: Server, handler: H)
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for req in server.incoming_requests() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(req));
        }
    });
}

/// The path of a request without its query.
pub(crate) fn path(req: &Request) -> String {
    req.url().split('?').next().unwrap_or_default().to_owned()
}

/// A numeric parameter of a request's query.
pub(crate) fn query_number(req: &Request, name: &str) -> Option<u64> {
    let (_, query) = req.url().split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// The value of a request's header.
pub(crate) fn header(req: &Request, name: &str) -> Option<String> {
    req.headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str().to_owned())
}

/// Reads a request's JSON body.
pub(crate) fn read_json<T>(req: &mut Request) -> Result<T, serde_json::Error>
where
    T: DeserializeOwned,
{
    serde_json::from_reader(req.as_reader())
}

/// Answers with a JSON body.
pub(crate) fn respond_json<T>(req: Request, status: u16, body: &T)
where
    T: Serialize,
{
    let text = serde_json::to_string(body).expect("answers of the fakes are valid JSON");
    let json = Header::from_bytes("Content-Type", "application/json").expect("a valid header");
    let response = Response::from_string(text)
        .with_status_code(status)
        .with_header(json);
    // The caller may be gone, which is no concern of a fake.
    let _ = req.respond(response);
}

/// Answers with an error's text.
pub(crate) fn respond_error(req: Request, status: u16, message: &str) {
    respond_json(req, status, &serde_json::json!({ "error": message }));
}

/// A stream of server-sent events, each flushed to the socket at once.
pub(crate) struct EventStream {
    out: Box<dyn Write + Send>,
}

impl EventStream {
    /// Answers a request with the head of a stream.
    pub(crate) fn start(req: Request) -> io::Result<Self> {
        let mut out = req.into_writer();
        out.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
              Transfer-Encoding: chunked\r\n\r\n",
        )?;
        out.flush()?;
        Ok(Self { out })
    }

    /// Writes one event.
    pub(crate) fn event(&mut self, data: &str) -> io::Result<()> {
        let event = format!("data: {data}\n\n");
        write!(self.out, "{:x}\r\n{event}\r\n", event.len())?;
        self.out.flush()
    }

    /// Ends the stream, so that the connection can serve another request.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.out.write_all(b"0\r\n\r\n")?;
        self.out.flush()
    }
}
