//! What a leader knows of one follower.

use std::collections::VecDeque;

use yuccaseam_base::Millis;

use crate::{
    Append,
    Echo,
    Index,
    Round,
    SnapshotId,
    Term,
    log::Log, //
};

/// The payload bytes of one append message.
pub(crate) const MAX_APPEND_BYTES: usize = 256 * 1024;

/// The append messages with entries that may be on their way to one follower.
const MAX_IN_FLIGHT: usize = 32;

/// How entries are sent to a follower.
#[derive(Debug, PartialEq)]
pub(crate) enum Mode {
    /// One message at a time, until one matches.
    Probe {
        /// Whether an answer is awaited.
        paused: bool,
    },
    /// Messages follow one another without waiting.
    Replicate,
    /// A snapshot goes first.
    Snapshot(Transfer),
}

/// A snapshot on its way to a follower.
#[derive(Debug, PartialEq)]
pub(crate) struct Transfer {
    pub(crate) id: SnapshotId,
    /// When the follower is asked again how much it has.
    pub(crate) retry_at: Millis,
}

/// What a leader knows of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Synced at the follower up to here.
    pub(crate) matched: Index,
    /// The next entry to send.
    pub(crate) next: Index,
    pub(crate) mode: Mode,
    /// The last entry of each message on its way.
    in_flight: VecDeque<Index>,
    /// When the latest answered message was sent, by the leader's clock.
    pub(crate) contact: Option<Millis>,
    /// The latest answered round.
    pub(crate) round: Round,
}

/// What every append message of a leader carries.
#[derive(Clone, Copy)]
pub(crate) struct Stamp {
    pub(crate) commit: Index,
    pub(crate) echo: Echo,
}

impl Progress {
    pub(crate) fn new(next: Index) -> Self {
        Self {
            matched: Index::ZERO,
            next,
            mode: Mode::Probe { paused: false },
            in_flight: VecDeque::new(),
            contact: None,
            round: Round::default(),
        }
    }

    /// Whether the follower needs an entry that only the snapshot covers.
    pub(crate) fn needs_snapshot(&self, log: &Log) -> bool {
        !matches!(self.mode, Mode::Snapshot(_)) && self.next <= log.base()
    }

    /// The next message with entries, if the mode allows one.
    pub(crate) fn next_entries(&mut self, log: &Log, stamp: Stamp) -> Option<Append> {
        if self.next > log.last_index() {
            return None;
        }
        match &mut self.mode {
            Mode::Probe { paused: true } | Mode::Snapshot(_) => None,
            Mode::Probe { paused } => {
                *paused = true;
                self.append(log, stamp, MAX_APPEND_BYTES)
            }
            Mode::Replicate => {
                if self.in_flight.len() >= MAX_IN_FLIGHT {
                    return None;
                }
                let append = self.append(log, stamp, MAX_APPEND_BYTES)?;
                let last = append.entries.last()?.index;
                self.next = last.next();
                self.in_flight.push_back(last);
                Some(append)
            }
        }
    }

    /// A heartbeat. While probing it carries entries, because the last ones may be lost.
    pub(crate) fn heartbeat(&mut self, log: &Log, stamp: Stamp) -> Option<Append> {
        match &mut self.mode {
            Mode::Probe { paused } => {
                *paused = true;
                self.append(log, stamp, MAX_APPEND_BYTES)
            }
            Mode::Replicate => self.append(log, stamp, 0),
            Mode::Snapshot(_) => Some(Append {
                prev_index: Index::ZERO,
                prev_term: Term(0),
                entries: Vec::new(),
                commit: Index::ZERO,
                echo: stamp.echo,
            }),
        }
    }

    fn append(&self, log: &Log, stamp: Stamp, max: usize) -> Option<Append> {
        let prev_index = self.next.prev();
        let entries = match max {
            0 => Vec::new(),
            _ => log.slice(self.next, max),
        };
        Some(Append {
            prev_index,
            prev_term: log.term_at(prev_index)?,
            entries,
            commit: stamp.commit,
            echo: stamp.echo,
        })
    }

    /// Notes an answer, whatever it says.
    pub(crate) fn on_contact(&mut self, echo: Echo) {
        self.contact = self.contact.max(Some(echo.sent_at));
        self.round = self.round.max(echo.round);
        if let Mode::Probe { paused } = &mut self.mode {
            *paused = false;
        }
    }

    /// Notes that the follower has synced up to an index.
    pub(crate) fn on_matched(&mut self, index: Index, log: &Log) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        while self.in_flight.front().is_some_and(|&last| last <= index) {
            self.in_flight.pop_front();
        }
        let catches_up = match self.mode {
            Mode::Probe { .. } => self.matched.next() >= self.next,
            Mode::Replicate => false,
            Mode::Snapshot(_) => self.matched >= log.base(),
        };
        if catches_up {
            self.mode = Mode::Replicate;
        }
    }

    /// Notes that the follower lacks the entry before a message's first.
    pub(crate) fn on_rejected(&mut self, prev: Index, hint: Index) {
        if prev <= self.matched || matches!(self.mode, Mode::Snapshot(_)) {
            return;
        }
        let next = prev.min(hint.next());
        self.next = next.max(self.matched.next());
        self.in_flight.clear();
        self.mode = Mode::Probe { paused: false };
    }
}
