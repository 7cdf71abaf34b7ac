//! Measures what batch costs online callers and how much of the idle capacity it gets, with
//! daemons and fake engines as processes on loopback.
//!
//! `cargo run --release -p yuccaseam-daemon --example yield_experiment -- [SEED] [ROUNDS]` needs
//! the daemon and the fake engine built in release. It prints one line of JSON for each run. All
//! runs of one seed have the same online arrivals.

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
/// A step takes 20 ms and 0.6 ms for each call: 29.6 ms with full slots.
const ENGINE: [&str; 8] = [
    "--slots",
    "16",
    "--step-us",
    "20000",
    "--step-per-call-us",
    "600",
    "--prefill-per-token-us",
    "18",
];
const QUIET: Duration = Duration::from_secs(12);
const BURST: Duration = Duration::from_secs(5);
const QUIET_RATE: f64 = 8.0;
const BURST_RATE: f64 = 28.0;
const ONLINE_TOKENS: u32 = 64;
const ITEM_TOKENS: u32 = 64;
/// More than the engines can run in one run.
const ITEMS: usize = 3_000;
/// How long the engines run batch alone, to know what they give.
const ALONE: Duration = Duration::from_secs(10);
/// How long a run waits until batch has filled the engines.
const FILL: Duration = Duration::from_secs(3);
const BALANCES: [u64; 4] = [0, 30, 60, 100];

/// One system, which is used for all runs.
struct Bench {
    cluster: Cluster,
    schedule: Schedule,
    /// Tokens a second of engines that run batch alone.
    full: f64,
    jobs: usize,
}

fn main() {
    let mut args = env::args().skip(1);
    let mut number = |default| {
        args.next()
            .map_or(default, |arg| arg.parse().expect("a number"))
    };
    let (seed, rounds) = (number(1), number(2));
    let mut bench = Bench::start(seed, rounds);
    bench.full = bench.measure_alone();
    println!(
        "{}",
        json!({ "name": "batch alone", "tokens_per_second": bench.full })
    );
    bench.direct(0);
    bench.direct(SLOTS / 2);
    bench.through_daemons("batch off", None);
    for balance in BALANCES {
        bench.through_daemons(&format!("balance {balance}"), Some(balance));
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
            cluster.start_engine(&format!("w{index}"), place, &ENGINE);
        }
        cluster.wait_until_ready();
        let phase = |name: &str, length, rate| LoadPhase {
            name: name.to_owned(),
            length,
            rate,
        };
        let round = |_| {
            [
                phase("quiet", QUIET, QUIET_RATE),
                phase("burst", BURST, BURST_RATE),
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
            full: 0.0,
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

    fn measure_alone(&mut self) -> f64 {
        self.set_balance(100);
        let job = self.start_job();
        thread::sleep(FILL);
        let before = batch_tokens(&self.cluster.records());
        thread::sleep(ALONE);
        let tokens = batch_tokens(&self.cluster.records()) - before;
        self.cancel(&job);
        tokens as f64 / ALONE.as_secs_f64()
    }

    /// The baseline: calls go straight to the engines, in turn, and nothing yields.
    fn direct(&self, batch_callers: usize) {
        let engines = self.engines();
        let steady =
            (batch_callers > 0).then(|| Steady::start(&engines, batch_callers, MODEL, ITEM_TOKENS));
        let start = Instant::now();
        let figures = run_online(&self.schedule, &engines, MODEL);
        let length = start.elapsed();
        let rate = steady.map_or(0.0, |steady| steady.stop().tokens_per_second);
        let name = format!("direct, {batch_callers} batch callers an engine");
        self.print(&name, &figures, rate * length.as_secs_f64(), length);
    }

    fn through_daemons(&mut self, name: &str, balance: Option<u64>) {
        let job = balance.map(|balance| {
            self.set_balance(balance);
            let job = self.start_job();
            thread::sleep(FILL);
            job
        });
        let before = batch_tokens(&self.cluster.records());
        let start = Instant::now();
        let figures = run_online(&self.schedule, &self.daemons(), MODEL);
        let length = start.elapsed();
        let tokens = batch_tokens(&self.cluster.records()) - before;
        if let Some(job) = job {
            self.cancel(&job);
        }
        self.print(name, &figures, tokens as f64, length);
    }

    fn print(&self, name: &str, figures: &[Figures], batch_tokens: f64, length: Duration) {
        let reports: Vec<_> = figures.iter().map(Figures::report).collect();
        let online: u64 = reports.iter().map(|report| report.tokens).sum();
        let idle = self.full * length.as_secs_f64() - online as f64;
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
            "seconds": length.as_secs_f64(),
        });
        println!("{line}");
    }

    fn set_balance(&self, balance: u64) {
        let caller = self.cluster.caller(0);
        let current = caller.get("/admin/v1/configuration").expect("an answer");
        let change = |setting: &str, value: u64| json!({ "set_default": { "setting": setting, "value": value } });
        let body = json!({
            "request": format!("balance {balance} {}", self.jobs),
            "expected": current["revision"],
            "author": "experiment",
            "changes": [change("balance", balance), change("online_headroom", 0)],
        });
        let answer = caller.call("POST", "/admin/v1/configuration", &body.to_string());
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text);
    }

    fn start_job(&mut self) -> String {
        self.jobs += 1;
        let item = |index| Item {
            id: format!("i{index}"),
            prompt: format!("item {index} of job {}", self.jobs),
            tokens: ITEM_TOKENS,
        };
        let items: Vec<_> = (0..ITEMS).map(item).collect();
        let key = format!("job {}", self.jobs);
        let answer = self.cluster.caller(0).create_job(MODEL, &key, &items);
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text);
        answer.json()["id"]
            .as_str()
            .expect("a job has an id")
            .to_owned()
    }

    fn cancel(&self, job: &str) {
        let path = format!("/v1/batches/{job}/cancel");
        let answer = self.cluster.caller(0).post(&path, &json!({}));
        assert_eq!(answer.expect("an answer").status, 200);
        thread::sleep(FILL);
    }
}

/// Tokens of batch items that ended or stopped, by the engines' records.
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
