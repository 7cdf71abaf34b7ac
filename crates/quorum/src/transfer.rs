//! Snapshots: compaction of the log, and chunked transfer to a follower that lags far behind.

use crate::{
    Action,
    Body,
    Chunk,
    Core,
    DiskId,
    Incoming,
    Snapshot,
    SnapshotId,
    progress::{
        Mode,
        SnapshotTransfer, //
    },
    role::Role, //
};

/// Maximum size of a snapshot chunk. One chunk is in flight at a time, so a round trip of 40 ms
/// between regions limits the transfer to 6 MB/s.
pub const CHUNK_BYTES: u64 = 256 * 1024;

impl Core {
    /// Compacts the log up to a new snapshot.
    pub(crate) fn on_snapshot_created(&mut self, snapshot: Snapshot) {
        let index = snapshot.id.index;
        let is_newer = index > self.log.base() && index <= self.commit;
        if is_newer && !self.installing {
            self.log.compact(snapshot);
        }
    }

    /// Starts a transfer to every follower that needs an entry no longer in the log.
    pub(crate) fn offer_snapshots(&mut self) {
        let (now, timeout) = (self.now, self.timing.election_timeout);
        let snapshot = self.log.snapshot().clone();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let mut to_offer = Vec::new();
        for (&to, progress) in &mut state.progress {
            if progress.needs_snapshot(&self.log) {
                let transfer = SnapshotTransfer::new(snapshot.id, now, timeout);
                progress.mode = Mode::Snapshot(transfer);
                to_offer.push(to);
            }
        }
        for to in to_offer {
            self.send(to, Body::Offer(snapshot.clone()));
        }
    }

    /// Restarts transfers in which a chunk was lost. The follower's reply to the new offer contains the
    /// offset to resume from.
    pub(crate) fn restart_stalled_transfers(&mut self) {
        let now = self.now;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        for progress in state.progress.values_mut() {
            if progress.is_transfer_stalled(now) {
                progress.next = self.log.base();
                progress.mode = Mode::Probe { paused: true };
            }
        }
    }

    pub(crate) fn on_chunk_reply(&mut self, from: DiskId, id: SnapshotId, received: u64) {
        let retry_at = self.now + self.timing.election_timeout;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&from) else {
            return;
        };
        if progress.on_chunk_acknowledged(id, received, retry_at) {
            self.actions.push(Action::ReadChunk {
                to: from,
                id,
                offset: received,
            });
        }
    }

    pub(crate) fn on_chunk_read(&mut self, to: DiskId, chunk: Option<Chunk>) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let (Some(progress), Some(chunk)) = (state.progress.get_mut(&to), chunk) else {
            return;
        };
        progress.on_chunk_sent(&chunk, self.now);
        self.send(to, Body::Chunk(chunk));
    }

    pub(crate) fn on_offer(&mut self, from: DiskId, snapshot: Snapshot) {
        let id = snapshot.id;
        if self.installing {
            return;
        }
        if id.index <= self.commit || self.log.term_at(id.index) == Some(id.term) {
            self.mark_verified(id);
            return self.reply_matched(from);
        }
        let is_resumed = self
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.snapshot.id == id);
        if !is_resumed {
            self.incoming = Some(Incoming {
                snapshot,
                received: 0,
            });
        }
        self.reply_received(from);
        self.install_if_complete();
    }

    /// Marks the log as verified up to a snapshot of the leader, which covers only committed
    /// entries.
    fn mark_verified(&mut self, id: SnapshotId) {
        if let Role::Follower(state) = &mut self.role {
            state.verified = state.verified.max(id.index);
        }
    }

    pub(crate) fn on_chunk(&mut self, from: DiskId, chunk: Chunk) {
        let Some(incoming) = &self.incoming else {
            return;
        };
        if incoming.snapshot.id != chunk.id || self.installing {
            return;
        }
        if incoming.received != chunk.offset {
            return self.reply_received(from);
        }
        self.actions.push(Action::StoreChunk {
            snapshot: incoming.snapshot.clone(),
            chunk,
        });
    }

    pub(crate) fn on_chunk_stored(&mut self, id: SnapshotId, received: u64) {
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if incoming.snapshot.id != id || received <= incoming.received {
            return;
        }
        incoming.received = received;
        if let Some(leader) = self.leader {
            self.reply_received(leader);
        }
        self.install_if_complete();
    }

    fn reply_received(&mut self, leader: DiskId) {
        if let Some(incoming) = &self.incoming {
            let id = incoming.snapshot.id;
            let received = incoming.received;
            self.send_after_sync(leader, Body::ChunkReply { id, received });
        }
    }

    fn install_if_complete(&mut self) {
        let Some(incoming) = &self.incoming else {
            return;
        };
        let id = incoming.snapshot.id;
        if incoming.received < id.size || self.installing {
            return;
        }
        let snapshot = incoming.snapshot.clone();
        let is_covered = id.index <= self.commit || self.log.term_at(id.index) == Some(id.term);
        if is_covered {
            self.incoming = None;
            return;
        }
        self.installing = true;
        self.actions.push(Action::InstallSnapshot(snapshot));
    }

    pub(crate) fn on_snapshot_installed(&mut self, id: SnapshotId) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        if incoming.snapshot.id != id || !self.installing {
            return;
        }
        self.installing = false;
        self.writer.reset();
        self.log.reset(incoming.snapshot);
        self.set_applied(id.index);
        self.mark_verified(id);
        if let Some(leader) = self.leader {
            self.reply_matched(leader);
        }
    }

    /// Discards an incoming snapshot whose bytes are invalid. The leader's next offer restarts the
    /// transfer from the beginning.
    pub(crate) fn on_snapshot_corrupted(&mut self, id: SnapshotId) {
        let is_incoming = self
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.snapshot.id == id);
        if is_incoming {
            self.incoming = None;
            self.installing = false;
        }
    }
}
