//! Dedicated disk thread, so that a slow sync does not delay heartbeats.
//!
//! The thread executes all queued requests in order and then syncs once. Writes that arrive during
//! a sync share the next one.

use std::{
    marker::PhantomData,
    sync::mpsc::{
        self,
        Receiver,
        Sender, //
    },
    thread,
    time::Duration, //
};

use anyhow::Context as _;
use yuccaseam_base::Machine;
use yuccaseam_journal::{
    JournalError,
    Position, //
};
use yuccaseam_quorum::{
    Chunk,
    DiskId,
    Event,
    Membership,
    Persist,
    Restored,
    SnapshotId,
    SyncSeq, //
};

use crate::Disk;

/// Time from a write that failed on a full disk until the state is restored. Each restoration reads all of it.
const RELOAD_DELAY: Duration = Duration::from_millis(100);

/// Request to the disk thread.
pub enum DiskRequest {
    /// Write and sync.
    Persist(Persist),
    /// Write a snapshot of the state machine.
    Snapshot {
        /// Position of the last covered entry.
        position: Position,
        /// Membership as of that entry.
        members: Membership,
        /// Encoded state, from [`Machine::snapshot`].
        state: Vec<u8>,
    },
    /// Read a chunk of a snapshot for a follower.
    ReadChunk {
        /// Disk of the follower.
        to: DiskId,
        /// Snapshot to read.
        id: SnapshotId,
        /// Offset of the chunk in bytes.
        offset: u64,
    },
    /// Write a chunk of an incoming snapshot.
    StoreChunk(Chunk),
    /// Replace log and state with the incoming snapshot.
    Install(SnapshotId),
    /// Bootstrap a new group with this membership.
    Bootstrap(Membership),
    /// Restore the state from disk, after the disk was full.
    Reload,
}

/// Reply of the disk thread.
pub enum DiskReply<M> {
    /// Event to pass to the core.
    Event(Event),
    /// An incoming snapshot was installed.
    Installed {
        /// Installed snapshot.
        id: SnapshotId,
        /// State decoded from the snapshot.
        state: Box<M>,
    },
    /// A snapshot was not written, for lack of space. The log stays complete.
    SnapshotNotWritten,
    /// The disk is full. Requests are ignored until [`DiskRequest::Reload`].
    Full,
    /// State restored from the disk, with which to restart the core.
    Restored(Box<(Restored, M)>),
}

struct DiskThread<M, F> {
    disk: Disk,
    on_reply: F,
    machine: PhantomData<fn() -> M>,
    /// Whether a write failed on a full disk and no reload has succeeded since.
    is_full: bool,
}

/// Starts the disk thread, which passes its replies to a callback on that thread.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start<M, F>(disk: Disk, on_reply: F) -> anyhow::Result<Sender<DiskRequest>>
where
    M: Machine,
    F: Fn(DiskReply<M>) + Send + 'static,
{
    let (requests, rx) = mpsc::channel();
    let mut disk = DiskThread {
        disk,
        on_reply,
        machine: PhantomData,
        is_full: false,
    };
    thread::Builder::new()
        .name("replica-disk".to_owned())
        .spawn(move || disk.run(&rx))
        .context("cannot start the disk thread")?;
    Ok(requests)
}

