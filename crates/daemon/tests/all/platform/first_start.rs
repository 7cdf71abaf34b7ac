//! A store is cut off from the others while the system starts for the first time.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use tokio::runtime::Runtime;
use yuccaseam_testing::platform::{
    BATCH,
    PlatformSystem,
    PlatformTarget, //
};

use super::{
    PATIENCE,
    World,
    job, //
};

/// How long the store is cut off: longer than stores wait for a full group.
const CUT_TIME: Duration = Duration::from_secs(7);
/// Time after the cut in which the stores form one group.
const MERGE_TIME: Duration = Duration::from_secs(5);
/// Items of a job.
const ITEMS: usize = 2;

/// Guards against a store that is cut off at the first start and forms a group of its own: the jobs that one of the two
/// groups had accepted were gone when the cut ended.
#[test]
fn store_that_is_cut_off_at_the_first_start_forms_no_group() {
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let system = PlatformSystem::start_with_first_store_cut_off(3, 3);
        let started_at = Instant::now();
        let target = PlatformTarget::start("engine-0", "llm", "a1", 8, system.control()).await;
        let targets = vec![target.expect("a target starts")];
        let world = World { system, targets };
        while !world.system.put_manifest(1).await {
            assert!(started_at.elapsed() < CUT_TIME + PATIENCE, "no manifest");
        }
        tokio::time::sleep(CUT_TIME.saturating_sub(started_at.elapsed())).await;
        let mut accepted = Vec::new();
        for entry in 0..world.system.entries.len() {
            let id = format!("j{entry}");
            let path = format!("{BATCH}{id}");
            let body = job(&id, ITEMS);
            let reply = world.batch(entry, Method::POST, &path, &id, &body).await;
            if reply.status == 202 {
                accepted.push(id);
            }
        }
        world.system.heal_first_store();
        tokio::time::sleep(MERGE_TIME).await;
        let logs = world.store_logs();
        assert_eq!(logs.matches("bootstrapping a new one").count(), 1, "{logs}");
        assert!(!accepted.is_empty(), "the majority accepts jobs");
        for id in &accepted {
            for entry in 0..world.system.entries.len() {
                world.results(entry, id, ITEMS).await;
            }
        }
    });
}
