//! Addresses of the instances with disks, learnt by gossip that starts at the seeds.
//!
//! Each process exchanges the entries that it knows with one other process at a time. A running
//! store increments the beat of its own entry.

use std::{
    collections::BTreeMap,
    net::IpAddr, //
};

use yuccaseam_base::{
    InstanceName,
    Millis, //
};

use super::StoreEntry;

/// How long an entry whose beat does not advance is retained and gossiped.
const ENTRY_RETENTION: Millis = Millis::from_secs(30);
/// Time since the last advance of an entry after which its store no longer counts as alive.
const ALIVE_TIMEOUT: Millis = Millis::from_secs(8);

#[derive(Debug)]
struct KnownStore {
    entry: StoreEntry,
    advanced_at: Millis,
}

/// Known stores and their addresses.
#[derive(Debug, Default)]
pub(crate) struct AddressBook {
    known: BTreeMap<InstanceName, KnownStore>,
    /// Addresses of stores that were known before this process started.
    restored: BTreeMap<InstanceName, IpAddr>,
}

impl AddressBook {
    /// Merges entries: per store the latest start counts, and within it the highest beat.
    pub(crate) fn merge(&mut self, entries: Vec<StoreEntry>, now: Millis) {
        for entry in entries {
            let order = |entry: &StoreEntry| (entry.started_at, entry.beat);
            let newer = self
                .known
                .get(&entry.name)
                .is_none_or(|known| order(&entry) > order(&known.entry));
            if newer {
                let known = KnownStore {
                    entry,
                    advanced_at: now,
                };
                self.known.insert(known.entry.name.clone(), known);
            }
        }
        self.known
            .retain(|_, known| now < known.advanced_at + ENTRY_RETENTION);
    }

    /// Entries to exchange with other processes.
    pub(crate) fn entries(&self) -> Vec<StoreEntry> {
        self.known
            .values()
            .map(|known| known.entry.clone())
            .collect()
    }

    /// Stores whose entry advanced recently.
    pub(crate) fn alive(&self, now: Millis) -> impl Iterator<Item = &StoreEntry> {
        self.known
            .values()
            .filter(move |known| now < known.advanced_at + ALIVE_TIMEOUT)
            .map(|known| &known.entry)
    }

    /// Address of a store: from gossip, else from before this process started.
    pub(crate) fn ip(&self, name: &InstanceName) -> Option<IpAddr> {
        let known = self.known.get(name).map(|known| known.entry.ip);
        known.or_else(|| self.restored.get(name).copied())
    }

    /// Sets the addresses of stores that were known before this process started.
    pub(crate) fn remember(&mut self, stores: &BTreeMap<InstanceName, IpAddr>) {
        self.restored.clone_from(stores);
    }

    /// Addresses of the stores that are alive, by name.
    pub(crate) fn addresses(&self, now: Millis) -> BTreeMap<InstanceName, IpAddr> {
        self.alive(now)
            .map(|entry| (entry.name.clone(), entry.ip))
            .collect()
    }

    /// All known addresses of stores. May contain duplicates.
    pub(crate) fn ips(&self) -> Vec<IpAddr> {
        let known = self.known.values().map(|known| known.entry.ip);
        known.chain(self.restored.values().copied()).collect()
    }
}
