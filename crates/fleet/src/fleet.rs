//! The state of one daemon's membership, and its clockwork.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName,
    value, //
};

use crate::{
    announce::Relay,
    config::FleetConfig,
    gossip::{
        Queue,
        Subject, //
    },
    instance::{
        Instance,
        InstanceRecord,
        Status, //
    },
    members::Members,
    owner::Owners,
    probe::Prober,
    target::{
        Announcement,
        Target,
        TargetLoad,
        TargetRecord,
        TargetState, //
    },
    targets::Targets, //
};

/// How often expiries are looked at.
const CHECK_INTERVAL: Millis = Millis(250);

/// What happens to a daemon.
#[value]
pub enum Event {
    /// Time passes. Expected every 50 to 250 ms.
    Tick,
    /// A target announced itself here, or renewed.
    Announced(Announcement),
    /// A target said here that it is leaving.
    TargetLeaving(TargetName),
    /// A target reported its load here.
    LoadReported {
        /// The target.
        target: TargetName,
        /// Its load.
        load: TargetLoad,
    },
    /// A call to another daemon failed: it is probed next.
    PeerFailed(InstanceName),
    /// This daemon is stopping: it gives up what it owns, and still answers.
    Leave,
}

/// What the daemon has to do.
#[value]
pub enum Action {
    /// Send a packet to the daemon that listens at an address.
    Send {
        /// The address.
        to: String,
        /// The packet, for [`Fleet::receive`].
        packet: Vec<u8>,
    },
    /// An instance is new or has changed.
    InstanceChanged(InstanceRecord),
    /// A target is new or has changed.
    TargetChanged(TargetRecord),
    /// A target has another owner.
    OwnerChanged(OwnerChange),
    /// A target that this daemon owns reported its load, here or at another daemon.
    LoadReported {
        /// The target.
        target: TargetName,
        /// Its load.
        load: TargetLoad,
    },
}

/// A change of a target's owner.
#[value]
pub struct OwnerChange {
    /// The target.
    pub target: TargetName,
    /// The daemon that owns it now, if any may.
    pub owner: Option<InstanceName>,
}

/// When each periodic task is due.
#[derive(Debug)]
pub(crate) struct Timers {
    pub(crate) probe: Millis,
    pub(crate) gossip: Millis,
    pub(crate) sync: Millis,
    pub(crate) reconnect: Millis,
    pub(crate) load: Millis,
    check: Millis,
    last_tick: Millis,
}

/// What one daemon knows of instances and targets.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) cfg: FleetConfig,
    pub(crate) me: Instance,
    pub(crate) members: Members,
    pub(crate) targets: Targets,
    pub(crate) queue: Queue,
    pub(crate) prober: Prober,
    pub(crate) relay: Relay,
    pub(crate) seeds: Vec<String>,
    pub(crate) joined: bool,
    pub(crate) timers: Timers,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) actions: Vec<Action>,
    /// The other reachable instances of the region.
    pub(crate) near: Vec<Instance>,
    /// The reachable instances of other regions.
    pub(crate) far: Vec<Instance>,
    peers_changed: bool,
    owners: Owners,
    owners_changed: bool,
    touched: Vec<Target>,
}

impl Fleet {
    /// A daemon that knows itself and the addresses of some others.
    ///
    /// The incarnation of `me` must be higher than at its last start: the wall-clock time of the
    /// start in milliseconds will do. A daemon that restarts knows no targets; it learns them from
    /// the first daemon that answers, and takes up the records that it held before. Until
    /// [`Fleet::is_joined`] it should not say that it is ready.
    pub fn new(
        cfg: FleetConfig,
        me: InstanceRecord,
        seeds: Vec<String>,
        seed: u64,
        now: Millis,
    ) -> Self {
        let seeds: Vec<_> = seeds
            .into_iter()
            .filter(|address| *address != me.address)
            .collect();
        let mut members = Members::default();
        let joined = seeds.is_empty();
        let me = members.insert(me, now);
        Self {
            cfg,
            me,
            members,
            targets: Targets::default(),
            queue: Queue::default(),
            prober: Prober::default(),
            relay: Relay::default(),
            seeds,
            joined,
            timers: Timers {
                probe: now + cfg.probe_interval,
                gossip: now,
                sync: now + cfg.sync_interval,
                reconnect: now,
                load: now,
                check: now,
                last_tick: now,
            },
            rng: ChaCha8Rng::seed_from_u64(seed),
            actions: Vec::new(),
            near: Vec::new(),
            far: Vec::new(),
            peers_changed: false,
            owners: Owners::default(),
            owners_changed: true,
            touched: Vec::new(),
        }
    }

