//! Replication progress of a follower, as tracked by the leader.

use std::{
    collections::VecDeque,
    fmt, //
};

use yuccaseam_base::{
    Millis,
    value, //
};

use crate::{
    Append,
    Chunk,
    Echo,
    Entry,
    Index,
    Round,
    SnapshotId,
    Term,
    link_rate::LinkRate,
    log::Log,
    traffic::Traffic,
    transfer::SnapshotTransfer, //
};

/// Maximum payload size of an append message with more than one entry.
const MAX_APPEND_BYTES: usize = 64 * 1024;

/// Payload size of the unacknowledged append messages to a follower from which on no further one is sent:
/// about the bandwidth-delay product of a link between regions. Heartbeats wait behind more, until the
/// follower counts as unresponsive.
const MAX_IN_FLIGHT_BYTES: usize = 256 * 1024;

/// Maximum payload size of a probe. Probes are repeated at each heartbeat, also to a follower that never
/// replies, so that the entries of a new leader's term are all that fits.
const MAX_PROBE_BYTES: usize = 4 * 1024;

/// Maximum number of unacknowledged append messages with entries per follower.
const MAX_IN_FLIGHT: usize = 32;

/// Replication mode of a follower.
#[derive(Debug, PartialEq)]
pub(crate) enum Mode {
    /// Searches for the last entry that matches. A probe is sent for each new value of `next`, and
    /// repeated by heartbeats.
    Probe {
        /// Whether the probe for the current `next` was sent.
        paused: bool,
    },
    /// Pipelines messages without waiting for replies.
    Replicate {
        /// Start of this mode, by the leader's clock.
        since: Millis,
    },
    /// Transfers a snapshot before further entries.
    Snapshot(SnapshotTransfer),
}

/// Measures whether a follower keeps up with the log. In each period it syncs what the log held at the
/// start of the period.
#[derive(Debug)]
struct CatchUp {
    target: Index,
    started_at: Millis,
    /// Whether the period before ended in time.
    was_in_time: bool,
}

/// Unacknowledged append message with entries.
#[derive(Debug)]
struct InFlight {
    last: Index,
    payload_bytes: usize,
}

/// Replication progress of a follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last entry known to be synced at the follower.
    pub(crate) matched: Index,
    /// Next entry to send.
    pub(crate) next: Index,
    pub(crate) mode: Mode,
    in_flight: VecDeque<InFlight>,
    /// Sending time of the latest acknowledged message, by the leader's clock.
    pub(crate) contact: Option<Millis>,
    /// Latest acknowledged round.
    pub(crate) round: Round,
    /// `None` before the first reply.
    catch_up: Option<CatchUp>,
    pub(crate) traffic: Traffic,
    pub(crate) link_rate: LinkRate,
}

/// Fields common to the append messages that a leader sends at one time.
#[derive(Clone, Copy)]
pub(crate) struct AppendHeader {
    pub(crate) commit: Index,
    pub(crate) echo: Echo,
}

