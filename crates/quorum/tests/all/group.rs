//! A few replicas on fake disks, joined by a network that a seed controls.

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
    Change,
    ChangeError,
    Config,
    Core,
    DiskId,
    Envelope,
    Event,
    Index,
    Membership,
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

/// How the network treats messages.
#[derive(Clone, Copy, Default)]
pub(crate) struct Net {
    pub(crate) loss: f64,
    pub(crate) doubled: f64,
    /// The shortest time that a message takes, in ms.
    pub(crate) least: u64,
    /// The share of messages that take up to a second longer.
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
    /// Whether writes are left unsynced.
    pub(crate) holds_sync: bool,
    was_leader: bool,
}

pub(crate) struct Group {
    pub(crate) now: Millis,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) net: Net,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) checks: Checks,
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// How often a replica makes a snapshot, in applied entries.
    pub(crate) snapshot_every: u64,
    /// The chance that a disk syncs within 10 ms.
    pub(crate) sync_chance: f64,
    wire: Vec<(Millis, Envelope)>,
    proposed: BTreeMap<Token, u64>,
    reads: BTreeMap<Token, Index>,
    pub(crate) answered_reads: BTreeSet<Token>,
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
            snapshot_every: u64::MAX,
            sync_chance: 0.9,
            wire: Vec::new(),
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
            answered_reads: BTreeSet::new(),
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
            holds_sync: false,
            was_leader: false,
        });
        let at = self.replicas.len() - 1;
        self.restart(at);
        at
    }

    /// Starts a replica with an empty disk that belongs to no group.
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

    /// The instance comes back under its name with an empty disk.
    pub(crate) fn lose_disk(&mut self, at: usize) {
        self.crash(at);
        self.disks += 1;
        self.replicas[at].id = DiskId(self.disks);
        self.replicas[at].disk = Disk::default();
        self.restart(at);
    }

    pub(crate) fn cut_both(&mut self, a: usize, b: usize) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    /// Cuts a replica off from all others, both ways.
    pub(crate) fn isolate(&mut self, at: usize) {
        for other in (0..self.replicas.len()).filter(|&other| other != at) {
            self.cut_both(at, other);
        }
    }

    /// The leader of the latest term that is neither down nor frozen.
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

    /// Proposes `count` fresh values together and returns their tokens.
    pub(crate) fn propose(&mut self, at: usize, count: usize) -> Vec<Token> {
        let tokens: Vec<Token> = (0..count).map(|_| self.token()).collect();
        let proposals = tokens.iter().map(|&token| Proposal {
            token,
            data: Arc::from(&token.0.to_le_bytes()[..]),
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

    /// Feeds an event and all that follows from it at once to a replica.
    pub(crate) fn step(&mut self, at: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(core) = &mut self.replicas[at].core else {
                return;
            };
            let actions = core.step(self.now, event);
            self.note_election(at);
            for action in actions {
                events.extend(self.act(at, action));
            }
        }
    }

    fn note_election(&mut self, at: usize) {
        let replica = &mut self.replicas[at];
        let Some(core) = &replica.core else {
            return;
        };
        if core.is_leader() && !replica.was_leader {
            self.checks.on_elected(core);
        }
        replica.was_leader = core.is_leader();
    }

    fn act(&mut self, at: usize, action: Action) -> Vec<Event> {
        let replica = &mut self.replicas[at];
        match action {
            Action::Send(envelope) => self.post(envelope),
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
                assert!(index <= replica.applied, "a read before its entries");
                assert!(
                    replica.applied >= self.reads[&token],
                    "a read misses an acknowledged write"
                );
                self.answered_reads.insert(token);
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
        let (term, membership) = core.describe(replica.applied)?;
        let snapshot = replica
            .disk
            .snapshot(replica.applied, term, membership, &replica.values);
        Some(Event::SnapshotMade(snapshot))
    }

    fn post(&mut self, envelope: Envelope) {
        let copies = 1 + usize::from(self.rng.random_bool(self.net.doubled));
        for _ in 0..copies {
            if self.rng.random_bool(self.net.loss) {
                continue;
            }
            let slowest = if self.rng.random_bool(self.net.slow) {
                1_000
            } else {
                20
            };
            let delay = Millis(self.net.least + self.rng.random_range(1..=slowest));
            self.wire.push((self.now + delay, envelope.clone()));
        }
    }

    fn at_disk(&self, id: DiskId) -> Option<usize> {
        self.replicas.iter().position(|replica| replica.id == id)
    }

    /// Delivers the messages that are due, but for those that a cut drops. Those to a frozen
    /// replica wait.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.wire)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.wire = later;
        for (_, envelope) in due {
            let from = self.at_disk(envelope.from);
            let Some(to) = self.at_disk(envelope.to) else {
                continue;
            };
            if from.is_some_and(|from| self.cuts.contains(&(from, to))) {
                continue;
            }
            if self.replicas[to].frozen {
                self.wire.push((now, envelope));
                continue;
            }
            self.step(to, Event::Received(envelope));
        }
    }

    /// Lets 10 ms pass.
    pub(crate) fn pass(&mut self) {
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
                && !replica.holds_sync
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

    /// Lets time pass until a condition holds.
    ///
    /// # Panics
    ///
    /// If it does not within two minutes of the group's clock.
    pub(crate) fn until<F>(&mut self, what: &str, mut holds: F)
    where
        F: FnMut(&Self) -> bool,
    {
        let end = self.now + Millis::from_secs(120);
        while !holds(self) {
            assert!(self.now < end, "not reached: {what}");
            self.pass();
        }
    }

    pub(crate) fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.pass();
        }
    }

    /// Waits for a leader that can commit, and returns it.
    pub(crate) fn settle(&mut self) -> usize {
        self.until("a leader with a lease", |group| {
            group.leader().is_some_and(|at| {
                group
                    .core(at)
                    .is_some_and(|core| core.holds_lease(group.now))
            })
        });
        self.leader().expect("a leader")
    }

    /// Writes a value and waits for its acknowledgement.
    pub(crate) fn write(&mut self) -> Token {
        let at = self.settle();
        let token = self.propose(at, 1)[0];
        self.until_committed(token);
        token
    }

    /// Asks for a change until the leader takes it, and waits for it. A leader takes none before
    /// it committed an entry, and no promotion before it knows that the learner has synced.
    pub(crate) fn change_and_wait(&mut self, change: Change) {
        let end = self.now + Millis::from_secs(60);
        loop {
            let at = self.settle();
            let token = self.change(at, change.clone());
            match self.refused.get(&token) {
                None => return self.until_committed(token),
                Some(ChangeError::NotSynced { .. } | ChangeError::TermNotCommitted) => self.pass(),
                Some(error) => panic!("refused: {error}"),
            }
            assert!(self.now < end, "never taken: {change:?}");
        }
    }

    fn until_committed(&mut self, token: Token) {
        self.until("it is committed", |group| {
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
