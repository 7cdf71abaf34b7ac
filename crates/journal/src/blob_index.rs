//! Compact in-memory index of blob locations.
//!
//! The index stores 8 of the 32 bytes of an ID; the full ID is on disk with the data. A second map
//! holds blobs whose 8 bytes collide with another ID. It is empty unless somebody searches for such
//! a pair.

use std::{
    collections::HashMap,
    hash::{
        BuildHasherDefault,
        Hasher, //
    }, //
};

use yuccaseam_base::key;

use crate::blob::BlobId;

/// Location of a blob on disk.
#[key]
pub(crate) struct Location {
    /// Number of the segment.
    pub(crate) segment: u32,
    /// Offset of the frame in the segment, in bytes.
    pub(crate) offset: u32,
}

/// Index of the locations of all blobs.
#[derive(Debug, Default)]
pub(crate) struct BlobIndex {
    by_prefix: HashMap<u64, Location, BuildHasherDefault<PrefixHasher>>,
    /// Blobs whose prefix was already used by another blob.
    collided: HashMap<BlobId, Location>,
}

impl BlobIndex {
    /// Number of blobs.
    pub(crate) fn len(&self) -> usize {
        self.by_prefix.len() + self.collided.len()
    }

    /// Locations that may hold a blob. The caller compares the ID on disk.
    pub(crate) fn candidates(&self, id: &BlobId) -> impl Iterator<Item = Location> {
        let collided = self.collided.get(id).copied();
        let by_prefix = self.by_prefix.get(&id.prefix()).copied();
        collided.into_iter().chain(by_prefix)
    }

    /// Inserts a blob, or updates its location if that was `old`.
    pub(crate) fn insert(&mut self, id: BlobId, old: Option<Location>, new: Location) {
        let existing = self.by_prefix.get(&id.prefix()).copied();
        if existing.is_none() || existing == old {
            self.by_prefix.insert(id.prefix(), new);
        } else {
            self.collided.insert(id, new);
        }
    }

    /// Removes a blob if its location is `at`.
    pub(crate) fn remove(&mut self, id: &BlobId, at: Location) {
        if self.by_prefix.get(&id.prefix()) == Some(&at) {
            self.by_prefix.remove(&id.prefix());
        }
        if self.collided.get(id) == Some(&at) {
            self.collided.remove(id);
        }
    }

    /// All locations, in no particular order.
    pub(crate) fn locations(&self) -> impl Iterator<Item = Location> {
        let collided = self.collided.values();
        self.by_prefix.values().chain(collided).copied()
    }
}

/// Hasher that uses the prefix unchanged, since a prefix of a SHA-256 is already uniform.
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
