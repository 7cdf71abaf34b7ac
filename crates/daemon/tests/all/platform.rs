//! Entries and stores as processes with the platform's settings, against stand-ins that speak its
//! protocol. Each system has a loopback network of its own.

use std::{
    future::Future,
    io::ErrorKind,
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
    runtime::Runtime, //
};
use yuccaseam_testing::{
    Signal,
    platform::{
        BATCH,
        Behaviour,
        HOST,
        ONCE,
        PlatformSystem,
        PlatformTarget,
        RESUMABLE,
        Reply,
        SAFE,
        expected_events,
        expected_text,
        send, //
    },
};

const PATIENCE: Duration = Duration::from_secs(10);

struct World {
    system: PlatformSystem,
    targets: Vec<PlatformTarget>,
}

/// Runs a test against a system of three entries and three stores that serves.
fn with_world<F, T>(number: u8, targets: usize, test: F)
where
    F: FnOnce(World) -> T,
    T: Future<Output = ()>,
{
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let system = PlatformSystem::start(number, 3, 3);
        let mut started = Vec::new();
        for at in 0..targets {
            let domain = ["a1", "a2", "b1"][at % 3];
            let name = format!("engine-{at}");
            let target = PlatformTarget::start(&name, "llm", domain, 8, system.control()).await;
            started.push(target.expect("a target starts"));
        }
        assert!(
            system.put_manifest(1).await,
            "the first manifest is accepted"
        );
        assert!(system.wait_until_serving().await, "every entry serves");
        test(World {
            system,
            targets: started,
        })
        .await;
    });
}

impl World {
    fn behave(&self, behaviour: &Behaviour) {
        for target in &self.targets {
            target.behave(behaviour.clone());
        }
    }

    fn store_logs(&self) -> String {
        let logs = self.system.stores.iter().map(|store| store.log());
        logs.collect::<Vec<_>>().join("\n")
    }

    /// Whether the disk with which a store started for the second time is one of three voters.
    fn votes_again(&self, store: usize) -> bool {
        let log = self.system.stores[store].log();
        if log.matches("the replica has started").count() < 2 {
            return false;
        }
        let disk = field(&log, "the replica has started", "disk");
        let groups = self.system.stores.iter().filter_map(|store| {
            let log = store.log();
            field(&log, "the group has changed", "voters")
        });
        disk.is_some_and(|disk| {
            let mut groups = groups;
            groups.any(|voters| voters.split(',').count() == 3 && voters.contains(&disk))
        })
    }

    /// How often a request ran.
    fn runs_of(&self, id: &str) -> usize {
        let runs = self.targets.iter().flat_map(PlatformTarget::runs);
        runs.filter(|run| run.id == id).count()
    }

    async fn batch(&self, entry: usize, method: Method, path: &str, id: &str, body: &str) -> Reply {
        let headers = [("host", HOST), ("request-id", id), ("wait-ms", "500")];
        let to = self.system.entries[entry].callers();
        let sent = send(to, method, path, &headers, body, PATIENCE).await;
        sent.expect("an answer comes")
    }

    /// Reads a job from the start until all of its results are there.
    async fn results(&self, entry: usize, job: &str, count: usize) -> serde_json::Value {
        let until = Instant::now() + PATIENCE;
        loop {
            let path = format!("/lots/{job}?after=0");
            let reply = self.batch(entry, Method::GET, &path, "-", "").await;
            if reply.status == 200 {
                let page: serde_json::Value =
                    serde_json::from_str(&reply.body).expect("a page is JSON");
                if page["next"] == count {
                    return page;
                }
            }
            assert!(
                Instant::now() < until,
                "results are missing: {}\n{}",
                reply.body,
                self.store_logs()
            );
        }
    }
}

/// A field of the last line of a log with this message.
fn field(log: &str, message: &str, name: &str) -> Option<String> {
    let lines = log.lines().rev();
    let mut lines = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let line = lines.find(|line| line["message"] == message)?;
    line[name].as_str().map(str::to_owned)
}

