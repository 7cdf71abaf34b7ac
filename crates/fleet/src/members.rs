//! The table of instances.

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

/// How long an instance is suspect here before it is held dead because others say so.
const SUSPECT_FIRST: Millis = Millis(1_000);

/// One instance of the table.
#[derive(Debug)]
pub(crate) struct Member {
    /// What is known of it.
    pub(crate) record: InstanceRecord,
    /// Hash of its name.
    pub(crate) hash: u64,
    /// When its status last changed.
    pub(crate) since: Millis,
    /// Whether it was counted when owners were last chosen.
    pub(crate) counted: bool,
}

/// What a statement about an instance did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// It says what is known.
    Known,
    /// Something newer is known.
    Stale(Instance),
    /// It concerns an unknown instance and does not say where that is.
    Unknown,
    /// The table has changed.
    Changed(Instance),
}

/// All known instances.
#[derive(Debug, Default)]
pub(crate) struct Members {
    table: SlotMap<Instance, Member>,
    by_name: HashMap<InstanceName, Instance>,
}

impl Members {
    /// Adds an instance that is not in the table.
    pub(crate) fn insert(&mut self, record: InstanceRecord, now: Millis) -> Instance {
        let name = record.name.clone();
        let hash = xxh3_64(name.as_str().as_bytes());
        let key = self.table.insert(Member {
            record,
            hash,
            since: now,
            counted: false,
        });
        self.by_name.insert(name, key);
        key
    }

    /// The key of a name.
    pub(crate) fn find(&self, name: &InstanceName) -> Option<Instance> {
        self.by_name.get(name).copied()
    }

    /// An instance by its key, unless it was removed.
    pub(crate) fn get(&self, key: Instance) -> Option<&Member> {
        self.table.get(key)
    }

    /// The record of an instance, unless it was removed.
    pub(crate) fn record(&self, key: Instance) -> Option<&InstanceRecord> {
        self.table.get(key).map(|member| &member.record)
    }

    /// An instance for change, unless it was removed.
    pub(crate) fn get_mut(&mut self, key: Instance) -> Option<&mut Member> {
        self.table.get_mut(key)
    }

    /// Every instance with its key.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Instance, &Member)> {
        self.table.iter()
    }

    /// Moves all times by the length of a pause in which this process was stopped.
    pub(crate) fn shift(&mut self, pause: Millis) {
        for member in self.table.values_mut() {
            member.since += pause;
        }
    }

    /// Takes in a whole record.
    pub(crate) fn merge(&mut self, record: InstanceRecord, now: Millis) -> Merge {
        let Some(key) = self.find(&record.name) else {
            if record.status == Status::Dead {
                return Merge::Unknown;
            }
            return Merge::Changed(self.insert(record, now));
        };
        let merged = self.claim(key, record.incarnation, record.status, now);
        if let Merge::Changed(_) = merged {
            let member = &mut self.table[key];
            member.record.address = record.address;
            member.record.domain = record.domain;
            member.record.region = record.region;
        }
        merged
    }

    /// Takes in a statement about the status of an instance.
    pub(crate) fn claim(
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
        let status = soften(status, member, now);
        if (incarnation, status) == known {
            return Merge::Known;
        }
        self.set(key, incarnation, status, now);
        Merge::Changed(key)
    }

    /// Sets what this daemon knows first-hand.
    pub(crate) fn set(&mut self, key: Instance, incarnation: u64, status: Status, now: Millis) {
        let member = &mut self.table[key];
        member.record.incarnation = incarnation;
        member.record.status = status;
        member.since = now;
    }

    /// Forgets an instance.
    pub(crate) fn remove(&mut self, key: Instance) {
        if let Some(member) = self.table.remove(key) {
            self.by_name.remove(&member.record.name);
        }
    }
}

/// An instance that is alive here is not dead at a word: another region may have been cut off and
/// have lost sight of it. It becomes suspect for a while, and can refute.
fn soften(claimed: Status, member: &Member, now: Millis) -> Status {
    let known = member.record.status;
    let settled = known > Status::Suspect
        || (known == Status::Suspect && now >= member.since + SUSPECT_FIRST);
    if claimed == Status::Dead && !settled {
        return Status::Suspect;
    }
    claimed
}
