//! Callers that break the limits or use them up, against real processes. Each test checks that every
//! process lives, that its memory and descriptors stay within what its settings name, and that ordinary
//! requests are answered afterwards.

mod bodies;
mod connections;
mod crowd;
mod slow_readers;

use std::{
    sync::{
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use http::Method;
use tokio::runtime::Runtime;
use yuccaseam_testing::platform::{
    Behaviour,
    HOST,
    Instance,
    PlatformSystem,
    PlatformTarget,
    Resources,
    SAFE,
    send, //
};

/// What the settings of each process name.
const RESOURCES: Resources = Resources {
    memory_mb: 64,
    descriptors: 400,
};
/// Largest legal body: the limit of the manifest.
const LARGEST_BODY: usize = 1 << 20;
const PATIENCE: Duration = Duration::from_secs(10);
/// More descriptors than a process holds without callers.
const DESCRIPTORS_IN_CALM: usize = 60;
/// How often the first manifest is sent to a system that starts slowly.
const SETUP_ATTEMPTS: usize = 300;
/// How long the number of descriptors must stay the same until all connections count as accepted.
const SETTLED: Duration = Duration::from_secs(1);
/// Pause before an ordinary request is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// One test runs at a time: each takes much of the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

struct World {
    system: PlatformSystem,
    target: PlatformTarget,
}

/// Runs a test against a system of one entry, three stores and a target.
fn with_world<F>(test: F)
where
    F: AsyncFnOnce(&mut World),
{
    with_world_of(&PlatformSystem::manifest(1), test);
}

/// Runs a test as [`with_world`] does, with this manifest.
fn with_world_of<F>(manifest: &str, test: F)
where
    F: AsyncFnOnce(&mut World),
{
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let system = PlatformSystem::start_with(1, 3, RESOURCES);
        let target = PlatformTarget::start("engine-0", "llm", "a1", 8, system.control()).await;
        let mut world = World {
            target: target.expect("a target starts"),
            system,
        };
        let mut is_taken = false;
        for _ in 0..SETUP_ATTEMPTS {
            is_taken = is_taken || world.put_manifest(manifest).await;
        }
        assert!(is_taken, "the manifest is taken");
        assert!(world.system.wait_until_serving().await, "the entry serves");
        test(&mut world).await;
    });
}

impl World {
    fn entry(&self) -> &Instance {
        &self.system.entries[0]
    }

    async fn put_manifest(&self, manifest: &str) -> bool {
        let headers = [("host", "control")];
        let to = self.entry().control();
        let path = "/Config.Replace";
        let sent = send(to, Method::POST, path, &headers, manifest, PATIENCE).await;
        let is_taken = sent.is_ok_and(|reply| reply.status == 200);
        if !is_taken {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        is_taken
    }

    /// Checks the processes, and that an ordinary request is answered.
    async fn check(&mut self) {
        self.check_processes();
        self.check_answer("ordinary", "body").await;
        self.check_processes();
    }

    /// Checks what must hold once the crowd has gone: as [`World::check`], and that one body of the largest
    /// legal size is answered.
    async fn check_in_calm(&mut self) {
        self.target.behave(Behaviour::default());
        self.check_answer("large", &"x".repeat(LARGEST_BODY)).await;
        self.check().await;
    }

    /// Waits until the entry accepts no further connections of a crowd.
    async fn wait_until_settled(&self) {
        let (mut last, mut since) = (None, Instant::now());
        while since.elapsed() < SETTLED {
            let descriptors = self.entry().descriptors();
            if last != descriptors {
                (last, since) = (descriptors, Instant::now());
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Waits until the entry has closed the connections of callers that do not read.
    async fn wait_until_closed(&self) {
        let until = Instant::now() + 3 * PATIENCE;
        loop {
            let descriptors = self.entry().descriptors().expect("the process runs");
            if descriptors < DESCRIPTORS_IN_CALM {
                return;
            }
            assert!(
                Instant::now() < until,
                "the entry held {descriptors} descriptors"
            );
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn check_answer(&self, kind: &str, body: &str) {
        let until = Instant::now() + 2 * PATIENCE;
        for attempt in 0.. {
            let id = format!("{kind}-{attempt}");
            let headers = [("host", HOST), ("request-id", &id), ("deadline-ms", "5000")];
            let to = self.entry().callers();
            let path = format!("{SAFE}1");
            let reply = send(to, Method::POST, &path, &headers, body, PATIENCE).await;
            if reply.as_ref().is_ok_and(|reply| reply.status == 200) {
                return;
            }
            assert!(Instant::now() < until, "{kind}: {reply:?}");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn check_processes(&mut self) {
        let system = &mut self.system;
        for instance in system.entries.iter_mut().chain(&mut system.stores) {
            let name = instance.name.clone();
            assert!(instance.is_running(), "{name} ended");
            let memory_kb = instance.memory_kb().expect("the process runs");
            let descriptors = instance.descriptors().expect("the process runs");
            println!("{name}: peak {memory_kb} KB, {descriptors} descriptors");
            let limit_kb = RESOURCES.memory_mb * 1_000_000 / 1_024;
            assert!(memory_kb <= limit_kb, "{name} used {memory_kb} KB");
            assert!(
                descriptors as u64 <= RESOURCES.descriptors,
                "{name} held {descriptors} descriptors"
            );
        }
    }
}
