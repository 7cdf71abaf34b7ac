//! A store is gone for good, an empty one takes its place, and then the next disk is lost.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use tokio::runtime::Runtime;
use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_testing::{
    Shape, Shapes,
    platform::{
        BATCH,
        Behaviour,
        PlatformSystem,
        PlatformTarget, //
    },
};

use super::{
    PATIENCE,
    World,
    leader, //
};

const ENTRIES: usize = 3;
/// Number of the store that comes later.
const SUCCESSOR: usize = 3;
/// Time after the start of a store with an empty disk from which on the next loss has to be borne (`catch_up_s` of the
/// platform).
const LOSS_RECOVERY: Duration = Duration::from_millis(4_900);
/// How long a store that lost its disk is down.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time after a loss within which requests are served (`recovery_s` of the platform).
const RECOVERY: Duration = Duration::from_secs(12);
/// Jobs, each with one item, and the size of its body as encoded: together nearly the limit of the state.
const JOBS: usize = 13;
const ENCODED_BYTES: usize = 900_000;
/// Rate of the link to the successor in bytes per second: three quarters of 30 Mbit/s, the rest is other traffic.
const LINK_RATE: u64 = 2_800_000;
const LINK_DELAY: Millis = Millis(20);

/// Which voter is gone for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gone {
    Leader,
    Follower,
}

async fn read(world: &World, entry: usize, job: usize, until: Instant) {
    let path = format!("/lots/j{job}?after=0");
    loop {
        let reply = world.batch(entry, Method::GET, &path, "-", "").await;
        if reply.status == 200 {
            return;
        }
        assert!(
            Instant::now() < until,
            "job {job}: {reply:?}\n{}",
            world.store_logs()
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a successor that does not vote yet when the next disk is lost, because it received nothing until the
/// store before it had been silent for 3 s: no job that was accepted could be read.
fn successor_votes_in_time(gone: Gone, delay: Duration) {
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let mut system = PlatformSystem::start_without_last_store(ENTRIES, SUCCESSOR + 1);
        let target = PlatformTarget::start("engine-0", "llm", "a1", 8, system.control()).await;
        let targets = vec![target.expect("a target starts")];
        assert!(system.put_manifest(1).await, "a manifest is accepted");
        assert!(system.wait_until_serving().await, "every entry serves");
        system.end_first_start();
        let shape = Shape {
            delay: LINK_DELAY,
            bytes_per_second: LINK_RATE,
            ..Shape::default()
        };
        let shapes = Shapes {
            forward: shape,
            backward: shape,
        };
        let successor = ENTRIES + SUCCESSOR;
        for other in ENTRIES..successor {
            system.relay(other, successor).set(shapes);
            system.relay(successor, other).set(shapes);
        }
        let mut world = World { system, targets };
        world.behave(&Behaviour {
            events: 1_000_000,
            ..Behaviour::default()
        });
        let text = "A".repeat(ENCODED_BYTES);
        for job in 0..JOBS {
            let body = format!(
                r#"{{"items":[{{"id":"j{job}-0","path":"{BATCH}0","body":"{text}","tokens":10}}]}}"#
            );
            let (id, path) = (format!("j{job}"), format!("{BATCH}j{job}"));
            let until = Instant::now() + PATIENCE;
            while world.batch(0, Method::POST, &path, &id, &body).await.status != 202 {
                assert!(Instant::now() < until, "job {job} is not accepted");
            }
        }
        // Longer than the stores take to write snapshots.
        tokio::time::sleep(Duration::from_secs(2)).await;

        let leader = leader(&world);
        let followers: Vec<_> = (0..SUCCESSOR).filter(|store| *store != leader).collect();
        let (gone, lost) = match gone {
            Gone::Leader => (leader, followers[0]),
            Gone::Follower => (followers[0], followers[1]),
        };
        world.system.stores[gone].kill();
        tokio::time::sleep(delay).await;
        world.system.stores[SUCCESSOR].start();
        tokio::time::sleep(LOSS_RECOVERY).await;
        world.system.stores[lost].kill();
        world.system.wipe(lost);
        tokio::time::sleep(DOWN_TIME).await;
        world.system.stores[lost].start();

        let until = Instant::now() + RECOVERY;
        for job in 0..JOBS {
            read(&world, job % ENTRIES, job, until).await;
        }
    });
}

cases! { successor_votes_in_time:
    successor_of_a_follower_votes_in_time(Gone::Follower, Duration::from_millis(500));
    successor_at_once_votes_in_time(Gone::Follower, Duration::ZERO);
    successor_of_the_leader_votes_in_time(Gone::Leader, Duration::from_millis(500));
}
