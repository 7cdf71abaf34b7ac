//! Calls over HTTP as the platform's callers make them: each on a new connection.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Method,
    Request, //
};
use http_body_util::{
    BodyExt as _,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::timeout, //
};

/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_secs(1);

/// An answer, as far as it came.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as far as it came.
    pub body: String,
    /// Whether the body ended as complete.
    pub complete: bool,
}

impl Reply {
    /// Whether a target proves that it made the answer.
    pub fn is_signed(&self) -> bool {
        self.headers.contains_key("response-signature")
    }

    /// Whether the whole answer came, and it is a success.
    pub fn is_whole_success(&self) -> bool {
        self.complete && (200..300).contains(&self.status)
    }
}

/// Sends a request and reads its answer.
///
/// # Errors
///
/// Fails if no head of an answer came in time.
pub async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> io::Result<Reply> {
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let stream = timeout(CONNECT, TcpStream::connect(to))
        .await
        .map_err(late)??;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, conn) = handshake.map_err(io::Error::other)?;
    let task = tokio::spawn(async move { drop(conn.await) });
    let mut req = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(Bytes::from(body.to_owned())));
    let req = req.map_err(io::Error::other)?;
    let until = tokio::time::Instant::now() + patience;
    let answer = tokio::time::timeout_at(until, sender.send_request(req)).await;
    let answer = answer.map_err(late)?.map_err(io::Error::other)?;
    let (head, mut incoming) = answer.into_parts();
    let mut data = Vec::new();
    let complete = loop {
        match tokio::time::timeout_at(until, incoming.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Some(piece) = frame.data_ref() {
                    data.extend_from_slice(piece);
                }
            }
            Ok(None) => break true,
            Ok(Some(Err(_))) | Err(_) => break false,
        }
    };
    task.abort();
    Ok(Reply {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8_lossy(&data).into_owned(),
        complete,
    })
}
