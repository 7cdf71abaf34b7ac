//! Responses of targets that come with neither a length nor chunks and end with their connection.

use std::{
    io::{
        self,
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    thread,
    time::Duration, //
};

use serde_json::json;
use yuccaseam_testing::{
    Announcement,
    Announcer,
    Cluster,
    Kind,
    wait_until, //
};

use crate::support::{
    places,
    question, //
};

/// Name of the service.
const SERVICE: &str = "ledger";
/// Time between the last bytes of a response and the reset of its connection, so that the daemon
/// reads them first.
const BEFORE_RESET: Duration = Duration::from_millis(30);
const RESPONSE: &str = r#"{"entry":"whole"}"#;

/// Serves every connection on a thread of its own.
fn serve() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // The daemon may close the connection at any time.
            thread::spawn(move || drop(respond(stream)));
        }
    });
    Ok(address)
}

/// Responds as the path says. The bodies of generations and of the request `/reset` stay unread, so
/// that closing the connection resets it.
fn respond(mut stream: TcpStream) -> io::Result<()> {
    let head = read_until(&mut stream, "\r\n\r\n")?;
    let status = head.strip_prefix("POST /status-");
    let status = status.and_then(|rest| rest.split(' ').next());
    let status = status.unwrap_or("200");
    let head_of_response = format!("HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n\r\n");
    stream.write_all(head_of_response.as_bytes())?;
    if head.starts_with("POST /reset ") || head.starts_with("POST /v1/completions ") {
        stream.write_all(&RESPONSE.as_bytes()[..RESPONSE.len() / 2])?;
        thread::sleep(BEFORE_RESET);
        return Ok(());
    }
    read_until(&mut stream, "}")?;
    stream.write_all(RESPONSE.as_bytes())
}

/// Reads up to some text, and nothing after it.
fn read_until(stream: &mut TcpStream, end: &str) -> io::Result<String> {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with(end) {
        stream.read_exact(&mut byte)?;
        text.push(char::from(byte[0]));
    }
    Ok(text)
}

/// Starts a system with one target.
fn start(kind: Kind) -> (Cluster, Announcer) {
    let places = places();
    let mut cluster = Cluster::start(&places, &[]);
    cluster.wait_until_ready();
    let announcement = Announcement {
        name: "raw".to_owned(),
        address: serve().expect("a free address").to_string(),
        kind,
        region: places[0].region.clone(),
        failure_domain: places[0].failure_domain.clone(),
        slots: 4,
        state: "live",
        incarnation: 1,
    };
    let entries = cluster.daemons.iter().map(|daemon| daemon.http.to_string());
    let announcer = Announcer::start(announcement, entries.collect());
    let caller = cluster.caller(0);
    wait_until("the daemon knows the target", || {
        let status = caller.get("/admin/v1/status");
        status.is_some_and(|status| status["targets"].as_u64() >= Some(1))
    });
    (cluster, announcer)
}

/// Guards against the part of a response before a reset passed on as the whole.
#[test]
fn response_without_length_is_whole_unless_its_connection_is_reset() {
    let (cluster, _announcer) = start(Kind::Service {
        service: SERVICE.to_owned(),
    });
    let caller = cluster.caller(0);
    for _ in 0..5 {
        let whole = caller.post(&format!("/services/{SERVICE}/whole"), &json!({}));
        let whole = whole.expect("a response");
        assert_eq!((whole.status, whole.text.as_str()), (200, RESPONSE));

        let cut = caller.post(&format!("/services/{SERVICE}/reset"), &json!({}));
        let cut = cut.expect("a response");
        assert_ne!(cut.status, 200, "{cut:?}");
        assert_eq!(cut.verdict().as_deref(), Some("may_have_run"), "{cut:?}");
    }
}

/// Guards against a status that no caller can understand.
#[test]
fn response_with_an_odd_status_is_not_passed_on() {
    let (cluster, _announcer) = start(Kind::Service {
        service: SERVICE.to_owned(),
    });
    let caller = cluster.caller(0);
    for status in ["000", "099", "101", "600", "999"] {
        let path = format!("/services/{SERVICE}/status-{status}");
        let odd = caller.post(&path, &json!({})).expect("a response");
        assert_eq!(odd.status, 502, "{status}: {odd:?}");
        assert_eq!(odd.verdict().as_deref(), Some("may_have_run"), "{odd:?}");
    }
}

/// Guards against the same as above in a generation that is not streamed.
#[test]
fn generation_without_length_that_is_reset_is_not_whole() {
    let (cluster, _announcer) = start(Kind::Engine {
        model: "lagging-llm".to_owned(),
    });
    let mut body = question("pipe", 10);
    body["stream"] = json!(false);
    let cut = cluster.caller(0).post("/v1/completions", &body);
    let cut = cut.expect("a response");
    assert_ne!(cut.status, 200, "{cut:?}");
    assert_eq!(cut.verdict().as_deref(), Some("may_have_run"), "{cut:?}");
}
