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
    HOST,
    PlatformSystem,
    SAFE,
    send, //
};

use super::{
    PATIENCE,
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
