//! The thread that owns the replication core and the state machine.

mod actions;
mod timed;
mod waiter;

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
    Refusal, //
};
use yuccaseam_quorum::{
    Config,
    Core,
    DiskId,
    Envelope,
    Event,
    Index,
    Membership,
    Proposal,
    Restored,
    Timing,
    Token, //
};
use yuccaseam_replica::{
    DiskReply,
    DiskRequest, //
};
use yuccaseam_state::{
    LogIndex,
    Outcome,
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
    Reply,
    formation::Formation,
    frame::Frame,
    members::{
        MemberStatus,
        Presence, //
    },
    status::SharedStatus,
    transport::Transport, //
};

use waiter::Waiter;

/// The inputs that are taken from the queue at once.
const MAX_INPUTS: usize = 4_096;
/// How long proposals are refused after the disk was found full.
const FULL_PAUSE: Millis = Millis(1_000);

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
            // A group that cannot accept anything yet keeps its instances out of the balancer.
            Input::Query { reply, .. } if self.is_forming() => reply(Replied::NotLeader(None)),
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
            Input::HandOver => self.step(Event::TransferLeadership),
        }
    }

    fn token(&mut self, waiter: Waiter) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.waiters.insert(token, waiter);
        token
    }

    /// Queues a command for the next write, so that all that wait share one.
    fn propose(&mut self, command: Vec<u8>, reply: Reply<Outcome>) {
        if self.clock.now() < self.full_until {
            let refusal = Refusal::not_run(Reason::DiskFull, "the disk of the leader is full");
            return reply(Replied::Refused(refusal));
        }
        if self.is_forming() {
            return reply(Replied::NotLeader(None));
        }
        let token = self.token(Waiter::Propose(reply));
        let data = command.into();
        self.proposals.push(Proposal { token, data });
    }

    /// Whether a new group has not got all its configured voters yet, or an older one has a single
    /// voter left of several. What it acknowledged now would not outlive the loss of a minority. A
    /// group that operators made that small is complete.
    fn is_forming(&self) -> bool {
        let Some(group) = self.group() else {
            return true;
        };
        let is_expected = |name: &&InstanceName| **name == self.own || !group.has_departed(name);
        let expected = self.configured.iter().filter(is_expected).count();
        let voters = group.voters().count();
        if self.state.applied() == LogIndex::default() {
            return voters < expected;
        }
        voters < 2 && expected > 1
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

    fn change(&mut self, request: &MemberRequest, reply: Reply<()>) {
        let now = self.clock.now();
        let leads = self.core.as_ref().is_some_and(Core::is_leader);
        if !leads {
            return reply(Replied::NotLeader(self.leader_name()));
        }
        let group = self.group().cloned().unwrap_or_default();
        match self.presence.change(request, &group, now) {
            Ok(change) => {
                let token = self.token(Waiter::Change(reply));
                self.step(Event::ChangeMembers { token, change });
            }
            Err(detail) => {
                let refusal = Refusal::not_run(Reason::UnsafeChange, detail);
                reply(Replied::Refused(refusal));
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

    fn on_disk(&mut self, reply: DiskReply<State>) {
        match reply {
            DiskReply::Event(event) => {
                if matches!(event, Event::SnapshotCreated(_)) {
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
}
