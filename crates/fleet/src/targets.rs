//! Table of targets.

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

/// Table entry of one target.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Gossiped record.
    pub(crate) record: TargetRecord,
    /// Hash of the target's name.
    pub(crate) hash: u64,
    /// Hash of the announcement.
    pub(crate) fingerprint: u64,
    /// Whether the last change left the announcement unchanged, so that a claim conveys all of it.
    pub(crate) announcement_unchanged: bool,
    /// Time of the last renewal received here, if this daemon holds the record.
    pub(crate) renewed_at: Option<Millis>,
    /// Time at which the record is dropped because its holder is dead.
    pub(crate) orphan_expires_at: Option<Millis>,
    /// Time of the record's last change.
    pub(crate) changed_at: Millis,
    /// Daemon that owns the target.
    pub(crate) owner: Option<Instance>,
}

impl Entry {
    /// State in this daemon's view: a live target is suspect while its holder is dead.
    pub(crate) fn effective_state(&self) -> TargetState {
        match self.record.state {
            TargetState::Live if self.orphan_expires_at.is_some() => TargetState::Suspect,
            state => state,
        }
    }

    /// Record with the state in this daemon's view.
    pub(crate) fn effective_record(&self) -> TargetRecord {
        TargetRecord {
            state: self.effective_state(),
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
    pub(crate) fn find(&self, name: &TargetName) -> Option<Target> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn get(&self, key: Target) -> Option<&Entry> {
        self.table.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: Target) -> Option<&mut Entry> {
        self.table.get_mut(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Target, &Entry)> {
        self.table.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (Target, &mut Entry)> {
        self.table.iter_mut()
    }

    /// Inserts or replaces the record of a target.
    pub(crate) fn put(
        &mut self,
        record: TargetRecord,
        renewed_at: Option<Millis>,
        now: Millis,
    ) -> Target {
        if let Some(key) = self.find(record.name()) {
            let entry = &mut self.table[key];
            let fingerprint = record.announcement.fingerprint();
            entry.announcement_unchanged = entry.fingerprint == fingerprint;
            entry.fingerprint = fingerprint;
            entry.record = record;
            entry.renewed_at = renewed_at;
            entry.orphan_expires_at = None;
            entry.changed_at = now;
            return key;
        }
        let name = record.name().clone();
        let hash = xxh3_64(name.as_str().as_bytes());
        let key = self.table.insert(Entry {
            fingerprint: record.announcement.fingerprint(),
            announcement_unchanged: false,
            record,
            hash,
            renewed_at,
            orphan_expires_at: None,
            changed_at: now,
            owner: None,
        });
        self.by_name.insert(name, key);
        key
    }

    pub(crate) fn remove(&mut self, key: Target) -> Option<Entry> {
        let entry = self.table.remove(key)?;
        self.by_name.remove(entry.record.name());
        Some(entry)
    }

    /// Shifts all timestamps by `pause`, during which this process was suspended.
    pub(crate) fn shift(&mut self, pause: Millis) {
        for entry in self.table.values_mut() {
            entry.changed_at += pause;
            entry.renewed_at = entry.renewed_at.map(|at| at + pause);
            entry.orphan_expires_at = entry.orphan_expires_at.map(|at| at + pause);
        }
    }
}
