//! The driver: the task that owns the replication core.

mod joins;
mod proposals;
mod timed;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        mpsc::Sender as DiskSender, //
    },
};

use tokio::sync::mpsc::UnboundedReceiver;
use yuccaseam_base::{
    InstanceName,
    Millis,
    Verdict, //
};
use yuccaseam_journal::DataFolder;
use yuccaseam_quorum::{
    Action,
    Change,
    Committed,
    Config,
    Core,
    DiskId,
    Envelope,
    Event,
    Index,
    Payload,
    Proposal,
    Restored,
    Term,
    Timing,
    Token, //
};
use yuccaseam_replica::{
    DiskReply,
    DiskRequest, //
};

use crate::{
    cx::Cx,
    state::{
        Command,
        CommandOutcome,
        State, //
    },
};

use super::{
    super::{
        GroupManager, InProgress, JoinSnapshot, StoreStatus,
        transport::{
            Frame,
            Transport, //
        },
    },
    CommandReply,
    Input,
    ProposeError,
    Published,
    Shared,
    Waiter, //
};

use joins::Joins;

/// How long commands are refused after a write failed on a full disk.
const DISK_FULL_BACKOFF: Millis = Millis(1_000);
/// Size of a log entry without its command.
const ENTRY_OVERHEAD_BYTES: u64 = 64;

/// State of the driver task.
pub(super) struct Driver {
    id: DiskId,
    cx: Arc<Cx>,
    transport: Transport,
    disk: DiskSender<DiskRequest>,
    /// Holds the lock of the data folder.
    _folder: DataFolder,
    shared: Shared,
    /// `None` while the state is reloaded from disk.
    core: Option<Core>,
    applied: Index,
    /// Growth of the log since the last snapshot, in bytes.
    log_bytes: u64,
    snapshot_bytes: u64,
    snapshot_running: bool,
    join_snapshot: JoinSnapshot,
    /// Growth of the log that the running snapshot covers, in bytes.
    covered_log_bytes: u64,
    /// Earliest time of the next snapshot.
    snapshot_at: Millis,
    /// Whether jobs were removed since the last snapshot.
    has_shrunk: bool,
    joins: Joins,
    waiters: HashMap<Token, Waiter>,
    next_token: u64,
    proposals: Vec<Proposal>,
    in_progress: InProgress,
    refuse_until: Millis,
    hello_at: Millis,
    maintain_at: Millis,
    report_lag_at: Millis,
    /// When a leader was last known, or its absence reported.
    leader_known_at: Millis,
    /// The change proposed last, until it is refused.
    proposed_change: Option<(Token, Change)>,
    /// Read barrier of a new leader: its state is current once this completes.
    barrier: Option<Token>,
    /// The term that this replica led when it last published its state.
    published_term: Option<Term>,
}

impl Driver {
    pub(super) fn new(
        id: DiskId,
        cx: Arc<Cx>,
        disk: DiskSender<DiskRequest>,
        folder: DataFolder,
        shared: Shared,
    ) -> Self {
        Self {
            id,
            transport: Transport::new(Arc::clone(&cx)),
            cx,
            disk,
            _folder: folder,
            shared,
            core: None,
            applied: Index::ZERO,
            log_bytes: 0,
            snapshot_bytes: 0,
            snapshot_running: false,
            join_snapshot: JoinSnapshot::default(),
            covered_log_bytes: 0,
            snapshot_at: Millis::ZERO,
            has_shrunk: false,
            joins: Joins::default(),
            waiters: HashMap::new(),
            next_token: 0,
            proposals: Vec::new(),
            in_progress: InProgress::default(),
            refuse_until: Millis::ZERO,
            hello_at: Millis::ZERO,
            maintain_at: Millis::ZERO,
            report_lag_at: Millis::ZERO,
            leader_known_at: Millis::ZERO,
            proposed_change: None,
            barrier: None,
            published_term: None,
        }
    }

    pub(super) fn start_core(&mut self, (restored, state): (Restored, State)) {
        let index = restored.snapshot.id.index;
        // After a full disk the state may be ahead of the snapshot, and is kept.
        if self.applied <= index {
            self.publish_state(state);
            self.applied = index;
            self.log_bytes = 0;
            self.snapshot_bytes = restored.snapshot.id.size;
        }
        let cfg = Config {
            id: self.id,
            timing: timing(),
            seed: rand::random(),
        };
        self.core = Some(Core::new(cfg, restored, self.cx.clock.now()));
        self.snapshot_running = false;
    }

