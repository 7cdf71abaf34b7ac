//! The table of targets.

use std::collections::HashMap;

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;
use yuccaseam_base::{
    Millis,
    TargetName, //
};

use crate::{
    instance::Instance,
    target::{
        Target,
        TargetRecord,
        TargetState, //
    }, //
};

/// One target of the table.
#[derive(Debug)]
pub(crate) struct Entry {
    /// What daemons agree on.
    pub(crate) record: TargetRecord,
    /// Hash of its name.
    pub(crate) hash: u64,
    /// Hash of the announcement.
    pub(crate) fingerprint: u64,
    /// Whether the last change left the announcement as it was, so that a claim tells all of it.
    pub(crate) same_announcement: bool,
    /// When it last renewed here, if this daemon holds it.
    pub(crate) renewed: Option<Millis>,
    /// When the record is dropped because its holder is dead.
    pub(crate) orphan_until: Option<Millis>,
    /// When the record last changed.
    pub(crate) since: Millis,
    /// The daemon that owns it.
    pub(crate) owner: Option<Instance>,
}

impl Entry {
    /// Whether the target can be used, as this daemon sees it.
    pub(crate) fn state(&self) -> TargetState {
        match self.record.state {
            TargetState::Live if self.orphan_until.is_some() => TargetState::Suspect,
            state => state,
        }
    }

    /// The record with the state as this daemon sees it.
    pub(crate) fn seen(&self) -> TargetRecord {
        TargetRecord {
            state: self.state(),
            ..self.record.clone()
        }
    }
}

/// All known targets.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    table: SlotMap<Target, Entry>,
    by_name: HashMap<TargetName, Target>,
}

impl Targets {
    /// The key of a name.
    pub(crate) fn find(&self, name: &TargetName) -> Option<Target> {
        self.by_name.get(name).copied()
    }

    /// A target by its key, unless it was removed.
    pub(crate) fn get(&self, key: Target) -> Option<&Entry> {
        self.table.get(key)
    }

    /// A target for change.
    pub(crate) fn get_mut(&mut self, key: Target) -> Option<&mut Entry> {
        self.table.get_mut(key)
    }

    /// Every target with its key.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Target, &Entry)> {
        self.table.iter()
    }

    /// Every target with its key, for change.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (Target, &mut Entry)> {
        self.table.iter_mut()
    }

    /// Sets the record of a target, which is added if it is new.
    pub(crate) fn put(
        &mut self,
        record: TargetRecord,
        renewed: Option<Millis>,
        now: Millis,
    ) -> Target {
        if let Some(key) = self.find(record.name()) {
            let entry = &mut self.table[key];
            let fingerprint = record.announcement.fingerprint();
            entry.same_announcement = entry.fingerprint == fingerprint;
            entry.fingerprint = fingerprint;
            entry.record = record;
            entry.renewed = renewed;
            entry.orphan_until = None;
            entry.since = now;
            return key;
        }
        let name = record.name().clone();
        let hash = xxh3_64(name.as_str().as_bytes());
        let key = self.table.insert(Entry {
            fingerprint: record.announcement.fingerprint(),
            same_announcement: false,
            record,
            hash,
            renewed,
            orphan_until: None,
            since: now,
            owner: None,
        });
        self.by_name.insert(name, key);
        key
    }

    /// Forgets a target.
    pub(crate) fn remove(&mut self, key: Target) -> Option<Entry> {
        let entry = self.table.remove(key)?;
        self.by_name.remove(entry.record.name());
        Some(entry)
    }

    /// Moves all times by the length of a pause in which this process was stopped.
    pub(crate) fn shift(&mut self, pause: Millis) {
        for entry in self.table.values_mut() {
            entry.since += pause;
            entry.renewed = entry.renewed.map(|at| at + pause);
            entry.orphan_until = entry.orphan_until.map(|at| at + pause);
        }
    }
}
