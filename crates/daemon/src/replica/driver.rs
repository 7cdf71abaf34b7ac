//! The thread that owns the replication core and the state machine.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::mpsc::{
        Receiver,
        RecvTimeoutError,
        Sender, //
    },
    thread, //
};

use anyhow::Context as _;
use yuccaseam_base::{
    Clock,
    InstanceName,
    Millis,
    Reason,
    Refusal,
    Verdict, //
};
use yuccaseam_journal::Position;
use yuccaseam_quorum::{
    Action,
    ChangeError,
    Committed,
    Config,
    Core,
    DiskId,
    Envelope,
    Event,
    Index,
    Membership,
    Payload,
    Proposal,
    Restored,
    Timing,
    Token, //
};
use yuccaseam_state::{
    Answer,
    Command,
    LogIndex,
    Outcome,
    Query,
    State, //
};

use crate::{
    settings::Settings,
    store::Replied, //
};

use super::{
    Input,
    LiveBlobs,
    MemberRequest,
    Status,
    disk_thread::{
        DiskReply,
        DiskRequest, //
    },
    formation::Formation,
    frame::{
        Frame,
        Hello, //
    },
    members::{
        MemberStatus,
        Presence, //
    },
    status::SharedStatus,
    transport::Transport, //
};

/// The inputs that are taken from the queue at once.
const MAX_INPUTS: usize = 4_096;
/// The least growth of the log, in bytes, after which the state machine is written to a snapshot.
/// A larger snapshot waits until the log has grown by its size, so that snapshots cost a constant
/// share of the writes and a restart reads no more than twice the state.
const SNAPSHOT_BYTES: u64 = 4 << 20;
/// What an entry costs besides its command, in bytes.
const ENTRY_BYTES: u64 = 64;
/// How often the other replicas are told who this one is.
const HELLO: Millis = Millis(1_000);
/// How often they are told while this replica does not vote.
const HELLO_JOINING: Millis = Millis(200);
/// How often the leader looks after the group.
const UPKEEP: Millis = Millis(200);
/// How far back the entry lies whose blobs a learner must hold to be promoted. A blob may reach
/// the learner only after the entry that refers to it.
const BLOB_LAG: Millis = Millis(2_000);
/// How long proposals are refused after the disk was found full.
const FULL_PAUSE: Millis = Millis(1_000);

/// Who waits for a token.
enum Waiter {
    Propose(Sender<Replied<Outcome>>),
    Query(Query, Sender<Replied<Answer>>),
    Change(Sender<Replied<()>>),
}

/// How far the log had grown at some time.
struct Mark {
    at: Millis,
    last: Index,
}

/// The state of the thread.
pub(crate) struct Driver {
    id: DiskId,
    own: InstanceName,
    configured: Vec<InstanceName>,
    clock: Clock,
    transport: Transport,
    disk: Sender<DiskRequest>,
    status: SharedStatus,
    /// Absent while the disk is read again.
    core: Option<Core>,
    state: State,
    applied: Index,
    /// How much the log has grown since the last snapshot, in bytes.
    log_bytes: u64,
    /// The length of the last snapshot, in bytes.
    snapshot_bytes: u64,
    snapshot_running: bool,
    waiters: HashMap<Token, Waiter>,
    next_token: u64,
    proposals: Vec<Proposal>,
    formation: Formation,
    presence: Presence,
    blobs_upto: u64,
    full_until: Millis,
    tick_at: Millis,
    hello_at: Millis,
    upkeep_at: Millis,
    marks: VecDeque<Mark>,
    /// The replicas as of the last look after the group.
    members: Vec<MemberStatus>,
}

/// Starts the thread. It ends with the process.
///
/// # Errors
///
/// Fails if no thread can be started.
pub(crate) fn start(
    mut driver: Driver,
    restored: (Restored, State),
    rx: Receiver<Input>,
) -> anyhow::Result<()> {
    thread::Builder::new()
        .name("replica".to_owned())
        .spawn(move || {
            driver.start_core(restored);
            driver.run(&rx);
        })
        .context("cannot start the replica thread")?;
    Ok(())
}

