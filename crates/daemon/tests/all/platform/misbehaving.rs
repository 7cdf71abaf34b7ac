//! Targets that answer twice, or that send a byte now and then.

use std::{
    io::{
        self,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use http::Method;
use tokio::runtime::Runtime;
use yuccaseam_testing::platform::{
    Behaviour,
    HOST,
    ONCE,
    PlatformSystem,
    PlatformTarget,
    RESUMABLE,
    Reply,
    SAFE,
    expected_events,
    send, //
};

use super::{
    PATIENCE,
    read_request_id,
    with_world, //
};

/// Serves every connection by a function, on a thread of its own.
fn serve_with(serve: fn(TcpStream) -> io::Result<()>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // The entry may close the connection at any time.
            thread::spawn(move || drop(serve(stream)));
        }
    });
    Ok(address)
}

/// Starts a system with one target that is served by a function.
async fn start(serve: fn(TcpStream) -> io::Result<()>) -> (PlatformSystem, PlatformTarget) {
    let system = PlatformSystem::start(3, 3);
    let place = |_| Ok((serve_with(serve)?, ()));
    let target = PlatformTarget::start_behind("odd", "llm", "a1", 8, system.control(), place).await;
    let (target, ()) = target.expect("a target starts");
    assert!(system.put_manifest(1).await, "a manifest is accepted");
    wait_until_ready(&system).await;
    (system, target)
}

/// Waits until the first entry has the manifest, which another instance may have accepted, and knows the
/// target. Before that it refuses every request at once.
async fn wait_until_ready(system: &PlatformSystem) {
    let until = Instant::now() + PATIENCE;
    loop {
        let log = system.entries[0].log();
        let is_known = |line: &str| line.contains("target changed") && line.contains("odd");
        if log.contains("manifest in force") && log.lines().any(is_known) {
            return;
        }
        assert!(
            Instant::now() < until,
            "the first entry is not ready:\n{log}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Answers each request, and sends a second copy of the answer while the connection is idle or in use
/// again.
fn answer_twice(mut stream: TcpStream) -> io::Result<()> {
    let mut previous = None::<String>;
    let mut number = 0;
    while let Some(id) = read_request_id(&mut stream)? {
        let body = format!("answer to {id}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: {}\r\n\
             \r\n{body}",
            body.len()
        );
        // Before the answer that is due, or some time after it.
        if let Some(copy) = previous.take() {
            stream.write_all(copy.as_bytes())?;
        }
        stream.write_all(answer.as_bytes())?;
        number += 1;
        if number % 2 == 0 {
            thread::sleep(Duration::from_millis(3));
            stream.write_all(answer.as_bytes())?;
        } else {
            previous = Some(answer);
        }
    }
    Ok(())
}

/// The second copy of an answer must not reach the next caller on the same connection.
#[test]
fn second_copy_of_an_answer_reaches_no_other_caller() {
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let (system, _target) = start(answer_twice).await;
        let mut whole = 0;
        for number in 0..200 {
            let id = format!("call-{number}");
            let reply = system.call(0, &id, &format!("{SAFE}1")).await;
            let reply = reply.expect("an answer comes");
            if reply.is_whole_success() {
                assert_eq!(reply.body, format!("answer to {id}"));
                whole += 1;
            }
        }
        assert!(whole > 20, "only {whole} of 200 calls answered");
    });
}

/// Begins a stream, and then sends a byte of its first event every 200 ms.
fn dribble(mut stream: TcpStream) -> io::Result<()> {
    let Some(id) = read_request_id(&mut stream)? else {
        return Ok(());
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\
         \r\n"
    );
    stream.write_all(head.as_bytes())?;
    loop {
        stream.write_all(b"1\r\nx\r\n")?;
        thread::sleep(Duration::from_millis(200));
    }
}

async fn stream(entry: SocketAddr, path: &str) -> (io::Result<Reply>, Duration) {
    let headers = [
        ("host", HOST),
        ("request-id", "s1"),
        ("deadline-ms", "5000"),
    ];
    let started = Instant::now();
    let reply = send(
        entry,
        Method::POST,
        &format!("{path}1"),
        &headers,
        "",
        PATIENCE,
    )
    .await;
    (reply, started.elapsed())
}

/// A stalled stream must end long before its caller's deadline, so that it can be resumed elsewhere.
#[test]
fn stream_that_sends_a_byte_now_and_then_is_stalled() {
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let (system, _target) = start(dribble).await;
        let entry = system.entries[0].callers();
        while system
            .call(0, "warm", "/nowhere")
            .await
            .is_ok_and(|reply| reply.status != 404)
        {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let (reply, took) = stream(entry, RESUMABLE).await;
        assert!(!reply.is_ok_and(|reply| reply.is_whole_success()));
        assert!(took < Duration::from_secs(4), "{took:?}");
    });
}

/// A stream with a pause of most of a second between its events is sound.
#[test]
fn slow_but_sound_streams_are_not_cut() {
    with_world(1, async |world| {
        world.behave(&Behaviour {
            events: 4,
            pause: Duration::from_millis(900),
            ..Behaviour::default()
        });
        let entry = world.system.entries[0].callers();
        for path in [ONCE, RESUMABLE] {
            let (reply, _) = stream(entry, path).await;
            let reply = reply.expect("an answer comes");
            assert!(reply.is_whole_success(), "{path}");
            assert_eq!(reply.body, expected_events("s1", 4));
        }
        assert_eq!(world.runs_of("s1"), 2);
    });
}
