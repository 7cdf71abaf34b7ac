//! One replica: its state, the dispatch of events, and what every role shares.

use std::mem;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccaseam_base::Millis;

use crate::{
    Action,
    Body,
    DiskId,
    Entry,
    Envelope,
    Event,
    HardState,
    Incoming,
    Index,
    Membership,
    Restored,
    SyncSeq,
    Term,
    Timing,
    log::Log,
    role::{
        Following,
        Role, //
    },
    writer::Writer, //
};

/// What a replica is started with, besides its disk.
#[derive(Clone, Debug)]
pub struct Config {
    /// The identity of its disk.
    pub id: DiskId,
    /// The lengths of time of the protocol.
    pub timing: Timing,
    /// The seed of the election timeouts.
    pub seed: u64,
}

/// A message that leaves once a write is synced.
#[derive(Debug)]
struct Held {
    seq: SyncSeq,
    to: DiskId,
    body: Body,
}

/// One replica of the log.
///
/// The core does no I/O and reads no clock: [`Core::step`] takes an event and the time, and
/// returns what is to be done. No vote, term or entry counts before
/// [`Event::Synced`](crate::Event::Synced) reports it.
#[derive(Debug)]
pub struct Core {
    pub(crate) id: DiskId,
    pub(crate) timing: Timing,
    rng: ChaCha8Rng,
    pub(crate) now: Millis,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    /// The committed entries up to here were handed over.
    handed: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<DiskId>,
    /// When a leader was last heard, or the restart: a lease may rest on an answer of this
    /// replica from then.
    pub(crate) heard_at: Option<Millis>,
    /// When to stand for election.
    pub(crate) election_at: Millis,
    pub(crate) writer: Writer,
    held: Vec<Held>,
    pub(crate) incoming: Option<Incoming>,
    /// A received snapshot is being installed.
    pub(crate) installing: bool,
    pub(crate) actions: Vec<Action>,
}

impl Core {
    /// Starts a replica from what is on its disk.
    ///
    /// # Panics
    ///
    /// If the restored entries do not follow the restored snapshot without gaps.
    pub fn new(cfg: Config, mut restored: Restored, now: Millis) -> Self {
        let hard = restored.hard;
        let incoming = restored.incoming.take();
        let log = Log::restore(restored);
        let commit = log.base();
        let mut core = Self {
            id: cfg.id,
            timing: cfg.timing,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            now,
            hard,
            log,
            commit,
            handed: commit,
            role: Role::Follower(Following::default()),
            leader: None,
            heard_at: None,
            election_at: now,
            writer: Writer::default(),
            held: Vec::new(),
            incoming,
            installing: false,
            actions: Vec::new(),
        };
        if !core.is_sole_voter() {
            core.heard_at = Some(now);
            core.start_election_timer();
        }
        core
    }

