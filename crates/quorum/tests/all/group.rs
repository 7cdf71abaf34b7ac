//! Simulated group: replicas on fake disks, connected by a seeded random network.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccaseam_base::{
    InstanceName,
    Millis,
    Verdict, //
};
use yuccaseam_quorum::{
    Action,
    Body,
    Change,
    ChangeError,
    Config,
    Core,
    DiskId,
    Envelope,
    Event,
    Index,
    Membership,
    Payload,
    Proposal,
    Restored,
    Timing,
    Token, //
};

use crate::{
    checks::{
        Checks,
        value_of, //
    },
    disk::Disk, //
};

/// Additional delay of a message from or to a replica in another region.
const REGION_DELAY: Millis = Millis(30);

/// Bytes of a message besides its log data.
const MESSAGE_OVERHEAD_BYTES: u64 = 100;

/// Connections to and from the replicas in another region: ordered, and of a limited rate in each
/// direction.
pub(crate) struct RegionLink {
    /// Rate in bytes per ms.
    pub(crate) rate: u64,
    /// Additional delay of each message.
    pub(crate) delay: Millis,
    /// Log data sent to the other region, in bytes.
    pub(crate) sent: u64,
    /// Time at which the last byte leaves, towards the other region and back.
    free_at: [Millis; 2],
}

impl RegionLink {
    pub(crate) fn new(rate: u64, delay: Millis) -> Self {
        Self {
            rate,
            delay,
            sent: 0,
            free_at: [Millis::ZERO; 2],
        }
    }

    /// Returns when a message arrives.
    fn send(&mut self, body: &Body, is_back: bool, now: Millis) -> Millis {
        let data = match body {
            Body::Append(append) => {
                let sizes = append.entries.iter().map(|entry| match &entry.payload {
                    Payload::Command(data) => data.len() as u64,
                    _ => 0,
                });
                sizes.sum()
            }
            Body::Chunk(chunk) => chunk.data.len() as u64,
            _ => 0,
        };
        if !is_back {
            self.sent += data;
        }
        let free_at = &mut self.free_at[usize::from(is_back)];
        let transmission = Millis((data + MESSAGE_OVERHEAD_BYTES).div_ceil(self.rate));
        *free_at = now.max(*free_at) + transmission;
        *free_at + self.delay
    }
}

/// Faults and delays of the network.
#[derive(Clone, Copy, Default)]
pub(crate) struct Net {
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    /// Minimum delay of a message in ms.
    pub(crate) min_delay_ms: u64,
    /// Share of messages that are delayed by up to a second more.
    pub(crate) slow: f64,
}

pub(crate) struct Replica {
    pub(crate) id: DiskId,
    pub(crate) name: InstanceName,
    pub(crate) core: Option<Core>,
    pub(crate) disk: Disk,
    pub(crate) values: Vec<u64>,
    pub(crate) applied: Index,
    pub(crate) frozen: bool,
    /// Whether writes stay unsynced.
    pub(crate) sync_blocked: bool,
    was_leader: bool,
}

pub(crate) struct Group {
    pub(crate) now: Millis,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) net: Net,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) checks: Checks,
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// Replicas in another region than the rest.
    pub(crate) remote: BTreeSet<usize>,
    /// Link to these replicas; `None` if only its delay counts.
    pub(crate) link: Option<RegionLink>,
    /// Size of each proposed value in bytes, at least 8.
    pub(crate) value_bytes: usize,
    /// Replicas that have lost these disks. Messages to a lost disk still travel to its replica.
    lost_disks: BTreeMap<DiskId, usize>,
    /// Number of applied entries after which a replica writes a snapshot.
    pub(crate) snapshot_every: u64,
    /// Probability that a disk syncs within a step of 10 ms.
    pub(crate) sync_chance: f64,
    in_transit: Vec<(Millis, Envelope)>,
    proposed: BTreeMap<Token, u64>,
    reads: BTreeMap<Token, Index>,
    pub(crate) confirmed_reads: BTreeSet<Token>,
    pub(crate) committed_tokens: BTreeSet<Token>,
    pub(crate) rejected: BTreeMap<Token, Verdict>,
    pub(crate) refused: BTreeMap<Token, ChangeError>,
    tokens: u64,
    disks: u64,
}

