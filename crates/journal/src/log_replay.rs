//! Recovery of a log from its segments.

use std::{
    collections::VecDeque,
    path::Path, //
};

use yuccaseam_base::key;

use crate::{
    error::JournalError,
    frame::HEADER_BYTES,
    log::{
        HardState,
        Position, //
    },
    record::Record,
    segment::{
        self,
        ScannedFrame,
        Segment, //
    },
    storage::Storage, //
};

/// Location of an entry on disk.
#[key]
pub(crate) struct Slot {
    /// Term of the entry.
    pub(crate) term: u64,
    /// Number of the segment.
    pub(crate) segment: u64,
    /// Offset of the frame in the segment, in bytes.
    pub(crate) offset: u32,
    /// Length of the frame's body in bytes.
    pub(crate) len: u32,
}

impl Slot {
    /// Creates the slot of a frame from `offset` to `end` in a segment.
    pub(crate) fn new(
        term: u64,
        segment: u64,
        offset: u64,
        end: u64,
    ) -> Result<Self, JournalError> {
        let len = (end - offset) as usize - HEADER_BYTES;
        let offset = u32::try_from(offset).map_err(|_| JournalError::TooLarge { len })?;
        Ok(Self {
            term,
            segment,
            offset,
            len: u32::try_from(len).map_err(|_| JournalError::TooLarge { len })?,
        })
    }
}

/// In-memory index of the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    /// Position before the first entry.
    pub(crate) start: Position,
    /// Index of the entry in the first slot.
    first: u64,
    /// Locations of the entries.
    pub(crate) slots: VecDeque<Slot>,
    /// Current hard state.
    pub(crate) hard: HardState,
}

impl Index {
    /// Creates an empty index whose next entry is `first`.
    fn new(start: Position, first: u64, hard: HardState) -> Self {
        Self {
            start,
            first,
            slots: VecDeque::new(),
            hard,
        }
    }

    /// Position of the last entry, or the start if there is none.
    pub(crate) fn last(&self) -> Position {
        match self.slots.back() {
            Some(slot) => Position {
                index: self.first + self.slots.len() as u64 - 1,
                term: slot.term,
            },
            None => self.start,
        }
    }

    /// Term of an entry or of the start.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.start.index {
            return Some(self.start.term);
        }
        self.slot(index).map(|slot| slot.term)
    }

    /// Location of an entry.
    pub(crate) fn slot(&self, index: u64) -> Option<Slot> {
        let at = index.checked_sub(self.first)?;
        self.slots.get(usize::try_from(at).ok()?).copied()
    }

    /// Removes all entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        match from.checked_sub(self.first) {
            Some(keep) => self.slots.truncate(keep as usize),
            None => {
                self.slots.clear();
                self.first = from;
            }
        }
    }

    /// Removes the entries up to a position.
    pub(crate) fn drop_prefix(&mut self, to: Position) {
        while self.first <= to.index && self.slots.pop_front().is_some() {
            self.first += 1;
        }
        if self.slots.is_empty() {
            // A replay may begin after this position, as older segments have been removed.
            self.first = self.first.max(to.index + 1);
        }
        self.start = to;
    }

    /// Removes all entries and continues after a position.
    pub(crate) fn reset(&mut self, to: Position) {
        *self = Self::new(to, to.index + 1, self.hard);
    }

    /// Required index of the next entry.
    fn next(&self) -> u64 {
        self.first + self.slots.len() as u64
    }

    /// Applies a stored record. The error describes why the record is invalid.
    fn apply(&mut self, record: &Record<'_>, slot: Slot) -> Result<(), &'static str> {
        match *record {
            Record::Prologue { next, .. } if next != self.next() => {
                Err("segment does not continue the previous one")
            }
            Record::Prologue { .. } => Ok(()),
            Record::Entry { position, .. } if position.index != self.next() => {
                Err("entry index out of order")
            }
            Record::Entry { position, .. } => {
                self.slots.push_back(Slot {
                    term: position.term,
                    ..slot
                });
                Ok(())
            }
            Record::Hard(hard) => {
                self.hard = hard;
                Ok(())
            }
            Record::Truncate { from } => {
                self.truncate(from);
                Ok(())
            }
            Record::Start(to) => {
                self.drop_prefix(to);
                Ok(())
            }
            Record::Reset(to) => {
                self.reset(to);
                Ok(())
            }
        }
    }
}

/// A log recovered from its segments.
#[derive(Debug)]
pub(crate) struct ReplayedLog {
    /// All segments, with contiguous numbers.
    pub(crate) segments: VecDeque<Segment>,
    /// Index of their records.
    pub(crate) index: Index,
}

/// Reads all segments of a folder and truncates a torn tail.
pub(crate) fn replay(storage: &dyn Storage, folder: &Path) -> Result<ReplayedLog, JournalError> {
    segment::recover_folder(storage, folder)?;
    let numbers = segment::list(storage, folder)?;
    let mut replayed = ReplayedLog {
        segments: VecDeque::new(),
        index: Index::new(Position::default(), 1, HardState::default()),
    };
    for (at, &number) in numbers.iter().enumerate() {
        if number != numbers[0] + at as u64 {
            let missing = segment::path(folder, numbers[0] + at as u64);
            return Err(JournalError::corrupt(&missing, 0, "segment is missing"));
        }
        let newest = at + 1 == numbers.len();
        replay_segment(storage, folder, number, newest, &mut replayed)?;
    }
    check_complete(folder, &replayed)?;
    Ok(replayed)
}

fn replay_segment(
    storage: &dyn Storage,
    folder: &Path,
    number: u64,
    newest: bool,
    replayed: &mut ReplayedLog,
) -> Result<(), JournalError> {
    let mut segment = Segment::open(storage, folder, number)?;
    let first = replayed.segments.is_empty();
    let invalid = replay_records(&segment, first, &mut replayed.index)?;
    if let Some(offset) = invalid {
        // The prologue was synced before the segment was renamed to its final name.
        if !newest || segment.starts_at(offset) {
            return Err(segment.corrupt(offset, "checksum mismatch in a synced record"));
        }
    }
    if newest {
        segment.recover_tail(invalid)?;
    }
    replayed.segments.push_back(segment);
    Ok(())
}

/// Applies a segment's records to the index. Returns the offset of the first invalid frame, if any.
fn replay_records(
    segment: &Segment,
    oldest: bool,
    index: &mut Index,
) -> Result<Option<u64>, JournalError> {
    let mut prologue_seen = false;
    segment.scan(|ScannedFrame { offset, len, body }| {
        let Some(record) = Record::decode(body) else {
            return Err(segment.corrupt(offset, "unknown record kind"));
        };
        if let Record::Prologue { start, next, hard } = record
            && oldest
            && !prologue_seen
        {
            *index = Index::new(start, next, hard);
        }
        prologue_seen |= matches!(record, Record::Prologue { .. });
        if !prologue_seen {
            return Err(segment.corrupt(offset, "segment without a prologue"));
        }
        let end = offset + (HEADER_BYTES + len) as u64;
        let slot = Slot::new(0, segment.number(), offset, end)?;
        index
            .apply(&record, slot)
            .map_err(|what| segment.corrupt(offset, what))
    })
}

/// Fails if entries after the start are missing, as the segment that held them is missing.
fn check_complete(folder: &Path, replayed: &ReplayedLog) -> Result<(), JournalError> {
    if replayed.index.first > replayed.index.start.index + 1 {
        return Err(JournalError::corrupt(
            folder,
            0,
            "oldest segment is missing",
        ));
    }
    Ok(())
}
