//! Quotas of teams over several entries.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use tokio::{
    runtime::Runtime,
    task::JoinSet,
    time::{
        MissedTickBehavior,
        interval,
        sleep, //
    },
};
use yuccaseam_testing::{
    Shape, Shapes, Signal,
    platform::{
        HOST,
        PlatformSystem,
        PlatformTarget,
        SAFE,
        send, //
    },
};

use super::{
    World,
    with_world, //
};

/// Quota of the limited team.
const RATE: usize = 20;
const BURST: usize = 20;
const WINDOW: Duration = Duration::from_secs(5);
/// Requests of the team that the overage allows in a window: a tenth more.
const MAX_IN_WINDOW: usize = (RATE * 5 + BURST) * 11 / 10;
/// Time between two requests of the limited team at each entry: nine times its rate at three entries.
const FLOOD_INTERVAL: Duration = Duration::from_millis(17);
const PATIENCE: Duration = Duration::from_secs(3);

/// Answers by status.
#[derive(Debug, Default)]
struct Tally {
    served: usize,
    over_quota: usize,
    others: usize,
}

impl World {
    /// Puts a manifest with a limited team in force at every entry.
    async fn limit(&self) {
        let mut manifest: serde_json::Value =
            serde_json::from_str(&PlatformSystem::manifest(2)).expect("the manifest is JSON");
        manifest["tenants"] = serde_json::json!([
            { "name": "limited", "api_keys": ["k-limited"], "rate_per_s": RATE, "burst": BURST },
            { "name": "free", "api_keys": ["k-free"] },
        ]);
        let to = self.system.control()[0];
        let body = manifest.to_string();
        let headers = [("host", "control")];
        let sent = send(
            to,
            Method::POST,
            "/Config.Replace",
            &headers,
            &body,
            PATIENCE,
        )
        .await;
        assert_eq!(sent.expect("an answer comes").status, 200);
        for entry in 0..3 {
            while self.order_as(entry, "k-none", "none").await != Some(401) {
                sleep(Duration::from_millis(20)).await;
            }
        }
        // Until the bucket of a new leader may fill.
        sleep(Duration::from_secs(2)).await;
    }

    /// Sends a request with a key. Returns the status of the answer.
    async fn order_as(&self, entry: usize, key: &str, id: &str) -> Option<u16> {
        let key = format!("Token {key}");
        let headers = [("host", HOST), ("request-id", id), ("authorization", &key)];
        let to = self.system.entries[entry].callers();
        let path = format!("{SAFE}1");
        let sent = send(to, Method::POST, &path, &headers, "body", PATIENCE).await;
        let reply = sent.ok()?;
        if reply.status == 429 {
            assert!(reply.headers.contains_key("retry-after"));
        }
        Some(reply.status)
    }

