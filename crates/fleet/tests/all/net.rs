//! Simulated network of daemons, with packet loss, partitions and frozen daemons.

use std::collections::{
    BTreeSet,
    HashMap, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
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
    TargetState, //
};

const STEP: Millis = Millis(50);
const RENEWAL_INTERVAL_MS: u64 = 1_000;

struct InFlight {
    from: usize,
    to: usize,
    packet: Vec<u8>,
}

/// Daemons and the packets in flight.
pub(crate) struct Net {
    pub(crate) nodes: Vec<Option<Fleet>>,
    pub(crate) now: Millis,
    /// Packet loss, in thousandths.
    pub(crate) loss_permille: u32,
    /// Regions partitioned from all others.
    pub(crate) partitioned: BTreeSet<usize>,
    /// Daemons that do not run and whose packets are queued.
    pub(crate) frozen: BTreeSet<usize>,
    /// Actions of each daemon other than sends.
    pub(crate) recorded: Vec<(usize, Action)>,
    regions: usize,
    renewing: HashMap<TargetName, (usize, Announcement)>,
    in_flight: Vec<InFlight>,
    rng: ChaCha8Rng,
}

pub(crate) fn instance(number: usize, regions: usize, incarnation: u64) -> InstanceRecord {
    let region = number % regions;
    InstanceRecord {
        name: InstanceName(format!("instance-{number}")),
        address: format!("{number}"),
        domain: FailureDomain(format!("domain-{region}-{}", number / regions % 3)),
        region: Region(format!("region-{region}")),
        incarnation,
        status: Status::Alive,
    }
}

pub(crate) fn target(number: usize, region: usize) -> Announcement {
    Announcement {
        name: TargetName(format!("target-{number}")),
        address: format!("10.0.0.{number}:9000"),
        kind: TargetKind::Engine,
        serves: "lagging-llm".to_owned(),
        domain: FailureDomain(format!("domain-{region}-{}", number % 3)),
        region: Region(format!("region-{region}")),
        slots: 8,
        incarnation: 1,
    }
}

impl Net {
    /// Creates daemons that know the addresses of the first two.
    pub(crate) fn new(count: usize, regions: usize, seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            now: Millis::ZERO,
            loss_permille: 0,
            partitioned: BTreeSet::new(),
            frozen: BTreeSet::new(),
            recorded: Vec::new(),
            regions,
            renewing: HashMap::new(),
            in_flight: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for number in 0..count {
            net.nodes.push(None);
            net.start(number, 1);
        }
        net
    }

    /// Starts or restarts a daemon.
    pub(crate) fn start(&mut self, number: usize, incarnation: u64) {
        let local = instance(number, self.regions, incarnation);
        let seeds = vec!["0".to_owned(), "1".to_owned()];
        let seed = number as u64;
        let fleet = Fleet::new(FleetConfig::default(), local, seeds, seed, self.now);
        self.nodes[number] = Some(fleet);
    }

    pub(crate) fn stop(&mut self, number: usize) {
        self.nodes[number] = None;
    }

    pub(crate) fn node(&self, number: usize) -> &Fleet {
        self.nodes[number].as_ref().expect("daemon is running")
    }

    pub(crate) fn handle(&mut self, number: usize, event: Event) {
        let node = self.nodes[number].as_mut().expect("daemon is running");
        let actions = node.handle(event, self.now);
        self.execute(number, actions);
    }

    /// Makes a target renew at a daemon until [`Net::stop_renewing`].
    pub(crate) fn renew_at(&mut self, number: usize, announcement: Announcement) {
        self.handle(number, Event::Announced(announcement.clone()));
        let name = announcement.name.clone();
        self.renewing.insert(name, (number, announcement));
    }

    pub(crate) fn stop_renewing(&mut self, name: &TargetName) {
        self.renewing.remove(name);
    }

    pub(crate) fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` holds or `time` has passed. Returns whether it held.
    pub(crate) fn run_until<F>(&mut self, time: Millis, done: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        let end = self.now + time;
        while !done(self) {
            if self.now >= end {
                return false;
            }
            self.step();
        }
        true
    }

    /// Whether an instance has this status in every running daemon's view.
    pub(crate) fn all_have_status(&self, number: usize, status: Status) -> bool {
        let name = InstanceName(format!("instance-{number}"));
        self.running().all(|(_, node)| {
            let record = node.instance(&name);
            record.is_some_and(|record| record.status == status)
        })
    }

    /// Whether a target has this state in every running daemon's view.
    pub(crate) fn all_have_target_state(&self, name: &TargetName, state: TargetState) -> bool {
        self.running().all(|(_, node)| {
            let record = node.target(name);
            record.is_some_and(|record| record.state == state)
        })
    }

    /// Whether every running daemon has joined and considers exactly the running ones alive.
    pub(crate) fn has_converged(&self) -> bool {
        let count = self.running().count();
        self.running().all(|(_, node)| {
            let alive = node
                .instances()
                .filter(|record| record.status == Status::Alive);
            alive.count() == count && node.is_joined()
        })
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = (usize, &Fleet)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(number, node)| Some((number, node.as_ref()?)))
    }

    fn step(&mut self) {
        self.now += STEP;
        self.renew();
        for packet in std::mem::take(&mut self.in_flight) {
            self.deliver(packet);
        }
        for number in 0..self.nodes.len() {
            if self.nodes[number].is_some() && !self.frozen.contains(&number) {
                self.handle(number, Event::Tick);
            }
        }
    }

    fn renew(&mut self) {
        if !self.now.0.is_multiple_of(RENEWAL_INTERVAL_MS) {
            return;
        }
        let mut renewing: Vec<_> = self.renewing.values().cloned().collect();
        renewing.sort_by(|(_, a), (_, b)| a.name.cmp(&b.name));
        for (number, announcement) in renewing {
            if self.nodes[number].is_some() && !self.frozen.contains(&number) {
                self.handle(number, Event::Announced(announcement));
            }
        }
    }

    fn deliver(&mut self, packet: InFlight) {
        if self.frozen.contains(&packet.to) {
            self.in_flight.push(packet);
            return;
        }
        let (from, to) = (packet.from % self.regions, packet.to % self.regions);
        let cut =
            from != to && (self.partitioned.contains(&from) || self.partitioned.contains(&to));
        let lost = self.rng.random_range(0..1_000) < self.loss_permille;
        if cut || lost {
            return;
        }
        if let Some(node) = &mut self.nodes[packet.to] {
            let actions = node
                .receive(&packet.packet, self.now)
                .expect("packet is valid");
            self.execute(packet.to, actions);
        }
    }

    fn execute(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, packet } => {
                    let to = to.parse().expect("addresses are numbers");
                    self.in_flight.push(InFlight { from, to, packet });
                }
                other => self.recorded.push((from, other)),
            }
        }
    }
}