    /// Takes in an event.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Announced(announcement) => self.announced(announcement, now),
            Event::TargetLeaving(name) => self.target_leaving(&name, now),
            Event::LoadReported { target, load } => self.load_reported(target, load),
            Event::PeerFailed(name) => self.peer_failed(&name, now),
            Event::Leave => self.leave(now),
        }
        self.finish()
    }

    /// This daemon.
    pub fn me(&self) -> &InstanceRecord {
        self.members.record(self.me).expect("its own record stays")
    }

    /// Whether another daemon has told all that it knows, or there is no other one to ask.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Every known instance, this one too.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.members.iter().map(|(_, member)| &member.record)
    }

    /// An instance by its name.
    pub fn instance(&self, name: &InstanceName) -> Option<&InstanceRecord> {
        self.members
            .find(name)
            .and_then(|key| self.members.record(key))
    }

    /// Every known target, those that are gone too for a while.
    pub fn targets(&self) -> impl Iterator<Item = TargetRecord> {
        self.targets.iter().map(|(_, entry)| entry.seen())
    }

    /// A target by its name.
    pub fn target(&self, name: &TargetName) -> Option<TargetRecord> {
        let entry = self.targets.get(self.targets.find(name)?)?;
        Some(entry.seen())
    }

    /// The daemon that owns a target.
    pub fn owner_of(&self, target: &TargetName) -> Option<&InstanceRecord> {
        let entry = self.targets.get(self.targets.find(target)?)?;
        self.members.record(entry.owner?)
    }

    fn tick(&mut self, now: Millis) {
        self.allow_for_freeze(now);
        if now >= self.timers.check {
            self.timers.check = now + CHECK_INTERVAL;
            self.check_members(now);
            self.check_targets(now);
        }
        self.tick_probes(now);
        self.tick_sync(now);
        self.tick_loads(now);
        self.tick_gossip(now);
    }

    /// After this process was stopped, the silence of others says nothing about them.
    fn allow_for_freeze(&mut self, now: Millis) {
        let pause = now - self.timers.last_tick;
        self.timers.last_tick = now;
        if pause < self.cfg.freeze {
            return;
        }
        self.members.shift(pause);
        self.targets.shift(pause);
        self.prober.forget_pending();
    }

    fn check_members(&mut self, now: Millis) {
        let mut dead = Vec::new();
        let mut forgotten = Vec::new();
        for (key, member) in self.members.iter() {
            match member.record.status {
                Status::Suspect if now >= member.since + self.cfg.suspicion => dead.push(key),
                Status::Dead if now >= member.since + self.cfg.dead_retention => {
                    forgotten.push(key);
                }
                _ => {}
            }
        }
        for key in dead {
            self.set_status(key, Status::Dead, now);
        }
        for key in forgotten {
            self.members.remove(key);
        }
    }

    /// Sets the status of another instance, at the incarnation that is known.
    pub(crate) fn set_status(&mut self, key: Instance, status: Status, now: Millis) {
        let Some(record) = self.members.record(key) else {
            return;
        };
        self.members.set(key, record.incarnation, status, now);
        self.instance_changed(key, now);
    }

    /// Announces this daemon at a higher incarnation.
    pub(crate) fn announce_me(&mut self, incarnation: u64, status: Status, now: Millis) {
        self.members.set(self.me, incarnation, status, now);
        self.instance_changed(self.me, now);
        self.timers.gossip = now;
    }

    fn leave(&mut self, now: Millis) {
        let incarnation = self.me().incarnation + 1;
        self.announce_me(incarnation, Status::Leaving, now);
    }

    /// Reports and spreads a change of an instance that was made here.
    fn instance_changed(&mut self, key: Instance, now: Millis) {
        self.spread(Subject::Instance(key), true);
        self.instance_learnt(key, now);
    }

    /// Reports a change of an instance.
    pub(crate) fn instance_learnt(&mut self, key: Instance, now: Millis) {
        let Some(member) = self.members.get(key) else {
            return;
        };
        self.owners_changed |= member.counted != member.record.may_own();
        self.peers_changed = true;
        self.actions
            .push(Action::InstanceChanged(member.record.clone()));
        self.check_orphans(key, now);
    }

    /// Reports a change of a target.
    pub(crate) fn target_changed(&mut self, key: Target) {
        if let Some(entry) = self.targets.get(key) {
            self.actions.push(Action::TargetChanged(entry.seen()));
            self.touched.push(key);
        }
    }

    /// Chooses the owners that a change concerns, and hands out what there is to do.
    pub(crate) fn finish(&mut self) -> Vec<Action> {
        if std::mem::take(&mut self.peers_changed) {
            self.list_peers();
        }
        let touched = std::mem::take(&mut self.touched);
        if std::mem::take(&mut self.owners_changed) {
            self.owners = Owners::of(&self.members);
            self.count_members();
            let all: Vec<_> = self.targets.iter().map(|(key, _)| key).collect();
            all.into_iter().for_each(|key| self.choose_owner(key));
        } else {
            touched.into_iter().for_each(|key| self.choose_owner(key));
        }
        std::mem::take(&mut self.actions)
    }

    fn count_members(&mut self) {
        let keys: Vec<_> = self.members.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(member) = self.members.get_mut(key) {
                member.counted = member.record.may_own();
            }
        }
    }

    fn choose_owner(&mut self, key: Target) {
        let Some(entry) = self.targets.get_mut(key) else {
            return;
        };
        let owner = match entry.record.state {
            TargetState::Gone => None,
            _ => self.owners.choose(&entry.record.announcement, entry.hash),
        };
        if owner == entry.owner {
            return;
        }
        entry.owner = owner;
        let name = owner.and_then(|key| self.members.record(key));
        self.actions.push(Action::OwnerChanged(OwnerChange {
            target: entry.record.name().clone(),
            owner: name.map(|record| record.name.clone()),
        }));
    }
}
