//! What callers may send, and how long they may take.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use tokio::io::{
    AsyncReadExt as _,
    AsyncWriteExt as _, //
};
use yuccaseam_testing::platform::{
    Behaviour,
    HOST,
    ONCE,
    PlatformSystem,
    SAFE,
    send, //
};

use super::{
    PATIENCE,
    World,
    with_world, //
};

/// Callers that send half a head must not be held for ever, and idle ones not be closed.
#[test]
fn half_a_head_is_given_up_and_an_idle_connection_is_kept() {
    with_world(1, async |world| {
        let entry = world.system.entries[0].callers();
        let connect = || tokio::net::TcpStream::connect(entry);
        let mut half = connect().await.expect("a connection opens");
        half.write_all(b"GET /safe/1 HTTP/1.1\r\nHost")
            .await
            .expect("half a head is sent");
        let mut idle = connect().await.expect("a connection opens");
        let mut buf = [0; 64];
        let ended = tokio::time::timeout(Duration::from_secs(5), half.read(&mut buf)).await;
        let ended = ended.expect("the connection ends within 5 s");
        assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
        idle.write_all(b"GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n")
            .await
            .expect("a request is sent");
        let read = tokio::time::timeout(PATIENCE, idle.read(&mut buf)).await;
        let len = read
            .expect("an answer comes")
            .expect("the connection is open");
        assert!(buf[..len].starts_with(b"HTTP/1.1 404"));
    });
}

