//! Snapshots: compaction of the log, and chunked transfer to a follower that lags far behind.
//!
//! Several chunks are in flight at a time, so that the link and not its round trip bounds the transfer.

use std::collections::VecDeque;

use yuccaseam_base::Millis;

use crate::{
    Action,
    Body,
    Chunk,
    Core,
    DiskId,
    Incoming,
    Snapshot,
    SnapshotId,
    progress::Mode,
    role::Role, //
};

/// Maximum size of a snapshot chunk.
pub const CHUNK_BYTES: u64 = 64 * 1024;

/// Minimum size of the unacknowledged chunks from which on no further one is sent.
const MIN_WINDOW_BYTES: u64 = 2 * CHUNK_BYTES;

/// Maximum size of the unacknowledged chunks from which on no further one is sent.
const MAX_WINDOW_BYTES: u64 = 32 * CHUNK_BYTES;

/// Time that chunks may wait on the link. Heartbeats wait as long, and must arrive within an election
/// timeout.
const MAX_QUEUEING_DELAY: Millis = Millis(60);

/// Chunk that the follower has not acknowledged.
#[derive(Debug, PartialEq)]
struct SentChunk {
    end: u64,
    sent_at: Millis,
}

/// Snapshot transfer to a follower.
///
/// The window grows until chunks wait on the link, and shrinks while they wait too long.
#[derive(Debug, PartialEq)]
pub(crate) struct SnapshotTransfer {
    pub(crate) id: SnapshotId,
    /// Offset up to which the follower has synced the snapshot.
    acknowledged: u64,
    /// Offset of the next chunk; `None` until the follower replies to the offer.
    next: Option<u64>,
    /// Whether the next chunk is being read from the disk.
    is_reading: bool,
    sent: VecDeque<SentChunk>,
    window: u64,
    /// Shortest time between a chunk and its acknowledgement.
    min_round_trip: Option<Millis>,
    /// When the last offer or chunk was sent.
    sent_at: Millis,
    /// Time at which the snapshot is offered again if no chunk was acknowledged.
    retry_at: Millis,
}

impl SnapshotTransfer {
    pub(crate) fn new(id: SnapshotId, now: Millis, timeout: Millis) -> Self {
        Self {
            id,
            acknowledged: 0,
            next: None,
            is_reading: false,
            sent: VecDeque::new(),
            window: MIN_WINDOW_BYTES,
            min_round_trip: None,
            sent_at: now,
            retry_at: now + timeout,
        }
    }

    /// Offset up to which the follower has synced the snapshot.
    pub(crate) fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Whether no chunk was acknowledged in time, although the follower received what was sent after the
    /// last one: on a slow link a chunk may take longer.
    pub(crate) fn is_stalled(&self, contact: Option<Millis>, now: Millis) -> bool {
        self.retry_at <= now && contact >= Some(self.sent_at)
    }

    /// Records that the follower has synced the snapshot up to an offset. Returns the offset of the next
    /// chunk to read. An acknowledgement may come several times, but each chunk is sent once for an offer.
    pub(crate) fn on_acknowledged(
        &mut self,
        received: u64,
        now: Millis,
        timeout: Millis,
    ) -> Option<u64> {
        let is_new = self.next.is_none() || received > self.acknowledged;
        if !is_new {
            return None;
        }
        self.acknowledged = received;
        self.next = self.next.max(Some(received));
        self.retry_at = now + timeout;
        while let Some(chunk) = self.sent.pop_front_if(|chunk| chunk.end <= received) {
            self.adjust_window(now - chunk.sent_at);
        }
        self.next_read()
    }

    fn adjust_window(&mut self, round_trip: Millis) {
        let min = self
            .min_round_trip
            .map_or(round_trip, |min| min.min(round_trip));
        self.min_round_trip = Some(min);
        self.window = if round_trip <= min + MAX_QUEUEING_DELAY {
            (self.window + CHUNK_BYTES).min(MAX_WINDOW_BYTES)
        } else {
            (self.window - CHUNK_BYTES).max(MIN_WINDOW_BYTES)
        };
    }

    /// Records that a chunk was read. Returns whether to send it: it may be that of an earlier offer.
    pub(crate) fn on_read(&mut self, chunk: &Chunk, now: Millis) -> bool {
        if chunk.id != self.id || !self.is_reading || self.next != Some(chunk.offset) {
            return false;
        }
        let end = chunk.offset + chunk.data.len() as u64;
        self.is_reading = false;
        self.next = Some(end);
        self.sent_at = now;
        self.sent.push_back(SentChunk { end, sent_at: now });
        true
    }

    /// Starts to read the next chunk, unless the window is full or the snapshot was sent. Returns its
    /// offset.
    pub(crate) fn next_read(&mut self) -> Option<u64> {
        let next = self.next?;
        let is_full = next >= self.acknowledged + self.window;
        if self.is_reading || is_full || next >= self.id.size {
            return None;
        }
        self.is_reading = true;
        Some(next)
    }
}

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
        let (now, timeout) = (self.now, self.timing.election_timeout);
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&from) else {
            return;
        };
        let next = progress.on_chunk_acknowledged(id, received, now, timeout);
        self.read_chunk(from, id, next);
    }

    fn read_chunk(&mut self, to: DiskId, id: SnapshotId, offset: Option<u64>) {
        if let Some(offset) = offset {
            self.actions.push(Action::ReadChunk { to, id, offset });
        }
    }

    pub(crate) fn on_chunk_read(&mut self, to: DiskId, chunk: Option<Chunk>) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let (Some(progress), Some(chunk)) = (state.progress.get_mut(&to), chunk) else {
            return;
        };
        let (is_current, next) = progress.on_chunk_read(&chunk, self.now);
        if is_current {
            let id = chunk.id;
            self.send(to, Body::Chunk(chunk));
            self.read_chunk(to, id, next);
        }
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
            self.incoming_end = 0;
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
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if incoming.snapshot.id != chunk.id || self.installing {
            return;
        }
        if chunk.offset > self.incoming_end {
            // A chunk was lost: the leader offers the snapshot again.
            return self.reply_received(from);
        }
        let end = chunk.offset + chunk.data.len() as u64;
        if end <= self.incoming_end {
            return;
        }
        self.incoming_end = end;
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