    /// Takes one event in and returns what is to be done, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.check_quorum();
        self.dispatch(event);
        self.advance_commit();
        self.hand_over_commits();
        self.continue_change();
        self.continue_replacing();
        self.confirm_reads();
        self.replicate();
        if let Some(persist) = self.writer.flush() {
            self.actions.push(Action::Persist(persist));
        }
        mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.on_tick(),
            Event::Received(envelope) => self.on_received(envelope),
            Event::Propose(proposals) => self.on_propose(proposals),
            Event::Read(token) => self.on_read(token),
            Event::Synced(seq) => self.on_synced(seq),
            Event::SnapshotMade(snapshot) => self.on_snapshot_made(snapshot),
            Event::ChunkRead { to, chunk } => self.on_chunk_read(to, chunk),
            Event::ChunkStored { id, received } => self.on_chunk_stored(id, received),
            Event::SnapshotInstalled(id) => self.on_snapshot_installed(id),
            Event::SnapshotBroken(id) => self.on_snapshot_broken(id),
            Event::ChangeMembers { token, change } => self.on_change(token, change),
            Event::HandOver => self.on_hand_over(),
        }
    }

    fn on_tick(&mut self) {
        match self.role {
            Role::Leader(_) => self.on_leader_tick(),
            _ if self.now >= self.election_at => self.stand_pre_vote(),
            _ => {}
        }
    }

    fn on_received(&mut self, envelope: Envelope) {
        if envelope.to != self.id || envelope.from == self.id {
            return;
        }
        match envelope.body {
            Body::PreVote { last } => return self.on_pre_vote(envelope.from, envelope.term, last),
            Body::PreVoteReply { asked, granted } => {
                return self.on_pre_vote_reply(envelope.from, envelope.term, asked, granted);
            }
            Body::Vote { last, transfer } => {
                return self.on_vote(envelope.from, envelope.term, last, transfer);
            }
            _ => {}
        }
        if envelope.term < self.hard.term {
            return self.on_stale(&envelope);
        }
        if envelope.term > self.hard.term {
            self.follow(envelope.term);
        }
        if envelope.body.is_from_leader() {
            self.on_leader_heard(envelope.from);
        }
        self.on_current(envelope.from, envelope.body);
    }

    /// Handles a message of the present term.
    fn on_current(&mut self, from: DiskId, body: Body) {
        match body {
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::Append(append) => self.on_append(from, append),
            Body::AppendReply { result, echo } => self.on_append_reply(from, result, echo),
            Body::Offer(snapshot) => self.on_offer(from, snapshot),
            Body::Chunk(chunk) => self.on_chunk(from, chunk),
            Body::ChunkReply { id, received } => self.on_chunk_reply(from, id, received),
            Body::Transfer => self.on_transfer(),
            Body::PreVote { .. } | Body::PreVoteReply { .. } | Body::Vote { .. } => {}
        }
    }

    fn on_synced(&mut self, seq: SyncSeq) {
        if let Some(index) = self.writer.on_synced(seq) {
            self.log.set_synced(index);
        }
        self.send_held();
        self.count_own_vote();
        self.reply_after_sync();
    }

    /// Sends a message now.
    pub(crate) fn send(&mut self, to: DiskId, body: Body) {
        self.actions.push(Action::Send(Envelope {
            from: self.id,
            to,
            term: self.hard.term,
            body,
        }));
    }

    /// Sends a message once everything collected so far is synced.
    pub(crate) fn send_synced(&mut self, to: DiskId, body: Body) {
        let seq = self.writer.covering_seq();
        if self.writer.is_synced(seq) {
            return self.send(to, body);
        }
        self.held.push(Held { seq, to, body });
    }

    fn send_held(&mut self) {
        for held in mem::take(&mut self.held) {
            if self.writer.is_synced(held.seq) {
                self.send(held.to, held.body);
            } else {
                self.held.push(held);
            }
        }
    }

    /// Sets term and vote. Messages of an earlier term that wait for a sync are dropped.
    pub(crate) fn set_hard(&mut self, hard: HardState) {
        if hard.term != self.hard.term {
            self.held.clear();
        }
        self.hard = hard;
        self.writer.save_hard(hard);
    }

    /// Appends an entry to the log and to the write of this step.
    pub(crate) fn append(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        self.writer.append(entry);
    }

    /// Hands the newly committed entries over.
    fn hand_over_commits(&mut self) {
        let mut committed = Vec::new();
        while self.handed < self.commit {
            let index = self.handed.next();
            let Some(entry) = self.log.get(index).cloned() else {
                break;
            };
            committed.push(self.with_token(entry));
            self.handed = index;
        }
        if !committed.is_empty() {
            self.actions.push(Action::Commit(committed));
        }
    }

    /// Marks everything up to an index as part of the state machine.
    pub(crate) fn skip_to(&mut self, index: Index) {
        self.commit = index;
        self.handed = index;
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let election = self.timing.election.0;
        self.election_at = self.now + self.draw(election, election * 2);
    }

    /// Stands as soon as voters that restarted at the same time may vote again: after a loss of power
    /// nobody leads, and a pre-vote that comes too early deposes nobody.
    fn start_election_timer(&mut self) {
        let election = self.timing.election.0;
        self.election_at = self.now + self.draw(election, election + election / 4);
    }

    /// A length of time in a range.
    pub(crate) fn draw(&mut self, from: u64, to: u64) -> Millis {
        Millis(self.rng.random_range(from..to))
    }

    pub(crate) fn is_sole_voter(&self) -> bool {
        let membership = self.log.membership();
        membership.is_voter(self.id) && membership.majority() == 1
    }

    /// The identity of this replica's disk.
    pub fn id(&self) -> DiskId {
        self.id
    }

    /// The present term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Whether this replica leads. Ask [`Core::holds_lease`] before acting on it.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader of the present term, if known.
    pub fn leader(&self) -> Option<DiskId> {
        self.leader
    }

    /// Everything up to here is committed, as far as this replica knows.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// The last entry of the log, committed or not.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// The last entry that the latest snapshot covers.
    pub fn snapshot_index(&self) -> Index {
        self.log.base()
    }

    /// The group as of the last entry of the log.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Term and group as of an entry that a snapshot is to cover, or `None` if the entry is not
    /// in memory.
    pub fn describe(&self, index: Index) -> Option<(Term, &Membership)> {
        let term = self.log.term_at(index)?;
        Some((term, self.log.membership_at(index)))
    }
}