impl Driver {
    pub(crate) fn new(
        id: DiskId,
        settings: &Settings,
        clock: Clock,
        transport: Transport,
        disk: Sender<DiskRequest>,
        status: SharedStatus,
    ) -> Self {
        Self {
            id,
            own: settings.instance.clone(),
            configured: settings.voters.clone(),
            clock,
            transport,
            disk,
            status,
            core: None,
            state: State::new(),
            applied: Index::ZERO,
            log_bytes: 0,
            snapshot_bytes: 0,
            snapshot_running: false,
            waiters: HashMap::new(),
            next_token: 0,
            proposals: Vec::new(),
            formation: Formation::new(&settings.instance, &settings.voters),
            presence: Presence::default(),
            blobs_upto: 0,
            full_until: Millis::ZERO,
            tick_at: Millis::ZERO,
            hello_at: Millis::ZERO,
            upkeep_at: Millis::ZERO,
            marks: VecDeque::new(),
            members: Vec::new(),
        }
    }

    fn start_core(&mut self, (restored, state): (Restored, State)) {
        let index = restored.snapshot.id.index;
        // After a full disk the state machine may be ahead of the snapshot: it stays.
        if self.applied <= index {
            self.state = state;
            self.applied = index;
            self.log_bytes = 0;
            self.snapshot_bytes = restored.snapshot.id.size;
        }
        let cfg = Config {
            id: self.id,
            timing: Timing::default(),
            seed: rand::random(),
        };
        self.core = Some(Core::new(cfg, restored, self.clock.now()));
        self.snapshot_running = false;
    }