fn job(id: &str, items: usize) -> String {
    let items: Vec<_> = (0..items)
        .map(|at| format!(r#"{{"id":"{id}-{at}","path":"{BATCH}{at}","body":"aGk=","tokens":10}}"#))
        .collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}

/// The leader does not see the load of an entry that follows it through another one.
#[test]
fn an_entry_that_starts_again_follows_the_leader_itself() {
    with_world(17, 1, async |mut world| {
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
fn requests_streams_and_unknown_routes_are_answered() {
    with_world(1, 3, async |world| {
        let reply = world.system.call(0, "q1", &format!("{SAFE}1")).await;
        let reply = reply.expect("an answer comes");
        assert_eq!(reply.body, "answer to q1");
        assert!(reply.headers.contains_key("response-signature"));

        let reply = world.system.call(1, "s1", &format!("{ONCE}1")).await;
        let reply = reply.expect("an answer comes");
        assert!(reply.is_whole_success());
        assert_eq!(reply.body, expected_events("s1", 5));
        let runs = world.targets.iter().flat_map(PlatformTarget::runs);
        let run = runs.into_iter().find(|run| run.id == "s1").expect("it ran");
        assert!(run.time_left.is_some_and(|left| left <= 5_000));

        let reply = world.system.call(2, "x1", "/nowhere/1").await;
        assert_eq!(reply.expect("an answer comes").status, 404);
    });
}

#[test]
fn a_stream_that_may_not_be_resumed_runs_once_and_never_looks_complete() {
    with_world(2, 3, async |world| {
        world.behave(&Behaviour {
            breaks_after: Some(2),
            ..Behaviour::default()
        });
        let reply = world.system.call(0, "s1", &format!("{ONCE}1")).await;
        let reply = reply.expect("the head comes");
        assert!(!reply.complete);
        assert_eq!(reply.body, expected_events("s1", 2));
        assert_eq!(world.runs_of("s1"), 1);
    });
}

#[test]
fn a_stream_that_may_be_resumed_goes_on_elsewhere() {
    with_world(3, 3, async |world| {
        world.behave(&Behaviour {
            breaks_after: Some(2),
            ..Behaviour::default()
        });
        let reply = world.system.call(0, "s1", &format!("{RESUMABLE}1")).await;
        let reply = reply.expect("an answer comes");
        assert!(reply.is_whole_success(), "{reply:?}");
        assert_eq!(reply.body, expected_events("s1", 5));
        assert_eq!(world.runs_of("s1"), 3);
    });
}

#[test]
fn a_refusal_is_true_and_says_when_to_come_back() {
    with_world(4, 2, async |world| {
        world.behave(&Behaviour {
            rejects: true,
            ..Behaviour::default()
        });
        let before = Instant::now();
        let reply = world.system.call(0, "s1", &format!("{ONCE}1")).await;
        let reply = reply.expect("an answer comes");
        assert_eq!(reply.status, 503);
        assert!(reply.headers.contains_key("retry-after"));
        assert!(before.elapsed() < Duration::from_secs(1));
        world.behave(&Behaviour::default());
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(world.runs_of("s1"), 0);
    });
}

#[test]
fn a_caller_that_leaves_frees_its_target() {
    with_world(5, 1, async |world| {
        world.behave(&Behaviour {
            events: 500,
            ..Behaviour::default()
        });
        let path = format!("{ONCE}1");
        let call = world.system.call(0, "s1", &path);
        let left = tokio::time::timeout(Duration::from_millis(300), call).await;
        assert!(left.is_err(), "the stream goes on for seconds");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(world.targets[0].running().is_empty());
    });
}

#[test]
fn a_job_is_accepted_once_and_outlives_its_leader() {
    with_world(6, 3, async |mut world| {
        world.system.end_first_start();
        let path = format!("{BATCH}j1");
        let reply = world
            .batch(0, Method::POST, &path, "j1", &job("j1", 12))
            .await;
        assert_eq!(reply.status, 202);
        let reply = world
            .batch(1, Method::POST, &path, "j1", &job("j1", 12))
            .await;
        assert_eq!(reply.status, 202, "a job that is sent again");
        for store in 0..3 {
            world.system.stores[store].kill();
            world.system.stores[store].start();
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        let page = world.results(2, "j1", 12).await;
        assert_eq!(page["total"], 12);
        for result in page["results"].as_array().expect("a list") {
            let id = result["id"].as_str().expect("an id");
            assert_eq!(result["state"], "completed");
            assert_eq!(result["text"], expected_text(id, 5), "{id}");
        }
        let again = world.results(0, "j1", 12).await;
        assert_eq!(again, page, "results keep their positions");
    });
}

#[test]
fn a_poisoned_item_ends_and_an_ended_job_stops() {
    with_world(7, 2, async |world| {
        world.behave(&Behaviour {
            poisoned: Some("/1"),
            events: 20,
            ..Behaviour::default()
        });
        let path = format!("{BATCH}j1");
        let reply = world
            .batch(0, Method::POST, &path, "j1", &job("j1", 3))
            .await;
        assert_eq!(reply.status, 202);
        let page = world.results(0, "j1", 3).await;
        let errored: Vec<_> = page["results"]
            .as_array()
            .expect("a list")
            .iter()
            .filter(|result| result["state"] == "errored")
            .map(|result| result["id"].clone())
            .collect();
        assert_eq!(errored, ["j1-1"]);
        assert_eq!(world.runs_of("j1-1"), 3, "as often as the route allows");

        world.behave(&Behaviour {
            events: 2_000,
            ..Behaviour::default()
        });
        let reply = world
            .batch(0, Method::POST, &format!("{BATCH}j2"), "j2", &job("j2", 2))
            .await;
        assert_eq!(reply.status, 202);
        let reply = world
            .batch(1, Method::GET, "/items/j2?id=j2-0", "-", "")
            .await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "hi"));
        let reply = world.batch(1, Method::DELETE, "/lots/j2", "-", "").await;
        assert_eq!(reply.status, 200);
        let until = Instant::now() + Duration::from_secs(3);
        while world
            .targets
            .iter()
            .any(|target| !target.running().is_empty())
        {
            assert!(Instant::now() < until, "items of an ended job still run");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn manifests_never_go_back_and_invalid_ones_are_refused() {
    with_world(8, 1, async |world| {
        let put = async |body: &str| {
            let to = world.system.entries[1].control();
            let headers = [("host", "control")];
            let sent = send(
                to,
                Method::POST,
                "/Config.Replace",
                &headers,
                body,
                PATIENCE,
            )
            .await;
            sent.expect("an answer comes").status
        };
        assert_eq!(put(&PlatformSystem::manifest(9)).await, 200);
        assert_eq!(
            put(&PlatformSystem::manifest(5)).await,
            200,
            "older: acknowledged"
        );
        assert_eq!(
            put(&PlatformSystem::manifest(10)[..200]).await,
            400,
            "cut short"
        );
        let no_timeout = PlatformSystem::manifest(11).replace("5000", "0");
        assert_eq!(put(&no_timeout).await, 400);
        for entry in &world.system.entries {
            let headers = [("host", "control")];
            let read = send(
                entry.control(),
                Method::GET,
                "/Config.Get",
                &headers,
                "",
                PATIENCE,
            );
            let reply = read.await.expect("an answer comes");
            assert_eq!(reply.status, 200);
            assert_eq!(reply.body, PlatformSystem::manifest(9));
        }
    });
}

#[test]
fn a_target_that_drains_gets_nothing_new() {
    with_world(9, 2, async |world| {
        world.targets[0].drain();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let before = world.targets[0].runs().len();
        for number in 0..20 {
            let id = format!("q{number}");
            let reply = world
                .system
                .call(number % 3, &id, &format!("{SAFE}1"))
                .await;
            assert_eq!(reply.expect("an answer comes").status, 200);
        }
        assert_eq!(world.targets[0].runs().len(), before);
    });
}

#[test]
fn a_planned_stop_of_an_entry_cuts_off_no_stream() {
    with_world(10, 2, async |mut world| {
        world.behave(&Behaviour {
            events: 100,
            ..Behaviour::default()
        });
        let entry = world.system.entries[0].callers();
        let call = tokio::spawn(async move {
            let headers = [
                ("host", HOST),
                ("request-id", "s1"),
                ("deadline-ms", "5000"),
            ];
            send(
                entry,
                Method::POST,
                &format!("{ONCE}1"),
                &headers,
                "",
                PATIENCE,
            )
            .await
        });
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
    with_world(16, 3, async |mut world| {
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
                assert_eq!(reply.status, 200, "entry {entry}");
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

/// Callers that send half a head must not be held for ever, and idle ones not be closed.
#[test]
fn half_a_head_is_given_up_and_an_idle_connection_is_kept() {
    with_world(13, 1, async |world| {
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
    with_world(18, 1, async |world| {
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
    with_world(19, 1, async |world| {
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
    with_world(14, 1, async |world| {
        let entry = world.system.entries[0].callers();
        let large = "x".repeat(100_000);
        let headers = [("host", HOST), ("x-large", large.as_str())];
        let sent = send(entry, Method::GET, "/safe/1", &headers, "", PATIENCE).await;
        assert!(sent.is_err() || sent.is_ok_and(|reply| reply.status == 431));
    });
}

#[test]
fn metrics_are_served() {
    with_world(15, 1, async |world| {
        let to = world.system.entries[0].metrics();
        let reply = send(to, Method::GET, "/metrics", &[("host", "m")], "", PATIENCE).await;
        let text = reply.expect("an answer comes").body;
        assert!(text.contains("yuccaseam_answers_total"), "{text}");
    });
}

/// What an entry accepts late in a planned stop it could only cut off.
#[test]
fn an_entry_that_stops_takes_nothing_that_it_cannot_finish() {
    with_world(12, 2, async |mut world| {
        world.behave(&Behaviour {
            events: 105,
            pause: Duration::from_millis(40),
            ..Behaviour::default()
        });
        let entry = world.system.entries[0].callers();
        let long = tokio::spawn(async move {
            let headers = [
                ("host", HOST),
                ("request-id", "s1"),
                ("deadline-ms", "5000"),
            ];
            send(
                entry,
                Method::POST,
                &format!("{ONCE}1"),
                &headers,
                "",
                PATIENCE,
            )
            .await
        });
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.system.entries[0].signal(Signal::Term);
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        assert!(
            world.system.entries[0].is_running(),
            "the long stream still runs"
        );
        let late = tokio::net::TcpStream::connect(entry).await;
        assert_matches!(late, Err(error) if error.kind() == ErrorKind::ConnectionRefused);
        let reply = long.await.expect("the call ends").expect("an answer comes");
        assert!(reply.is_whole_success());
    });
}

#[test]
fn a_store_that_lost_its_disk_joins_again_and_nothing_is_lost() {
    with_world(11, 2, async |mut world| {
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
