//! Membership state of one daemon and its periodic tasks.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName,
    value, //
};

use crate::{
    announce::PendingRelays,
    config::FleetConfig,
    gossip::{
        GossipQueue,
        Subject, //
    },
    instance::{
        Instance,
        InstanceRecord,
        Status, //
    },
    members::Members,
    owner::OwnerCandidates,
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

/// Interval between checks for expired instances and targets.
const EXPIRY_CHECK_INTERVAL: Millis = Millis(250);

/// Input to [`Fleet::handle`].
#[value]
pub enum Event {
    /// Time has passed. Expected every 50 to 250 ms.
    Tick,
    /// A target announced itself or renewed at this daemon.
    Announced(Announcement),
    /// A target announced to this daemon that it is leaving.
    TargetLeaving(TargetName),
    /// A target reported its load to this daemon.
    LoadReported {
        /// Name of the target.
        target: TargetName,
        /// Reported load.
        load: TargetLoad,
    },
    /// A call to another daemon failed; that daemon is probed immediately.
    PeerFailed(InstanceName),
    /// This daemon is stopping: it releases its targets but still responds to packets.
    Leave,
}

/// Output that the daemon has to act on.
#[value]
pub enum Action {
    /// Send a packet to the daemon that listens on an address.
    Send {
        /// Address of the receiver.
        to: String,
        /// Packet for the receiver's [`Fleet::receive`].
        packet: Vec<u8>,
    },
    /// An instance was added or changed.
    InstanceChanged(InstanceRecord),
    /// A target was added or changed.
    TargetChanged(TargetRecord),
    /// The owner of a target changed.
    OwnerChanged(OwnerChange),
    /// A target owned by this daemon reported its load, here or at another daemon.
    LoadReported {
        /// Name of the target.
        target: TargetName,
        /// Reported load.
        load: TargetLoad,
    },
}

/// Change of a target's owner.
#[value]
pub struct OwnerChange {
    /// Name of the target.
    pub target: TargetName,
    /// New owner, or `None` if no daemon can own the target.
    pub owner: Option<InstanceName>,
}

/// Due time of each periodic task.
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

/// Membership state of one daemon.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) cfg: FleetConfig,
    pub(crate) local: Instance,
    pub(crate) members: Members,
    pub(crate) targets: Targets,
    pub(crate) queue: GossipQueue,
    pub(crate) prober: Prober,
    pub(crate) pending_relays: PendingRelays,
    pub(crate) seeds: Vec<String>,
    pub(crate) joined: bool,
    pub(crate) timers: Timers,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) actions: Vec<Action>,
    /// Other reachable instances of this region.
    pub(crate) region_peers: Vec<Instance>,
    /// Reachable instances of other regions.
    pub(crate) remote_peers: Vec<Instance>,
    peers_changed: bool,
    candidates: OwnerCandidates,
    candidates_changed: bool,
    changed_targets: Vec<Target>,
}

impl Fleet {
    /// Creates the state of a daemon that knows itself and the addresses of some seeds.
    ///
    /// The incarnation of `local` must be higher than at its previous start; the wall-clock time of
    /// the start in milliseconds suffices. A restarted daemon has no targets: it receives them from
    /// the first daemon that responds and recovers the records that it held before. It should not
    /// report itself ready until [`Fleet::is_joined`].
    pub fn new(
        cfg: FleetConfig,
        local: InstanceRecord,
        seeds: Vec<String>,
        seed: u64,
        now: Millis,
    ) -> Self {
        let seeds: Vec<_> = seeds
            .into_iter()
            .filter(|address| *address != local.address)
            .collect();
        let mut members = Members::default();
        let joined = seeds.is_empty();
        let local = members.insert(local, now);
        Self {
            cfg,
            local,
            members,
            targets: Targets::default(),
            queue: GossipQueue::default(),
            prober: Prober::default(),
            pending_relays: PendingRelays::default(),
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
            region_peers: Vec::new(),
            remote_peers: Vec::new(),
            peers_changed: false,
            candidates: OwnerCandidates::default(),
            candidates_changed: true,
            changed_targets: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Announced(announcement) => self.handle_announcement(announcement, now),
            Event::TargetLeaving(name) => self.handle_target_leaving(&name, now),
            Event::LoadReported { target, load } => self.handle_load_report(target, load),
            Event::PeerFailed(name) => self.handle_peer_failure(&name, now),
            Event::Leave => self.leave(now),
        }
        self.take_actions()
    }

    /// Record of this daemon.
    pub fn local(&self) -> &InstanceRecord {
        self.members
            .record(self.local)
            .expect("own record is never removed")
    }