/// Step of the replication to a member.
#[value]
#[derive(Copy)]
pub enum ReplicationStep {
    /// The last entry that matches is searched for.
    Probe,
    /// A snapshot is being sent.
    Snapshot,
    /// Entries are sent.
    Entries,
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let step = match self.step() {
            ReplicationStep::Probe => "probe",
            ReplicationStep::Entries => "replicate",
            ReplicationStep::Snapshot => "snapshot",
        };
        let (next, in_flight, traffic) = (self.next.0, self.in_flight.len(), &self.traffic);
        write!(
            f,
            "{step}, next {next}, {in_flight} in flight, sent: {traffic}"
        )
    }
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
            catch_up: None,
            traffic: Traffic::default(),
            link_rate: LinkRate::default(),
        }
    }

    pub(crate) fn step(&self) -> ReplicationStep {
        match self.mode {
            Mode::Probe { .. } => ReplicationStep::Probe,
            Mode::Replicate { .. } => ReplicationStep::Entries,
            Mode::Snapshot(_) => ReplicationStep::Snapshot,
        }
    }

    /// Position of the follower: entries that it has synced, and bytes of the snapshot that is being sent.
    pub(crate) fn position(&self) -> u64 {
        let snapshot_bytes = match &self.mode {
            Mode::Snapshot(transfer) => transfer.acknowledged(),
            Mode::Probe { .. } | Mode::Replicate { .. } => 0,
        };
        self.matched.0 + snapshot_bytes
    }

    /// Whether the follower needs an entry that is available only in the snapshot.
    pub(crate) fn needs_snapshot(&self, log: &Log) -> bool {
        !matches!(self.mode, Mode::Snapshot(_)) && self.next <= log.base()
    }

    /// Returns the next message with entries, if the mode permits one.
    pub(crate) fn next_entries(&mut self, log: &Log, header: AppendHeader) -> Option<Append> {
        if self.next > log.last_index() {
            return None;
        }
        match &mut self.mode {
            Mode::Probe { paused: true } | Mode::Snapshot(_) => None,
            Mode::Probe { paused } => {
                *paused = true;
                self.probe(log, header)
            }
            Mode::Replicate { .. } => {
                if self.is_window_full() {
                    return None;
                }
                let entries = log.slice(self.next, MAX_APPEND_BYTES);
                let append = self.append(log, header, entries)?;
                let last = append.entries.last()?.index;
                let sizes = append.entries.iter().map(|entry| entry.payload.size());
                let payload_bytes = sizes.sum();
                let is_idle = self.in_flight.is_empty();
                let sent_at = header.echo.sent_at;
                self.link_rate
                    .on_sent(last, payload_bytes, is_idle, sent_at);
                self.next = last.next();
                self.in_flight.push_back(InFlight {
                    last,
                    payload_bytes,
                });
                Some(append)
            }
        }
    }

    /// Whether the snapshot transfer, if any, is to be offered again.
    pub(crate) fn is_transfer_stalled(&self, now: Millis) -> bool {
        match &self.mode {
            Mode::Snapshot(transfer) => transfer.is_stalled(self.contact, now),
            Mode::Probe { .. } | Mode::Replicate { .. } => false,
        }
    }

    /// Records that the follower has synced a snapshot up to an offset. Returns the offset of the next
    /// chunk to read, if one may be sent.
    pub(crate) fn on_chunk_acknowledged(
        &mut self,
        id: SnapshotId,
        received: u64,
        now: Millis,
        timeout: Millis,
    ) -> Option<u64> {
        match &mut self.mode {
            Mode::Snapshot(transfer) if transfer.id == id => {
                transfer.on_acknowledged(received, now, timeout)
            }
            _ => None,
        }
    }

    /// Records that a chunk was read. Returns whether to send it, and the offset of the next chunk to
    /// read, if one may be sent.
    pub(crate) fn on_chunk_read(&mut self, chunk: &Chunk, now: Millis) -> (bool, Option<u64>) {
        let Mode::Snapshot(transfer) = &mut self.mode else {
            return (false, None);
        };
        if !transfer.on_read(chunk, now) {
            return (false, None);
        }
        self.traffic.on_chunk(chunk);
        (true, transfer.next_read())
    }

    fn is_window_full(&self) -> bool {
        let sizes = self.in_flight.iter().map(|message| message.payload_bytes);
        self.in_flight.len() >= MAX_IN_FLIGHT || sizes.sum::<usize>() >= MAX_IN_FLIGHT_BYTES
    }

    /// Returns a heartbeat, which is also a probe while probing, because the previous one may have been
    /// lost.
    pub(crate) fn heartbeat(&mut self, log: &Log, header: AppendHeader) -> Option<Append> {
        match &mut self.mode {
            Mode::Probe { paused } => {
                *paused = true;
                self.probe(log, header)
            }
            Mode::Replicate { .. } => self.append(log, header, Vec::new()),
            Mode::Snapshot(_) => Some(Append {
                prev_index: Index::ZERO,
                prev_term: Term(0),
                entries: Vec::new(),
                commit: Index::ZERO,
                echo: header.echo,
            }),
        }
    }

    fn probe(&mut self, log: &Log, header: AppendHeader) -> Option<Append> {
        let entries = log.slice_within(self.next, MAX_PROBE_BYTES);
        self.append(log, header, entries)
    }

    fn append(&mut self, log: &Log, header: AppendHeader, entries: Vec<Entry>) -> Option<Append> {
        let prev_index = self.next.prev();
        let append = Append {
            prev_index,
            prev_term: log.term_at(prev_index)?,
            entries,
            commit: header.commit,
            echo: header.echo,
        };
        self.traffic.on_append(&append);
        Some(append)
    }

    /// Records the echo of a reply, whatever its result.
    pub(crate) fn record_echo(&mut self, echo: Echo, now: Millis) {
        self.link_rate.on_round_trip(now - echo.sent_at);
        self.contact = self.contact.max(Some(echo.sent_at));
        self.round = self.round.max(echo.round);
    }

    /// Records that the follower has synced up to an index.
    pub(crate) fn on_matched(&mut self, index: Index, log: &Log, now: Millis) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        self.link_rate.on_acknowledged(index, now);
        let in_flight = &mut self.in_flight;
        while in_flight.front().is_some_and(|first| first.last <= index) {
            in_flight.pop_front();
        }
        let is_caught_up = match self.mode {
            Mode::Probe { .. } => self.matched.next() >= self.next,
            Mode::Replicate { .. } => false,
            Mode::Snapshot(_) => self.matched >= log.base(),
        };
        if is_caught_up {
            self.mode = Mode::Replicate { since: now };
        }
    }

    /// Starts the next period of the catch-up if the current one is complete.
    pub(crate) fn measure_catch_up(&mut self, last: Index, limit: Millis, now: Millis) {
        let was_in_time = match &self.catch_up {
            Some(period) if self.matched < period.target => return,
            Some(period) => now < period.started_at + limit,
            None => false,
        };
        self.catch_up = Some(CatchUp {
            target: last,
            started_at: now,
            was_in_time,
        });
    }

    /// Whether the follower syncs entries within `limit`. While the leader writes without a pause, a
    /// distant follower never holds all of them.
    pub(crate) fn keeps_up(&self, limit: Millis, now: Millis) -> bool {
        self.catch_up
            .as_ref()
            .is_some_and(|period| period.was_in_time && now < period.started_at + limit)
    }

    /// Records that the follower lacks the entry that precedes a message's first, and probes for an
    /// earlier one. Each message behind a lost one is rejected: only the first rejection counts.
    pub(crate) fn on_rejected(&mut self, prev: Index, hint: Index, echo: Echo) {
        let is_stale = match self.mode {
            Mode::Probe { .. } => prev != self.next.prev(),
            Mode::Replicate { since } => echo.sent_at < since,
            Mode::Snapshot(_) => true,
        };
        if prev <= self.matched || is_stale {
            return;
        }
        let next = prev.min(hint.next());
        self.next = next.max(self.matched.next());
        self.in_flight.clear();
        self.mode = Mode::Probe { paused: false };
    }
}
