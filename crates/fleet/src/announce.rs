//! Announcements, renewals, departures and load reports of targets.

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
    receive::MergeOutcome,
    target::{
        Announcement,
        Target,
        TargetLoad,
        TargetRecord,
        TargetState, //
    }, //
};

/// Load reports and renewals queued for single daemons and sent in batches.
#[derive(Debug, Default)]
pub(crate) struct PendingRelays {
    loads: BTreeMap<TargetName, TargetLoad>,
    renewals: Vec<(InstanceName, Renewal)>,
}

impl Fleet {
    /// Handles an announcement or renewal. A target held by another live daemon stays with it, and
    /// the renewal is forwarded there, so that a target can renew at any daemon.
    pub(crate) fn handle_announcement(&mut self, announcement: Announcement, now: Millis) {
        let known = self.targets.find(&announcement.name);
        let Some(entry) = known.and_then(|key| self.targets.get(key)) else {
            self.become_holder(
                TargetRecord::initial(announcement, self.local().name.clone()),
                now,
            );
            return;
        };
        let old = &entry.record;
        if announcement.incarnation < old.announcement.incarnation {
            return;
        }
        let unchanged = old.announcement == announcement && old.is_current();
        if unchanged && old.holder == self.local().name {
            let entry = known.and_then(|key| self.targets.get_mut(key));
            entry.expect("entry exists").renewed_at = Some(now);
            return;
        }
        if unchanged && self.is_alive(&old.holder) {
            let renewal = Renewal {
                name: announcement.name,
                incarnation: announcement.incarnation,
            };
            self.pending_relays
                .renewals
                .push((old.holder.clone(), renewal));
            return;
        }
        let record = old.renewed(announcement, self.local().name.clone());
        self.become_holder(record, now);
    }

    /// Handles a target's announcement that it is leaving.
    pub(crate) fn handle_target_leaving(&mut self, name: &TargetName, now: Millis) {
        let known = self.targets.find(name);
        let Some(entry) = known.and_then(|key| self.targets.get(key)) else {
            return;
        };
        if entry.record.leaving {
            return;
        }
        let owner = entry.owner.filter(|&owner| owner != self.local);
        let record = entry.record.with_leaving(self.local().name.clone());
        let claim = Update::TargetClaim(record.claim());
        self.become_holder(record, now);
        // The owner admits work, so it is notified without waiting for gossip.
        if let Some(owner) = owner.and_then(|key| self.members.record(key)) {
            self.emit(owner.address.clone(), Body::Gossip, vec![claim]);
        }
    }

    /// Makes this daemon the holder of a record and gossips the record immediately.
    fn become_holder(&mut self, record: TargetRecord, now: Millis) {
        let key = self.targets.put(record, Some(now), now);
        self.report_target_change(key);
        self.enqueue_gossip(Subject::Target(key), true);
        self.timers.gossip = now;
    }

    fn is_alive(&self, name: &InstanceName) -> bool {
        let record = self.instance(name);
        record.is_some_and(|record| record.status == Status::Alive)
    }

    /// Merges a target record received from another daemon.
    pub(crate) fn merge_target(
        &mut self,
        record: TargetRecord,
        outcome: &mut MergeOutcome,
        now: Millis,
    ) {
        let Some(key) = self.targets.find(record.name()) else {
            self.merge_unknown_target(record, outcome, now);
            return;
        };
        let entry = self.targets.get(key).expect("entry exists");
        if entry.record == record {
            outcome.known.push(Subject::Target(key));
            return;
        }
        if !record.is_newer_than(&entry.record) {
            outcome.stale.push(Subject::Target(key));
            return;
        }
        if self.can_refute(&record, entry.renewed_at, now) {
            outcome.stale.push(Subject::Target(key));
            let local_name = self.local().name.clone();
            let announcement = record.announcement.clone();
            self.become_holder(record.renewed(announcement, local_name), now);
            return;
        }
        self.store_target(record, outcome, now);
    }

    /// Whether `record` reports missed renewals although this daemon received one in time.
    fn can_refute(&self, record: &TargetRecord, renewed_at: Option<Millis>, now: Millis) -> bool {
        let missed = !record.leaving && !record.is_current();
        missed && renewed_at.is_some_and(|at| now < at + self.cfg.target_suspect_timeout)
    }

    /// Merges the record of an unknown target, unless it is gone or its holder is dead.
    fn merge_unknown_target(
        &mut self,
        record: TargetRecord,
        outcome: &mut MergeOutcome,
        now: Millis,
    ) {
        let holder = self.instance(&record.holder);
        let orphan = holder.is_some_and(|holder| holder.status == Status::Dead);
        if record.state != TargetState::Gone && !orphan {
            self.store_target(record, outcome, now);
        }
    }

