//! Measures how the cost of a daemon grows with the number of daemons and of targets.
//!
//! Each figure is one JSON line: `name`, `n`, `value`, `unit` and, where the users gave one,
//! `budget`. Run it in release by `ci/capacity`; `--quick` measures small systems only.

use std::{
    env, fs, thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    Value,
    json, //
};
use yuccaseam_testing::{
    Cluster,
    Place, //
};

/// How long a system is left alone before it is measured.
const SETTLE: Duration = Duration::from_secs(3);
/// How long processor time and traffic are measured.
const SPAN: Duration = Duration::from_secs(10);
/// How often each instance is asked for its revision.
const POLL: Duration = Duration::from_millis(50);
/// How long a configuration may take to be in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(60);
/// Kernel ticks in a second, as `/proc` counts processor time.
const TICKS: f64 = 100.0;

/// Budget of processor time for control, in percent of a core.
const CPU_BUDGET: f64 = 1.3;
/// Budget of memory for control, in megabytes.
const MEMORY_BUDGET: f64 = 32.0;
/// Budget of traffic for control, in bytes a second.
const TRAFFIC_BUDGET: f64 = 14_000.0;
/// Budget for a configuration to be in force everywhere, in seconds.
const IN_FORCE_BUDGET: f64 = 4.0;

fn main() {
    let is_quick = env::args().any(|arg| arg == "--quick");
    let sizes: &[usize] = if is_quick {
        &[9, 30]
    } else {
        &[9, 30, 75, 150]
    };
    for &daemons in sizes {
        measure(daemons, 0);
    }
    let targets: &[usize] = if is_quick { &[12] } else { &[12, 24, 48] };
    for &targets in targets {
        measure(9, targets);
    }
}

/// Measures an idle system of so many daemons and engines.
fn measure(daemons: usize, engines: usize) {
    let mut cluster = Cluster::start(&places(daemons), &["--log-level", "error"]);
    let place = Place::new("morava", "brno-a");
    for number in 0..engines {
        cluster.start_engine(&format!("engine-{number}"), &place, &[]);
    }
    cluster.wait_until_ready();
    thread::sleep(SETTLE);

    let (label, n) = if engines > 0 {
        ("targets", engines)
    } else {
        ("daemons", daemons)
    };
    let before = Sample::of(&cluster);
    let start = Instant::now();
    thread::sleep(SPAN);
    let after = Sample::of(&cluster);
    let span = start.elapsed().as_secs_f64();
    for role in [Role::Voter, Role::Entry] {
        let cpu = after.cpu(role) - before.cpu(role);
        let name = format!("idle_cpu_of_{}_by_{label}", role.name());
        print(
            &name,
            n,
            cpu / span * 100.0,
            "percent of a core",
            CPU_BUDGET,
        );
        let name = format!("memory_of_{}_by_{label}", role.name());
        print(&name, n, after.memory(role), "MB", MEMORY_BUDGET);
    }
    let traffic = (after.traffic - before.traffic) / span / daemons as f64;
    let name = format!("idle_traffic_by_{label}");
    print(&name, n, traffic, "bytes/s a daemon", TRAFFIC_BUDGET);
    let in_force = measure_in_force(&cluster);
    let name = format!("configuration_in_force_by_{label}");
    print(&name, n, in_force.as_secs_f64(), "s", IN_FORCE_BUDGET);
}

/// Changes the configuration and waits until every instance runs the change.
fn measure_in_force(cluster: &Cluster) -> Duration {
    let change = json!({
        "request": "capacity",
        "expected": 0,
        "author": "capacity",
        "changes": [{ "set_default": { "setting": "balance", "value": 31 } }],
    });
    let answer = cluster
        .caller(cluster.daemons.len() - 1)
        .post("/admin/v1/configuration", &change)
        .expect("an instance answers");
    assert_eq!(answer.status, 200, "{}", answer.text);
    let accepted = Instant::now();
    for index in 0..cluster.daemons.len() {
        let caller = cluster.caller(index);
        while !runs_revision(&caller.get("/admin/v1/status")) {
            assert!(accepted.elapsed() < IN_FORCE_BOUND, "not in force");
            thread::sleep(POLL);
        }
    }
    accepted.elapsed()
}

fn runs_revision(status: &Option<Value>) -> bool {
    let revision = status
        .as_ref()
        .and_then(|status| status["revision"].as_u64());
    revision >= Some(1)
}

/// Daemons of the users' places in turn; the first three have a disk.
fn places(count: usize) -> Vec<Place> {
    let all = [
        Place::new("morava", "brno-a"),
        Place::new("morava", "jihlava-b"),
        Place::new("cechy", "praha-a"),
    ];
    (0..count)
        .map(|index| {
            let place = all[index % all.len()].clone();
            if index < all.len() {
                place.with_disk()
            } else {
                place
            }
        })
        .collect()
}

/// What a daemon is for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Voter,
    Entry,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Voter => "voter",
            Self::Entry => "entry",
        }
    }
}

/// What the system has used so far.
struct Sample {
    processes: Vec<(Role, Usage)>,
    /// Bytes over loopback, of all processes.
    traffic: f64,
}

struct Usage {
    /// Processor time in seconds.
    cpu: f64,
    /// Resident memory in megabytes.
    memory: f64,
}

impl Sample {
    fn of(cluster: &Cluster) -> Self {
        let mut processes = Vec::new();
        for daemon in &cluster.daemons {
            let role = if daemon.place.disk {
                Role::Voter
            } else {
                Role::Entry
            };
            let process = daemon.process.as_ref().expect("each daemon runs");
            processes.push((role, Usage::of(process.id())));
        }
        Self {
            processes,
            traffic: loopback_bytes(),
        }
    }

    /// The mean of one role's processes.
    fn mean<F>(&self, role: Role, value: F) -> f64
    where
        F: Fn(&Usage) -> f64,
    {
        let values = self.processes.iter().filter(|(found, _)| *found == role);
        let values: Vec<_> = values.map(|(_, usage)| value(usage)).collect();
        values.iter().sum::<f64>() / values.len() as f64
    }

    fn cpu(&self, role: Role) -> f64 {
        self.mean(role, |usage| usage.cpu)
    }

    fn memory(&self, role: Role) -> f64 {
        self.mean(role, |usage| usage.memory)
    }
}

impl Usage {
    fn of(process: u32) -> Self {
        let stat = read(&format!("/proc/{process}/stat"));
        // The fields after the command's name, which may hold spaces.
        let rest = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<_> = rest.split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<f64>().expect("a number of ticks");
        let status = read(&format!("/proc/{process}/status"));
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| {
                rest.trim()
                    .trim_end_matches("kB")
                    .trim()
                    .parse::<f64>()
                    .ok()
            })
            .expect("the resident memory in kB");
        Self {
            cpu: (ticks(11) + ticks(12)) / TICKS,
            memory: resident / 1_000.0,
        }
    }
}

fn loopback_bytes() -> f64 {
    read("/proc/net/dev")
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|bytes| bytes.parse().ok())
        .expect("the bytes received over loopback")
}

fn read(path: &str) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

fn print(name: &str, n: usize, value: f64, unit: &str, budget: f64) {
    println!(
        "{}",
        json!({ "name": name, "n": n, "value": value, "unit": unit, "budget": budget })
    );
}
