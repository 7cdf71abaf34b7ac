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
    ChangeRotation,
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
    store::CallOutcome, //
};

use super::{
    Input,
    LiveBlobs,
    MemberRequest,
    ReplyCallback,
    formation::Formation,
    frame::Frame,
    members::{
        GroupManager, //
        MemberStatus,
    },
    status::SharedStatus,
    transport::Transport, //
};

use waiter::Waiter;

/// Maximum number of queued inputs handled in one batch, after the first.
const MAX_INPUT_BATCH: usize = 4_096;
/// How long proposals are refused after a write failed on a full disk.
const DISK_FULL_BACKOFF: Millis = Millis(1_000);

/// Last index of the log at a point in time.
struct LogSample {
    at: Millis,
    last: Index,
}

/// State of the driver thread.
pub(crate) struct Driver {
    id: DiskId,
    own: InstanceName,
    configured: Vec<InstanceName>,
    clock: Clock,
    transport: Transport,
    disk: Sender<DiskRequest>,
    status: SharedStatus,
    /// `None` while the state is reloaded from disk.
    core: Option<Core>,
    state: State,
    applied: Index,
    /// Growth of the log since the last snapshot, in bytes.
    log_bytes: u64,
    snapshot_bytes: u64,
    snapshot_running: bool,
    waiters: HashMap<Token, Waiter>,
    next_token: u64,
    proposals: Vec<Proposal>,
    formation: Formation,
    manager: GroupManager,
    /// Turns of the automatic group changes.
    rotation: ChangeRotation,
    blobs_upto: u64,
    refuse_until: Millis,
    tick_at: Millis,
    hello_at: Millis,
    maintain_at: Millis,
    log_samples: VecDeque<LogSample>,
    /// Members of the group and other present replicas, as last refreshed.
    members: Vec<MemberStatus>,
}

/// Starts the driver thread, which runs until the process exits.
///
/// # Errors
///
/// Fails if the thread cannot be started.
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
            manager: GroupManager::default(),
            rotation: ChangeRotation::default(),
            blobs_upto: 0,
            refuse_until: Millis::ZERO,
            tick_at: Millis::ZERO,
            hello_at: Millis::ZERO,
            maintain_at: Millis::ZERO,
            log_samples: VecDeque::new(),
            members: Vec::new(),
        }
    }

    fn start_core(&mut self, (restored, state): (Restored, State)) {
        let index = restored.snapshot.id.index;
        // After a full disk the state machine may be ahead of the snapshot, and is kept.
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
                    let waiting = rx.try_iter().take(MAX_INPUT_BATCH);
                    for input in std::iter::once(first).chain(waiting) {
                        self.handle(input);
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

    fn handle(&mut self, input: Input) {
        match input {
            Input::Propose { command, reply } => self.propose(command, reply),
            // Refusing queries keeps instances of a forming group out of the load balancer.
            Input::Query { reply, .. } if self.is_forming() => reply(CallOutcome::NotLeader(None)),
            Input::Query { query, reply } => {
                let token = self.register_waiter(Waiter::Query(query, reply));
                self.step(Event::Read(token));
            }
            Input::Change { request, reply } => self.change_members(&request, reply),
            Input::Received { from, frame } => self.receive(from, frame),
            Input::Disk(reply) => self.on_disk(reply),
            Input::LiveBlobs(reply) => {
                let live = LiveBlobs {
                    upto: self.applied.0,
                    blobs: self.state.live_blobs(),
                };
                // The blob thread runs until the process exits.
                let _ = reply.send(live);
            }
            Input::BlobsComplete { upto } => self.blobs_upto = upto,
            Input::TransferLeadership => self.step(Event::TransferLeadership),
        }
    }

    fn register_waiter(&mut self, waiter: Waiter) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.waiters.insert(token, waiter);
        token
    }

    /// Queues a command, so that all queued commands share the next write.
    fn propose(&mut self, command: Vec<u8>, reply: ReplyCallback<Outcome>) {
        if self.clock.now() < self.refuse_until {
            let refusal = Refusal::not_run(Reason::DiskFull, "the leader's disk is full");
            return reply(CallOutcome::Refused(refusal));
        }
        if self.is_forming() {
            return reply(CallOutcome::NotLeader(None));
        }
        let token = self.register_waiter(Waiter::Propose(reply));
        let data = command.into();
        self.proposals.push(Proposal { token, data });
    }

    /// Whether a new group still lacks configured voters, or an older one has only one of several
    /// voters left. Commands acknowledged now would not survive the loss of a minority. A group
    /// that operators reduced to this size is complete.
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

    fn change_members(&mut self, request: &MemberRequest, reply: ReplyCallback<()>) {
        let now = self.clock.now();
        let is_leader = self.core.as_ref().is_some_and(Core::is_leader);
        if !is_leader {
            return reply(CallOutcome::NotLeader(self.leader_name()));
        }
        let group = self.group().cloned().unwrap_or_default();
        match self.manager.plan_change(request, &group, now) {
            Ok(change) => {
                let token = self.register_waiter(Waiter::Change(reply));
                self.step(Event::ChangeMembers { token, change });
            }
            Err(detail) => {
                let refusal = Refusal::not_run(Reason::UnsafeChange, detail);
                reply(CallOutcome::Refused(refusal));
            }
        }
    }

    fn receive(&mut self, from: InstanceName, frame: Frame) {
        match frame {
            Frame::Quorum(wire) => match Envelope::try_from(wire) {
                Ok(envelope) => self.step(Event::Received(envelope)),
                Err(error) => log::warn!("invalid replication message from {from}: {error}"),
            },
            Frame::Hello(hello) => {
                self.formation.record_hello(&from, hello.has_group);
                self.manager.record_hello(from, hello, self.clock.now());
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
            DiskReply::SnapshotNotWritten => self.snapshot_running = false,
            DiskReply::Full => self.on_full(),
            DiskReply::Restored(restored) => self.start_core(*restored),
        }
    }

    /// Restarts the core from the disk, as after a crash. Writes in progress may still take effect.
    fn on_full(&mut self) {
        self.refuse_until = self.clock.now() + DISK_FULL_BACKOFF;
        self.core = None;
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            waiter.fail_unknown("the leader's disk is full");
        }
        self.send_to_disk(DiskRequest::Reload);
    }

    fn send_to_disk(&self, request: DiskRequest) {
        // The disk thread runs until the process exits.
        let _ = self.disk.send(request);
    }
}
