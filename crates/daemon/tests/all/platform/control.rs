//! What targets, operators and metrics collectors call.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use tokio::runtime::Runtime;
use yuccaseam_testing::platform::{
    PlatformSystem,
    SAFE,
    send, //
};

use super::{
    PATIENCE,
    TargetState,
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
