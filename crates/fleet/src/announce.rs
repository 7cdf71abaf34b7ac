//! Targets that announce themselves, renew, leave and report their load.

use std::collections::BTreeMap;

use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName, //
};

use crate::{
    fleet::{
        Action,
        Fleet, //
    },
    gossip::Subject,
    instance::{
        Instance,
        Status, //
    },
    packet::{
        Body,
        Renewal,
        Update, //
    },
    receive::Told,
    target::{
        Announcement,
        Target,
        TargetLoad,
        TargetRecord,
        TargetState, //
    }, //
};

/// News of targets for single daemons, which are sent together now and then.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    loads: BTreeMap<TargetName, TargetLoad>,
    renewals: Vec<(InstanceName, Renewal)>,
}

impl Fleet {
    /// Takes in an announcement or renewal. A target that another live daemon holds stays with
    /// that one, which is told of the renewal: so a target may renew anywhere.
    pub(crate) fn announced(&mut self, announcement: Announcement, now: Millis) {
        let known = self.targets.find(&announcement.name);
        let Some(entry) = known.and_then(|key| self.targets.get(key)) else {
            self.hold(
                TargetRecord::first(announcement, self.me().name.clone()),
                now,
            );
            return;
        };
        let old = &entry.record;
        if announcement.incarnation < old.announcement.incarnation {
            return;
        }
        let unchanged = old.announcement == announcement && old.is_current();
        if unchanged && old.holder == self.me().name {
            let entry = known.and_then(|key| self.targets.get_mut(key));
            entry.expect("found above").renewed = Some(now);
            return;
        }
        if unchanged && self.is_alive(&old.holder) {
            let renewal = Renewal {
                name: announcement.name,
                incarnation: announcement.incarnation,
            };
            self.relay.renewals.push((old.holder.clone(), renewal));
            return;
        }
        let record = old.renewed(announcement, self.me().name.clone());
        self.hold(record, now);
    }

    /// Takes in that a target is leaving.
    pub(crate) fn target_leaving(&mut self, name: &TargetName, now: Millis) {
        let known = self.targets.find(name);
        let Some(entry) = known.and_then(|key| self.targets.get(key)) else {
            return;
        };
        if entry.record.leaving {
            return;
        }
        let owner = entry.owner.filter(|&owner| owner != self.me);
        let record = entry.record.leaving(self.me().name.clone());
        let claim = Update::TargetClaim(record.claim());
        self.hold(record, now);
        // The owner admits work, so that it hears at once.
        if let Some(owner) = owner.and_then(|key| self.members.record(key)) {
            self.emit(owner.address.clone(), Body::Gossip, vec![claim]);
        }
    }

    /// Makes this daemon the holder of a record, and spreads it at once.
    fn hold(&mut self, record: TargetRecord, now: Millis) {
        let key = self.targets.put(record, Some(now), now);
        self.target_changed(key);
        self.spread(Subject::Target(key), true);
        self.timers.gossip = now;
    }

    fn is_alive(&self, name: &InstanceName) -> bool {
        let record = self.instance(name);
        record.is_some_and(|record| record.status == Status::Alive)
    }

    /// Takes in the record of another daemon.
    pub(crate) fn told_of_target(&mut self, record: TargetRecord, told: &mut Told, now: Millis) {
        let Some(key) = self.targets.find(record.name()) else {
            self.told_of_new_target(record, told, now);
            return;
        };
        let entry = self.targets.get(key).expect("found by name");
        if entry.record == record {
            told.known.push(Subject::Target(key));
            return;
        }
        if !record.is_newer_than(&entry.record) {
            told.stale.push(Subject::Target(key));
            return;
        }
        if self.refutes(&record, entry.renewed, now) {
            told.stale.push(Subject::Target(key));
            let me = self.me().name.clone();
            let announcement = record.announcement.clone();
            self.hold(record.renewed(announcement, me), now);
            return;
        }
        self.learn_target(record, told, now);
    }

    /// Whether another daemon has missed renewals that came here.
    fn refutes(&self, record: &TargetRecord, renewed: Option<Millis>, now: Millis) -> bool {
        let missed = !record.leaving && !record.is_current();
        missed && renewed.is_some_and(|at| now < at + self.cfg.target_suspect_after)
    }

    /// Takes in a record of an unknown target, unless it has ended or is about to be dropped.
    fn told_of_new_target(&mut self, record: TargetRecord, told: &mut Told, now: Millis) {
        let holder = self.instance(&record.holder);
        let orphan = holder.is_some_and(|holder| holder.status == Status::Dead);
        if record.state != TargetState::Gone && !orphan {
            self.learn_target(record, told, now);
        }
    }

    fn learn_target(&mut self, record: TargetRecord, told: &mut Told, now: Millis) {
        // After a restart this daemon takes up what it held: it expires unless it is renewed.
        let held = record.holder == self.me().name;
        let holder_status = self.instance(&record.holder).map(|holder| holder.status);
        let key = self.targets.put(record, held.then_some(now), now);
        if !matches!(
            holder_status,
            Some(Status::Alive | Status::Suspect | Status::Leaving)
        ) {
            let entry = self.targets.get_mut(key).expect("put above");
            entry.orphan_until = Some(now + self.cfg.target_expiry);
        }
        told.known.push(Subject::Target(key));
        told.changed.push(Subject::Target(key));
        self.target_changed(key);
    }

