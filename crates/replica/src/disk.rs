//! Log and snapshots of a data folder, in terms of the replication core.

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

/// Size of the batches in which entries are read at start.
const READ_BYTES: usize = 1 << 20;

/// Size of the length prefix of the membership in a snapshot.
const LENGTH_BYTES: usize = 4;

/// Log and snapshots of one data folder.
pub struct Disk {
    log: Log,
    snapshots: Snapshots,
    receiver: Option<SnapshotReceiver>,
}

/// Decoded content of a snapshot.
pub(crate) struct SnapshotContent<M> {
    group: WireMembership,
    pub(crate) state: M,
}

impl Disk {
    /// Opens the log and the snapshots of a data folder.
    ///
    /// # Errors
    ///
    /// Fails if either is damaged or inaccessible.
    pub fn open(folder: &DataFolder) -> anyhow::Result<Self> {
        let log = Log::open(folder, LogOptions::default()).context("cannot open the log")?;
        let snapshots = Snapshots::open(folder).context("cannot open the snapshots")?;
        snapshots.check_covers(&log)?;
        for path in snapshots.damaged() {
            log::warn!("damaged snapshot {}", path.display());
        }
        let mut disk = Self {
            log,
            snapshots,
            receiver: None,
        };
        disk.drop_covered()?;
        Ok(disk)
    }

    /// Drops the log entries that the latest snapshot covers. A crash or a full disk may have come between
    /// its installation and that.
    ///
    /// # Errors
    ///
    /// Returns the errors of the journal.
    pub(crate) fn drop_covered(&mut self) -> Result<(), JournalError> {
        match self.snapshots.latest() {
            Some(meta) => self.log.drop_prefix(meta.position),
            None => Ok(()),
        }
    }

    /// Reads the state from which the core and the state machine start.
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
        let hard_state = self.log.hard_state();
        let restored = Restored {
            hard_state: HardState {
                term: Term(hard_state.term),
                vote: hard_state.vote.map(DiskId),
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

    /// Reads the latest snapshot.
    pub(crate) fn content<M>(&self) -> anyhow::Result<SnapshotContent<M>>
    where
        M: Machine,
    {
        let reader = self.snapshots.reader()?.context("no snapshot found")?;
        let data = reader.read_all()?;
        decode_content(&data)
    }

    /// Writes to the log without syncing.
    ///
    /// # Errors
    ///
    /// Returns the errors of the journal.
    pub(crate) fn write(&mut self, persist: Persist) -> Result<(), JournalError> {
        if let Some(from) = persist.truncate {
            self.log.truncate(from.0)?;
        }
        if !persist.entries.is_empty() {
            let entries: Vec<_> = persist.entries.into_iter().map(encode).collect();
            self.log.append(&entries)?;
        }
        match persist.hard_state {
            Some(hard_state) => self.log.set_hard_state(JournalHardState {
                term: hard_state.term.0,
                vote: hard_state.vote.map(|id| id.0),
                commit: 0,
            }),
            None => Ok(()),
        }
    }

    /// Syncs all writes to the log.
    ///
    /// # Errors
    ///
    /// Returns the errors of the journal.
    pub(crate) fn sync(&mut self) -> Result<(), JournalError> {
        self.log.sync()
    }

    /// Writes and installs a new snapshot and drops the log entries that it covers. On a full disk they may
    /// stay until the next snapshot.
    ///
    /// # Errors
    ///
    /// Returns the errors of the journal.
    pub(crate) fn write_snapshot(
        &mut self,
        position: Position,
        members: &Membership,
        state: &[u8],
    ) -> Result<Snapshot, JournalError> {
        let mut writer = self.snapshots.writer(position)?;
        let group = WireMembership::from(members.clone());
        let prefix = postcard::to_stdvec(&group).expect("a membership always encodes");
        let len = u32::try_from(prefix.len()).expect("a membership is smaller than 4 GiB");
        writer.write(&len.to_le_bytes())?;
        writer.write(&prefix)?;
        writer.write(state)?;
        let meta = self.snapshots.install(writer.seal()?)?;
        match self.log.drop_prefix(meta.position) {
            Err(error @ JournalError::Full { .. }) => {
                log::warn!("log entries that a snapshot covers are kept: {error}");
            }
            dropped => dropped?,
        }
        Ok(Snapshot {
            id: snapshot_id(meta),
            membership: members.clone(),
        })
    }

    /// Reads a chunk of a snapshot. Returns `None` if it is not the latest snapshot.
    ///
    /// # Errors
    ///
    /// Returns the errors of the journal.
    pub(crate) fn read_chunk(
        &self,
        id: SnapshotId,
        offset: u64,
    ) -> Result<Option<Chunk>, JournalError> {
        let Some(reader) = self.snapshots.reader()? else {
            return Ok(None);
        };
        if snapshot_id(reader.meta()) != id {
            return Ok(None);
        }
        let data = reader.read(offset, CHUNK_BYTES as usize)?.into();
        Ok(Some(Chunk { id, offset, data }))
    }

    /// Writes a chunk of an incoming snapshot and returns the length received so far. The snapshot
    /// is synced only when it is installed; after a restart the transfer starts over.
    ///
    /// # Errors
    ///
    /// Returns the errors of the journal, and fails if the chunk does not continue the snapshot
    /// being received.
    pub(crate) fn store_chunk(&mut self, chunk: &Chunk) -> Result<u64, JournalError> {
        let meta = snapshot_meta(chunk.id);
        if chunk.offset == 0 {
            self.receiver = Some(self.snapshots.receiver(meta)?);
        }
        match &mut self.receiver {
            Some(receiver) if receiver.meta() == meta => receiver.write(chunk.offset, &chunk.data),
            _ => Err(JournalError::WrongSnapshot),
        }
    }

    /// Replaces the log durably with the incoming snapshot.
    ///
    /// # Errors
    ///
    /// Returns the errors of the journal: the snapshot may be installed by then, and the log be behind it until
    /// [`Self::drop_covered`]. Fails if the received bytes do not match the offered
    /// snapshot.
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
        payload: postcard::to_stdvec(&wire.payload).expect("a payload always encodes"),
    }
}

fn decode(entry: &JournalEntry) -> anyhow::Result<Entry> {
    let payload: WirePayload = postcard::from_bytes(&entry.payload)
        .with_context(|| format!("malformed log entry {}", entry.index))?;
    let wire = WireEntry {
        index: entry.index,
        term: entry.term,
        payload,
    };
    Ok(wire.try_into()?)
}

fn decode_content<M>(data: &[u8]) -> anyhow::Result<SnapshotContent<M>>
where
    M: Machine,
{
    let (len, rest) = data
        .split_first_chunk::<LENGTH_BYTES>()
        .context("snapshot truncated in the length of its membership")?;
    let (group, state) = rest
        .split_at_checked(u32::from_le_bytes(*len) as usize)
        .context("snapshot truncated in its membership")?;
    Ok(SnapshotContent {
        group: postcard::from_bytes(group).context("malformed membership in the snapshot")?,
        state: M::restore(state).context("malformed state in the snapshot")?,
    })
}

fn snapshot_id(meta: SnapshotMeta) -> SnapshotId {
    SnapshotId {
        index: Index(meta.position.index),
        term: Term(meta.position.term),
        size: meta.len,
        digest: meta.digest,
    }
}

fn snapshot_meta(id: SnapshotId) -> SnapshotMeta {
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
    let id = snapshot_id(meta).into();
    Ok(WireSnapshot { id, group }.try_into()?)
}
