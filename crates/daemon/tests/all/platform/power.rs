//! All processes lose power at once, and one store its disk.

use std::time::{
    Duration,
    Instant, //
};

use futures_util::future::join_all;
use http::Method;
use yuccaseam_base::cases;
use yuccaseam_testing::platform::{
    BATCH,
    PlatformSystem,
    PlatformTarget,
    SAFE,
    expected_text,
    send, //
};

use super::{
    PATIENCE,
    TargetState,
    World,
    job,
    leader,
    with_world, //
};

/// Time after the start of all processes within which requests are served (`recovery_s` of the platform).
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after its departure was acknowledged from which on nothing reaches a target (`drain_ms` of the platform).
const DRAIN: Duration = Duration::from_millis(2_500);
/// Requests at each entry at the same moment: a target takes eight.
const AT_ONCE: usize = 6;
/// Version of the manifest that is accepted last.
const VERSION: u64 = 3;

/// Guards against an outage, and the loss of what was accepted, if a disk is lost together with the power of
/// all processes, entries included.
fn disk_and_power(pick: fn(usize) -> usize) {
    with_world(3, async |mut world| {
        world.system.end_first_start();
        let accept = async |id: &str, items: usize| {
            let path = format!("{BATCH}{id}");
            let body = job(id, items);
            let reply = world.batch(0, Method::POST, &path, id, &body).await;
            assert_eq!(reply.status, 202);
        };
        accept("j1", 6).await;
        let before = world.results(1, "j1", 6).await;
        accept("j2", 24).await;
        assert!(
            PlatformSystem::put_manifest_at(world.system.entries[0].control(), VERSION).await,
            "the manifest is accepted"
        );
        let lost = pick(leader(&world));
        let system = &mut world.system;
        for instance in system.stores.iter_mut().chain(&mut system.entries) {
            instance.kill();
        }
        system.wipe(lost);
        let started_at = Instant::now();
        for instance in system.stores.iter_mut().chain(&mut system.entries) {
            instance.start();
        }
        for entry in 0..world.system.entries.len() {
            while !is_serving(&world, entry).await {
                assert!(
                    started_at.elapsed() < RECOVERY,
                    "entry {entry} does not serve:\n{}",
                    world.store_logs()
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        assert_eq!(world.results(2, "j1", 6).await, before);
        let page = world.results(1, "j2", 24).await;
        for result in page["results"].as_array().expect("a list") {
            let id = result["id"].as_str().expect("an id");
            assert_eq!(result["text"], expected_text(id, 5), "{id}");
        }
    });
}

/// Guards against a target that left, as was acknowledged, and gets items again after all stores have lost power.
#[test]
fn acknowledged_departure_survives_the_power_of_all_stores() {
    with_world(2, async |mut world| {
        world.system.end_first_start();
        for target in ["engine-0", "engine-1"] {
            world
                .wait_until_entries_know(target, TargetState::Announced, PATIENCE)
                .await;
        }
        // Longer than the stores take to record that the target is there.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let leaving = &world.targets[0];
        leaving.stop_announcing();
        let to = world.system.entries[0].control();
        let path = "/Instances.Deregister/engine-0";
        let sent = send(to, Method::POST, path, &[("host", "control")], "", PATIENCE).await;
        assert_eq!(sent.expect("an answer comes").status, 200);
        for store in &mut world.system.stores {
            store.kill();
        }
        for store in &mut world.system.stores {
            store.start();
        }
        tokio::time::sleep(DRAIN).await;
        assert!(
            world.system.wait_until_serving().await,
            "every entry serves"
        );
        let body = job("late", 24);
        let path = format!("{BATCH}late");
        let until = Instant::now() + RECOVERY;
        while world
            .batch(0, Method::POST, &path, "late", &body)
            .await
            .status
            != 202
        {
            assert!(Instant::now() < until, "no job is accepted");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        world.results(1, "late", 24).await;
        let runs = world.targets[0].runs();
        let late = runs.iter().filter(|run| run.id.starts_with("late")).count();
        assert_eq!(late, 0, "items reached the target that has left");
    });
}

/// A message of a target about itself, as sent to one entry. Returns the status of the answer.
async fn report(world: &World, entry: usize, call: &str, body: &str) -> u16 {
    let to = world.system.entries[entry].control();
    let path = format!("/Instances.{call}/guest");
    let headers = [("host", "control"), ("content-type", "application/json")];
    let sent = send(to, Method::POST, &path, &headers, body, PATIENCE).await;
    sent.expect("an answer comes").status
}

/// Guards against a target that left, as was acknowledged, and gets requests again because a late announcement of it
/// arrives after a kill of all stores.
#[test]
fn late_announcement_of_a_departed_target_is_stale_after_a_kill_of_all_stores() {
    with_world(1, async |mut world| {
        world.system.end_first_start();
        // It announces itself only by hand.
        let guest = PlatformTarget::start("guest", "llm", "a1", 8, Vec::new()).await;
        let guest = guest.expect("a target starts");
        let announcement = |born: u64, number: u64| {
            format!(
                r#"{{"service":"llm","address":"{}","zone":"a1","version":"v1","slots":8,"state":"ready",
                    "cold_remaining_ms":0,"sequence":{number},"born":{born}}}"#,
                guest.address()
            )
        };
        assert_eq!(
            report(&world, 0, "Heartbeat", &announcement(1_000, 5)).await,
            200
        );
        world
            .wait_until_entries_know("guest", TargetState::Announced, PATIENCE)
            .await;
        assert_eq!(
            report(&world, 0, "Deregister", r#"{"born":1000}"#).await,
            200
        );
        for store in &mut world.system.stores {
            store.kill();
        }
        world.system.entries[0].kill();
        for store in &mut world.system.stores {
            store.start();
        }
        world.system.entries[0].start();
        assert!(
            world.system.wait_until_serving().await,
            "every entry serves"
        );
        let before = guest.runs().len();
        report(&world, 1, "Heartbeat", &announcement(1_000, 6)).await;
        // More at once than the other target takes.
        let ask = async |id: String| {
            let calls = (0..3 * AT_ONCE).map(async |at| {
                let id = format!("{id}-{at}");
                world.system.call(at % 3, &id, &format!("{SAFE}1")).await
            });
            for reply in join_all(calls).await {
                assert_eq!(reply.expect("an answer comes").status, 200);
            }
        };
        for turn in 0..20 {
            ask(format!("late-{turn}")).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(
            guest.runs().len(),
            before,
            "requests reached the departed target"
        );
        // A later start of it takes work.
        assert_eq!(
            report(&world, 1, "Heartbeat", &announcement(2_000, 1)).await,
            200
        );
        let until = Instant::now() + PATIENCE;
        let mut turn = 0;
        while guest.runs().len() == before {
            assert!(Instant::now() < until, "a later start gets no work");
            ask(format!("later-{turn}")).await;
            turn += 1;
        }
    });
}

/// Whether an entry serves a request, and reads out the manifest that was accepted last.
async fn is_serving(world: &World, entry: usize) -> bool {
    let id = format!("after-{entry}");
    let reply = world.system.call(entry, &id, &format!("{SAFE}1")).await;
    let control = world.system.entries[entry].control();
    let version = PlatformSystem::read_version_at(control).await;
    assert!(
        version.is_none_or(|version| version == VERSION),
        "entry {entry} reads out version {version:?}"
    );
    version.is_some() && reply.is_ok_and(|reply| reply.is_whole_success())
}

cases! { disk_and_power:
    lost_disk_of_a_follower_with_all_power(|leader| (leader + 1) % 3);
    lost_disk_of_the_leader_with_all_power(|leader| leader);
}
