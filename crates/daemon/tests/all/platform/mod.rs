//! Entries and stores as processes with the platform's settings, against stand-ins that speak its
//! protocol. Each system has a loopback network of its own.

mod capacity;
mod control;
mod cut_heads;
mod deadly;
mod first_start;
mod floods;
mod framing;
mod full_disks;
mod jobs;
mod keys;
mod lifecycle;
mod limits;
mod misbehaving;
mod odd_answers;
mod odd_entries;
mod online;
mod power;
mod quotas;
mod raw_target;
mod refusals;
mod refused_items;
mod retiring;
mod shares;
mod silent;
mod successor;
mod tainted;

use std::{
    future::Future,
    io::{
        self,
        Read as _, //
    },
    net::TcpStream,
    time::{
        Duration,
        Instant, //
    },
};

use http::Method;
use tokio::runtime::Runtime;
use yuccaseam_testing::platform::{
    BATCH,
    Behaviour,
    HOST,
    PlatformSystem,
    PlatformTarget,
    Reply,
    send, //
};

const PATIENCE: Duration = Duration::from_secs(10);

/// What an entry knows of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetState {
    Announced,
    Left,
}

struct World {
    system: PlatformSystem,
    targets: Vec<PlatformTarget>,
}

/// Runs a test against a system of three entries and three stores that serves.
fn with_world<F, T>(targets: usize, test: F)
where
    F: FnOnce(World) -> T,
    T: Future<Output = ()>,
{
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let system = PlatformSystem::start(3, 3);
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
        if log.matches("replica started").count() < 2 {
            return false;
        }
        let disk = field(&log, "replica started", "disk");
        let groups = self.system.stores.iter().filter_map(|store| {
            let log = store.log();
            field(&log, "group changed", "voters")
        });
        disk.is_some_and(|disk| {
            let mut groups = groups;
            groups.any(|voters| voters.split(',').count() == 3 && voters.contains(&disk))
        })
    }

    /// Waits until every entry has logged that a target is in a state.
    async fn wait_until_entries_know(&self, target: &str, state: TargetState, limit: Duration) {
        let until = Instant::now() + limit;
        for entry in &self.system.entries {
            loop {
                let log = entry.log();
                let lines = log.lines();
                let mut lines = lines
                    .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
                    .filter(|line| line["message"] == "target changed");
                if lines.any(|line| {
                    line["target_name"] == target && line["left"] == (state == TargetState::Left)
                }) {
                    break;
                }
                assert!(Instant::now() < until, "{target} is not {state:?}: {log}");
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }

    /// Waits until an entry counts no request of another one at any target.
    async fn wait_until_others_are_idle(&self, entry: usize) {
        let to = self.system.entries[entry].metrics();
        let until = Instant::now() + PATIENCE;
        loop {
            let reply = send(to, Method::GET, "/metrics", &[("host", "m")], "", PATIENCE).await;
            let text = reply.expect("an answer comes").body;
            if text
                .lines()
                .any(|line| line == "yuccaseam_others_requests 0")
            {
                return;
            }
            assert!(Instant::now() < until, "entry {entry}: {text}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
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
        let mut results = Vec::new();
        loop {
            // A page holds 900 KB at most, which one result may fill.
            let path = format!("/lots/{job}?after={}", results.len());
            let reply = self.batch(entry, Method::GET, &path, "-", "").await;
            if reply.status == 200 {
                let mut page: serde_json::Value =
                    serde_json::from_str(&reply.body).expect("a page is JSON");
                let more = page["results"].as_array_mut().map(std::mem::take);
                results.extend(more.expect("a page has results"));
                assert_eq!(page["next"], results.len(), "results of a page are missing");
                if results.len() == count {
                    page["results"] = results.into();
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

/// Reads the head of a request, and returns its id; `None` if the connection ends.
fn read_request_id(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    let mut buf = [0; 4_096];
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let len = stream.read(&mut buf)?;
        if len == 0 {
            return Ok(None);
        }
        head.extend_from_slice(&buf[..len]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("request-id: "));
    Ok(Some(id.unwrap_or_default().to_owned()))
}

/// A field of the last line of a log with this message.
fn field(log: &str, message: &str, name: &str) -> Option<String> {
    let lines = log.lines().rev();
    let mut lines = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let line = lines.find(|line| line["message"] == message)?;
    line[name].as_str().map(str::to_owned)
}

/// Store that leads, according to the last line of each store about that.
fn leader(world: &World) -> usize {
    let leads = |store: usize| {
        let log = world.system.stores[store].log();
        log.rfind("became leader; state is current") > log.rfind("leadership lost")
    };
    let mut leaders = (0..world.system.stores.len()).filter(|&store| leads(store));
    leaders.next().expect("a store leads")
}

fn job(id: &str, items: usize) -> String {
    let items: Vec<_> = (0..items)
        .map(|at| format!(r#"{{"id":"{id}-{at}","path":"{BATCH}{at}","body":"aGk=","tokens":10}}"#))
        .collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}
