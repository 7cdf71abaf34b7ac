//! Fake disk that loses unsynced writes in a crash.

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

/// Size of the snapshot chunks that the fake disk reads, in bytes.
pub(crate) const CHUNK: usize = 512;

#[derive(Default)]
pub(crate) struct Disk {
    pub(crate) synced: Restored,
    /// Content of the latest snapshot.
    pub(crate) bytes: Vec<u8>,
    /// Content received so far of the incoming snapshot.
    pub(crate) incoming: Vec<u8>,
    /// Total bytes of stored chunks, including repeated ones.
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

    /// Syncs up to `count` writes and returns the sequence number of the last one.
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

    /// Writes and syncs a chunk of an incoming snapshot and returns the length received so far.
    pub(crate) fn store(&mut self, snapshot: Snapshot, chunk: &Chunk) -> u64 {
        self.incoming.truncate(chunk.offset as usize);
        self.stored += chunk.data.len();
        self.incoming.extend_from_slice(&chunk.data);
        let received = self.incoming.len() as u64;
        self.synced.incoming = Some(Incoming { snapshot, received });
        received
    }

    /// Replaces log and state with the incoming snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        self.bytes = std::mem::take(&mut self.incoming);
        self.synced.incoming = None;
        self.synced.entries.clear();
        self.synced.snapshot = snapshot;
    }

    /// Values in the latest snapshot.
    pub(crate) fn values(&self) -> Vec<u64> {
        let words = self.bytes.chunks_exact(8);
        words
            .map(|word| u64::from_le_bytes(word.try_into().expect("eight bytes")))
            .collect()
    }
}

/// Cheap substitute for the SHA-256 digest.
fn digest(bytes: &[u8]) -> [u8; 32] {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&hasher.finish().to_le_bytes());
    digest
}

fn store(synced: &mut Restored, persist: Persist) {
    if let Some(hard_state) = persist.hard_state {
        synced.hard_state = hard_state;
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
