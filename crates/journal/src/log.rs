//! Durable storage of a replicated log's entries and hard state.

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

/// Subfolder of the log's segments in the data folder.
const FOLDER: &str = "log";

/// A position in the log. The default is the position before the first entry.
#[key]
#[derive(Default)]
pub struct Position {
    /// Index, starting at 1 for the first entry.
    pub index: u64,
    /// Term of the entry at this index.
    pub term: u64,
}

/// State that a member of a replicated log must persist in addition to the entries.
#[key]
#[derive(Default)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// Member that received this member's vote in this term.
    pub vote: Option<u64>,
    /// Last known committed index. It may lag behind the actual one.
    pub commit: u64,
}

/// An entry of the log.
#[value]
pub struct Entry {
    /// Index of the entry.
    pub index: u64,
    /// Term in which the entry was proposed.
    pub term: u64,
    /// Content, opaque to the log.
    pub payload: Vec<u8>,
}

/// Settings of a [`Log`].
#[key]
pub struct LogOptions {
    /// Size at which a segment is closed and a new one is started, in bytes.
    pub segment_bytes: u64,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 8 << 20,
        }
    }
}

/// Entries and hard state of a replicated log, in append-only segments.
///
/// Appends are passed to the operating system immediately and become durable with the next
/// [`Log::sync`]. An append that fails with [`JournalError::Full`] is rolled back, so that the
/// caller can refuse the appended entries as "not run" and continue. After any other failed write
/// or sync the log refuses further writes with [`JournalError::Failed`].
#[derive(Debug)]
pub struct Log {
    storage: Arc<dyn Storage>,
    folder: PathBuf,
    opts: LogOptions,
    /// Segments with contiguous numbers. Writes go to the last one.
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
    /// [`JournalError::Corrupt`] if synced bytes have changed or are missing.
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

    /// Most recently set hard state.
    pub fn hard_state(&self) -> HardState {
        self.index.hard
    }

    /// Position before the first entry. A snapshot covers the entries up to here.
    pub fn start(&self) -> Position {
        self.index.start
    }

    /// Position of the last entry, or [`Log::start`] if there is none.
    pub fn last(&self) -> Position {
        self.index.last()
    }

    /// Index of the last durable entry.
    pub fn durable_index(&self) -> u64 {
        self.durable
    }

    /// Term of an entry, or of the position before the first one.
    pub fn term(&self, index: u64) -> Option<u64> {
        self.index.term(index)
    }

    /// Total size of the log's files in bytes.
    pub fn disk_bytes(&self) -> u64 {
        self.segments.iter().map(Segment::end).sum()
    }

    /// Appends all entries or none. They are durable after the next [`Log::sync`].
    ///
    /// # Errors
    ///
    /// [`JournalError::NotContiguous`] if the indices do not continue from the last entry;
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

    /// Removes all entries from an index on, where they conflict with the leader's.
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

    /// Drops the entries up to a snapshot's position, syncs, and removes unused segments. If the
    /// log does not reach that position or has a different term there, drops all entries and
    /// continues after the position. Must be called only once the snapshot is durable.
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

    /// Makes everything appended before this call durable.
    ///
    /// # Errors
    ///
    /// [`JournalError::Sync`] if the disk fails: data appended since the previous sync may or may
    /// not be durable. See [`Log`].
    pub fn sync(&mut self) -> Result<(), JournalError> {
        self.check_usable()?;
        if !self.active().is_synced() {
            let result = self.active_mut().sync();
            self.record_failure(result)?;
        }
        self.durable = self.last().index;
        Ok(())
    }

    /// Reads the entries of a range of indices, in order. Stops before the total payload would
    /// exceed `max_bytes`, but returns at least one entry.
    ///
    /// # Errors
    ///
    /// [`JournalError::OutOfRange`] if an entry to be read is not in the log.
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
            _ => Err(segment.corrupt(offset, "expected an entry, found another record")),
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

    /// Marks the log as failed on any error but [`JournalError::Full`], after which the write was
    /// rolled back completely.
    fn record_failure<T>(&mut self, result: Result<T, JournalError>) -> Result<T, JournalError> {
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

    /// Clears the buffer and starts a new segment if the active one is full.
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
        let segment = self.record_failure(result)?;
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
        self.record_failure(result)
    }

    /// Removes unused segments from the oldest on. Syncs the folder after each, so that a crash
    /// leaves no gap.
    fn remove_unused_segments(&mut self) -> Result<(), JournalError> {
        let needed = self.index.slots.front().map(|slot| slot.segment);
        let needed = needed.unwrap_or(self.active().number());
        while self.segments[0].number() < needed {
            let segment = self.segments.pop_front().expect("checked by the loop");
            let removed = segment.remove(&*self.storage);
            self.record_failure(removed)?;
            let synced = self.storage.sync_folder(&self.folder);
            let synced = synced.map_err(|e| JournalError::sync(&self.folder, e));
            self.record_failure(synced)?;
        }
        Ok(())
    }
}
