//! State of a replica, dispatch of events, and functions shared by all roles.

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
        FollowerState,
        Role, //
    },
    writer::Writer, //
};

/// Share of the election timeout between the pre-votes of two voters that restarted together, as a
/// divisor: longer than a pre-vote and the request of a vote take between regions.
const RESTART_STAGGER_DIVISOR: u64 = 5;

/// Share of that stagger by which each pre-vote is delayed at random, as a divisor.
const RESTART_JITTER_DIVISOR: u64 = 5;

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Identity of the replica's disk.
    pub id: DiskId,
    /// Intervals and time-outs of the protocol.
    pub timing: Timing,
    /// Seed of the randomized election timeouts.
    pub seed: u64,
}

/// Message deferred until a write is synced.
#[derive(Debug)]
struct DeferredMessage {
    seq: SyncSeq,
    to: DiskId,
    body: Body,
}

/// Replica of the log.
///
/// The core does no I/O and reads no clock: [`Core::step`] takes an event and the current time and
/// returns the actions to execute. A vote, term or entry takes effect only after
/// [`Event::Synced`](crate::Event::Synced) has covered it.
#[derive(Debug)]
pub struct Core {
    pub(crate) id: DiskId,
    pub(crate) timing: Timing,
    rng: ChaCha8Rng,
    pub(crate) now: Millis,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    /// Last committed entry delivered in an [`Action::Commit`] or covered by a snapshot.
    delivered: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<DiskId>,
    /// Time of the last message from a leader, or of the restart: a reply that this replica sent
    /// at that time may support a lease.
    pub(crate) last_leader_contact: Option<Millis>,
    /// Time at which the next pre-vote starts.
    pub(crate) election_at: Millis,
    pub(crate) writer: Writer,
    deferred: Vec<DeferredMessage>,
    pub(crate) incoming: Option<Incoming>,
    /// Offset up to which chunks of the incoming snapshot have arrived, stored or not.
    pub(crate) incoming_end: u64,
    /// Whether a received snapshot is being installed.
    pub(crate) installing: bool,
    pub(crate) actions: Vec<Action>,
}

impl Core {
    /// Starts a replica from the state restored from its disk.
    ///
    /// # Panics
    ///
    /// Panics if there is a gap between the restored snapshot and entries, or among the entries.
    pub fn new(cfg: Config, mut restored: Restored, now: Millis) -> Self {
        let hard_state = restored.hard_state;
        let incoming = restored.incoming.take();
        let incoming_end = incoming.as_ref().map_or(0, |incoming| incoming.received);
        let log = Log::restore(restored);
        let commit = log.base();
        let mut core = Self {
            id: cfg.id,
            timing: cfg.timing,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            now,
            hard_state,
            log,
            commit,
            delivered: commit,
            role: Role::Follower(FollowerState::default()),
            leader: None,
            last_leader_contact: None,
            election_at: now,
            writer: Writer::default(),
            deferred: Vec::new(),
            incoming,
            incoming_end,
            installing: false,
            actions: Vec::new(),
        };
        if !core.is_sole_voter() {
            core.last_leader_contact = Some(now);
            core.start_election_timer();
        }
        core
    }

