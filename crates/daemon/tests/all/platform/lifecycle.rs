//! Processes that stop, are killed, or lose their disks.

use std::{
    io::{
        self,
        ErrorKind, //
    },
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use assert_matches::assert_matches;
use http::Method;
use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::TcpStream,
    runtime::Runtime, //
};
use yuccaseam_testing::{
    Shape, Shapes, Signal,
    platform::{
        BATCH,
        Behaviour,
        HOST,
        ONCE,
        PlatformSystem,
        Reply,
        SAFE,
        expected_events,
        send, //
    },
};

use super::{
    PATIENCE,
    job, //
    with_world,
};

/// A stream that may run once, as a caller gets it.
async fn stream_once(entry: SocketAddr) -> io::Result<Reply> {
    let headers = [
        ("host", HOST),
        ("request-id", "s1"),
        ("deadline-ms", "5000"),
    ];
    let path = format!("{ONCE}1");
    send(entry, Method::POST, &path, &headers, "", PATIENCE).await
}

/// The leader does not see the load of an entry that follows it through another one.
#[test]
fn an_entry_that_starts_again_follows_the_leader_itself() {
    with_world(1, async |mut world| {
        for entry in &mut world.system.entries {
            entry.kill();
            entry.start();
        }
        assert!(
            world.system.wait_until_serving().await,
            "every entry serves"
        );
        for entry in &world.system.entries {
            let log = entry.log();
            assert!(log.contains(r#""direct":true"#), "{log}");
            assert!(!log.contains(r#""direct":false"#), "{log}");
        }
    });
}

#[test]
fn a_planned_stop_of_an_entry_cuts_off_no_stream() {
    with_world(2, async |mut world| {
        world.behave(&Behaviour {
            events: 100,
            ..Behaviour::default()
        });
        let entry = world.system.entries[0].callers();
        let call = tokio::spawn(stream_once(entry));
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.system.entries[0].signal(Signal::Term);
        let reply = call.await.expect("the call ends").expect("an answer comes");
        assert!(reply.is_whole_success());
        assert_eq!(reply.body, expected_events("s1", 100));
        let until = Instant::now() + PATIENCE;
        while world.system.entries[0].is_running() {
            assert!(Instant::now() < until, "the entry does not end");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// The stores note targets in the log. Entries must hear of all of these from a leader that has just
/// begun, not only of those that announce something new.
#[test]
fn after_all_processes_were_killed_every_target_takes_work_again() {
    with_world(3, async |mut world| {
        world.system.end_first_start();
        tokio::time::sleep(Duration::from_millis(800)).await;
        let system = &mut world.system;
        for instance in system.stores.iter_mut().chain(&mut system.entries) {
            instance.kill();
        }
        for instance in system.stores.iter_mut().chain(&mut system.entries) {
            instance.start();
        }
        assert!(
            world.system.wait_until_serving().await,
            "every entry serves"
        );
        for entry in 0..3 {
            // The 24 calls take all slots. Those of other entries count until the leader has told of
            // their end, for longer than a first attempt waits for a slot.
            world.wait_until_others_are_idle(entry).await;
            let before: Vec<_> = world
                .targets
                .iter()
                .map(|target| target.runs().len())
                .collect();
            world.behave(&Behaviour {
                pause: Duration::from_millis(400),
                ..Behaviour::default()
            });
            let calls = (0..24).map(|number| {
                let to = world.system.entries[entry].callers();
                tokio::spawn(async move {
                    let id = format!("e{entry}-{number}");
                    let headers = [("host", HOST), ("request-id", id.as_str())];
                    send(
                        to,
                        Method::POST,
                        &format!("{SAFE}1"),
                        &headers,
                        "",
                        PATIENCE,
                    )
                    .await
                })
            });
            for call in calls.collect::<Vec<_>>() {
                let reply = call.await.expect("the call ends").expect("an answer comes");
                let log = || world.system.entries[entry].log();
                assert_eq!(reply.status, 200, "entry {entry}: {reply:?}\n{}", log());
            }
            for (target, before) in world.targets.iter().zip(before) {
                assert!(
                    target.runs().len() > before,
                    "entry {entry} misses a target"
                );
            }
        }
    });
}

/// What an entry accepts late in a planned stop it could only cut off.
#[test]
fn an_entry_that_stops_takes_nothing_that_it_cannot_finish() {
    with_world(2, async |mut world| {
        world.behave(&Behaviour {
            events: 105,
            pause: Duration::from_millis(40),
            ..Behaviour::default()
        });
        let entry = world.system.entries[0].callers();
        let long = tokio::spawn(stream_once(entry));
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.system.entries[0].signal(Signal::Term);
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        assert!(
            world.system.entries[0].is_running(),
            "the long stream still runs"
        );
        let late = TcpStream::connect(entry).await;
        assert_matches!(late, Err(error) if error.kind() == ErrorKind::ConnectionRefused);
        let reply = long.await.expect("the call ends").expect("an answer comes");
        assert!(reply.is_whole_success());
    });
}

/// Guards against a request that is passed on late in a planned stop and cut off at its end, although it may
/// not be repeated: its body was read while the entry waited for its last requests.
#[test]
fn request_that_is_read_late_in_a_planned_stop_is_refused_and_not_run() {
    with_world(2, async |mut world| {
        world.behave(&Behaviour {
            events: 105,
            pause: Duration::from_millis(40),
            ..Behaviour::default()
        });
        let entry = world.system.entries[0].callers();
        let mut caller = TcpStream::connect(entry).await.expect("a connection opens");
        let head = format!(
            "POST {ONCE}1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: late\r\nDeadline-Ms: 5000\r\n\
             Content-Length: 2\r\n\r\nh"
        );
        let sent = caller.write_all(head.as_bytes()).await;
        sent.expect("half a request is sent");
        tokio::time::sleep(Duration::from_millis(100)).await;
        world.system.entries[0].signal(Signal::Term);
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        caller.write_all(b"i").await.expect("the rest is sent");
        let mut reply = String::new();
        let read = caller.read_to_string(&mut reply);
        let read = tokio::time::timeout(PATIENCE, read).await;
        let read = read.expect("the connection ends");
        assert!(reply.starts_with("HTTP/1.1 503"), "{read:?}: {reply}");
        assert!(reply.contains("retry-after"), "{reply}");
        assert_eq!(world.runs_of("late"), 0);
    });
}

#[test]
fn a_store_that_lost_its_disk_joins_again_and_nothing_is_lost() {
    with_world(2, async |mut world| {
        world.system.end_first_start();
        let path = format!("{BATCH}j1");
        let reply = world
            .batch(0, Method::POST, &path, "j1", &job("j1", 4))
            .await;
        assert_eq!(reply.status, 202);
        for store in 0..3 {
            world.system.stores[store].kill();
            world.system.wipe(store);
            world.system.stores[store].start();
            // Until it votes again, another loss would be one too many.
            let until = Instant::now() + PATIENCE;
            while !world.votes_again(store) {
                assert!(
                    Instant::now() < until,
                    "store {store} does not join again:\n{}",
                    world.store_logs()
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
        let page = world.results(1, "j1", 4).await;
        assert_eq!(page["results"].as_array().map(Vec::len), Some(4));
    });
}

/// An entry that reaches no store still reaches other entries: a manifest must not be older there.
#[test]
fn an_entry_that_is_cut_off_from_the_stores_hears_of_manifests_through_another() {
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let system = PlatformSystem::start_behind_relays(3, 3);
        assert!(system.put_manifest(1).await, "a manifest is accepted");
        let cut = Shape {
            cut: true,
            ..Shape::default()
        };
        let shape = |shape| {
            for store in 3..6 {
                for relay in [system.relay(0, store), system.relay(store, 0)] {
                    relay.set(Shapes {
                        forward: shape,
                        backward: shape,
                    });
                }
            }
        };
        let wait_for_line = async |parts: [&str; 2]| {
            let until = Instant::now() + PATIENCE;
            while !system.entries[0]
                .log()
                .lines()
                .any(|line| parts.iter().all(|part| line.contains(part)))
            {
                assert!(Instant::now() < until, "{}", system.entries[0].log());
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        wait_for_line(["manifest in force", r#""version":1"#]).await;
        shape(cut);
        wait_for_line(["following the leader", r#""direct":false"#]).await;
        let to = system.entries[1].control();
        // A change may be refused while a leader is elected, and is then sent again.
        let until = Instant::now() + PATIENCE;
        while !PlatformSystem::put_manifest_at(to, 2).await {
            assert!(Instant::now() < until, "the manifest is not accepted");
        }
        wait_for_line(["manifest in force", r#""version":2"#]).await;
        shape(Shape::default());
        wait_for_line(["leader connection lost", "a direct connection is available"]).await;
    });
}