    fn publish_state(&self, state: State) {
        self.lock().state = state;
        self.shared.changed.notify_waiters();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Published> {
        self.shared
            .published
            .lock()
            .expect("no thread panics with the lock")
    }

    pub(super) async fn run(mut self, mut rx: UnboundedReceiver<Input>) {
        let mut tick = tokio::time::interval(timing().tick_interval.duration());
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = rx.recv() => {
                    let Some(input) = input else { return };
                    self.handle(input);
                    while let Ok(input) = rx.try_recv() {
                        self.handle(input);
                    }
                }
                _ = tick.tick() => self.on_tick(),
            }
            self.flush_proposals();
            self.snapshot_if_due();
            self.publish();
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Propose(data, reply) => self.propose(data, reply),
            Input::ProposeJob(proposal) => self.propose_job(*proposal),
            Input::ProposeRetirement(name, reply) => self.propose_retirement(name, reply),
            Input::ReadBarrier(reply) => {
                let token = self.register_waiter(Waiter::ReadBarrier(reply));
                self.step(Event::Read(token));
            }
            Input::Received(from, frame) => self.receive(from, frame),
            Input::Disk(reply) => self.on_disk(reply),
            Input::TransferLeadership => self.step(Event::TransferLeadership),
        }
    }

    fn next_token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    fn register_waiter(&mut self, waiter: Waiter) -> Token {
        let token = self.next_token();
        self.waiters.insert(token, waiter);
        token
    }

    /// Whether a new group still has fewer voters than it could have. Commands acknowledged now
    /// might not survive the loss of one voter.
    fn is_forming(&self) -> bool {
        let Some(core) = &self.core else {
            return true;
        };
        let is_new = self.lock().state == State::default();
        let now = self.cx.clock.now();
        is_new && core.membership().voters().count() < self.manager().min_voters(now)
    }

    fn manager(&self) -> std::sync::MutexGuard<'_, GroupManager> {
        self.shared
            .manager
            .lock()
            .expect("no thread panics with the lock")
    }

    fn receive(&mut self, from: InstanceName, frame: Frame) {
        match frame {
            Frame::Quorum(wire) => match Envelope::try_from(wire) {
                Ok(envelope) => self.step(Event::Received(envelope)),
                Err(error) => {
                    log::warn!(peer:% = from, error:% = error; "invalid replication message")
                }
            },
            Frame::Hello(hello) => {
                let has_group = hello.has_group;
                let status = StoreStatus {
                    disk: DiskId(hello.disk),
                    domain: hello.domain,
                    has_group: hello.has_group,
                    founder: hello.founder,
                    received_at: self.cx.clock.now(),
                };
                let restarted = self.manager().record_hello(from.clone(), status);
                if restarted {
                    self.transport.reset_stream(&from);
                }
                if !has_group {
                    self.answer_hello(&from);
                }
            }
        }
    }

    fn on_disk(&mut self, reply: DiskReply<State>) {
        match reply {
            DiskReply::Event(event) => {
                if matches!(event, Event::SnapshotCreated(_)) {
                    self.snapshot_running = false;
                    self.join_snapshot.record_end();
                }
                self.step(event);
            }
            DiskReply::Installed { id, state } => {
                log::info!(index = id.index.0, bytes = id.size; "snapshot of the leader installed");
                self.publish_state(*state);
                self.applied = id.index;
                self.log_bytes = 0;
                self.snapshot_bytes = id.size;
                self.step(Event::SnapshotInstalled(id));
            }
            DiskReply::SnapshotNotWritten => self.on_snapshot_not_written(),
            DiskReply::Full => self.on_full(),
            DiskReply::Restored(restored) => self.start_core(*restored),
        }
    }

    /// Restarts the core from the disk, as after a crash. Writes in progress may still take effect. As long as
    /// the disk is full, the restart or the next write fails again.
    fn on_full(&mut self) {
        self.refuse_until = self.cx.clock.now() + DISK_FULL_BACKOFF;
        self.core = None;
        if self.snapshot_running {
            // The disk ignores requests until the restart.
            self.on_snapshot_not_written();
        }
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            waiter.fail_unknown();
        }
        self.in_progress.stop();
        self.send_to_disk(DiskRequest::Reload);
    }

    fn send_to_disk(&self, request: DiskRequest) {
        // The disk thread runs until the process exits.
        let _ = self.disk.send(request);
    }

    fn step(&mut self, event: Event) {
        let now = self.cx.clock.now();
        let Some(core) = &mut self.core else {
            return self.refuse(event);
        };
        for action in core.step(now, event) {
            self.execute(action);
        }
    }

    /// Refuses the requests of an event that arrived while there is no core.
    fn refuse(&mut self, event: Event) {
        let tokens = match event {
            Event::Propose(proposals) => proposals.iter().map(|proposal| proposal.token).collect(),
            Event::Read(token) => vec![token],
            _ => Vec::new(),
        };
        for token in tokens {
            if let Some(waiter) = self.waiters.remove(&token) {
                waiter.refuse();
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send(envelope) => self.send(envelope),
            Action::Persist(persist) => self.send_to_disk(DiskRequest::Persist(persist)),
            Action::Commit(entries) => {
                for committed in entries {
                    self.apply(committed);
                }
                self.shared.changed.notify_waiters();
            }
            Action::ReadReady { token, .. } => self.on_read_ready(token),
            Action::Rejected { token, verdict, .. } => {
                if self.barrier == Some(token) {
                    self.barrier = None;
                }
                if verdict == Verdict::NotRun {
                    self.in_progress.end(token);
                }
                if let Some(waiter) = self.waiters.remove(&token) {
                    match verdict {
                        Verdict::NotRun => waiter.refuse(),
                        _ => waiter.fail_unknown(),
                    }
                }
            }
            Action::ChangeRefused { token, error } => self.on_change_refused(token, &error),
            Action::ReadChunk { to, id, offset } => {
                self.send_to_disk(DiskRequest::ReadChunk { to, id, offset });
            }
            Action::StoreChunk { chunk, .. } => self.send_to_disk(DiskRequest::StoreChunk(chunk)),
            Action::InstallSnapshot(snapshot) => {
                self.send_to_disk(DiskRequest::Install(snapshot.id))
            }
        }
    }

    fn send(&mut self, envelope: Envelope) {
        if let Some(name) = self.name_of(envelope.to) {
            self.transport.send(&name, &Frame::Quorum(envelope.into()));
        }
    }

    /// Name of the instance that holds a disk, from the group or else from the instance's hello.
    fn name_of(&self, id: DiskId) -> Option<InstanceName> {
        let group = self.core.as_ref().map(Core::membership);
        let member = group.and_then(|group| group.get(id));
        member
            .map(|member| member.name.clone())
            .or_else(|| self.manager().instance_of(id).cloned())
    }

    fn apply(&mut self, committed: Committed) {
        let index = committed.entry.index;
        let waiter = committed
            .token
            .and_then(|token| self.waiters.remove(&token));
        if let Some(token) = committed.token {
            self.in_progress.end(token);
        }
        if index <= self.applied {
            return;
        }
        self.applied = index;
        let Payload::Command(data) = &committed.entry.payload else {
            return;
        };
        self.log_bytes += ENTRY_OVERHEAD_BYTES + data.len() as u64;
        let outcome = match postcard::from_bytes(data) {
            Ok(command) => {
                self.has_shrunk |= matches!(command, Command::Forget { .. });
                self.lock().state.apply(command)
            }
            Err(error) => {
                log::error!(index = index.0, error:% = error; "malformed log entry skipped");
                CommandOutcome::Done
            }
        };
        if let Some(Waiter::Propose { reply, .. }) = waiter {
            answer(reply, Ok(outcome));
        }
    }

    fn on_read_ready(&mut self, token: Token) {
        if self.barrier == Some(token) {
            self.barrier = None;
            self.lock().is_current = true;
            if let Some(core) = &self.core {
                self.in_progress.start(core.term());
            }
            log::info!("became leader; state is current");
            self.shared.changed.notify_waiters();
        }
        if let Some(Waiter::ReadBarrier(reply)) = self.waiters.remove(&token) {
            // The receiver may have timed out.
            let _ = reply.send(true);
        }
    }
}

/// Sends the outcome of a command to its proposer, which may have timed out.
fn answer(reply: CommandReply, outcome: Result<CommandOutcome, ProposeError>) {
    let _ = reply.send(outcome);
}

/// Intervals and time-outs of the protocol: about ten round trips between regions, so that callers
/// do not wait longer than necessary for a new leader.
fn timing() -> Timing {
    Timing {
        tick_interval: Millis(25),
        heartbeat_interval: Millis(100),
        election_timeout: Millis(450),
        lease_duration: Millis(350),
    }
}

impl Waiter {
    /// Reports that the request was not executed.
    fn refuse(self) {
        match self {
            Self::Propose { reply, .. } => answer(reply, Err(ProposeError::NotLeader)),
            // The receiver may have timed out.
            Self::ReadBarrier(reply) => drop(reply.send(false)),
        }
    }

    /// Reports that the request may still take effect.
    fn fail_unknown(self) {
        match self {
            Self::Propose { reply, .. } => answer(reply, Err(ProposeError::Unknown)),
            // The receiver may have timed out.
            Self::ReadBarrier(reply) => drop(reply.send(false)),
        }
    }
}
