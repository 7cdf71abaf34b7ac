//! Measures what membership costs a daemon: bytes and processor time a second, and memory.
//!
//! Run `cargo run --release -p yuccaseam-fleet --example fleet_slopes [LEAST_DAEMONS]`. All daemons' cores run in
//! one loop on a simulated clock, without loss. Each figure is one JSON line. Bytes are those of
//! packets sent, without what the transport adds.

use std::{
    collections::HashMap,
    env,
    time::{
        Duration,
        Instant, //
    }, //
};

use serde_json::json;
use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    Millis,
    Region,
    TargetName, //
};
use yuccaseam_fleet::{
    Action,
    Announcement,
    Event,
    Fleet,
    FleetConfig,
    InstanceRecord,
    Status,
    TargetKind,
    TargetLoad,
    TargetState, //
};

const REGIONS: usize = 5;
const DOMAINS: usize = 14;
const STEP: Millis = Millis(50);
const RENEWAL: Millis = Millis(1_000);

/// Daemons and targets of each point.
const POINTS: [(usize, usize); 7] = [
    (9, 30),
    (50, 30),
    (50, 340),
    (150, 340),
    (150, 1_030),
    (320, 1_030),
    (320, 2_200),
];

const SETTLE: Millis = Millis::from_secs(120);
const QUIET: Millis = Millis::from_secs(40);

/// Changes of targets a second in the busy part: all targets restart within about 20 minutes.
const CHANGES_PER_SEC: u64 = 2;

/// All cores, and what crosses between them.
struct Net {
    nodes: Vec<Fleet>,
    by_address: HashMap<String, usize>,
    targets: Vec<Announcement>,
    in_flight: Vec<(usize, Vec<u8>)>,
    now: Millis,
    bytes: u64,
    remote_bytes: u64,
    packets: u64,
    largest: usize,
    busy: Duration,
}

fn main() {
    let least = env::args()
        .nth(1)
        .map_or(0, |n| n.parse().expect("a number of daemons"));
    for (daemons, targets) in POINTS.into_iter().filter(|(daemons, _)| *daemons >= least) {
        measure(daemons, targets);
    }
}

fn measure(daemons: usize, targets: usize) {
    let before = counting::allocated();
    let mut net = Net::new(daemons, targets);
    net.run(SETTLE);
    let held = counting::allocated() - before;
    report(
        "memory",
        daemons,
        targets,
        held as f64 / daemons as f64,
        "bytes",
    );
    net.part("quiet", QUIET, 0);
    net.part("busy", QUIET, CHANGES_PER_SEC);
    net.leaving();
    net.owners_after_a_loss();
}

fn report(name: &str, daemons: usize, targets: usize, value: f64, unit: &str) {
    println!(
        "{}",
        json!({
            "name": name, "daemons": daemons, "targets": targets, "value": value, "unit": unit,
        })
    );
}

fn instance(number: usize) -> InstanceRecord {
    let domain = number % DOMAINS;
    InstanceRecord {
        name: InstanceName(format!("entry-{number:03}")),
        address: format!("10.1.{}.{}:7400", number / 250, number % 250),
        domain: FailureDomain(format!("domain-{domain:02}")),
        region: Region(format!("region-{}", domain % REGIONS)),
        incarnation: 1_760_000_000_000,
        status: Status::Alive,
    }
}

fn target(number: usize) -> Announcement {
    let domain = number % DOMAINS;
    Announcement {
        name: TargetName(format!("lagging-llm-{number:04}")),
        address: format!("10.2.{}.{}:9000", number / 250, number % 250),
        kind: TargetKind::Engine,
        serves: "lagging-llm".to_owned(),
        domain: FailureDomain(format!("domain-{domain:02}")),
        region: Region(format!("region-{}", domain % REGIONS)),
        slots: 32,
        incarnation: 1_760_000_000_000,
    }
}

impl Net {
    fn new(daemons: usize, targets: usize) -> Self {
        let seeds: Vec<_> = (0..3).map(|number| instance(number).address).collect();
        let node = |number| {
            let cfg = FleetConfig::default();
            Fleet::new(
                cfg,
                instance(number),
                seeds.clone(),
                number as u64,
                Millis::ZERO,
            )
        };
        Self {
            nodes: (0..daemons).map(node).collect(),
            by_address: (0..daemons).map(|n| (instance(n).address, n)).collect(),
            targets: (0..targets).map(target).collect(),
            in_flight: Vec::new(),
            now: Millis::ZERO,
            bytes: 0,
            remote_bytes: 0,
            packets: 0,
            largest: 0,
            busy: Duration::ZERO,
        }
    }

    /// The daemon that a target announces itself to: one of its failure domain.
    fn daemon_of(&self, number: usize) -> usize {
        let near = self.nodes.len().div_ceil(DOMAINS).max(1);
        let daemon = number % DOMAINS + DOMAINS * (number / DOMAINS % near);
        daemon % self.nodes.len()
    }

    fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for number in 0..self.targets.len() {
            let phase = Millis(number as u64 * STEP.0 % RENEWAL.0);
            if (self.now + phase).0.is_multiple_of(RENEWAL.0) {
                self.renew(number);
            }
        }
        for (to, packet) in std::mem::take(&mut self.in_flight) {
            let begin = Instant::now();
            let actions = self.nodes[to]
                .receive(&packet, self.now)
                .expect("a good packet");
            self.busy += begin.elapsed();
            self.carry_out(to, actions);
        }
        for number in 0..self.nodes.len() {
            self.handle(number, Event::Tick);
        }
    }

    fn renew(&mut self, number: usize) {
        let announcement = self.targets[number].clone();
        let target = announcement.name.clone();
        let daemon = self.daemon_of(number);
        let load = TargetLoad {
            running: number as u32 % 32,
            waiting: 0,
            cache_permille: 500,
        };
        self.handle(daemon, Event::Announced(announcement));
        self.handle(daemon, Event::LoadReported { target, load });
    }

    fn handle(&mut self, number: usize, event: Event) {
        let begin = Instant::now();
        let actions = self.nodes[number].handle(event, self.now);
        self.busy += begin.elapsed();
        self.carry_out(number, actions);
    }

    fn carry_out(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, packet } = action else {
                continue;
            };
            let to = self.by_address[&to];
            self.bytes += packet.len() as u64;
            self.packets += 1;
            self.largest = self.largest.max(packet.len());
            if self.nodes[from].me().region != self.nodes[to].me().region {
                self.remote_bytes += packet.len() as u64;
            }
            self.in_flight.push((to, packet));
        }
    }

    fn say(&self, name: &str, value: f64, unit: &str) {
        report(name, self.nodes.len(), self.targets.len(), value, unit);
    }

    /// Measures some time in which some targets restart.
    fn part(&mut self, name: &str, time: Millis, changes_per_sec: u64) {
        (self.bytes, self.remote_bytes, self.packets, self.largest) = (0, 0, 0, 0);
        self.busy = Duration::ZERO;
        let end = self.now + time;
        let mut changed = 0;
        while self.now < end {
            self.run(RENEWAL);
            for _ in 0..changes_per_sec {
                let number = changed % self.targets.len();
                self.targets[number].incarnation += 1;
                changed += 1;
            }
        }
        let daemon_secs = (self.nodes.len() as u64 * time.0) as f64 / 1e3;
        let per_sec = |count: u64| count as f64 / daemon_secs;
        self.say(&format!("{name}_bytes"), per_sec(self.bytes), "bytes/s");
        self.say(
            &format!("{name}_remote_bytes"),
            per_sec(self.remote_bytes),
            "bytes/s",
        );
        self.say(&format!("{name}_packets"), per_sec(self.packets), "1/s");
        self.say(
            &format!("{name}_largest_packet"),
            self.largest as f64,
            "bytes",
        );
        let nanos = self.busy.as_nanos() as f64 / daemon_secs;
        self.say(&format!("{name}_cpu"), nanos, "ns/s");
    }

    /// Measures how long it takes until all know that a tenth of the targets leave.
    fn leaving(&mut self) {
        let leaving: Vec<_> = (0..self.targets.len()).step_by(10).collect();
        let start = self.now;
        for &number in &leaving {
            let name = self.targets[number].name.clone();
            let daemon = (number + 1) % self.nodes.len();
            self.handle(daemon, Event::TargetLeaving(name));
        }
        let known = |net: &Self| {
            net.nodes.iter().all(|node| {
                let is_leaving = |&number: &usize| {
                    let record = node.target(&net.targets[number].name);
                    record.is_some_and(|record| record.state == TargetState::Leaving)
                };
                leaving.iter().all(is_leaving)
            })
        };
        while !known(self) && self.now < start + Millis::from_secs(120) {
            self.step();
        }
        let count = leaving.len();
        self.say(
            &format!("leaving_known_by_all_of_{count}"),
            (self.now - start).0 as f64,
            "ms",
        );
    }

    /// Measures the choice of all owners after one daemon left.
    fn owners_after_a_loss(&mut self) {
        self.nodes[1].handle(Event::Leave, self.now);
        let actions = self.nodes[1].handle(Event::Tick, self.now);
        let packet = actions.iter().find_map(|action| match action {
            Action::Send { packet, .. } => Some(packet.clone()),
            _ => None,
        });
        let packet = packet.expect("a daemon that leaves says so");
        let begin = Instant::now();
        self.nodes[0]
            .receive(&packet, self.now)
            .expect("a good packet");
        self.say("owners_chosen", begin.elapsed().as_micros() as f64, "us");
    }
}

/// Counts the bytes that are allocated.
mod counting {
    use std::{
        alloc::{
            GlobalAlloc,
            Layout,
            System, //
        },
        sync::atomic::{
            AtomicI64,
            Ordering::Relaxed, //
        }, //
    };

    static ALLOCATED: AtomicI64 = AtomicI64::new(0);

    struct Counting;

    #[global_allocator]
    static ALLOCATOR: Counting = Counting;

    /// How many bytes are allocated now.
    pub(super) fn allocated() -> i64 {
        ALLOCATED.load(Relaxed)
    }

    // SAFETY: All calls go to the system's allocator unchanged.
    unsafe impl GlobalAlloc for Counting {
        unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
            ALLOCATED.fetch_add(layout.size() as i64, Relaxed);
            // SAFETY: The caller keeps the contract of `GlobalAlloc::alloc`.
            unsafe { System.alloc(layout) }
        }

        unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
            ALLOCATED.fetch_sub(layout.size() as i64, Relaxed);
            // SAFETY: The caller keeps the contract of `GlobalAlloc::dealloc`.
            unsafe { System.dealloc(ptr, layout) }
        }
    }
}
