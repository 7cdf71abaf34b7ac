//! Log records and their stored form.

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
    /// First record of each segment: the state at the end of the previous segment.
    Prologue {
        /// Position before the first entry of the log.
        start: Position,
        /// Index of the next entry.
        next: u64,
        /// Current hard state.
        hard: HardState,
    },
    /// An entry.
    Entry {
        /// Position of the entry.
        position: Position,
        /// Content of the entry.
        payload: &'a [u8],
    },
    /// A new hard state.
    Hard(HardState),
    /// Removes all entries from an index on.
    Truncate {
        /// Index of the first removed entry.
        from: u64,
    },
    /// Drops the entries up to this position, which a snapshot covers.
    Start(Position),
    /// Drops all entries; the log continues after the position of a snapshot that it does not reach
    /// or does not match.
    Reset(Position),
}

/// Stored form of [`Record`]. New variants may be added only at the end.
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
    /// Appends the stored form to `buf`.
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let out = std::mem::take(buf);
        *buf = postcard::to_extend(&WireRecord::from(self), out)
            .expect("writing to memory does not fail");
    }

    /// Decodes a stored record. Returns `None` if it is invalid or bytes are left over.
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