impl<M, F> DiskThread<M, F>
where
    M: Machine,
    F: Fn(DiskReply<M>),
{
    fn run(&mut self, rx: &Receiver<DiskRequest>) {
        while let Ok(first) = rx.recv() {
            let requests = std::iter::once(first).chain(rx.try_iter());
            let mut written_seq = None;
            for request in requests {
                if let Err(error) = self.execute(request, &mut written_seq) {
                    self.handle_error(&error);
                }
            }
            if let Some(seq) = written_seq
                && !self.is_full
            {
                match self.disk.sync() {
                    Ok(()) => self.reply(DiskReply::Event(Event::Synced(seq))),
                    Err(error) => self.handle_error(&error.into()),
                }
            }
        }
    }

    fn execute(
        &mut self,
        request: DiskRequest,
        written_seq: &mut Option<SyncSeq>,
    ) -> anyhow::Result<()> {
        if self.is_full && !matches!(request, DiskRequest::Reload) {
            return Ok(());
        }
        match request {
            DiskRequest::Persist(persist) => {
                let seq = persist.seq;
                self.disk.write(persist)?;
                *written_seq = Some(seq);
            }
            DiskRequest::Snapshot {
                position,
                members,
                state,
            } => self.snapshot(position, &members, &state)?,
            DiskRequest::ReadChunk { to, id, offset } => {
                let chunk = self.disk.read_chunk(id, offset)?;
                self.reply(DiskReply::Event(Event::ChunkRead { to, chunk }));
            }
            DiskRequest::StoreChunk(chunk) => {
                let id = chunk.id;
                let event = match self.disk.store_chunk(&chunk) {
                    Ok(received) => Event::ChunkStored { id, received },
                    Err(error) => discard_snapshot(id, &error),
                };
                self.reply(DiskReply::Event(event));
            }
            DiskRequest::Install(id) => self.install(id)?,
            DiskRequest::Bootstrap(members) => {
                let state = M::empty().snapshot();
                let position = Position::default();
                self.disk.write_snapshot(position, &members, &state)?;
                self.reload()?;
            }
            DiskRequest::Reload => {
                // The core that waits for these writes to be synced is no more.
                *written_seq = None;
                thread::sleep(RELOAD_DELAY);
                self.reload()?;
            }
        }
        Ok(())
    }

    /// Writes a snapshot. On a full disk the log stays complete, so that a later snapshot can cover the
    /// same entries.
    fn snapshot(
        &mut self,
        position: Position,
        members: &Membership,
        state: &[u8],
    ) -> anyhow::Result<()> {
        match self.disk.write_snapshot(position, members, state) {
            Ok(snapshot) => self.reply(DiskReply::Event(Event::SnapshotCreated(snapshot))),
            Err(error @ JournalError::Full { .. }) => {
                log::error!("snapshot not written: {error}");
                self.reply(DiskReply::SnapshotNotWritten);
            }
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    fn install(&mut self, id: SnapshotId) -> anyhow::Result<()> {
        match self.disk.install() {
            Ok(()) => {
                let state = Box::new(self.disk.content()?.state);
                self.reply(DiskReply::Installed { id, state });
            }
            Err(error @ JournalError::WrongSnapshot) => {
                self.reply(DiskReply::Event(discard_snapshot(id, &error)));
            }
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    /// Restores the state from disk. Entries written before the disk was full are synced first, so
    /// that they count. What a full disk has interrupted is completed.
    fn reload(&mut self) -> anyhow::Result<()> {
        self.disk.sync()?;
        self.disk.drop_covered()?;
        self.is_full = false;
        let restored = self.disk.restore()?;
        self.reply(DiskReply::Restored(Box::new(restored)));
        Ok(())
    }

    /// Reports a full disk. After any other error the state of the disk is unknown, so the process
    /// exits; a restart continues from the synced state.
    fn handle_error(&mut self, error: &anyhow::Error) {
        if matches!(error.downcast_ref(), Some(JournalError::Full { .. })) {
            log::error!("disk full; requests ignored until reload: {error:#}");
            self.is_full = true;
            return self.reply(DiskReply::Full);
        }
        log::error!("disk failed; process exits: {error:#}");
        eprintln!("error: {error:#}");
        std::process::exit(1);
    }

    fn reply(&self, reply: DiskReply<M>) {
        (self.on_reply)(reply);
    }
}

fn discard_snapshot(id: SnapshotId, error: &JournalError) -> Event {
    log::warn!("incoming snapshot discarded: {error}");
    Event::SnapshotCorrupted(id)
}