    /// After a change of an instance: its records are orphans while it is dead.
    pub(crate) fn check_orphans(&mut self, holder: Instance, now: Millis) {
        let Some(record) = self.members.record(holder) else {
            return;
        };
        let dead = record.status == Status::Dead;
        let until = now + self.cfg.target_expiry;
        let mut changed = Vec::new();
        for (key, entry) in self.targets.iter_mut() {
            if entry.record.holder == record.name && entry.orphan_until.is_some() != dead {
                entry.orphan_until = dead.then_some(until);
                changed.push(key);
            }
        }
        changed.into_iter().for_each(|key| self.target_changed(key));
    }

    /// Finds targets that were not renewed, and forgets those that are gone.
    pub(crate) fn check_targets(&mut self, now: Millis) {
        let mut late = Vec::new();
        let mut forgotten = Vec::new();
        for (key, entry) in self.targets.iter() {
            let gone = entry.record.state == TargetState::Gone;
            let orphan = entry.orphan_until.is_some_and(|until| now >= until);
            if orphan || (gone && now >= entry.since + self.cfg.gone_retention) {
                forgotten.push(key);
            } else if let Some(at) = entry.renewed
                && let Some(state) = self.state_after(now - at)
                && state > entry.record.state
            {
                late.push((key, state));
            }
        }
        for (key, state) in late {
            self.target_late(key, state, now);
        }
        for key in forgotten {
            self.forget_target(key);
        }
    }

    fn state_after(&self, silence: Millis) -> Option<TargetState> {
        if silence >= self.cfg.target_expiry {
            return Some(TargetState::Gone);
        }
        (silence >= self.cfg.target_suspect_after).then_some(TargetState::Suspect)
    }

    fn target_late(&mut self, key: Target, state: TargetState, now: Millis) {
        let Some(entry) = self.targets.get_mut(key) else {
            return;
        };
        entry.record.state = state;
        entry.record.version += 1;
        entry.since = now;
        if state == TargetState::Gone {
            entry.renewed = None;
        }
        self.target_changed(key);
        self.spread(Subject::Target(key), true);
    }

    fn forget_target(&mut self, key: Target) {
        let Some(entry) = self.targets.remove(key) else {
            return;
        };
        if entry.record.state != TargetState::Gone {
            let mut record = entry.record;
            record.state = TargetState::Gone;
            self.actions.push(Action::TargetChanged(record));
        }
    }

    /// Takes in a target's load. The owner needs it; it is not gossiped.
    pub(crate) fn load_reported(&mut self, target: TargetName, load: TargetLoad) {
        let owner = self.owner_of(&target).map(|owner| owner.name.clone());
        if owner.is_some_and(|owner| owner == self.me().name) {
            self.actions.push(Action::LoadReported { target, load });
        } else {
            self.relay.loads.insert(target, load);
        }
    }

    /// Sends loads to owners, and renewals to holders.
    pub(crate) fn tick_loads(&mut self, now: Millis) {
        if now < self.timers.load {
            return;
        }
        self.timers.load = now + self.cfg.load_interval;
        let mut loads: BTreeMap<InstanceName, Vec<_>> = BTreeMap::new();
        for (target, load) in std::mem::take(&mut self.relay.loads) {
            if let Some(owner) = self.owner_of(&target) {
                loads
                    .entry(owner.name.clone())
                    .or_default()
                    .push((target, load));
            }
        }
        for (owner, loads) in loads {
            self.send_by_name(&owner, Body::Loads(loads));
        }
        let mut renewals: BTreeMap<InstanceName, Vec<_>> = BTreeMap::new();
        for (holder, renewal) in std::mem::take(&mut self.relay.renewals) {
            renewals.entry(holder).or_default().push(renewal);
        }
        for (holder, renewals) in renewals {
            self.send_by_name(&holder, Body::Renewals(renewals));
        }
    }

    fn send_by_name(&mut self, name: &InstanceName, body: Body) {
        if let Some(key) = self.members.find(name) {
            self.send(key, body);
        }
    }

    /// Takes in loads that other daemons pass on.
    pub(crate) fn loads_received(&mut self, loads: Vec<(TargetName, TargetLoad)>) {
        for (target, load) in loads {
            self.actions.push(Action::LoadReported { target, load });
        }
    }

    /// Takes in renewals that other daemons pass on.
    pub(crate) fn renewals_received(&mut self, renewals: &[Renewal], now: Millis) {
        for renewal in renewals {
            let Some(key) = self.targets.find(&renewal.name) else {
                continue;
            };
            let entry = self.targets.get(key).expect("found by name");
            let record = &entry.record;
            if record.holder != self.me().name
                || record.announcement.incarnation != renewal.incarnation
            {
                continue;
            }
            let announcement = record.announcement.clone();
            self.announced(announcement, now);
        }
    }
}
