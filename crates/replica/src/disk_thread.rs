//! The thread that writes to the disk, so that a slow sync delays no heartbeat.
//!
//! It takes all requests that wait, carries them out in order, and syncs once: writes that arrive
//! during a sync share the next one.

use std::{
    marker::PhantomData,
    sync::mpsc::{
        self,
        Receiver,
        Sender, //
    },
    thread, //
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

/// What the disk is asked to do.
pub enum DiskRequest {
    /// Write and sync.
    Persist(Persist),
    /// Write a snapshot of the state machine.
    Snapshot {
        /// The last entry that it covers.
        position: Position,
        /// The group as of that entry.
        members: Membership,
        /// The state, from [`Machine::snapshot`].
        state: Vec<u8>,
    },
    /// Read a part of a snapshot for a follower.
    ReadChunk {
        /// The follower.
        to: DiskId,
        /// Which snapshot.
        id: SnapshotId,
        /// Where the part begins, in bytes.
        offset: u64,
    },
    /// Store a part of an incoming snapshot.
    StoreChunk(Chunk),
    /// Replace log and state by the incoming snapshot.
    Install(SnapshotId),
    /// Begin a new group with this membership.
    BeginGroup(Membership),
    /// Read everything again after a full disk.
    Reload,
}

/// What the disk did.
pub enum DiskReply<M> {
    /// An event for the core.
    Event(Event),
    /// An incoming snapshot is installed.
    Installed {
        /// Which snapshot.
        id: SnapshotId,
        /// The state in it.
        state: Box<M>,
    },
    /// The disk is full. All requests are ignored until [`DiskRequest::Reload`].
    Full,
    /// The content of the disk, from which the core is to be started again.
    Restored(Box<(Restored, M)>),
}

struct DiskThread<M, F> {
    disk: Disk,
    on_reply: F,
    machine: PhantomData<fn() -> M>,
    /// Whether a write failed because the disk is full.
    full: bool,
}

/// Starts the thread, which hands its replies to a callback. It ends with the process.
///
/// # Errors
///
/// Fails if no thread can be started.
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
        full: false,
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
            let waiting = std::iter::once(first).chain(rx.try_iter());
            let mut written = None;
            for request in waiting {
                if let Err(error) = self.carry_out(request, &mut written) {
                    self.fail(&error);
                }
            }
            if let Some(seq) = written
                && !self.full
            {
                match self.disk.sync() {
                    Ok(()) => self.reply(DiskReply::Event(Event::Synced(seq))),
                    Err(error) => self.fail(&error.into()),
                }
            }
        }
    }

    fn carry_out(
        &mut self,
        request: DiskRequest,
        written: &mut Option<SyncSeq>,
    ) -> anyhow::Result<()> {
        if self.full && !matches!(request, DiskRequest::Reload) {
            return Ok(());
        }
        match request {
            DiskRequest::Persist(persist) => {
                let seq = persist.seq;
                self.disk.write(persist)?;
                *written = Some(seq);
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
                    Err(error) => broken(id, &error),
                };
                self.reply(DiskReply::Event(event));
            }
            DiskRequest::Install(id) => self.install(id)?,
            DiskRequest::BeginGroup(members) => {
                let state = M::empty().snapshot();
                let position = Position::default();
                self.disk.make_snapshot(position, &members, &state)?;
                self.reload()?;
            }
            DiskRequest::Reload => self.reload()?,
        }
        Ok(())
    }

    /// A snapshot that does not fit is tried again with the next entries.
    fn snapshot(
        &mut self,
        position: Position,
        members: &Membership,
        state: &[u8],
    ) -> anyhow::Result<()> {
        match self.disk.make_snapshot(position, members, state) {
            Ok(snapshot) => self.reply(DiskReply::Event(Event::SnapshotMade(snapshot))),
            Err(error @ JournalError::Full { .. }) => log::error!("no snapshot: {error}"),
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
                self.reply(DiskReply::Event(broken(id, &error)));
            }
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    /// Reads everything again. What was written before the disk was full counts once it is
    /// synced.
    fn reload(&mut self) -> anyhow::Result<()> {
        self.disk.sync()?;
        self.full = false;
        let restored = self.disk.restore()?;
        self.reply(DiskReply::Restored(Box::new(restored)));
        Ok(())
    }

    /// A full disk is reported. After any other failure the disk cannot be trusted, and the
    /// process ends: a restart finds what was synced.
    fn fail(&mut self, error: &anyhow::Error) {
        if matches!(error.downcast_ref(), Some(JournalError::Full { .. })) {
            log::error!("the disk is full: {error:#}");
            self.full = true;
            return self.reply(DiskReply::Full);
        }
        log::error!("the replica cannot go on: {error:#}");
        eprintln!("error: {error:#}");
        std::process::exit(1);
    }

    fn reply(&self, reply: DiskReply<M>) {
        (self.on_reply)(reply);
    }
}

fn broken(id: SnapshotId, error: &JournalError) -> Event {
    log::warn!("the incoming snapshot is discarded: {error}");
    Event::SnapshotBroken(id)
}
