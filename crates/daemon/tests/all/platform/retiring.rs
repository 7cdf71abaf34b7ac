//! A store is to be retired while another one loses its disk, and later the next disk is lost.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use http::Method;
use tokio::runtime::Runtime;
use yuccaseam_testing::platform::{
    BATCH,
    PlatformSystem,
    PlatformTarget,
    send, //
};

use super::{
    PATIENCE,
    World,
    field,
    job, //
};

/// How long a store is down before it starts with an empty disk.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time after the start of a store with an empty disk in which the group must bear the next loss (`catch_up_s` of the
/// platform).
const LOSS_RECOVERY: Duration = Duration::from_millis(4_900);
/// Time after a loss within which requests are served (`recovery_s` of the platform).
const RECOVERY: Duration = Duration::from_secs(12);
/// Items of the job that must survive.
const ITEMS: usize = 6;

/// The three voters, in the order of their disks.
fn voters(world: &World) -> Vec<usize> {
    let stores = &world.system.stores;
    let groups = stores.iter().filter_map(|store| {
        let log = store.log();
        let voters = field(&log, "group changed", "voters")?;
        (voters.split(',').count() == 3).then_some(voters)
    });
    let disks: BTreeMap<_, _> = (0..stores.len())
        .filter_map(|at| Some((field(&stores[at].log(), "replica started", "disk")?, at)))
        .collect();
    let mut groups = groups;
    let group = groups.next().expect("a store knows three voters");
    let mut voters: Vec<_> = group.split(',').map(str::to_owned).collect();
    voters.sort_unstable();
    voters.iter().map(|disk| disks[disk]).collect()
}

async fn lose_disk(world: &mut World, store: usize) {
    world.system.stores[store].kill();
    world.system.wipe(store);
    tokio::time::sleep(DOWN_TIME).await;
    world.system.stores[store].start();
}

async fn retire(world: &World, store: usize) {
    let path = format!("/Retire.Start/{}", world.system.stores[store].name);
    let to = world.system.entries[0].control();
    let until = Instant::now() + PATIENCE;
    loop {
        let body = r#"{"duration_s":10}"#;
        let headers = [("host", "control")];
        let sent = send(to, Method::POST, &path, &headers, body, PATIENCE).await;
        let reply = sent.expect("an answer comes");
        if reply.status == 200 {
            return;
        }
        assert!(Instant::now() < until, "not accepted: {}", reply.body);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a voter that lost its disk and is never replaced because another one, which comes first in the
/// order of the disks, is to be retired: the next lost disk ended the group, and all jobs and manifests were gone.
#[test]
fn group_bears_the_next_lost_disk_while_a_store_retires() {
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut system = PlatformSystem::start(3, 4);
        let target = PlatformTarget::start("engine-0", "llm", "a1", 8, system.control()).await;
        let targets = vec![target.expect("a target starts")];
        assert!(system.put_manifest(1).await, "a manifest is accepted");
        assert!(system.wait_until_serving().await, "every entry serves");
        system.end_first_start();
        let mut world = World { system, targets };
        let path = format!("{BATCH}j1");
        let reply = world
            .batch(0, Method::POST, &path, "j1", &job("j1", ITEMS))
            .await;
        assert_eq!(reply.status, 202);
        let before = world.results(1, "j1", ITEMS).await;

        let voters = voters(&world);
        let (retiring, lost, last) = (voters[0], voters[1], voters[2]);
        world.system.stores[lost].kill();
        retire(&world, retiring).await;
        lose_disk(&mut world, lost).await;
        tokio::time::sleep(LOSS_RECOVERY).await;
        lose_disk(&mut world, last).await;

        let until = Instant::now() + RECOVERY;
        for entry in 0..world.system.entries.len() {
            let control = world.system.entries[entry].control();
            while PlatformSystem::read_version_at(control).await != Some(1) {
                assert!(
                    Instant::now() < until,
                    "entry {entry} does not read out the manifest:\n{}",
                    world.store_logs()
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            assert_eq!(world.results(entry, "j1", ITEMS).await, before);
        }
    });
}