    fn store_target(&mut self, record: TargetRecord, outcome: &mut MergeOutcome, now: Millis) {
        // After a restart, this daemon recovers the records that it held; they expire unless
        // renewed.
        let held_here = record.holder == self.local().name;
        let holder_status = self.instance(&record.holder).map(|holder| holder.status);
        let key = self.targets.put(record, held_here.then_some(now), now);
        if !matches!(
            holder_status,
            Some(Status::Alive | Status::Suspect | Status::Leaving)
        ) {
            let entry = self.targets.get_mut(key).expect("entry was inserted");
            entry.orphan_expires_at = Some(now + self.cfg.target_expiry);
        }
        outcome.known.push(Subject::Target(key));
        outcome.changed.push(Subject::Target(key));
        self.report_target_change(key);
    }

    /// Marks the records held by an instance as orphans while that instance is dead.
    pub(crate) fn update_orphans(&mut self, holder: Instance, now: Millis) {
        let Some(record) = self.members.record(holder) else {
            return;
        };
        let dead = record.status == Status::Dead;
        let until = now + self.cfg.target_expiry;
        let mut changed = Vec::new();
        for (key, entry) in self.targets.iter_mut() {
            if entry.record.holder == record.name && entry.orphan_expires_at.is_some() != dead {
                entry.orphan_expires_at = dead.then_some(until);
                changed.push(key);
            }
        }
        changed
            .into_iter()
            .for_each(|key| self.report_target_change(key));
    }

    /// Downgrades targets that missed renewals and removes expired records.
    pub(crate) fn expire_targets(&mut self, now: Millis) {
        let mut overdue = Vec::new();
        let mut expired = Vec::new();
        for (key, entry) in self.targets.iter() {
            let gone = entry.record.state == TargetState::Gone;
            let orphan = entry.orphan_expires_at.is_some_and(|until| now >= until);
            if orphan || (gone && now >= entry.changed_at + self.cfg.gone_retention) {
                expired.push(key);
            } else if let Some(at) = entry.renewed_at
                && let Some(state) = self.state_after(now - at)
                && state > entry.record.state
            {
                overdue.push((key, state));
            }
        }
        for (key, state) in overdue {
            self.downgrade_target(key, state, now);
        }
        for key in expired {
            self.remove_target(key);
        }
    }

    fn state_after(&self, elapsed: Millis) -> Option<TargetState> {
        if elapsed >= self.cfg.target_expiry {
            return Some(TargetState::Gone);
        }
        (elapsed >= self.cfg.target_suspect_timeout).then_some(TargetState::Suspect)
    }

    fn downgrade_target(&mut self, key: Target, state: TargetState, now: Millis) {
        let Some(entry) = self.targets.get_mut(key) else {
            return;
        };
        entry.record.state = state;
        entry.record.version += 1;
        entry.changed_at = now;
        if state == TargetState::Gone {
            entry.renewed_at = None;
        }
        self.report_target_change(key);
        self.enqueue_gossip(Subject::Target(key), true);
    }

    fn remove_target(&mut self, key: Target) {
        let Some(entry) = self.targets.remove(key) else {
            return;
        };
        if entry.record.state != TargetState::Gone {
            let mut record = entry.record;
            record.state = TargetState::Gone;
            self.actions.push(Action::TargetChanged(record));
        }
    }

    /// Handles a load report of a target. Load goes only to the target's owner and is not gossiped.
    pub(crate) fn handle_load_report(&mut self, target: TargetName, load: TargetLoad) {
        let owner = self.owner_of(&target).map(|owner| owner.name.clone());
        if owner.is_some_and(|owner| owner == self.local().name) {
            self.actions.push(Action::LoadReported { target, load });
        } else {
            self.pending_relays.loads.insert(target, load);
        }
    }

    /// Sends queued load reports to owners and queued renewals to holders.
    pub(crate) fn tick_loads(&mut self, now: Millis) {
        if now < self.timers.load {
            return;
        }
        self.timers.load = now + self.cfg.load_report_interval;
        let mut loads: BTreeMap<InstanceName, Vec<_>> = BTreeMap::new();
        for (target, load) in std::mem::take(&mut self.pending_relays.loads) {
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
        for (holder, renewal) in std::mem::take(&mut self.pending_relays.renewals) {
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

    /// Handles load reports forwarded by another daemon.
    pub(crate) fn handle_loads(&mut self, loads: Vec<(TargetName, TargetLoad)>) {
        for (target, load) in loads {
            self.actions.push(Action::LoadReported { target, load });
        }
    }

    /// Handles renewals forwarded by another daemon.
    pub(crate) fn handle_renewals(&mut self, renewals: &[Renewal], now: Millis) {
        for renewal in renewals {
            let Some(key) = self.targets.find(&renewal.name) else {
                continue;
            };
            let entry = self.targets.get(key).expect("entry exists");
            let record = &entry.record;
            if record.holder != self.local().name
                || record.announcement.incarnation != renewal.incarnation
            {
                continue;
            }
            let announcement = record.announcement.clone();
            self.handle_announcement(announcement, now);
        }
    }
}