    fn run(&mut self, rx: &Receiver<Input>) {
        loop {
            let wait = self.tick_at - self.clock.now();
            match rx.recv_timeout(wait.duration()) {
                Ok(first) => {
                    let waiting = rx.try_iter().take(MAX_INPUTS);
                    for input in std::iter::once(first).chain(waiting) {
                        self.take_in(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.flush_proposals();
            self.tick_if_due();
            self.snapshot_if_due();
            self.publish();
        }
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::Propose { command, reply } => self.propose(command, reply),
            Input::Query { query, reply } => {
                let token = self.token(Waiter::Query(query, reply));
                self.step(Event::Read(token));
            }
            Input::Change { request, reply } => self.change(&request, reply),
            Input::Received { from, frame } => self.receive(from, frame),
            Input::Disk(reply) => self.on_disk(reply),
            Input::LiveBlobs(reply) => {
                let live = LiveBlobs {
                    upto: self.applied.0,
                    blobs: self.state.live_blobs(),
                };
                // The blob thread ends only with the process.
                let _ = reply.send(live);
            }
            Input::BlobsWhole { upto } => self.blobs_upto = upto,
            Input::HandOver => self.step(Event::HandOver),
        }
    }

    fn token(&mut self, waiter: Waiter) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.waiters.insert(token, waiter);
        token
    }

    /// Queues a command for the next write, so that all that wait share one.
    fn propose(&mut self, command: Vec<u8>, reply: Sender<Replied<Outcome>>) {
        if self.clock.now() < self.full_until {
            let refusal = Refusal::not_run(Reason::DiskFull, "the disk of the leader is full");
            return answer(&reply, Replied::Refused(refusal));
        }
        if self.is_forming() {
            return answer(&reply, Replied::NotLeader(None));
        }
        let token = self.token(Waiter::Propose(reply));
        let data = command.into();
        self.proposals.push(Proposal { token, data });
    }

    /// Whether the group has not got its second voter yet. What it acknowledged now would be on
    /// one disk. A group that operators made that small is complete.
    fn is_forming(&self) -> bool {
        let Some(group) = self.group() else {
            return true;
        };
        let expected = |name: &&InstanceName| **name != self.own && !group.has_departed(name);
        group.voters().count() < 2 && self.configured.iter().any(|name| expected(&name))
    }

    fn group(&self) -> Option<&Membership> {
        self.core.as_ref().map(Core::membership)
    }

    fn flush_proposals(&mut self) {
        if !self.proposals.is_empty() {
            let proposals = std::mem::take(&mut self.proposals);
            self.step(Event::Propose(proposals));
        }
    }

    fn change(&mut self, request: &MemberRequest, reply: Sender<Replied<()>>) {
        let now = self.clock.now();
        let leads = self.core.as_ref().is_some_and(Core::is_leader);
        if !leads {
            return answer(&reply, Replied::NotLeader(self.leader_name()));
        }
        let group = self.group().cloned().unwrap_or_default();
        match self.presence.change(request, &group, now) {
            Ok(change) => {
                let token = self.token(Waiter::Change(reply));
                self.step(Event::ChangeMembers { token, change });
            }
            Err(detail) => {
                let refusal = Refusal::not_run(Reason::UnsafeChange, detail);
                answer(&reply, Replied::Refused(refusal));
            }
        }
    }

    fn receive(&mut self, from: InstanceName, frame: Frame) {
        match frame {
            Frame::Quorum(wire) => match Envelope::try_from(wire) {
                Ok(envelope) => self.step(Event::Received(envelope)),
                Err(error) => log::warn!("a message of {from} is impossible: {error}"),
            },
            Frame::Hello(hello) => {
                self.formation.on_hello(&from, hello.has_group);
                self.presence.on_hello(from, hello, self.clock.now());
            }
        }
    }

    fn on_disk(&mut self, reply: DiskReply) {
        match reply {
            DiskReply::Event(event) => {
                if matches!(event, Event::SnapshotMade(_)) {
                    self.snapshot_running = false;
                }
                self.step(event);
            }
            DiskReply::Installed { id, state } => {
                self.state = *state;
                self.applied = id.index;
                self.log_bytes = 0;
                self.snapshot_bytes = id.size;
                self.step(Event::SnapshotInstalled(id));
            }
            DiskReply::Full => self.on_full(),
            DiskReply::Restored(restored) => self.start_core(*restored),
        }
    }

    /// Starts the core anew from what is on the disk, as after a crash. What was being written may
    /// still take effect.
    fn on_full(&mut self) {
        self.full_until = self.clock.now() + FULL_PAUSE;
        self.core = None;
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            waiter.lose("the disk of the leader is full");
        }
        self.ask_disk(DiskRequest::Reload);
    }

    fn ask_disk(&self, request: DiskRequest) {
        // The disk thread ends only with the process.
        let _ = self.disk.send(request);
    }

    /// Gives the core an event and carries its actions out.
    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        let Some(core) = &mut self.core else {
            return self.refuse_event(event);
        };
        for action in core.step(now, event) {
            self.act(action);
        }
    }

