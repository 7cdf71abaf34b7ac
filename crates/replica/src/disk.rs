//! The log and the snapshots of a data folder, as the core sees them.

use anyhow::Context as _;
use yuccaseam_base::Machine;
use yuccaseam_journal::{
    DataFolder,
    Entry as JournalEntry,
    HardState as JournalHardState,
    JournalError,
    Log,
    LogOptions,
    Position,
    SnapshotMeta,
    SnapshotReceiver,
    Snapshots, //
};
use yuccaseam_quorum::{
    CHUNK_BYTES,
    Chunk,
    DiskId,
    Entry,
    HardState,
    Index,
    Membership,
    Persist,
    Restored,
    Snapshot,
    SnapshotId,
    Term,
    WireEntry,
    WireMembership,
    WirePayload,
    WireSnapshot, //
};

/// How many bytes of entries are read at a time.
const READ_BYTES: usize = 1 << 20;

/// Bytes of the length that precedes the group in a snapshot.
const LENGTH_BYTES: usize = 4;

/// Log and snapshots of one data folder.
pub struct Disk {
    log: Log,
    snapshots: Snapshots,
    receiver: Option<SnapshotReceiver>,
}

/// The content of a snapshot.
pub(crate) struct Content<M> {
    group: WireMembership,
    pub(crate) state: M,
}

impl Disk {
    /// Opens log and snapshots.
    ///
    /// # Errors
    ///
    /// Fails if either is damaged or not accessible.
    pub fn open(folder: &DataFolder) -> anyhow::Result<Self> {
        let mut log = Log::open(folder, LogOptions::default()).context("cannot open the log")?;
        let snapshots = Snapshots::open(folder).context("cannot open the snapshots")?;
        snapshots.check_covers(&log)?;
        for path in snapshots.damaged() {
            log::warn!("the snapshot {} is damaged", path.display());
        }
        if let Some(meta) = snapshots.latest() {
            // A process may have died after it installed the snapshot.
            log.drop_prefix(meta.position)?;
        }
        Ok(Self {
            log,
            snapshots,
            receiver: None,
        })
    }

    /// What the core and the state machine restart from.
    ///
    /// # Errors
    ///
    /// Fails if an entry or the snapshot cannot be read.
    pub fn restore<M>(&self) -> anyhow::Result<(Restored, M)>
    where
        M: Machine,
    {
        let (snapshot, state) = match self.snapshots.latest() {
            Some(meta) => {
                let content = self.content()?;
                (snapshot(meta, content.group)?, content.state)
            }
            None => (Snapshot::default(), M::empty()),
        };
        let hard = self.log.hard_state();
        let restored = Restored {
            hard: HardState {
                term: Term(hard.term),
                vote: hard.vote.map(DiskId),
            },
            snapshot,
            entries: self.entries()?,
            incoming: None,
        };
        Ok((restored, state))
    }

    fn entries(&self) -> anyhow::Result<Vec<Entry>> {
        let mut next = self.log.start().index + 1;
        let end = self.log.last().index + 1;
        let mut entries = Vec::new();
        while next < end {
            for entry in self.log.entries(next..end, READ_BYTES)? {
                next = entry.index + 1;
                entries.push(decode(&entry)?);
            }
        }
        Ok(entries)
    }

    /// The content of the newest snapshot.
    pub(crate) fn content<M>(&self) -> anyhow::Result<Content<M>>
    where
        M: Machine,
    {
        let reader = self.snapshots.reader()?.context("there is no snapshot")?;
        let data = reader.read_all()?;
        decode_content(&data)
    }

    /// Writes, without a sync.
    ///
    /// # Errors
    ///
    /// As the journal does.
    pub(crate) fn write(&mut self, persist: Persist) -> Result<(), JournalError> {
        if let Some(from) = persist.truncate {
            self.log.truncate(from.0)?;
        }
        if !persist.entries.is_empty() {
            let entries: Vec<_> = persist.entries.into_iter().map(encode).collect();
            self.log.append(&entries)?;
        }
        match persist.hard {
            Some(hard) => self.log.set_hard_state(JournalHardState {
                term: hard.term.0,
                vote: hard.vote.map(|id| id.0),
                commit: 0,
            }),
            None => Ok(()),
        }
    }

    /// Syncs everything written.
    ///
    /// # Errors
    ///
    /// As the journal does.
    pub(crate) fn sync(&mut self) -> Result<(), JournalError> {
        self.log.sync()
    }

