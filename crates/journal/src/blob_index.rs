//! Where each blob is, in few bytes a blob.
//!
//! The index keeps 8 of the 32 bytes of an identifier; the rest is on disk beside the data. Two
//! identifiers that agree in these bytes are told apart by a second map, which is empty unless
//! somebody searches for such a pair.

use std::{
    collections::HashMap,
    hash::{
        BuildHasherDefault,
        Hasher, //
    }, //
};

use yuccaseam_base::key;

use crate::blob::BlobId;

/// Where a blob is stored.
#[key]
pub(crate) struct Location {
    /// The number of its segment.
    pub(crate) segment: u32,
    /// Where its frame starts.
    pub(crate) offset: u32,
}

/// The locations of all blobs.
#[derive(Debug, Default)]
pub(crate) struct BlobIndex {
    by_prefix: HashMap<u64, Location, BuildHasherDefault<PrefixHasher>>,
    /// Blobs whose prefix another one had taken.
    collided: HashMap<BlobId, Location>,
}

impl BlobIndex {
    /// How many blobs there are.
    pub(crate) fn len(&self) -> usize {
        self.by_prefix.len() + self.collided.len()
    }

    /// The locations where a blob may be. Only the identifier on disk tells.
    pub(crate) fn candidates(&self, id: &BlobId) -> impl Iterator<Item = Location> {
        let collided = self.collided.get(id).copied();
        let by_prefix = self.by_prefix.get(&id.prefix()).copied();
        collided.into_iter().chain(by_prefix)
    }

    /// Adds a blob, or moves it if it is at `old`.
    pub(crate) fn insert(&mut self, id: BlobId, old: Option<Location>, new: Location) {
        let taken = self.by_prefix.get(&id.prefix()).copied();
        if taken.is_none() || taken == old {
            self.by_prefix.insert(id.prefix(), new);
        } else {
            self.collided.insert(id, new);
        }
    }

    /// Removes a blob that is at a location.
    pub(crate) fn remove(&mut self, id: &BlobId, at: Location) {
        if self.by_prefix.get(&id.prefix()) == Some(&at) {
            self.by_prefix.remove(&id.prefix());
        }
        if self.collided.get(id) == Some(&at) {
            self.collided.remove(id);
        }
    }

    /// Every location, in no order.
    pub(crate) fn locations(&self) -> impl Iterator<Item = Location> {
        let collided = self.collided.values();
        self.by_prefix.values().chain(collided).copied()
    }
}

/// A prefix of a SHA-256 is as uniform as a hash of it.
#[derive(Default)]
pub(crate) struct PrefixHasher(u64);

impl Hasher for PrefixHasher {
    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(byte);
        }
    }

    fn write_u64(&mut self, prefix: u64) {
        self.0 = prefix;
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