    /// Answers those whose event came while there is no core.
    fn refuse_event(&mut self, event: Event) {
        let tokens = match event {
            Event::Propose(proposals) => proposals.iter().map(|one| one.token).collect(),
            Event::Read(token) | Event::ChangeMembers { token, .. } => vec![token],
            _ => Vec::new(),
        };
        for token in tokens {
            if let Some(waiter) = self.waiters.remove(&token) {
                waiter.redirect(None);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send(envelope) => self.send(envelope),
            Action::Persist(persist) => self.ask_disk(DiskRequest::Persist(persist)),
            Action::Commit(entries) => {
                for committed in entries {
                    self.apply(committed);
                }
            }
            Action::ReadReady { token, .. } => self.answer_query(token),
            Action::Rejected { token, verdict, .. } => self.reject(token, verdict),
            Action::ChangeRefused { token, error } => self.refuse_change(token, &error),
            Action::ReadChunk { to, id, offset } => {
                self.ask_disk(DiskRequest::ReadChunk { to, id, offset });
            }
            Action::StoreChunk { chunk, .. } => self.ask_disk(DiskRequest::StoreChunk(chunk)),
            Action::InstallSnapshot(snapshot) => self.ask_disk(DiskRequest::Install(snapshot.id)),
        }
    }

    fn send(&mut self, envelope: Envelope) {
        if let Some(name) = self.name_of(envelope.to) {
            self.transport.send(&name, &envelope.into());
        }
    }

    /// The instance that holds a disk, as the group knows it or as the disk's owner said.
    fn name_of(&self, id: DiskId) -> Option<InstanceName> {
        let member = self.group().and_then(|group| group.get(id));
        member
            .map(|member| &member.name)
            .or_else(|| self.presence.name(id))
            .cloned()
    }

    fn apply(&mut self, committed: Committed) {
        let index = committed.entry.index;
        let waiter = committed
            .token
            .and_then(|token| self.waiters.remove(&token));
        if index <= self.applied {
            return;
        }
        self.applied = index;
        let Payload::Command(data) = &committed.entry.payload else {
            self.refresh_members();
            if let Some(Waiter::Change(reply)) = waiter {
                answer(&reply, Replied::Answer(()));
            }
            return;
        };
        self.log_bytes += ENTRY_BYTES + data.len() as u64;
        let outcome = match Command::decode(data) {
            Ok(command) => self.state.apply(LogIndex(index.0), &command),
            Err(error) => Refusal::not_run(Reason::Internal, error.to_string()).into(),
        };
        if let Some(Waiter::Propose(reply)) = waiter {
            answer(&reply, Replied::Answer(outcome));
        }
    }

    fn answer_query(&mut self, token: Token) {
        if let Some(Waiter::Query(query, reply)) = self.waiters.remove(&token) {
            answer(&reply, Replied::Answer(self.state.answer(&query)));
        }
    }

    fn reject(&mut self, token: Token, verdict: Verdict) {
        let hint = self.leader_name();
        let Some(waiter) = self.waiters.remove(&token) else {
            return;
        };
        match verdict {
            Verdict::NotRun => waiter.redirect(hint),
            Verdict::MayHaveRun | Verdict::Ran => waiter.lose("the leader changed"),
        }
    }

    fn refuse_change(&mut self, token: Token, error: &ChangeError) {
        log::debug!("a change of the group is refused: {error}");
        let hint = self.leader_name();
        let Some(Waiter::Change(reply)) = self.waiters.remove(&token) else {
            return;
        };
        if *error == ChangeError::IsLeader {
            // The next leader carries the change out; the caller asks until one does.
            self.step(Event::HandOver);
        }
        let replied = match error {
            ChangeError::IsLeader => Replied::NotLeader(None),
            ChangeError::NotLeader(_) => Replied::NotLeader(hint),
            ChangeError::Unknown(_) => Replied::Lost(error.to_string()),
            _ => Replied::Refused(Refusal::not_run(Reason::UnsafeChange, error.to_string())),
        };
        answer(&reply, replied);
    }

    fn leader_name(&self) -> Option<InstanceName> {
        let leader = self.core.as_ref().and_then(Core::leader)?;
        self.name_of(leader)
    }

    fn tick_if_due(&mut self) {
        let now = self.clock.now();
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + Timing::default().tick;
        self.step(Event::Tick);
        self.begin_group_if_first();
        if now >= self.hello_at {
            self.say_hello(now);
        }
        if now >= self.upkeep_at {
            self.upkeep_at = now + UPKEEP;
            self.upkeep(now);
            self.refresh_members();
        }
    }

    fn votes(&self) -> bool {
        self.group().is_some_and(|group| group.is_voter(self.id))
    }

    fn has_group(&self) -> bool {
        self.core
            .as_ref()
            .is_none_or(|core| !core.membership().is_empty() || core.last_index() > Index::ZERO)
    }

    fn begin_group_if_first(&mut self) {
        if self.has_group() || !self.formation.may_begin_group() {
            return;
        }
        log::info!("no configured voter belongs to a group: a new one begins here");
        let group = Membership::of_voters([(self.id, self.own.clone())]);
        self.core = None;
        self.ask_disk(DiskRequest::BeginGroup(group));
    }

    /// Tells every replica that is known who this one is.
    fn say_hello(&mut self, now: Millis) {
        self.hello_at = now + if self.votes() { HELLO } else { HELLO_JOINING };
        let hello = Frame::Hello(Hello {
            disk: self.id.0,
            has_group: self.has_group(),
            blobs_upto: self.blobs_upto,
        });
        let members = self.group().into_iter().flat_map(Membership::iter);
        let mut names: Vec<_> = members.map(|(_, member)| member.name.clone()).collect();
        names.extend(self.configured.iter().cloned());
        names.sort_unstable();
        names.dedup();
        for name in names.iter().filter(|&name| *name != self.own) {
            self.transport.send(name, &hello);
        }
    }

    /// What the leader does about the configured voters without being asked.
    fn upkeep(&mut self, now: Millis) {
        let Some(core) = self.core.as_ref().filter(|core| core.is_leader()) else {
            return self.marks.clear();
        };
        let last = core.last_index();
        self.marks.push_back(Mark { at: now, last });
        while self.marks.len() > 1 && self.marks[0].at + BLOB_LAG < now {
            self.marks.pop_front();
        }
        let needed = self.marks[0].last;
        let change = self
            .presence
            .upkeep(&self.configured, core.membership(), needed, now);
        if let Some(change) = change {
            log::debug!("the group is to change: {change:?}");
            self.next_token += 1;
            let token = Token(self.next_token);
            self.step(Event::ChangeMembers { token, change });
        }
    }

    fn refresh_members(&mut self) {
        if let Some(core) = &self.core {
            self.members = self.presence.list(core, self.clock.now());
        }
    }

    fn snapshot_if_due(&mut self) {
        let Some(core) = &self.core else {
            return;
        };
        let due = self.log_bytes >= SNAPSHOT_BYTES.max(self.snapshot_bytes);
        if !due || self.snapshot_running {
            return;
        }
        let Some((term, members)) = core.describe(self.applied) else {
            return;
        };
        let state = self.state.snapshot();
        self.snapshot_bytes = state.len() as u64;
        let request = DiskRequest::Snapshot {
            position: Position {
                index: self.applied.0,
                term: term.0,
            },
            members: members.clone(),
            state,
        };
        self.snapshot_running = true;
        self.log_bytes = 0;
        self.ask_disk(request);
    }

    fn publish(&mut self) {
        let Some(core) = &self.core else {
            return self.status.set(Status::default());
        };
        let group = core.membership();
        let name = |id| group.get(id).map(|member| member.name.clone());
        self.status.set(Status {
            leader: self.leader_name(),
            lease_until: core.lease_until(),
            term: core.term().0,
            applied: self.applied.0,
            members: self.members.clone(),
            voters: group.voters().filter_map(name).collect(),
            votes: self.votes(),
            forming: self.is_forming(),
        });
    }
}

impl Waiter {
    /// Says that another replica leads, and that nothing was done here.
    fn redirect(self, hint: Option<InstanceName>) {
        match self {
            Self::Propose(reply) => answer(&reply, Replied::NotLeader(hint)),
            Self::Query(_, reply) => answer(&reply, Replied::NotLeader(hint)),
            Self::Change(reply) => answer(&reply, Replied::NotLeader(hint)),
        }
    }

    /// Says that what was asked for may still take effect.
    fn lose(self, why: &str) {
        match self {
            Self::Propose(reply) => answer(&reply, Replied::Lost(why.to_owned())),
            Self::Query(_, reply) => answer(&reply, Replied::NotLeader(None)),
            Self::Change(reply) => answer(&reply, Replied::Lost(why.to_owned())),
        }
    }
}

/// Answers one who may have stopped waiting.
fn answer<T>(reply: &Sender<T>, value: T) {
    let _ = reply.send(value);
}