    /// Makes a snapshot the newest one and drops the entries that it covers.
    ///
    /// # Errors
    ///
    /// As the journal does.
    pub(crate) fn make_snapshot(
        &mut self,
        position: Position,
        members: &Membership,
        state: &[u8],
    ) -> Result<Snapshot, JournalError> {
        let mut writer = self.snapshots.writer(position)?;
        let group = WireMembership::from(members.clone());
        let prefix = postcard::to_stdvec(&group).expect("plain data encodes");
        let len = u32::try_from(prefix.len()).expect("a group is small");
        writer.write(&len.to_le_bytes())?;
        writer.write(&prefix)?;
        writer.write(state)?;
        let meta = self.snapshots.install(writer.seal()?)?;
        self.log.drop_prefix(meta.position)?;
        Ok(Snapshot {
            id: id_of(meta),
            membership: members.clone(),
        })
    }

    /// Reads a part of the newest snapshot, if it is the one asked for.
    ///
    /// # Errors
    ///
    /// As the journal does.
    pub(crate) fn read_chunk(
        &self,
        id: SnapshotId,
        offset: u64,
    ) -> Result<Option<Chunk>, JournalError> {
        let Some(reader) = self.snapshots.reader()? else {
            return Ok(None);
        };
        if id_of(reader.meta()) != id {
            return Ok(None);
        }
        let data = reader.read(offset, CHUNK_BYTES as usize)?.into();
        Ok(Some(Chunk { id, offset, data }))
    }

    /// Takes a part of an incoming snapshot in and returns how much is there. It is synced as a
    /// whole when it is installed; a restart begins anew.
    ///
    /// # Errors
    ///
    /// As the journal does, and if the part does not follow what is there.
    pub(crate) fn store_chunk(&mut self, chunk: &Chunk) -> Result<u64, JournalError> {
        let meta = meta_of(chunk.id);
        if chunk.offset == 0 {
            self.receiver = Some(self.snapshots.receiver(meta)?);
        }
        match &mut self.receiver {
            Some(receiver) if receiver.meta() == meta => receiver.write(chunk.offset, &chunk.data),
            _ => Err(JournalError::WrongSnapshot),
        }
    }

    /// Replaces the log by the incoming snapshot, durably.
    ///
    /// # Errors
    ///
    /// As the journal does, and if the bytes are not those that were announced.
    pub(crate) fn install(&mut self) -> Result<(), JournalError> {
        let receiver = self.receiver.take().ok_or(JournalError::WrongSnapshot)?;
        let meta = self.snapshots.install(receiver.seal()?)?;
        self.log.drop_prefix(meta.position)
    }
}

fn encode(entry: Entry) -> JournalEntry {
    let wire = WireEntry::from(entry);
    JournalEntry {
        index: wire.index,
        term: wire.term,
        payload: postcard::to_stdvec(&wire.payload).expect("plain data encodes"),
    }
}

fn decode(entry: &JournalEntry) -> anyhow::Result<Entry> {
    let payload: WirePayload = postcard::from_bytes(&entry.payload)
        .with_context(|| format!("log entry {} is malformed", entry.index))?;
    let wire = WireEntry {
        index: entry.index,
        term: entry.term,
        payload,
    };
    Ok(wire.try_into()?)
}

fn decode_content<M>(data: &[u8]) -> anyhow::Result<Content<M>>
where
    M: Machine,
{
    let (len, rest) = data
        .split_first_chunk::<LENGTH_BYTES>()
        .context("the snapshot is too short")?;
    let (group, state) = rest
        .split_at_checked(u32::from_le_bytes(*len) as usize)
        .context("the snapshot is too short")?;
    Ok(Content {
        group: postcard::from_bytes(group).context("the snapshot's group is malformed")?,
        state: M::restore(state).context("the snapshot's state is malformed")?,
    })
}

fn id_of(meta: SnapshotMeta) -> SnapshotId {
    SnapshotId {
        index: Index(meta.position.index),
        term: Term(meta.position.term),
        size: meta.len,
        digest: meta.digest,
    }
}

fn meta_of(id: SnapshotId) -> SnapshotMeta {
    SnapshotMeta {
        position: Position {
            index: id.index.0,
            term: id.term.0,
        },
        len: id.size,
        digest: id.digest,
    }
}

fn snapshot(meta: SnapshotMeta, group: WireMembership) -> anyhow::Result<Snapshot> {
    let id = id_of(meta).into();
    Ok(WireSnapshot { id, group }.try_into()?)
}