    /// Processes an event and returns the actions to execute, in order.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.check_quorum();
        self.dispatch(event);
        self.advance_commit();
        self.deliver_commits();
        self.continue_change();
        self.continue_replacement();
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
            Event::SnapshotCreated(snapshot) => self.on_snapshot_created(snapshot),
            Event::ChunkRead { to, chunk } => self.on_chunk_read(to, chunk),
            Event::ChunkStored { id, received } => self.on_chunk_stored(id, received),
            Event::SnapshotInstalled(id) => self.on_snapshot_installed(id),
            Event::SnapshotCorrupted(id) => self.on_snapshot_corrupted(id),
            Event::ChangeMembers { token, change } => self.on_change(token, change),
            Event::TransferLeadership => self.on_transfer_leadership(),
        }
    }

    fn on_tick(&mut self) {
        match self.role {
            Role::Leader(_) => self.on_leader_tick(),
            _ if self.now >= self.election_at => self.start_pre_vote(),
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
        if envelope.term < self.hard_state.term {
            return self.on_stale(&envelope);
        }
        if envelope.term > self.hard_state.term {
            self.become_follower(envelope.term);
        }
        if envelope.body.is_from_leader() {
            self.on_leader_contact(envelope.from);
        }
        self.on_current(envelope.from, envelope.body);
    }

    /// Handles a message of the current term.
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
        self.send_deferred();
        self.count_own_vote();
        self.reply_after_sync();
    }

    /// Sends a message in this step.
    pub(crate) fn send(&mut self, to: DiskId, body: Body) {
        self.actions.push(Action::Send(Envelope {
            from: self.id,
            to,
            term: self.hard_state.term,
            body,
        }));
    }

    /// Sends a message once all writes so far, including those of this step, are synced.
    pub(crate) fn send_after_sync(&mut self, to: DiskId, body: Body) {
        let seq = self.writer.covering_seq();
        if self.writer.is_synced(seq) {
            return self.send(to, body);
        }
        self.deferred.push(DeferredMessage { seq, to, body });
    }

    fn send_deferred(&mut self) {
        for deferred in mem::take(&mut self.deferred) {
            if self.writer.is_synced(deferred.seq) {
                self.send(deferred.to, deferred.body);
            } else {
                self.deferred.push(deferred);
            }
        }
    }

    /// Sets term and vote. Drops deferred messages of an earlier term.
    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        if hard_state.term != self.hard_state.term {
            self.deferred.clear();
        }
        self.hard_state = hard_state;
        self.writer.set_hard_state(hard_state);
    }

    /// Appends an entry to the in-memory log and to the write of this step.
    pub(crate) fn append(&mut self, entry: Entry) {
        self.log.push(entry.clone());
        self.writer.append(entry);
    }

    /// Emits the newly committed entries.
    fn deliver_commits(&mut self) {
        let mut committed = Vec::new();
        while self.delivered < self.commit {
            let index = self.delivered.next();
            let Some(entry) = self.log.get(index).cloned() else {
                break;
            };
            committed.push(self.attach_token(entry));
            self.delivered = index;
        }
        if !committed.is_empty() {
            self.actions.push(Action::Commit(committed));
        }
    }

    /// Marks all entries up to an index as committed and applied, after a snapshot was installed.
    pub(crate) fn set_applied(&mut self, index: Index) {
        self.commit = index;
        self.delivered = index;
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let election = self.timing.election_timeout.0;
        self.election_at = self.now + self.random_duration(election, election * 2);
    }

    /// Starts the election timer after a restart. Voters that restarted at the same time, as after a
    /// power loss, start their pre-votes as soon as they can vote again, one after the other: at the
    /// same time, they would vote for themselves. An early pre-vote deposes no leader.
    fn start_election_timer(&mut self) {
        let election = self.timing.election_timeout.0;
        let stagger = election / RESTART_STAGGER_DIVISOR;
        let membership = self.log.membership();
        let rank = membership.voters().take_while(|&id| id < self.id).count() as u64;
        let jitter = self.random_duration(0, stagger / RESTART_JITTER_DIVISOR);
        self.election_at = self.now + Millis(election + rank * stagger) + jitter;
    }

    /// Returns a random duration in a range of milliseconds, without its end.
    pub(crate) fn random_duration(&mut self, from: u64, to: u64) -> Millis {
        Millis(self.rng.random_range(from..to))
    }

    pub(crate) fn is_sole_voter(&self) -> bool {
        let membership = self.log.membership();
        membership.is_voter(self.id) && membership.majority() == 1
    }

    /// Identity of this replica's disk.
    pub fn id(&self) -> DiskId {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether this replica is the leader of its term. Another replica may lead a later term; check
    /// [`Core::holds_lease`] before acting outside the log.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<DiskId> {
        self.leader
    }

    /// Highest index known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Index of the last entry of the log, committed or not.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Index of the last entry covered by the latest snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.log.base()
    }

    /// Size of the latest snapshot in bytes.
    pub fn snapshot_bytes(&self) -> u64 {
        self.log.snapshot().id.size
    }

    /// Membership as of the last entry of the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Membership as of the last committed entry. A later change may still be undone by another leader.
    pub fn committed_membership(&self) -> &Membership {
        self.log.membership_at(self.commit)
    }

    /// Term of an entry and membership as of it, for the metadata of a snapshot; `None` if the
    /// entry is not in memory.
    pub fn term_and_membership_at(&self, index: Index) -> Option<(Term, &Membership)> {
        let term = self.log.term_at(index)?;
        Some((term, self.log.membership_at(index)))
    }
}