impl Group {
    pub(crate) fn new(size: u64, seed: u64) -> Self {
        let name = |n: u64| InstanceName(format!("instance-{n}"));
        let membership = Membership::of_voters((1..=size).map(|n| (DiskId(n), name(n))));
        let mut group = Self {
            now: Millis::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            net: Net::default(),
            replicas: Vec::new(),
            checks: Checks::default(),
            cuts: BTreeSet::new(),
            remote: BTreeSet::new(),
            link: None,
            value_bytes: 8,
            lost_disks: BTreeMap::new(),
            snapshot_every: u64::MAX,
            sync_chance: 0.9,
            in_transit: Vec::new(),
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed_reads: BTreeSet::new(),
            committed_tokens: BTreeSet::new(),
            rejected: BTreeMap::new(),
            refused: BTreeMap::new(),
            tokens: 0,
            disks: size,
        };
        for n in 1..=size {
            let disk = Disk::of_group(membership.clone());
            group.add(DiskId(n), name(n), disk);
        }
        group
    }

    fn add(&mut self, id: DiskId, name: InstanceName, disk: Disk) -> usize {
        self.replicas.push(Replica {
            id,
            name,
            core: None,
            disk,
            values: Vec::new(),
            applied: Index::ZERO,
            frozen: false,
            sync_blocked: false,
            was_leader: false,
        });
        let at = self.replicas.len() - 1;
        self.restart(at);
        at
    }

    /// Starts a replica with an empty disk, which is not a member of any group.
    pub(crate) fn add_blank(&mut self, name: &str) -> usize {
        self.disks += 1;
        self.add(DiskId(self.disks), name.into(), Disk::default())
    }

    pub(crate) fn crash(&mut self, at: usize) {
        let replica = &mut self.replicas[at];
        replica.core = None;
        replica.disk.crash();
        replica.frozen = false;
        replica.was_leader = false;
    }

    pub(crate) fn restart(&mut self, at: usize) {
        let seed = self.rng.random();
        let replica = &mut self.replicas[at];
        let restored: Restored = replica.disk.synced.clone();
        replica.values = replica.disk.values();
        replica.applied = restored.snapshot.id.index;
        let cfg = Config {
            id: replica.id,
            timing: Timing::default(),
            seed,
        };
        replica.core = Some(Core::new(cfg, restored, self.now));
    }

    /// Restarts an instance under its name with an empty disk.
    pub(crate) fn lose_disk(&mut self, at: usize) {
        self.crash(at);
        self.disks += 1;
        self.lost_disks.insert(self.replicas[at].id, at);
        self.replicas[at].id = DiskId(self.disks);
        self.replicas[at].disk = Disk::default();
        self.restart(at);
    }

    pub(crate) fn cut_both(&mut self, a: usize, b: usize) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    /// Cuts a replica off from all others in both directions.
    pub(crate) fn isolate(&mut self, at: usize) {
        for other in (0..self.replicas.len()).filter(|&other| other != at) {
            self.cut_both(at, other);
        }
    }

