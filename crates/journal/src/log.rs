//! The entries of a replicated log and its hard state.

use std::{
    collections::VecDeque,
    ops::Range,
    path::PathBuf,
    sync::Arc, //
};

use yuccaseam_base::{
    key,
    value, //
};

use crate::{
    error::JournalError,
    folder::DataFolder,
    log_replay::{
        self,
        Index,
        Slot, //
    },
    record::Record,
    segment::Segment,
    storage::Storage, //
};

/// Where a log's segments are in the data folder.
const FOLDER: &str = "log";

/// A place in the log. The default is the place before the first entry.
#[key]
#[derive(Default)]
pub struct Position {
    /// The index: 1 for the first entry.
    pub index: u64,
    /// The term of the entry at this index.
    pub term: u64,
}

/// What a member of a replicated log must remember besides the entries.
#[key]
#[derive(Default)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// Whom the member voted for in this term.
    pub vote: Option<u64>,
    /// An index that is known to be committed. It may lag.
    pub commit: u64,
}

/// One entry of the log.
#[value]
pub struct Entry {
    /// Its index.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// Its content, which the log does not interpret.
    pub payload: Vec<u8>,
}

/// Settings of a [`Log`].
#[key]
pub struct LogOptions {
    /// A segment that has grown to this many bytes is followed by a new one.
    pub segment_bytes: u64,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 8 << 20,
        }
    }
}

/// The entries of a replicated log and its hard state, in append-only segments.
///
/// Appends reach the operating system at once and the disk with the next [`Log::sync`]. Bytes of
/// an append that fails with [`JournalError::Full`] are taken back, so that the caller can refuse
/// what it appended as "not run" and go on. After any other failed write or sync the log refuses
/// further writes with [`JournalError::Failed`].
#[derive(Debug)]
pub struct Log {
    storage: Arc<dyn Storage>,
    folder: PathBuf,
    opts: LogOptions,
    /// Contiguous by number; the last one is written to.
    segments: VecDeque<Segment>,
    index: Index,
    durable: u64,
    failed: bool,
    buf: Vec<u8>,
}

impl Log {
    /// Opens the log of a data folder, or creates an empty one.
    ///
    /// # Errors
    ///
    /// [`JournalError::Corrupt`] if bytes that were synced have changed or are missing.
    pub fn open(folder: &DataFolder, opts: LogOptions) -> Result<Self, JournalError> {
        let storage = folder.storage();
        let folder = folder.subfolder(FOLDER)?;
        let replayed = log_replay::replay(&*storage, &folder)?;
        let mut log = Self {
            storage,
            folder,
            opts,
            segments: replayed.segments,
            durable: replayed.index.last().index,
            index: replayed.index,
            failed: false,
            buf: Vec::new(),
        };
        if log.segments.is_empty() {
            log.start_segment(1)?;
        }
        Ok(log)
    }

    /// The last hard state that was set.
    pub fn hard_state(&self) -> HardState {
        self.index.hard
    }

    /// The place before the first entry: entries up to here are covered by a snapshot.
    pub fn start(&self) -> Position {
        self.index.start
    }

    /// The place of the last entry, or [`Log::start`] if there is none.
    pub fn last(&self) -> Position {
        self.index.last()
    }

    /// The highest index up to which entries are durable.
    pub fn durable_index(&self) -> u64 {
        self.durable
    }

    /// The term of an entry, or of the place before the first one.
    pub fn term(&self, index: u64) -> Option<u64> {
        self.index.term(index)
    }

    /// How many bytes the log's files hold.
    pub fn disk_bytes(&self) -> u64 {
        self.segments.iter().map(Segment::end).sum()
    }

