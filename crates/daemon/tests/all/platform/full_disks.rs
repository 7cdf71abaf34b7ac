//! The disks of stores are full for some seconds, one after the other. Afterwards every instance accepts
//! changes and jobs.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use tokio::runtime::Runtime;
use yuccaseam_base::cases;
use yuccaseam_testing::platform::{
    BATCH,
    PlatformSystem,
    PlatformTarget, //
};

use super::World;

/// How long a disk is full.
const FULL_TIME: Duration = Duration::from_secs(2);
/// Time from one full disk to the next.
const BETWEEN: Duration = Duration::from_secs(1);
/// Time within which a change is acknowledged (`ack_ms` of the platform).
const ACK_TIME: Duration = Duration::from_secs(5);
/// Time within which a store with a new disk votes again.
const JOIN_TIME: Duration = Duration::from_secs(15);
/// Size of the body of an item: a few jobs make a snapshot due.
const BODY_BYTES: usize = 60_000;
/// Items of a job.
const ITEMS: usize = 8;

/// What happens while disks are full.
#[derive(Clone, Copy)]
enum Beside {
    /// Jobs and changes come, so that entries, snapshots and truncations are written.
    Work,
    /// As well, the store whose disk is full joins with a new disk.
    Join,
}

fn large_job(id: &str) -> String {
    let body = "aGkh".repeat(BODY_BYTES / 4);
    let items: Vec<_> = (0..ITEMS)
        .map(|at| {
            format!(r#"{{"id":"{id}-{at}","path":"{BATCH}{at}","body":"{body}","tokens":10}}"#)
        })
        .collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}

struct FullDisks {
    world: World,
    version: u64,
    jobs: usize,
}

impl FullDisks {
    /// Sends a change and a job to an entry. True if both are accepted.
    async fn send_work(&mut self, entry: usize) -> bool {
        self.version += 1;
        let to = self.world.system.entries[entry].control();
        let changed = PlatformSystem::put_manifest_at(to, self.version).await;
        self.jobs += 1;
        let id = format!("j{}", self.jobs);
        let path = format!("{BATCH}{id}");
        let body = large_job(&id);
        let reply = self
            .world
            .batch(entry, Method::POST, &path, &id, &body)
            .await;
        changed && reply.status == 202
    }

    async fn work_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let entry = self.jobs % self.world.system.entries.len();
            // Some are refused while the disk of the leader is full.
            self.send_work(entry).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn fill_disk(&mut self, store: usize, beside: Beside) {
        let set = |world: &World, condition: &str| {
            let set = world.system.stores[store].set_disk(condition);
            set.expect("the condition can be set");
        };
        if matches!(beside, Beside::Join) {
            let system = &mut self.world.system;
            system.stores[store].kill();
            system.wipe(store);
            system.stores[store].start();
            // Long enough for the first chunks of the snapshot.
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        set(&self.world, "full");
        self.work_for(FULL_TIME).await;
        set(&self.world, "");
        if matches!(beside, Beside::Join) {
            let until = Instant::now() + JOIN_TIME;
            while !self.world.votes_again(store) {
                assert!(
                    Instant::now() < until,
                    "store {store} does not vote again:\n{}",
                    self.world.store_logs()
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        self.work_for(BETWEEN).await;
    }
}

/// Guards against stores that stop for good, while their processes run, because their disks were full for a
/// while, so that changes and jobs are refused from then on.
fn disks_full_in_turn(beside: Beside) {
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut system = PlatformSystem::start_behind_relays(3, 3);
        let target = PlatformTarget::start("engine-0", "llm", "a1", 8, system.control()).await;
        let targets = vec![target.expect("a target starts")];
        assert!(system.put_manifest(1).await, "a manifest is accepted");
        assert!(system.wait_until_serving().await, "every entry serves");
        system.end_first_start();
        let world = World { system, targets };
        let mut disks = FullDisks {
            world,
            version: 1,
            jobs: 0,
        };
        assert!(disks.send_work(0).await, "work is accepted before");
        disks.work_for(BETWEEN).await;
        for store in 0..disks.world.system.stores.len() {
            disks.fill_disk(store, beside).await;
        }
        for entry in 0..disks.world.system.entries.len() {
            let until = Instant::now() + ACK_TIME;
            while !disks.send_work(entry).await {
                assert!(
                    Instant::now() < until,
                    "entry {entry} accepts no change and no job:\n{}",
                    disks.world.store_logs()
                );
            }
        }
        for store in &mut disks.world.system.stores {
            assert!(store.is_running(), "a store has ended:\n{}", store.log());
        }
    });
}

cases! { disks_full_in_turn:
    every_instance_accepts_work_after_the_disks_were_full_in_turn(Beside::Work);
    every_instance_accepts_work_after_stores_joined_with_full_disks(Beside::Join);
}
