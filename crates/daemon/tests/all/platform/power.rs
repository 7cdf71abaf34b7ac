//! All processes lose power at once, and one store its disk.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use yuccaseam_base::cases;
use yuccaseam_testing::platform::{
    BATCH,
    PlatformSystem,
    SAFE,
    expected_text,
    send, //
};

use super::{
    PATIENCE,
    TargetState,
    World,
    job, //
    with_world,
};

/// Time after the start of all processes within which requests are served (`recovery_s` of the platform).
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after its departure was acknowledged from which on nothing reaches a target (`drain_ms` of the platform).
const DRAIN: Duration = Duration::from_millis(2_500);
/// Version of the manifest that is accepted last.
const VERSION: u64 = 3;

/// Store that leads, according to the last line of each store about that.
fn leader(world: &World) -> usize {
    let leads = |store: usize| {
        let log = world.system.stores[store].log();
        log.rfind("became leader; state is current") > log.rfind("leadership lost")
    };
    let mut leaders = (0..world.system.stores.len()).filter(|&store| leads(store));
    leaders.next().expect("a store leads")
}

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
