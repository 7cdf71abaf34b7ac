//! Simulated network: many daemons in one loop on a simulated clock.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
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
    TargetLoad, //
};

pub(crate) const REGIONS: usize = 5;
pub(crate) const DOMAINS: usize = 14;
const STEP: Millis = Millis(50);
pub(crate) const RENEWAL_INTERVAL: Millis = Millis(1_000);

/// Daemons, targets and the packets in flight.
pub(crate) struct Net {
    pub(crate) nodes: Vec<Fleet>,
    pub(crate) targets: Vec<Announcement>,
    pub(crate) now: Millis,
    /// Daemons that are stopped.
    pub(crate) down: BTreeSet<usize>,
    /// Region partitioned from all others.
    pub(crate) partitioned: Option<Region>,
    /// Traffic since [`Net::reset`].
    pub(crate) sent: Sent,
    by_address: HashMap<String, usize>,
    in_flight: Vec<(usize, usize, Vec<u8>)>,
}

/// Traffic and processor time.
#[derive(Default)]
pub(crate) struct Sent {
    pub(crate) bytes: u64,
    pub(crate) remote_bytes: u64,
    pub(crate) packets: u64,
    pub(crate) largest: usize,
    /// Received bytes by daemon.
    pub(crate) received: HashMap<usize, u64>,
    pub(crate) busy: Duration,
}

/// Prints one figure as a line of JSON.
pub(crate) fn report(name: &str, daemons: usize, targets: usize, value: f64, unit: &str) {
    println!(
        "{}",
        json!({
            "name": name, "daemons": daemons, "targets": targets, "value": value, "unit": unit,
        })
    );
}

pub(crate) fn instance(number: usize) -> InstanceRecord {
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

pub(crate) fn target(number: usize) -> Announcement {
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
    pub(crate) fn new(daemons: usize, targets: usize) -> Self {
        Self {
            nodes: (0..daemons).map(|n| start(n, 1, Millis::ZERO)).collect(),
            targets: (0..targets).map(target).collect(),
            now: Millis::ZERO,
            down: BTreeSet::new(),
            partitioned: None,
            sent: Sent::default(),
            by_address: (0..daemons).map(|n| (instance(n).address, n)).collect(),
            in_flight: Vec::new(),
        }
    }

    pub(crate) fn restart(&mut self, number: usize) {
        self.nodes[number] = start(number, 2, self.now);
        self.down.remove(&number);
    }

    pub(crate) fn reset(&mut self) {
        self.sent = Sent::default();
    }

    /// Daemon to which a target announces itself: the first running one, starting in the target's
    /// failure domain.
    fn daemon_of(&self, number: usize) -> usize {
        let near = self.nodes.len().div_ceil(DOMAINS).max(1);
        let first = number % DOMAINS + DOMAINS * (number / DOMAINS % near);
        let order = (first..first + self.nodes.len()).map(|daemon| daemon % self.nodes.len());
        let mut running = order.filter(|daemon| !self.down.contains(daemon));
        running.next().expect("at least one daemon is running")
    }

    pub(crate) fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` holds, checked once per step, or until `bound` has passed. Returns the
    /// elapsed time.
    pub(crate) fn run_until<F>(&mut self, bound: Millis, done: F) -> Millis
    where
        F: Fn(&Self) -> bool,
    {
        let start = self.now;
        while !done(self) && self.now < start + bound {
            self.step();
        }
        self.now - start
    }

    /// Iterates over the running daemons.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Fleet> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(number, _)| !self.down.contains(number))
            .map(|(_, node)| node)
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        for number in 0..self.targets.len() {
            let phase = Millis(number as u64 * STEP.0 % RENEWAL_INTERVAL.0);
            if (self.now + phase).0.is_multiple_of(RENEWAL_INTERVAL.0) {
                self.renew(number);
            }
        }
        for (from, to, packet) in std::mem::take(&mut self.in_flight) {
            self.deliver(from, to, &packet);
        }
        for number in 0..self.nodes.len() {
            if !self.down.contains(&number) {
                self.handle(number, Event::Tick);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, packet: &[u8]) {
        let crosses = |net: &Self| {
            let is_in =
                |number: usize| Some(&net.nodes[number].local().region) == net.partitioned.as_ref();
            is_in(from) != is_in(to)
        };
        if self.down.contains(&to) || crosses(self) {
            return;
        }
        *self.sent.received.entry(to).or_default() += packet.len() as u64;
        let begin = Instant::now();
        let received = self.nodes[to].receive(packet, self.now);
        self.sent.busy += begin.elapsed();
        self.execute(to, received.expect("packet is valid"));
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

    pub(crate) fn handle(&mut self, number: usize, event: Event) {
        let begin = Instant::now();
        let actions = self.nodes[number].handle(event, self.now);
        self.sent.busy += begin.elapsed();
        self.execute(number, actions);
    }

    fn execute(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, packet } = action else {
                continue;
            };
            let to = self.by_address[&to];
            self.sent.bytes += packet.len() as u64;
            self.sent.packets += 1;
            self.sent.largest = self.sent.largest.max(packet.len());
            if self.nodes[from].local().region != self.nodes[to].local().region {
                self.sent.remote_bytes += packet.len() as u64;
            }
            self.in_flight.push((from, to, packet));
        }
    }

    /// Prints one figure of this point.
    pub(crate) fn report_figure(&self, name: &str, value: f64, unit: &str) {
        report(name, self.nodes.len(), self.targets.len(), value, unit);
    }

    /// Prints the traffic and processor time of a daemon per second since [`Net::reset`].
    pub(crate) fn report_traffic(&self, name: &str, time: Millis) {
        let daemon_secs = (self.nodes.len() as u64 * time.0) as f64 / 1e3;
        let per_sec = |count: u64| count as f64 / daemon_secs;
        let Sent {
            bytes,
            remote_bytes,
            packets,
            largest,
            busy,
            ..
        } = self.sent;
        self.report_figure(&format!("{name}_bytes"), per_sec(bytes), "bytes/s");
        self.report_figure(
            &format!("{name}_remote_bytes"),
            per_sec(remote_bytes),
            "bytes/s",
        );
        self.report_figure(&format!("{name}_packets"), per_sec(packets), "1/s");
        self.report_figure(&format!("{name}_largest_packet"), largest as f64, "bytes");
        let nanos = busy.as_nanos() as f64 / daemon_secs;
        self.report_figure(&format!("{name}_cpu"), nanos, "ns/s");
    }
}

fn start(number: usize, generation: u64, now: Millis) -> Fleet {
    let seeds: Vec<_> = (0..3).map(|number| instance(number).address).collect();
    let mut local = instance(number);
    local.incarnation += generation;
    let seed = number as u64 + 1_000 * generation;
    Fleet::new(FleetConfig::default(), local, seeds, seed, now)
}