    /// Appends entries, all or none. They are durable after the next [`Log::sync`].
    ///
    /// # Errors
    ///
    /// [`JournalError::NotContiguous`] if the first does not follow the last entry of the log;
    /// [`JournalError::Full`] if the disk is full; see [`Log`].
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), JournalError> {
        self.check_contiguous(entries)?;
        self.prepare()?;
        let mut slots = Vec::with_capacity(entries.len());
        for entry in entries {
            let position = Position {
                index: entry.index,
                term: entry.term,
            };
            let record = Record::Entry {
                position,
                payload: &entry.payload,
            };
            slots.push(self.encode_entry(&record, entry.term)?);
        }
        self.write()?;
        self.index.slots.extend(slots);
        Ok(())
    }

    /// Sets the hard state. It is durable after the next [`Log::sync`].
    ///
    /// # Errors
    ///
    /// See [`Log`].
    pub fn set_hard_state(&mut self, hard: HardState) -> Result<(), JournalError> {
        self.write_record(&Record::Hard(hard))?;
        self.index.hard = hard;
        Ok(())
    }

    /// Removes all entries from an index on, because a leader has others there.
    ///
    /// # Errors
    ///
    /// [`JournalError::OutOfRange`] if a snapshot covers the index; see [`Log`].
    pub fn truncate(&mut self, from: u64) -> Result<(), JournalError> {
        if from <= self.index.start.index {
            return Err(JournalError::OutOfRange { index: from });
        }
        if from > self.last().index {
            return Ok(());
        }
        self.write_record(&Record::Truncate { from })?;
        self.index.truncate(from);
        self.durable = self.durable.min(from - 1);
        Ok(())
    }

    /// Drops the entries up to a snapshot's place, syncs, and removes the segments that are no
    /// longer needed. If the log does not reach that place or has another term there, it drops
    /// all entries and continues after the place. Call it once the snapshot is durable.
    ///
    /// # Errors
    ///
    /// See [`Log`].
    pub fn drop_prefix(&mut self, to: Position) -> Result<(), JournalError> {
        if to.index <= self.index.start.index {
            return Ok(());
        }
        if self.term(to.index) == Some(to.term) {
            self.write_record(&Record::Start(to))?;
            self.index.drop_prefix(to);
        } else {
            self.write_record(&Record::Reset(to))?;
            self.index.reset(to);
            self.durable = 0;
        }
        self.sync()?;
        self.remove_unused_segments()
    }

    /// Makes everything appended so far durable.
    ///
    /// # Errors
    ///
    /// [`JournalError::Sync`] if the disk fails: what was appended since the last sync may or may
    /// not be durable. See [`Log`].
    pub fn sync(&mut self) -> Result<(), JournalError> {
        self.check_usable()?;
        if !self.active().is_synced() {
            let result = self.active_mut().sync();
            self.note(result)?;
        }
        self.durable = self.last().index;
        Ok(())
    }

    /// Reads the entries of a range of indices, in order, as many as have up to `max_bytes` of
    /// payload together, and at least one.
    ///
    /// # Errors
    ///
    /// [`JournalError::OutOfRange`] if the log does not hold the whole range.
    pub fn entries(&self, range: Range<u64>, max_bytes: usize) -> Result<Vec<Entry>, JournalError> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        for index in range {
            let slot = self
                .index
                .slot(index)
                .ok_or(JournalError::OutOfRange { index })?;
            bytes += slot.len as usize;
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(self.read_entry(index, slot)?);
        }
        Ok(entries)
    }

    fn read_entry(&self, index: u64, slot: Slot) -> Result<Entry, JournalError> {
        let first = self.active().number() - (self.segments.len() as u64 - 1);
        let segment = &self.segments[(slot.segment - first) as usize];
        let offset = u64::from(slot.offset);
        let body = segment.read_frame_of(offset, slot.len as usize)?;
        match Record::decode(&body) {
            Some(Record::Entry { position, payload }) if position.index == index => Ok(Entry {
                index,
                term: position.term,
                payload: payload.to_owned(),
            }),
            _ => Err(segment.corrupt(offset, "another record in place of an entry")),
        }
    }

    fn check_contiguous(&self, entries: &[Entry]) -> Result<(), JournalError> {
        let mut expected = self.last().index;
        for entry in entries {
            expected += 1;
            if entry.index != expected {
                return Err(JournalError::NotContiguous {
                    expected,
                    found: entry.index,
                });
            }
        }
        Ok(())
    }

    fn check_usable(&self) -> Result<(), JournalError> {
        if self.failed {
            return Err(JournalError::Failed);
        }
        Ok(())
    }

    /// Records that the store can no longer be trusted, unless the write was taken back whole.
    fn note<T>(&mut self, result: Result<T, JournalError>) -> Result<T, JournalError> {
        if let Err(e) = &result {
            self.failed |= !matches!(e, JournalError::Full { .. });
        }
        result
    }

    fn active(&self) -> &Segment {
        self.segments.back().expect("an open log has a segment")
    }

    fn active_mut(&mut self) -> &mut Segment {
        self.segments.back_mut().expect("an open log has a segment")
    }

    /// Empties the buffer and starts a new segment if the last one is full.
    fn prepare(&mut self) -> Result<(), JournalError> {
        self.check_usable()?;
        self.buf.clear();
        if self.active().end() < self.opts.segment_bytes {
            return Ok(());
        }
        self.sync()?;
        let number = self.active().number() + 1;
        self.start_segment(number)
    }

    fn start_segment(&mut self, number: u64) -> Result<(), JournalError> {
        let prologue = Record::Prologue {
            start: self.index.start,
            next: self.last().index + 1,
            hard: self.index.hard,
        };
        let result = Segment::create(&*self.storage, &self.folder, number, |segment| {
            let mut buf = Vec::new();
            segment.encode(&mut buf, |buf| prologue.encode(buf))?;
            segment.write(&buf)
        });
        let segment = self.note(result)?;
        self.segments.push_back(segment);
        Ok(())
    }

    fn write_record(&mut self, record: &Record<'_>) -> Result<(), JournalError> {
        self.prepare()?;
        self.encode(record)?;
        self.write()
    }

    fn encode(&mut self, record: &Record<'_>) -> Result<u64, JournalError> {
        let segment = self.segments.back().expect("an open log has a segment");
        segment.encode(&mut self.buf, |buf| record.encode(buf))
    }

    fn encode_entry(&mut self, record: &Record<'_>, term: u64) -> Result<Slot, JournalError> {
        let segment = self.active().number();
        let offset = self.encode(record)?;
        let end = self.active().end() + self.buf.len() as u64;
        Slot::new(term, segment, offset, end)
    }

    fn write(&mut self) -> Result<(), JournalError> {
        let segment = self.segments.back_mut().expect("an open log has a segment");
        let result = segment.write(&self.buf);
        self.note(result)
    }

    /// Removes from the oldest on, and syncs the folder after each, so that no crash leaves a gap.
    fn remove_unused_segments(&mut self) -> Result<(), JournalError> {
        let needed = self.index.slots.front().map(|slot| slot.segment);
        let needed = needed.unwrap_or(self.active().number());
        while self.segments[0].number() < needed {
            let segment = self.segments.pop_front().expect("checked by the loop");
            let removed = segment.remove(&*self.storage);
            self.note(removed)?;
            let synced = self.storage.sync_folder(&self.folder);
            let synced = synced.map_err(|e| JournalError::sync(&self.folder, e));
            self.note(synced)?;
        }
        Ok(())
    }
}