    /// Sends many more requests of the limited team than its quota to all entries.
    async fn flood(&self, duration: Duration) -> Tally {
        let mut requests = JoinSet::new();
        let end = Instant::now() + duration;
        let mut ticks = interval(FLOOD_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let path = format!("{SAFE}1");
        while Instant::now() < end {
            ticks.tick().await;
            for entry in &self.system.entries {
                let (to, path) = (entry.callers(), path.clone());
                requests.spawn(async move {
                    let headers = [
                        ("host", HOST),
                        ("request-id", "flood"),
                        ("authorization", "Token k-limited"),
                    ];
                    let sent = send(to, Method::POST, &path, &headers, "body", PATIENCE).await;
                    sent.map(|reply| reply.status)
                });
            }
        }
        let mut tally = Tally::default();
        while let Some(status) = requests.join_next().await {
            match status.expect("no request panics") {
                Ok(200) => tally.served += 1,
                Ok(429) => tally.over_quota += 1,
                Ok(_) | Err(_) => tally.others += 1,
            }
        }
        tally
    }

    /// Largest number of requests of the limited team that reached targets within a window.
    fn most_in_window(&self) -> usize {
        let runs = self.targets.iter().flat_map(PlatformTarget::runs);
        let mut times: Vec<_> = runs
            .filter(|run| run.id == "flood")
            .map(|run| run.at)
            .collect();
        times.sort_unstable();
        let counts = times.iter().enumerate().map(|(first, start)| {
            let later = times[first..].iter();
            later.take_while(|at| **at - *start < WINDOW).count()
        });
        counts.max().unwrap_or_default()
    }

    fn leader(&self) -> usize {
        let leads = |log: String| {
            log.rfind("became leader; state is current") > log.rfind("leadership lost")
        };
        let mut stores = self.system.stores.iter();
        let leader = stores.position(|store| leads(store.log()));
        leader.expect("a store leads")
    }
}

#[test]
fn quota_holds_over_all_entries_and_is_used() {
    with_world(3, async |world| {
        world.limit().await;
        let mut served = 0;
        let free = async {
            for number in 0..40 {
                let id = format!("free-{number}");
                served += usize::from(world.order_as(number % 3, "k-free", &id).await == Some(200));
                sleep(Duration::from_millis(70)).await;
            }
        };
        let (tally, ()) = tokio::join!(world.flood(Duration::from_secs(3)), free);
        let most = world.most_in_window();
        assert!(most <= MAX_IN_WINDOW, "{most} in a window: {tally:?}");
        // The burst and the rate for 3 s, but for what is on its way.
        assert!(tally.served >= 70, "{tally:?}");
        assert!(tally.over_quota > 200, "{tally:?}");
        assert_eq!(tally.others, 0, "{tally:?}");
        assert!(served >= 39, "{served} of 40 requests of another team");
    });
}

#[test]
fn quota_holds_while_leader_is_killed() {
    with_world(3, async |mut world| {
        world.limit().await;
        world.flood(Duration::from_secs(2)).await;
        let leader = world.leader();
        world.system.stores[leader].kill();
        let tally = world.flood(Duration::from_secs(6)).await;
        let most = world.most_in_window();
        assert!(most <= MAX_IN_WINDOW, "{most} in a window: {tally:?}");
        assert!(tally.served >= RATE * 6 * 7 / 10, "{tally:?}");
    });
}

#[test]
fn quota_holds_after_entry_wakes() {
    with_world(3, async |mut world| {
        world.limit().await;
        world.flood(Duration::from_secs(1)).await;
        world.system.entries[0].signal(Signal::Stop);
        world.flood(Duration::from_secs(2)).await;
        world.system.entries[0].signal(Signal::Cont);
        let tally = world.flood(Duration::from_secs(3)).await;
        let most = world.most_in_window();
        assert!(most <= MAX_IN_WINDOW, "{most} in a window: {tally:?}");
        assert!(tally.served >= RATE * 3 / 2, "{tally:?}");
    });
}

/// An entry that reaches no store takes the tokens of one that does.
#[test]
fn entry_cut_off_from_stores_serves_a_team_within_its_quota() {
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let system = PlatformSystem::start_behind_relays(3, 3);
        let target = PlatformTarget::start("engine-0", "llm", "a1", 8, system.control()).await;
        assert!(system.put_manifest(1).await, "a manifest is accepted");
        assert!(system.wait_until_serving().await, "every entry serves");
        let world = World {
            system,
            targets: vec![target.expect("a target starts")],
        };
        world.limit().await;
        for store in 3..6 {
            for relay in [world.system.relay(0, store), world.system.relay(store, 0)] {
                let cut = Shape {
                    cut: true,
                    ..Shape::default()
                };
                relay.set(Shapes {
                    forward: cut,
                    backward: cut,
                });
            }
        }
        let until = Instant::now() + Duration::from_secs(10);
        let entry = &world.system.entries[0];
        while !entry.log().contains("asking a deputy for tokens of quotas") {
            assert!(Instant::now() < until, "{}", entry.log());
            sleep(Duration::from_millis(50)).await;
        }
        let mut served = 0;
        for number in 0..30 {
            let id = format!("cut-{number}");
            served += usize::from(world.order_as(0, "k-limited", &id).await == Some(200));
            sleep(Duration::from_millis(60)).await;
        }
        assert!(served >= 27, "{served} of 30");
    });
}
