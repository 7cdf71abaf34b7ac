//! The instances with disks, learnt from seeds and from each other.
//!
//! Each process tells the stores that it knows to one other process at a time, and learns those that
//! the other one knows. A store that lives makes its own entry grow.

use std::{
    collections::BTreeMap,
    net::IpAddr, //
};

use yuccaseam_base::{
    InstanceName,
    Millis, //
};

use super::StoreEntry;

/// How long an entry that does not grow is told on.
const FORGOTTEN: Millis = Millis::from_secs(30);
/// How long after an entry grew its store counts as alive.
const ALIVE: Millis = Millis::from_secs(8);

#[derive(Debug)]
struct Known {
    entry: StoreEntry,
    grown_at: Millis,
}

/// The stores that are known.
#[derive(Debug, Default)]
pub(crate) struct AddressBook {
    known: BTreeMap<InstanceName, Known>,
    /// Where stores were before this process started.
    remembered: BTreeMap<InstanceName, IpAddr>,
}

impl AddressBook {
    /// Takes entries in.
    pub(crate) fn merge(&mut self, entries: Vec<StoreEntry>, now: Millis) {
        for entry in entries {
            let order = |one: &StoreEntry| (one.started_at, one.beat);
            let newer = self
                .known
                .get(&entry.name)
                .is_none_or(|known| order(&entry) > order(&known.entry));
            if newer {
                let known = Known {
                    entry,
                    grown_at: now,
                };
                self.known.insert(known.entry.name.clone(), known);
            }
        }
        self.known
            .retain(|_, known| now < known.grown_at + FORGOTTEN);
    }

    /// The entries to tell others.
    pub(crate) fn entries(&self) -> Vec<StoreEntry> {
        self.known
            .values()
            .map(|known| known.entry.clone())
            .collect()
    }

    /// The stores that are alive.
    pub(crate) fn alive(&self, now: Millis) -> impl Iterator<Item = &StoreEntry> {
        self.known
            .values()
            .filter(move |known| now < known.grown_at + ALIVE)
            .map(|known| &known.entry)
    }

    /// The address of a store.
    pub(crate) fn ip(&self, name: &InstanceName) -> Option<IpAddr> {
        let known = self.known.get(name).map(|known| known.entry.ip);
        known.or_else(|| self.remembered.get(name).copied())
    }

    /// Takes in where stores were before this process started.
    pub(crate) fn remember(&mut self, stores: &BTreeMap<InstanceName, IpAddr>) {
        self.remembered.clone_from(stores);
    }

    /// Where the stores that are alive are.
    pub(crate) fn places(&self, now: Millis) -> BTreeMap<InstanceName, IpAddr> {
        self.alive(now)
            .map(|entry| (entry.name.clone(), entry.ip))
            .collect()
    }

    /// Every address.
    pub(crate) fn ips(&self) -> Vec<IpAddr> {
        let known = self.known.values().map(|known| known.entry.ip);
        known.chain(self.remembered.values().copied()).collect()
    }
}
