//! The records of the log, as they are stored.

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::value;

use crate::log::{
    HardState,
    Position, //
};

/// A record of the log.
#[value]
pub(crate) enum Record<'a> {
    /// The first record of each segment: what earlier segments said.
    Prologue {
        /// Where the log starts.
        start: Position,
        /// The index that the next entry will have.
        next: u64,
        /// The hard state.
        hard: HardState,
    },
    /// One entry.
    Entry {
        /// Its place in the log.
        position: Position,
        /// Its content.
        payload: &'a [u8],
    },
    /// A new hard state.
    Hard(HardState),
    /// All entries from this index on are void.
    Truncate {
        /// The first void index.
        from: u64,
    },
    /// All entries up to here are covered by a snapshot.
    Start(Position),
    /// The log continues after a snapshot that it does not reach or agree with.
    Reset(Position),
}

/// [`Record`] as it is stored. Variants are only ever added at the end.
#[derive(Serialize, Deserialize)]
enum WireRecord<'a> {
    Prologue(WirePosition, u64, WireHard),
    Entry(WirePosition, &'a [u8]),
    Hard(WireHard),
    Truncate(u64),
    Start(WirePosition),
    Reset(WirePosition),
}

#[derive(Serialize, Deserialize)]
struct WirePosition {
    index: u64,
    term: u64,
}

#[derive(Serialize, Deserialize)]
struct WireHard {
    term: u64,
    vote: Option<u64>,
    commit: u64,
}

impl Record<'_> {
    /// Appends the stored form.
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let out = std::mem::take(buf);
        *buf = postcard::to_extend(&WireRecord::from(self), out)
            .expect("writing to memory does not fail");
    }

    /// The record of a stored form, if it is one.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Record<'_>> {
        let (wire, rest) = postcard::take_from_bytes::<WireRecord<'_>>(bytes).ok()?;
        rest.is_empty().then(|| Record::from(wire))
    }
}

impl<'a> From<&Record<'a>> for WireRecord<'a> {
    fn from(record: &Record<'a>) -> Self {
        match *record {
            Record::Prologue { start, next, hard } => {
                Self::Prologue(start.into(), next, hard.into())
            }
            Record::Entry { position, payload } => Self::Entry(position.into(), payload),
            Record::Hard(hard) => Self::Hard(hard.into()),
            Record::Truncate { from } => Self::Truncate(from),
            Record::Start(start) => Self::Start(start.into()),
            Record::Reset(start) => Self::Reset(start.into()),
        }
    }
}

impl<'a> From<WireRecord<'a>> for Record<'a> {
    fn from(wire: WireRecord<'a>) -> Self {
        match wire {
            WireRecord::Prologue(start, next, hard) => Self::Prologue {
                start: start.into(),
                next,
                hard: hard.into(),
            },
            WireRecord::Entry(position, payload) => Self::Entry {
                position: position.into(),
                payload,
            },
            WireRecord::Hard(hard) => Self::Hard(hard.into()),
            WireRecord::Truncate(from) => Self::Truncate { from },
            WireRecord::Start(start) => Self::Start(start.into()),
            WireRecord::Reset(start) => Self::Reset(start.into()),
        }
    }
}

impl From<Position> for WirePosition {
    fn from(Position { index, term }: Position) -> Self {
        Self { index, term }
    }
}

impl From<WirePosition> for Position {
    fn from(WirePosition { index, term }: WirePosition) -> Self {
        Self { index, term }
    }
}

impl From<HardState> for WireHard {
    fn from(HardState { term, vote, commit }: HardState) -> Self {
        Self { term, vote, commit }
    }
}

impl From<WireHard> for HardState {
    fn from(WireHard { term, vote, commit }: WireHard) -> Self {
        Self { term, vote, commit }
    }
}