    /// Whether another daemon has sent all of its records, or there are no seeds.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Iterates over all known instances, including this one.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.members.iter().map(|(_, member)| &member.record)
    }

    /// Returns the record of an instance.
    pub fn instance(&self, name: &InstanceName) -> Option<&InstanceRecord> {
        self.members
            .find(name)
            .and_then(|key| self.members.record(key))
    }

    /// Iterates over all known targets, including gone ones that are still retained.
    pub fn targets(&self) -> impl Iterator<Item = TargetRecord> {
        self.targets
            .iter()
            .map(|(_, entry)| entry.effective_record())
    }

    /// Returns the record of a target.
    pub fn target(&self, name: &TargetName) -> Option<TargetRecord> {
        let entry = self.targets.get(self.targets.find(name)?)?;
        Some(entry.effective_record())
    }

    /// Returns the daemon that owns a target.
    pub fn owner_of(&self, target: &TargetName) -> Option<&InstanceRecord> {
        let entry = self.targets.get(self.targets.find(target)?)?;
        self.members.record(entry.owner?)
    }

    fn tick(&mut self, now: Millis) {
        self.compensate_freeze(now);
        if now >= self.timers.check {
            self.timers.check = now + EXPIRY_CHECK_INTERVAL;
            self.expire_members(now);
            self.expire_targets(now);
        }
        self.tick_probes(now);
        self.tick_sync(now);
        self.tick_loads(now);
        self.tick_gossip(now);
    }

    /// Compensates for a suspension of this process, during which missing messages and renewals say
    /// nothing about other daemons and targets.
    fn compensate_freeze(&mut self, now: Millis) {
        let pause = now - self.timers.last_tick;
        self.timers.last_tick = now;
        if pause < self.cfg.freeze_threshold {
            return;
        }
        self.members.shift(pause);
        self.targets.shift(pause);
        self.prober.clear();
    }

    fn expire_members(&mut self, now: Millis) {
        let mut dead = Vec::new();
        let mut expired = Vec::new();
        for (key, member) in self.members.iter() {
            match member.record.status {
                Status::Suspect if now >= member.status_since + self.cfg.suspicion_timeout => {
                    dead.push(key);
                }
                Status::Dead if now >= member.status_since + self.cfg.dead_retention => {
                    expired.push(key);
                }
                _ => {}
            }
        }
        for key in dead {
            self.set_status(key, Status::Dead, now);
        }
        for key in expired {
            self.members.remove(key);
        }
    }

    /// Sets the status of another instance at its known incarnation.
    pub(crate) fn set_status(&mut self, key: Instance, status: Status, now: Millis) {
        let Some(record) = self.members.record(key) else {
            return;
        };
        self.members.set(key, record.incarnation, status, now);
        self.publish_instance_change(key, now);
    }

    /// Announces this daemon at a higher incarnation.
    pub(crate) fn announce_self(&mut self, incarnation: u64, status: Status, now: Millis) {
        self.members.set(self.local, incarnation, status, now);
        self.publish_instance_change(self.local, now);
        self.timers.gossip = now;
    }

    fn leave(&mut self, now: Millis) {
        let incarnation = self.local().incarnation + 1;
        self.announce_self(incarnation, Status::Leaving, now);
    }

    /// Reports and gossips a locally made change of an instance.
    fn publish_instance_change(&mut self, key: Instance, now: Millis) {
        self.enqueue_gossip(Subject::Instance(key), true);
        self.report_instance_change(key, now);
    }

    /// Reports a change of an instance.
    pub(crate) fn report_instance_change(&mut self, key: Instance, now: Millis) {
        let Some(member) = self.members.get(key) else {
            return;
        };
        self.candidates_changed |= member.is_candidate != member.record.can_own();
        self.peers_changed = true;
        self.actions
            .push(Action::InstanceChanged(member.record.clone()));
        self.update_orphans(key, now);
    }

    /// Reports a change of a target.
    pub(crate) fn report_target_change(&mut self, key: Target) {
        if let Some(entry) = self.targets.get(key) {
            self.actions
                .push(Action::TargetChanged(entry.effective_record()));
            self.changed_targets.push(key);
        }
    }

    /// Updates the owners affected by pending changes and takes the queued actions.
    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        if std::mem::take(&mut self.peers_changed) {
            self.refresh_peers();
        }
        let changed_targets = std::mem::take(&mut self.changed_targets);
        if std::mem::take(&mut self.candidates_changed) {
            self.candidates = OwnerCandidates::from_members(&self.members);
            self.mark_candidates();
            let all: Vec<_> = self.targets.iter().map(|(key, _)| key).collect();
            all.into_iter().for_each(|key| self.choose_owner(key));
        } else {
            changed_targets
                .into_iter()
                .for_each(|key| self.choose_owner(key));
        }
        std::mem::take(&mut self.actions)
    }

    fn mark_candidates(&mut self) {
        let keys: Vec<_> = self.members.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(member) = self.members.get_mut(key) {
                member.is_candidate = member.record.can_own();
            }
        }
    }

    fn choose_owner(&mut self, key: Target) {
        let Some(entry) = self.targets.get_mut(key) else {
            return;
        };
        let owner = match entry.record.state {
            TargetState::Gone => None,
            _ => self
                .candidates
                .choose(&entry.record.announcement, entry.hash),
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