    /// Leader of the latest term that is neither crashed nor frozen.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.replicas.len())
            .filter(|&at| self.core(at).is_some_and(Core::is_leader))
            .filter(|&at| !self.replicas[at].frozen)
            .max_by_key(|&at| self.core(at).map(Core::term))
    }

    pub(crate) fn core(&self, at: usize) -> Option<&Core> {
        self.replicas[at].core.as_ref()
    }

    fn token(&mut self) -> Token {
        self.tokens += 1;
        Token(self.tokens)
    }

    /// Proposes `count` new values in one event and returns their tokens.
    pub(crate) fn propose(&mut self, at: usize, count: usize) -> Vec<Token> {
        let tokens: Vec<Token> = (0..count).map(|_| self.token()).collect();
        let value_bytes = self.value_bytes;
        let proposals = tokens.iter().map(|&token| {
            let mut data = token.0.to_le_bytes().to_vec();
            data.resize(value_bytes, 0);
            Proposal {
                token,
                data: Arc::from(data),
            }
        });
        let event = Event::Propose(proposals.collect());
        self.proposed
            .extend(tokens.iter().map(|&token| (token, token.0)));
        self.step(at, event);
        tokens
    }

    pub(crate) fn read(&mut self, at: usize) -> Token {
        let token = self.token();
        self.reads.insert(token, self.checks.last_acknowledged());
        self.step(at, Event::Read(token));
        token
    }

    pub(crate) fn change(&mut self, at: usize, change: Change) -> Token {
        let token = self.token();
        self.step(at, Event::ChangeMembers { token, change });
        token
    }

    /// Steps a replica with an event and all events that its actions cause at once.
    pub(crate) fn step(&mut self, at: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(core) = &mut self.replicas[at].core else {
                return;
            };
            let actions = core.step(self.now, event);
            self.record_election(at);
            for action in actions {
                events.extend(self.execute(at, action));
            }
        }
    }

    fn record_election(&mut self, at: usize) {
        let replica = &mut self.replicas[at];
        let Some(core) = &replica.core else {
            return;
        };
        if core.is_leader() && !replica.was_leader {
            self.checks.on_elected(core);
        }
        replica.was_leader = core.is_leader();
    }

    fn execute(&mut self, at: usize, action: Action) -> Vec<Event> {
        let replica = &mut self.replicas[at];
        match action {
            Action::Send(envelope) => self.send(envelope),
            Action::Persist(persist) => replica.disk.write(persist),
            Action::Commit(entries) => {
                for committed in entries {
                    self.checks.on_commit(&committed);
                    self.committed_tokens.extend(committed.token);
                    replica.applied = committed.entry.index;
                    replica.values.extend(value_of(&committed.entry));
                }
                return self.snapshot_if_due(at).into_iter().collect();
            }
            Action::ReadReady { token, index } => {
                assert!(
                    index <= replica.applied,
                    "read confirmed before its entries"
                );
                assert!(
                    replica.applied >= self.reads[&token],
                    "read misses an acknowledged write"
                );
                self.confirmed_reads.insert(token);
            }
            Action::Rejected { token, verdict, .. } => {
                self.rejected.insert(token, verdict);
                if let (Some(&value), Verdict::NotRun) = (self.proposed.get(&token), verdict) {
                    self.checks.not_run.insert(value);
                }
            }
            Action::ChangeRefused { token, error } => {
                self.refused.insert(token, error);
            }
            Action::ReadChunk { to, id, offset } => {
                let chunk = replica.disk.read(id, offset);
                return vec![Event::ChunkRead { to, chunk }];
            }
            Action::StoreChunk { snapshot, chunk } => {
                let received = replica.disk.store(snapshot, &chunk);
                let id = chunk.id;
                return vec![Event::ChunkStored { id, received }];
            }
            Action::InstallSnapshot(snapshot) => {
                let synced = replica.disk.sync(usize::MAX).map(Event::Synced);
                let id = snapshot.id;
                replica.disk.install(snapshot);
                replica.values = replica.disk.values();
                replica.applied = id.index;
                self.checks.state(id.index, &replica.values);
                let installed = Event::SnapshotInstalled(id);
                return synced.into_iter().chain([installed]).collect();
            }
        }
        Vec::new()
    }

    fn snapshot_if_due(&mut self, at: usize) -> Option<Event> {
        let replica = &mut self.replicas[at];
        let core = replica.core.as_ref()?;
        let due = core.snapshot_index().0.saturating_add(self.snapshot_every);
        if replica.applied.0 < due {
            return None;
        }
        let (term, membership) = core.term_and_membership_at(replica.applied)?;
        let snapshot = replica
            .disk
            .snapshot(replica.applied, term, membership, &replica.values);
        Some(Event::SnapshotCreated(snapshot))
    }

    fn send(&mut self, envelope: Envelope) {
        let copies = 1 + usize::from(self.rng.random_bool(self.net.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.net.loss) {
                continue;
            }
            let slowest = if self.rng.random_bool(self.net.slow) {
                1_000
            } else {
                20
            };
            let mut delay = Millis(self.net.min_delay_ms + self.rng.random_range(1..=slowest));
            let [from, to] = [envelope.from, envelope.to].map(|id| {
                let lost = self.lost_disks.get(&id).copied();
                let at = self.position_of(id).or(lost);
                at.is_some_and(|at| self.remote.contains(&at))
            });
            if (from || to)
                && let Some(link) = &mut self.link
            {
                let arrives_at = link.send(&envelope.body, from, self.now);
                self.in_transit.push((arrives_at, envelope.clone()));
                continue;
            }
            if from || to {
                delay += REGION_DELAY;
            }
            self.in_transit.push((self.now + delay, envelope.clone()));
        }
    }

    fn position_of(&self, id: DiskId) -> Option<usize> {
        self.replicas.iter().position(|replica| replica.id == id)
    }

    /// Delivers the messages that are due, except those dropped by a cut. Messages to a frozen
    /// replica are delayed.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_transit = later;
        for (_, envelope) in due {
            let from = self.position_of(envelope.from);
            let Some(to) = self.position_of(envelope.to) else {
                continue;
            };
            if from.is_some_and(|from| self.cuts.contains(&(from, to))) {
                continue;
            }
            if self.replicas[to].frozen {
                self.in_transit.push((now, envelope));
                continue;
            }
            self.step(to, Event::Received(envelope));
        }
    }

    /// Advances the simulated time by 10 ms.
    pub(crate) fn advance(&mut self) {
        self.now += Millis(10);
        self.deliver();
        for at in 0..self.replicas.len() {
            if self.replicas[at].frozen {
                continue;
            }
            let syncs = self.rng.random_bool(self.sync_chance);
            let count = usize::from(syncs) * self.rng.random_range(1..4);
            let replica = &mut self.replicas[at];
            if replica.core.is_some()
                && !replica.sync_blocked
                && let Some(seq) = replica.disk.sync(count)
            {
                self.step(at, Event::Synced(seq));
            }
            self.step(at, Event::Tick);
        }
        let cores = self
            .replicas
            .iter()
            .filter_map(|replica| replica.core.as_ref());
        self.checks.leases(cores, self.now);
    }

    /// Advances the simulated time until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold within two minutes of simulated time.
    pub(crate) fn run_until<F>(&mut self, condition: &str, mut is_met: F)
    where
        F: FnMut(&Self) -> bool,
    {
        let end = self.now + Millis::from_secs(120);
        while !is_met(self) {
            assert!(self.now < end, "timed out: {condition}");
            self.advance();
        }
    }

    pub(crate) fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.advance();
        }
    }

    /// Waits for a leader with a lease and returns it.
    pub(crate) fn wait_for_leader(&mut self) -> usize {
        self.run_until("a leader with a lease", |group| {
            group.leader().is_some_and(|at| {
                group
                    .core(at)
                    .is_some_and(|core| core.holds_lease(group.now))
            })
        });
        self.leader().expect("a leader")
    }

    /// Writes a value and waits for its acknowledgement. A leader refuses proposals while it transfers its
    /// leadership, for an election timeout at most.
    pub(crate) fn write(&mut self) -> Token {
        let end = self.now + Timing::default().election_timeout * 2;
        loop {
            let at = self.wait_for_leader();
            let token = self.propose(at, 1)[0];
            if self.rejected.get(&token) != Some(&Verdict::NotRun) {
                self.until_committed(token);
                return token;
            }
            assert!(self.now < end, "proposals are refused");
            self.advance();
        }
    }

    /// Requests a change until the leader accepts it, and waits until it is committed. A leader
    /// accepts no change before it has committed an entry of its term, and no promotion before the
    /// learner has reported itself synced.
    pub(crate) fn change_and_wait(&mut self, change: Change) {
        let end = self.now + Millis::from_secs(60);
        loop {
            let at = self.wait_for_leader();
            let token = self.change(at, change.clone());
            match self.refused.get(&token) {
                None => return self.until_committed(token),
                Some(ChangeError::NotSynced { .. } | ChangeError::TermNotCommitted) => {
                    self.advance()
                }
                Some(error) => panic!("refused: {error}"),
            }
            assert!(self.now < end, "not accepted: {change:?}");
        }
    }

    fn until_committed(&mut self, token: Token) {
        self.run_until("it is committed", |group| {
            assert_eq!(group.refused.get(&token), None);
            group.committed_tokens.contains(&token)
        });
    }

    /// Checks the state of every running replica.
    pub(crate) fn check_states(&self) {
        for replica in &self.replicas {
            if replica.core.is_some() {
                self.checks.state(replica.applied, &replica.values);
            }
        }
    }
}