/// How long clients may take is the operator's to say.
#[test]
fn the_limits_of_the_manifest_hold_on_new_connections() {
    with_world(1, async |world| {
        let body = PlatformSystem::manifest(2);
        let body = body.replace(r#""header_timeout_ms":3000"#, r#""header_timeout_ms":400"#);
        let to = world.system.entries[0].control();
        let headers = [("host", "control")];
        let sent = send(
            to,
            Method::POST,
            "/Config.Replace",
            &headers,
            &body,
            PATIENCE,
        )
        .await;
        assert_eq!(sent.expect("an answer comes").status, 200);
        let entry = world.system.entries[0].callers();
        let until = Instant::now() + PATIENCE;
        // The entry hears of the manifest soon after it was acknowledged.
        loop {
            let mut half = tokio::net::TcpStream::connect(entry)
                .await
                .expect("a connection opens");
            half.write_all(b"GET /safe/1 HTTP/1.1\r\nHost")
                .await
                .expect("half a head is sent");
            let mut buf = [0; 64];
            let ended = tokio::time::timeout(Duration::from_secs(2), half.read(&mut buf)).await;
            if ended.is_ok() {
                break;
            }
            assert!(Instant::now() < until, "half a head is held for 2 s");
        }
    });
}

/// A body that stops halfway must not hold its connection for ever.
#[test]
fn a_body_that_does_not_come_in_the_callers_time_is_refused() {
    with_world(1, async |world| {
        let entry = world.system.entries[0].callers();
        let mut caller = tokio::net::TcpStream::connect(entry)
            .await
            .expect("a connection opens");
        let head = format!(
            "POST {SAFE}1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: slow\r\nDeadline-Ms: 500\r\n\
             Content-Length: 10\r\n\r\nhalf"
        );
        caller
            .write_all(head.as_bytes())
            .await
            .expect("half a body is sent");
        let mut buf = [0; 64];
        let read = tokio::time::timeout(Duration::from_secs(3), caller.read(&mut buf)).await;
        let len = read
            .expect("an answer comes")
            .expect("the connection is open");
        assert!(buf[..len].starts_with(b"HTTP/1.1 408"), "{:?}", &buf[..len]);
        assert_eq!(world.runs_of("slow"), 0);
    });
}

#[test]
fn a_head_that_is_too_large_is_refused() {
    with_world(1, async |world| {
        let entry = world.system.entries[0].callers();
        let large = "x".repeat(100_000);
        let headers = [("host", HOST), ("x-large", large.as_str())];
        let sent = send(entry, Method::GET, "/safe/1", &headers, "", PATIENCE).await;
        assert!(sent.is_err() || sent.is_ok_and(|reply| reply.status == 431));
    });
}

/// Sends a manifest with another idle time-out to the first entry.
async fn set_idle_timeout(world: &World, version: u64, millis: u64) {
    let body = PlatformSystem::manifest(version);
    let timeout = format!(r#""idle_timeout_ms":{millis}"#);
    let body = body.replace(r#""idle_timeout_ms":15000"#, &timeout);
    let to = world.system.entries[0].control();
    let headers = [("host", "control")];
    let sent = send(
        to,
        Method::POST,
        "/Config.Replace",
        &headers,
        &body,
        PATIENCE,
    );
    assert_eq!(sent.await.expect("an answer comes").status, 200);
    let line = format!(r#""version":{version}"#);
    let until = Instant::now() + PATIENCE;
    loop {
        let log = world.system.entries[0].log();
        let mut lines = log
            .lines()
            .filter(|text| text.contains("manifest in force"));
        if lines.any(|text| text.contains(&line)) {
            return;
        }
        assert!(Instant::now() < until, "{log}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against issue 28: a connection was closed after the idle time-out that was in force when it was
/// opened, although callers went by a longer one.
#[test]
fn a_longer_idle_timeout_holds_on_open_connections() {
    with_world(1, async |world| {
        set_idle_timeout(&world, 2, 1_500).await;
        let entry = world.system.entries[0].callers();
        let mut caller = tokio::net::TcpStream::connect(entry)
            .await
            .expect("a connection opens");
        tokio::time::sleep(Duration::from_millis(500)).await;
        set_idle_timeout(&world, 3, 15_000).await;
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        caller
            .write_all(b"GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n")
            .await
            .expect("a request is sent");
        let mut buf = [0; 64];
        let read = tokio::time::timeout(PATIENCE, caller.read(&mut buf)).await;
        let len = read
            .expect("an answer comes")
            .expect("the connection is open");
        assert!(buf[..len].starts_with(b"HTTP/1.1 404"));
    });
}

/// An idle connection must not be held for ever.
#[test]
fn an_idle_connection_is_closed_after_the_idle_timeout() {
    with_world(1, async |world| {
        set_idle_timeout(&world, 2, 1_000).await;
        let entry = world.system.entries[0].callers();
        let mut idle = tokio::net::TcpStream::connect(entry)
            .await
            .expect("a connection opens");
        let opened = Instant::now();
        let mut buf = [0; 64];
        let read = tokio::time::timeout(Duration::from_secs(4), idle.read(&mut buf)).await;
        let len = read.expect("it is closed").expect("without a reset");
        assert_eq!(len, 0);
        assert!(opened.elapsed() > Duration::from_millis(900));
    });
}

/// A connection on which a request was answered must not be held for ever either.
#[test]
fn a_connection_that_is_idle_after_an_answer_is_closed_after_the_idle_timeout() {
    with_world(1, async |world| {
        set_idle_timeout(&world, 2, 1_000).await;
        let entry = world.system.entries[0].callers();
        let unrouted = "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n".to_owned();
        let served = format!(
            "POST {SAFE}1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: idle\r\n\
             Content-Length: 4\r\n\r\nbody"
        );
        for request in [
            unrouted.clone(),
            served.clone(),
            unrouted.repeat(3),
            served.repeat(3),
        ] {
            let mut caller = tokio::net::TcpStream::connect(entry)
                .await
                .expect("a connection opens");
            caller
                .write_all(request.as_bytes())
                .await
                .expect("a request is sent");
            let mut answer = Vec::new();
            let ended = tokio::time::timeout(PATIENCE, caller.read_to_end(&mut answer)).await;
            ended.expect("it is closed").expect("without a reset");
            assert!(answer.starts_with(b"HTTP/1.1 "), "{answer:?}");
        }
    });
}

/// Guards against issue 28: the time for the head of a request ran while the response to the one before it
/// was sent, so that the connection ended although the rest of the head was on its way.
#[test]
fn a_head_that_begins_during_a_response_has_its_full_time() {
    with_world(1, async |world| {
        world.behave(&Behaviour {
            events: 35,
            pause: Duration::from_millis(100),
            ..Behaviour::default()
        });
        let entry = world.system.entries[0].callers();
        let mut caller = tokio::net::TcpStream::connect(entry)
            .await
            .expect("a connection opens");
        let first = format!(
            "POST {ONCE}1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: s1\r\nDeadline-Ms: 5000\r\n\
             Content-Length: 0\r\n\r\n"
        );
        caller
            .write_all(first.as_bytes())
            .await
            .expect("a request is sent");
        let mut received = Vec::new();
        read_until(&mut caller, &mut received, b"data: s1-1\n").await;
        caller
            .write_all(b"GET /nowhere HTTP/1.1\r\nHo")
            .await
            .expect("half a head is sent");
        read_until(&mut caller, &mut received, b"\r\n0\r\n\r\n").await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        caller
            .write_all(b"st: h\r\n\r\n")
            .await
            .expect("the rest is sent");
        received.clear();
        read_until(&mut caller, &mut received, b"HTTP/1.1 404").await;
    });
}

/// The time for the head of a request must not go on after a request that is answered at once.
#[test]
fn a_connection_is_kept_after_a_request_that_is_answered_at_once() {
    with_world(1, async |world| {
        let entry = world.system.entries[0].callers();
        let mut caller = tokio::net::TcpStream::connect(entry)
            .await
            .expect("a connection opens");
        for pause in [Duration::ZERO, Duration::from_millis(3_500)] {
            tokio::time::sleep(pause).await;
            caller
                .write_all(b"GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n")
                .await
                .expect("a request is sent");
            let mut received = Vec::new();
            read_until(
                &mut caller,
                &mut received,
                b"no route for this host and path",
            )
            .await;
        }
    });
}

/// Guards against a connection that ends in the middle of the next head, because the time for that head ran
/// from the head before it: both came with the same bytes.
#[test]
fn a_head_that_begins_with_the_bytes_of_the_request_before_has_its_full_time() {
    with_world(1, async |world| {
        world.behave(&Behaviour {
            events: 35,
            pause: Duration::from_millis(100),
            ..Behaviour::default()
        });
        let entry = world.system.entries[0].callers();
        let mut caller = tokio::net::TcpStream::connect(entry)
            .await
            .expect("a connection opens");
        let bytes = format!(
            "POST {ONCE}1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: s1\r\nDeadline-Ms: 5000\r\n\
             Content-Length: 0\r\n\r\nGET /nowhere HTTP/1.1\r\nHo"
        );
        caller
            .write_all(bytes.as_bytes())
            .await
            .expect("a request and half a head are sent");
        let mut received = Vec::new();
        read_until(&mut caller, &mut received, b"\r\n0\r\n\r\n").await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        caller
            .write_all(b"st: h\r\n\r\n")
            .await
            .expect("the rest is sent");
        received.clear();
        read_until(&mut caller, &mut received, b"HTTP/1.1 404").await;
    });
}

/// Reads until these bytes have come.
async fn read_until(caller: &mut tokio::net::TcpStream, received: &mut Vec<u8>, end: &[u8]) {
    let until = tokio::time::Instant::now() + PATIENCE;
    while !received.windows(end.len()).any(|bytes| bytes == end) {
        let read = tokio::time::timeout_at(until, caller.read_buf(received)).await;
        let len = read.expect("bytes come").expect("the connection is open");
        let text = String::from_utf8_lossy(received);
        assert!(len > 0, "the connection ended after: {text}");
    }
}
