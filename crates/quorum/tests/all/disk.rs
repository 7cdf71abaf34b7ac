//! A fake disk: what is written is lost in a crash unless it was synced.

use std::{
    collections::VecDeque,
    hash::{
        DefaultHasher,
        Hasher, //
    }, //
};

use yuccaseam_quorum::{
    Chunk,
    Entry,
    Incoming,
    Index,
    Membership,
    Persist,
    Restored,
    Snapshot,
    SnapshotId,
    SyncSeq,
    Term, //
};

/// The bytes of a snapshot that the fake reads at once.
pub(crate) const CHUNK: usize = 512;

#[derive(Default)]
pub(crate) struct Disk {
    pub(crate) synced: Restored,
    /// The bytes of the latest snapshot.
    pub(crate) bytes: Vec<u8>,
    /// The bytes of the incoming snapshot.
    pub(crate) incoming: Vec<u8>,
    /// The bytes of parts written so far, repeated ones included.
    pub(crate) stored: usize,
    written: VecDeque<Persist>,
}

impl Disk {
    pub(crate) fn of_group(membership: Membership) -> Self {
        let mut disk = Self::default();
        disk.synced.snapshot = Snapshot::initial(membership);
        disk
    }

    pub(crate) fn write(&mut self, persist: Persist) {
        self.written.push_back(persist);
    }

    /// Syncs up to `count` writes and returns the last one's number.
    pub(crate) fn sync(&mut self, count: usize) -> Option<SyncSeq> {
        let count = count.min(self.written.len());
        let mut seq = None;
        for persist in self.written.drain(..count) {
            seq = Some(persist.seq);
            store(&mut self.synced, persist);
        }
        seq
    }

    pub(crate) fn crash(&mut self) {
        self.written.clear();
    }

    /// Writes and syncs a snapshot of the applied values.
    pub(crate) fn snapshot(
        &mut self,
        index: Index,
        term: Term,
        membership: &Membership,
        values: &[u64],
    ) -> Snapshot {
        let bytes: Vec<u8> = values
            .iter()
            .flat_map(|value| value.to_le_bytes())
            .collect();
        let snapshot = Snapshot {
            id: SnapshotId {
                index,
                term,
                size: bytes.len() as u64,
                digest: digest(&bytes),
            },
            membership: membership.clone(),
        };
        self.synced.entries.retain(|entry| entry.index > index);
        self.synced.snapshot = snapshot.clone();
        self.bytes = bytes;
        snapshot
    }

    pub(crate) fn read(&self, id: SnapshotId, offset: u64) -> Option<Chunk> {
        if self.synced.snapshot.id != id {
            return None;
        }
        let rest = &self.bytes[usize::try_from(offset).ok()?..];
        let data = rest[..rest.len().min(CHUNK)].into();
        Some(Chunk { id, offset, data })
    }

    /// Writes and syncs a part of an incoming snapshot and returns its length so far.
    pub(crate) fn store(&mut self, snapshot: Snapshot, chunk: &Chunk) -> u64 {
        self.incoming.truncate(chunk.offset as usize);
        self.stored += chunk.data.len();
        self.incoming.extend_from_slice(&chunk.data);
        let received = self.incoming.len() as u64;
        self.synced.incoming = Some(Incoming { snapshot, received });
        received
    }

    /// Replaces log and state by the incoming snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        self.bytes = std::mem::take(&mut self.incoming);
        self.synced.incoming = None;
        self.synced.entries.clear();
        self.synced.snapshot = snapshot;
    }

    /// The values of the latest snapshot.
    pub(crate) fn values(&self) -> Vec<u64> {
        let words = self.bytes.chunks_exact(8);
        words
            .map(|word| u64::from_le_bytes(word.try_into().expect("eight bytes")))
            .collect()
    }
}

/// Stands for a hash of the bytes.
fn digest(bytes: &[u8]) -> [u8; 32] {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&hasher.finish().to_le_bytes());
    digest
}

fn store(synced: &mut Restored, persist: Persist) {
    if let Some(hard) = persist.hard {
        synced.hard = hard;
    }
    if let Some(from) = persist.truncate {
        synced.entries.retain(|entry| entry.index < from);
    }
    let base = synced.snapshot.id.index;
    let fresh = persist.entries.into_iter();
    synced
        .entries
        .extend(fresh.filter(|entry: &Entry| entry.index > base));
}
