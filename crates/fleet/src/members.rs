//! Table of instances.

use std::collections::HashMap;

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;
use yuccaseam_base::{
    InstanceName,
    Millis, //
};

use crate::instance::{
    Instance,
    InstanceRecord,
    Status, //
};

/// Minimum time that an instance is suspect locally before claims of its death are accepted.
const MIN_SUSPICION: Millis = Millis(1_000);

/// Table entry of one instance.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) record: InstanceRecord,
    /// Hash of the instance's name.
    pub(crate) hash: u64,
    /// Time of the last change of status.
    pub(crate) status_since: Millis,
    /// Whether the instance was a candidate when owners were last selected.
    pub(crate) is_candidate: bool,
}

/// Result of merging a claim about an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// Equal to the local record.
    Known,
    /// Older than the local record.
    Stale(Instance),
    /// About an unknown instance, without its address.
    Unknown,
    /// Applied to the table.
    Changed(Instance),
}

/// All known instances.
#[derive(Debug, Default)]
pub(crate) struct Members {
    table: SlotMap<Instance, Member>,
    by_name: HashMap<InstanceName, Instance>,
}

impl Members {
    /// Inserts an instance that is not in the table.
    pub(crate) fn insert(&mut self, record: InstanceRecord, now: Millis) -> Instance {
        let name = record.name.clone();
        let hash = xxh3_64(name.as_str().as_bytes());
        let key = self.table.insert(Member {
            record,
            hash,
            status_since: now,
            is_candidate: false,
        });
        self.by_name.insert(name, key);
        key
    }

    pub(crate) fn find(&self, name: &InstanceName) -> Option<Instance> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn get(&self, key: Instance) -> Option<&Member> {
        self.table.get(key)
    }

    pub(crate) fn record(&self, key: Instance) -> Option<&InstanceRecord> {
        self.table.get(key).map(|member| &member.record)
    }

    pub(crate) fn get_mut(&mut self, key: Instance) -> Option<&mut Member> {
        self.table.get_mut(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Instance, &Member)> {
        self.table.iter()
    }

    /// Shifts all timestamps by `pause`, during which this process was suspended.
    pub(crate) fn shift(&mut self, pause: Millis) {
        for member in self.table.values_mut() {
            member.status_since += pause;
        }
    }

    /// Merges a full record.
    pub(crate) fn merge(&mut self, record: InstanceRecord, now: Millis) -> Merge {
        let Some(key) = self.find(&record.name) else {
            if record.status == Status::Dead {
                return Merge::Unknown;
            }
            return Merge::Changed(self.insert(record, now));
        };
        let merged = self.merge_claim(key, record.incarnation, record.status, now);
        if let Merge::Changed(_) = merged {
            let member = &mut self.table[key];
            member.record.address = record.address;
            member.record.domain = record.domain;
            member.record.region = record.region;
        }
        merged
    }

    /// Merges a claim about the status of an instance.
    pub(crate) fn merge_claim(
        &mut self,
        key: Instance,
        incarnation: u64,
        status: Status,
        now: Millis,
    ) -> Merge {
        let member = &mut self.table[key];
        let known = (member.record.incarnation, member.record.status);
        if (incarnation, status) == known {
            return Merge::Known;
        }
        if (incarnation, status) < known {
            return Merge::Stale(key);
        }
        let status = defer_death_claim(status, member, now);
        if (incarnation, status) == known {
            return Merge::Known;
        }
        self.set(key, incarnation, status, now);
        Merge::Changed(key)
    }

    /// Sets incarnation and status unconditionally.
    pub(crate) fn set(&mut self, key: Instance, incarnation: u64, status: Status, now: Millis) {
        let member = &mut self.table[key];
        member.record.incarnation = incarnation;
        member.record.status = status;
        member.status_since = now;
    }

    pub(crate) fn remove(&mut self, key: Instance) {
        if let Some(member) = self.table.remove(key) {
            self.by_name.remove(&member.record.name);
        }
    }
}

/// Turns a claim of death into suspicion while the instance is alive locally, so that it can
/// refute: the claim can come from a region that lost contact in a partition.
fn defer_death_claim(claimed: Status, member: &Member, now: Millis) -> Status {
    let known = member.record.status;
    let confirmable = known > Status::Suspect
        || (known == Status::Suspect && now >= member.status_since + MIN_SUSPICION);
    if claimed == Status::Dead && !confirmable {
        return Status::Suspect;
    }
    claimed
}
