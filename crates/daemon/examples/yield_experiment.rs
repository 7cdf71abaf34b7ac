//! Measures how batch load affects online callers and how much of the idle capacity batch uses,
//! with daemon and fake engine processes on loopback.
//!
//! `cargo run --release -p yuccaseam-daemon --example yield_experiment -- [SEED] [ROUNDS]` needs
//! release builds of the daemon and the fake engine. It prints one line of JSON per run. All runs
//! with one seed have the same online arrivals.

use std::{
    env, thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::json;
use yuccaseam_testing::{
    Caller,
    Cluster,
    Entry,
    Figures,
    Item,
    LoadPhase,
    Phase,
    Place,
    Schedule,
    Steady,
    run_online, //
};

const MODEL: &str = "lagging-llm";
const SLOTS: usize = 16;
/// Fake engine arguments. A step takes 20 ms plus 0.6 ms per call: 29.6 ms with all slots in use.
const ENGINE_ARGS: [&str; 8] = [
    "--slots",
    "16",
    "--step-us",
    "20000",
    "--step-per-call-us",
    "600",
    "--prefill-per-token-us",
    "18",
];
const QUIET_DURATION: Duration = Duration::from_secs(12);
const BURST_DURATION: Duration = Duration::from_secs(5);
const QUIET_RATE: f64 = 8.0;
const BURST_RATE: f64 = 28.0;
const ONLINE_TOKENS: u32 = 64;
const ITEM_TOKENS: u32 = 64;
/// Items per batch job: more than the engines can finish in one run.
const ITEMS_PER_JOB: usize = 3_000;
/// Duration of the run with batch alone, which measures the full throughput of the engines.
const BATCH_ALONE_DURATION: Duration = Duration::from_secs(10);
/// Delay for a new batch job to fill the engines, and for a cancelled one to leave them.
const FILL_DELAY: Duration = Duration::from_secs(3);
const BALANCES: [u64; 4] = [0, 30, 60, 100];

/// Cluster and load schedule shared by all runs.
struct Bench {
    cluster: Cluster,
    schedule: Schedule,
    /// Throughput of the engines with batch alone, in tokens per second.
    full_rate: f64,
    jobs: usize,
}

fn main() {
    let mut args = env::args().skip(1);
    let mut next_number = |default| {
        args.next().map_or(default, |arg| {
            arg.parse().expect("SEED and ROUNDS must be integers")
        })
    };
    let (seed, rounds) = (next_number(1), next_number(2));
    let mut bench = Bench::start(seed, rounds);
    bench.full_rate = bench.measure_batch_alone();
    println!(
        "{}",
        json!({ "name": "batch alone", "tokens_per_second": bench.full_rate })
    );
    bench.run_direct(0);
    bench.run_direct(SLOTS / 2);
    bench.run_through_daemons("batch off", None);
    for balance in BALANCES {
        bench.run_through_daemons(&format!("balance {balance}"), Some(balance));
    }
}

impl Bench {
    fn start(seed: u64, rounds: u64) -> Self {
        let places = [
            Place::new("morava", "brno-a").with_disk(),
            Place::new("morava", "jihlava-b"),
            Place::new("morava", "brno-a"),
        ];
        let mut cluster = Cluster::start(&places, &[]);
        for (index, place) in places.iter().enumerate() {
            cluster.start_engine(&format!("w{index}"), place, &ENGINE_ARGS);
        }
        cluster.wait_until_ready();
        let phase = |name: &str, length, rate| LoadPhase {
            name: name.to_owned(),
            length,
            rate,
        };
        let round = |_| {
            [
                phase("quiet", QUIET_DURATION, QUIET_RATE),
                phase("burst", BURST_DURATION, BURST_RATE),
            ]
        };
        let schedule = Schedule {
            seed,
            phases: (0..rounds).flat_map(round).collect(),
            tokens: ONLINE_TOKENS,
        };
        Self {
            cluster,
            schedule,
            full_rate: 0.0,
            jobs: 0,
        }
    }

    fn daemons(&self) -> Vec<Caller> {
        let daemons = 0..self.cluster.daemons.len();
        daemons.map(|index| self.cluster.caller(index)).collect()
    }

    fn engines(&self) -> Vec<Caller> {
        let targets = self.cluster.targets.values();
        targets.map(|target| Caller::new(target.address)).collect()
    }

    fn measure_batch_alone(&mut self) -> f64 {
        self.set_balance(100);
        let job = self.start_job();
        thread::sleep(FILL_DELAY);
        let before = batch_tokens(&self.cluster.records());
        thread::sleep(BATCH_ALONE_DURATION);
        let tokens = batch_tokens(&self.cluster.records()) - before;
        self.cancel(&job);
        tokens as f64 / BATCH_ALONE_DURATION.as_secs_f64()
    }

    /// Runs the baseline: calls go directly to the engines, round-robin, and batch never yields.
    fn run_direct(&self, batch_callers: usize) {
        let engines = self.engines();
        let steady =
            (batch_callers > 0).then(|| Steady::start(&engines, batch_callers, MODEL, ITEM_TOKENS));
        let start = Instant::now();
        let figures = run_online(&self.schedule, &engines, MODEL);
        let duration = start.elapsed();
        let rate = steady.map_or(0.0, |steady| steady.stop().tokens_per_second);
        let name = format!("direct, {batch_callers} batch callers an engine");
        self.print(&name, &figures, rate * duration.as_secs_f64(), duration);
    }

    fn run_through_daemons(&mut self, name: &str, balance: Option<u64>) {
        let job = balance.map(|balance| {
            self.set_balance(balance);
            let job = self.start_job();
            thread::sleep(FILL_DELAY);
            job
        });
        let before = batch_tokens(&self.cluster.records());
        let start = Instant::now();
        let figures = run_online(&self.schedule, &self.daemons(), MODEL);
        let duration = start.elapsed();
        let tokens = batch_tokens(&self.cluster.records()) - before;
        if let Some(job) = job {
            self.cancel(&job);
        }
        self.print(name, &figures, tokens as f64, duration);
    }

    fn print(&self, name: &str, figures: &[Figures], batch_tokens: f64, duration: Duration) {
        let reports: Vec<_> = figures.iter().map(Figures::report).collect();
        let online: u64 = reports.iter().map(|report| report.tokens).sum();
        let idle = self.full_rate * duration.as_secs_f64() - online as f64;
        let phase = |name: &str| {
            let phases = self.schedule.phases.iter().zip(&reports);
            let of_name = phases.filter(|(phase, _)| phase.name == name);
            of_name.map(|(_, report)| report).collect::<Vec<_>>()
        };
        let line = json!({
            "name": name,
            "quiet": phase("quiet"),
            "burst": phase("burst"),
            "online_tokens": online,
            "batch_tokens": batch_tokens,
            "batch_of_idle_capacity": batch_tokens / idle,
            "seconds": duration.as_secs_f64(),
        });
        println!("{line}");
    }

    fn set_balance(&self, balance: u64) {
        let caller = self.cluster.caller(0);
        let current = caller
            .get("/admin/v1/configuration")
            .expect("the daemon responds");
        let change = |setting: &str, value: u64| json!({ "set_default": { "setting": setting, "value": value } });
        let body = json!({
            "request": format!("balance {balance} {}", self.jobs),
            "expected": current["revision"],
            "author": "experiment",
            "changes": [change("balance", balance), change("online_headroom", 0)],
        });
        let response = caller.call("POST", "/admin/v1/configuration", &body.to_string());
        let response = response.expect("the daemon responds");
        assert_eq!(response.status, 200, "{}", response.text);
    }

    fn start_job(&mut self) -> String {
        self.jobs += 1;
        let item = |index| Item {
            id: format!("i{index}"),
            prompt: format!("item {index} of job {}", self.jobs),
            tokens: ITEM_TOKENS,
        };
        let items: Vec<_> = (0..ITEMS_PER_JOB).map(item).collect();
        let key = format!("job {}", self.jobs);
        let response = self.cluster.caller(0).create_job(MODEL, &key, &items);
        let response = response.expect("the daemon responds");
        assert_eq!(response.status, 200, "{}", response.text);
        response.json()["id"]
            .as_str()
            .expect("a created job has an id")
            .to_owned()
    }

    fn cancel(&self, job: &str) {
        let path = format!("/v1/batches/{job}/cancel");
        let response = self.cluster.caller(0).post(&path, &json!({}));
        assert_eq!(response.expect("the daemon responds").status, 200);
        thread::sleep(FILL_DELAY);
    }
}

/// Tokens of finished and cancelled batch items in the engines' records.
fn batch_tokens(records: &[Entry]) -> u64 {
    let ended = |entry: &&Entry| matches!(entry.phase, Phase::Finish | Phase::Cancel);
    let items = records
        .iter()
        .filter(|entry| entry.subject.starts_with("item "));
    items
        .filter(ended)
        .map(|entry| u64::from(entry.next - entry.from))
        .sum()
}
