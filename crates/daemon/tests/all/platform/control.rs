//! What targets, operators and metrics collectors call.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use tokio::runtime::Runtime;
use yuccaseam_base::cases;
use yuccaseam_testing::platform::{
    BATCH,
    Behaviour,
    HOST,
    ONCE,
    PlatformSystem,
    RESUMABLE,
    SAFE,
    send, //
};

use super::{
    PATIENCE,
    TargetState,
    World,
    job,
    with_world, //
};

/// Time after an answered notice from which no request may reach the target: `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_500);

#[test]
fn manifests_never_go_back_and_invalid_ones_are_refused() {
    with_world(1, async |world| {
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
    with_world(2, async |world| {
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
fn metrics_are_served() {
    with_world(1, async |world| {
        let to = world.system.entries[0].metrics();
        let reply = send(to, Method::GET, "/metrics", &[("host", "m")], "", PATIENCE).await;
        let text = reply.expect("an answer comes").body;
        assert!(text.contains("yuccaseam_answers_total"), "{text}");
    });
}

/// A target that says that it leaves, without having said before that it drains, gets nothing new once the
/// entries know of it, which they do within the time that the platform allows.
#[test]
fn a_target_that_leaves_gets_nothing_new() {
    with_world(2, async |world| {
        for target in ["engine-0", "engine-1"] {
            world
                .wait_until_entries_know(target, TargetState::Announced, PATIENCE)
                .await;
        }
        let to = world.system.entries[1].control();
        let path = "/Instances.Deregister/engine-0";
        let sent = send(to, Method::POST, path, &[("host", "control")], "", PATIENCE).await;
        assert_eq!(sent.expect("an answer comes").status, 200);
        world
            .wait_until_entries_know("engine-0", TargetState::Left, DRAIN)
            .await;
        for number in 0..12 {
            let id = format!("after-{number}");
            let reply = world.system.call(number % 3, &id, SAFE).await;
            assert_eq!(reply.expect("an answer comes").status, 200);
        }
        tokio::time::sleep(DRAIN).await;
        for number in 12..24 {
            let id = format!("after-{number}");
            let reply = world.system.call(number % 3, &id, SAFE).await;
            assert_eq!(reply.expect("an answer comes").status, 200);
        }
        let runs = world.targets[0].runs();
        assert!(runs.iter().all(|run| !run.id.starts_with("after-")));
    });
}

/// Guards against a call of an earlier start of a target that arrives late, and keeps the next start from all work.
#[test]
fn late_departure_of_an_earlier_start_is_ignored() {
    with_world(1, async |world| {
        world
            .wait_until_entries_know("engine-0", TargetState::Announced, PATIENCE)
            .await;
        let to = world.system.entries[1].control();
        let path = "/Instances.Deregister/engine-0";
        let body = r#"{"born":1}"#;
        let sent = send(
            to,
            Method::POST,
            path,
            &[("host", "control")],
            body,
            PATIENCE,
        )
        .await;
        assert_eq!(sent.expect("an answer comes").status, 200);
        tokio::time::sleep(DRAIN).await;
        for number in 0..6 {
            let id = format!("after-{number}");
            let reply = world.system.call(number % 3, &id, SAFE).await;
            assert_eq!(reply.expect("an answer comes").status, 200);
        }
    });
}

/// A store can be emptied if enough others remain, and then belongs to no group any more.
#[test]
fn a_store_is_emptied_unless_too_few_would_remain() {
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        for (stores, expected) in [(3, 409), (4, 200)] {
            let system = PlatformSystem::start(3, stores);
            assert!(system.put_manifest(1).await, "a manifest is accepted");
            let to = system.entries[0].control();
            let call = async |method, path: &str| {
                let body = r#"{"duration_s":10}"#;
                let sent = send(to, method, path, &[("host", "control")], body, PATIENCE).await;
                sent.expect("an answer comes")
            };
            let reply = call(Method::POST, "/Retire.Start/nowhere").await;
            assert_eq!(reply.status, 404);
            let reply = call(Method::POST, "/Retire.Start/store-3").await;
            assert_eq!(reply.status, expected, "{}", reply.body);
            if expected != 200 {
                continue;
            }
            let until = Instant::now() + PATIENCE;
            loop {
                let reply = call(Method::GET, "/Retire.Get/store-3").await;
                if reply.body.contains("completed") {
                    break;
                }
                assert!(Instant::now() < until, "{}", reply.body);
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    });
}

/// The target that says in its answers that it leaves.
const LEAVING: usize = 0;
/// Time within which an instance tells the others of a target that leaves.
const PROPAGATION: Duration = Duration::from_millis(1_500);

impl World {
    /// Lets the first target answer a request of the first entry once with a behaviour, and say that it
    /// leaves. It goes on to announce itself as ready, and its later answers do not say that it leaves.
    async fn leave_once(&self, path: &str, behaviour: Behaviour) {
        self.targets[LEAVING].behave(Behaviour {
            leaving: true,
            ..behaviour
        });
        let until = Instant::now() + PATIENCE;
        for number in 0.. {
            let reply = self.system.call(0, &format!("told-{number}"), path).await;
            let reply = reply.expect("an answer comes");
            if reply.headers.contains_key("server-leaving") || self.has_heard_of_drain(0) {
                break;
            }
            assert!(Instant::now() < until, "the target gets no request");
        }
        self.targets[LEAVING].behave(Behaviour::default());
    }

    fn has_heard_of_drain(&self, entry: usize) -> bool {
        let log = self.system.entries[entry].log();
        log.contains("target drains, as its response says")
    }

    /// Sends requests of all kinds to an entry, and returns how many of them reached the first target.
    async fn sent_to_leaving(&self, entry: usize, id: &str) -> usize {
        for number in 0..12 {
            let path = [SAFE, ONCE, RESUMABLE][number % 3];
            let id = format!("{id}-{number}");
            // Without another target that is free, the request is refused.
            let reply = self.system.call(entry, &id, path).await;
            reply.expect("an answer comes");
        }
        let runs = self.targets[LEAVING].runs();
        let prefix = format!("{id}-");
        runs.iter()
            .filter(|run| run.id.starts_with(&prefix))
            .count()
    }
}

/// Guards against new requests for a target whose answers say that it leaves, while it still announces
/// itself as ready.
fn nothing_follows_an_answer_of_a_leaving_target(path: &str, behaviour: Behaviour) {
    with_world(2, async |world| {
        world.leave_once(path, behaviour).await;
        assert_eq!(world.sent_to_leaving(0, "after").await, 0);
        tokio::time::sleep(PROPAGATION).await;
        for entry in 0..3 {
            let id = format!("later{entry}");
            assert_eq!(world.sent_to_leaving(entry, &id).await, 0, "entry {entry}");
        }
    });
}

cases! { nothing_follows_an_answer_of_a_leaving_target:
    nothing_follows_a_success_of_a_leaving_target(SAFE, Behaviour::default());
    nothing_follows_a_stream_of_a_leaving_target(ONCE, Behaviour::default());
    nothing_follows_a_broken_stream_of_a_leaving_target(RESUMABLE, Behaviour {
        breaks_after: Some(2),
        ..Behaviour::default()
    });
    nothing_follows_an_error_of_a_leaving_target("/once/error", Behaviour {
        poisoned: Some("/error"),
        ..Behaviour::default()
    });
    nothing_follows_a_rejection_of_a_leaving_target(SAFE, Behaviour {
        rejects: true,
        ..Behaviour::default()
    });
}

/// Guards against new requests for a leaving target from an entry that cannot tell the leader, and
/// after the next leader, which has not heard of it, has sent its targets.
#[test]
fn leaving_target_gets_nothing_from_an_entry_without_a_leader() {
    with_world(2, async |mut world| {
        for store in &mut world.system.stores {
            store.kill();
        }
        world.leave_once(SAFE, Behaviour::default()).await;
        assert_eq!(world.sent_to_leaving(0, "alone").await, 0);
        world.system.end_first_start();
        for store in &mut world.system.stores {
            store.start();
        }
        let until = Instant::now() + PATIENCE;
        while !world.system.put_manifest(2).await {
            assert!(Instant::now() < until, "{}", world.store_logs());
        }
        tokio::time::sleep(PROPAGATION).await;
        for entry in 0..3 {
            let id = format!("led{entry}");
            assert_eq!(world.sent_to_leaving(entry, &id).await, 0, "entry {entry}");
        }
    });
}

/// Guards against the use of a leaving target as a last resort, when all others are full.
#[test]
fn leaving_target_gets_nothing_while_all_others_are_full() {
    with_world(2, async |world| {
        world.leave_once(SAFE, Behaviour::default()).await;
        world.targets[1].behave(Behaviour {
            events: 30,
            pause: Duration::from_millis(100),
            ..Behaviour::default()
        });
        let entry = world.system.entries[0].callers();
        for number in 0..10 {
            tokio::spawn(async move {
                let id = format!("long-{number}");
                let headers = [("host", HOST), ("request-id", id.as_str())];
                send(entry, Method::POST, ONCE, &headers, "", PATIENCE).await
            });
        }
        let until = Instant::now() + PATIENCE;
        while world.targets[1].running().len() < 8 {
            assert!(Instant::now() < until, "the other target is not full");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(world.sent_to_leaving(0, "full").await, 0);
        assert_eq!(world.sent_to_leaving(0, "long").await, 0);
    });
}

/// Guards against batch items for a target that answered one with a note that it leaves.
#[test]
fn leaving_target_gets_no_further_items() {
    with_world(2, async |world| {
        let items = || {
            let runs = world.targets[LEAVING].runs();
            runs.iter()
                .filter(|run| run.path.starts_with(BATCH))
                .count()
        };
        world.targets[LEAVING].behave(Behaviour {
            leaving: true,
            ..Behaviour::default()
        });
        let until = Instant::now() + PATIENCE;
        for number in 0.. {
            let id = format!("first{number}");
            let reply = world.batch(0, Method::POST, BATCH, &id, &job(&id, 2)).await;
            assert_eq!(reply.status, 202);
            world.results(0, &id, 2).await;
            if items() > 0 {
                break;
            }
            assert!(Instant::now() < until, "the target gets no item");
        }
        world.targets[LEAVING].behave(Behaviour::default());
        let before = items();
        let second = job("second", 12);
        let reply = world.batch(1, Method::POST, BATCH, "second", &second).await;
        assert_eq!(reply.status, 202);
        world.results(1, "second", 12).await;
        assert_eq!(items(), before);
    });
}

/// A target that has started again at the address of one that left is used.
#[test]
fn target_that_starts_again_after_it_left_is_used() {
    with_world(1, async |world| {
        world.leave_once(SAFE, Behaviour::default()).await;
        assert_eq!(world.sent_to_leaving(0, "after").await, 0);
        world.targets[LEAVING].behave(Behaviour {
            crashing_parts: &["dead"],
            ..Behaviour::default()
        });
        let to = world.targets[LEAVING].address();
        let headers = [("request-id", "direct"), ("prompt-prefix", "dead:1,1:1")];
        // The target crashes in place of an answer.
        drop(send(to, Method::POST, ONCE, &headers, "", PATIENCE).await);
        let until = Instant::now() + PATIENCE;
        while world.sent_to_leaving(0, "again").await == 0 {
            assert!(Instant::now() < until, "the new start gets no request");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
}
