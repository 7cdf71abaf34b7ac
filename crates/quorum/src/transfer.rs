//! Snapshots: compaction, and the transfer in chunks to a follower that lags far behind.

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
        Transfer, //
    },
    role::Role, //
};

/// The largest part of a snapshot in one message, in bytes. One part is under way at a time, so that
/// a round trip between regions of 40 ms bounds the transfer at 6 MB/s.
pub const CHUNK_BYTES: u64 = 256 * 1024;

impl Core {
    /// Forgets the entries that a new snapshot covers.
    pub(crate) fn on_snapshot_made(&mut self, snapshot: Snapshot) {
        let index = snapshot.id.index;
        let is_newer = index > self.log.base() && index <= self.commit;
        if is_newer && !self.installing {
            self.log.compact(snapshot);
        }
    }

    /// Begins the transfer to every follower that needs an entry no longer held.
    pub(crate) fn offer_snapshots(&mut self) {
        let retry_at = self.now + self.timing.election;
        let snapshot = self.log.snapshot().clone();
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let mut to_offer = Vec::new();
        for (&to, progress) in &mut leading.progress {
            if progress.needs_snapshot(&self.log) {
                let id = snapshot.id;
                progress.mode = Mode::Snapshot(Transfer { id, retry_at });
                to_offer.push(to);
            }
        }
        for to in to_offer {
            self.send(to, Body::Offer(snapshot.clone()));
        }
    }

    /// Offers again where no part was acknowledged for an election timeout. The follower's answer
    /// says where to go on.
    pub(crate) fn retry_transfers(&mut self) {
        let now = self.now;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        for progress in leading.progress.values_mut() {
            if let Mode::Snapshot(transfer) = &progress.mode
                && transfer.retry_at <= now
            {
                progress.next = self.log.base();
                progress.mode = Mode::Probe { paused: true };
            }
        }
    }

    pub(crate) fn on_chunk_reply(&mut self, from: DiskId, id: SnapshotId, received: u64) {
        let retry_at = self.now + self.timing.election;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(progress) = leading.progress.get_mut(&from) else {
            return;
        };
        let Mode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        if transfer.id != id {
            return;
        }
        transfer.retry_at = retry_at;
        if received < id.size {
            self.actions.push(Action::ReadChunk {
                to: from,
                id,
                offset: received,
            });
        }
    }

    pub(crate) fn on_chunk_read(&mut self, to: DiskId, chunk: Option<Chunk>) {
        if !self.is_leader() || !self.log.membership().contains(to) {
            return;
        }
        if let Some(chunk) = chunk {
            self.send(to, Body::Chunk(chunk));
        }
    }

    pub(crate) fn on_offer(&mut self, from: DiskId, snapshot: Snapshot) {
        let id = snapshot.id;
        if self.installing {
            return;
        }
        if id.index <= self.commit || self.log.term_at(id.index) == Some(id.term) {
            self.verify_to(id);
            return self.reply_matched(from);
        }
        let resumes = self
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.snapshot.id == id);
        if !resumes {
            self.incoming = Some(Incoming {
                snapshot,
                received: 0,
            });
        }
        self.reply_received(from);
        self.install_if_whole();
    }

    /// A leader's snapshot covers only committed entries: the log agrees with it up to there.
    fn verify_to(&mut self, id: SnapshotId) {
        if let Role::Follower(following) = &mut self.role {
            following.verified = following.verified.max(id.index);
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
        self.install_if_whole();
    }

    fn reply_received(&mut self, leader: DiskId) {
        if let Some(incoming) = &self.incoming {
            let id = incoming.snapshot.id;
            let received = incoming.received;
            self.send_synced(leader, Body::ChunkReply { id, received });
        }
    }

    fn install_if_whole(&mut self) {
        let Some(incoming) = &self.incoming else {
            return;
        };
        let id = incoming.snapshot.id;
        if incoming.received < id.size || self.installing {
            return;
        }
        let snapshot = incoming.snapshot.clone();
        let has_it = id.index <= self.commit || self.log.term_at(id.index) == Some(id.term);
        if has_it {
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
        self.skip_to(id.index);
        self.verify_to(id);
        if let Some(leader) = self.leader {
            self.reply_matched(leader);
        }
    }

    /// Forgets a snapshot whose bytes do not match its digest; the leader's next offer begins
    /// anew.
    pub(crate) fn on_snapshot_broken(&mut self, id: SnapshotId) {
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
