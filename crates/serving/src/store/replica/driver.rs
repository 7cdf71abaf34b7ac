//! The task that owns the replication core.

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
    ChangeError,
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
        Outcome,
        State, //
    },
};

use super::{
    super::{
        GroupKeeper, Seen,
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

/// How long commands are refused after the disk was found full.
const FULL_PAUSE: Millis = Millis(1_000);
/// What an entry of the log costs besides its command, in bytes.
const ENTRY_BYTES: u64 = 64;

/// The state of the task.
pub(super) struct Driver {
    id: DiskId,
    cx: Arc<Cx>,
    transport: Transport,
    disk: DiskSender<DiskRequest>,
    /// Holds the lock of the data folder.
    _folder: DataFolder,
    shared: Shared,
    /// Absent while the disk is read again.
    core: Option<Core>,
    applied: Index,
    /// How much the log has grown since the last snapshot, in bytes.
    log_bytes: u64,
    snapshot_bytes: u64,
    snapshot_running: bool,
    waiters: HashMap<Token, Waiter>,
    next_token: u64,
    proposals: Vec<Proposal>,
    full_until: Millis,
    hello_at: Millis,
    upkeep_at: Millis,
    /// Confirms that the state of a new leader is current.
    barrier: Option<Token>,
    led: bool,
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
            waiters: HashMap::new(),
            next_token: 0,
            proposals: Vec::new(),
            full_until: Millis::ZERO,
            hello_at: Millis::ZERO,
            upkeep_at: Millis::ZERO,
            barrier: None,
            led: false,
        }
    }

    pub(super) fn start_core(&mut self, (restored, state): (Restored, State)) {
        let index = restored.snapshot.id.index;
        // After a full disk the state may be ahead of the snapshot: it stays.
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
        let mut tick = tokio::time::interval(timing().tick.duration());
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = rx.recv() => {
                    let Some(input) = input else { return };
                    self.take_in(input);
                    while let Ok(input) = rx.try_recv() {
                        self.take_in(input);
                    }
                }
                _ = tick.tick() => self.on_tick(),
            }
            self.flush_proposals();
            self.snapshot_if_due();
            self.publish();
        }
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::Propose(data, reply) => self.propose(data, reply),
            Input::Confirm(reply) => {
                let token = self.token(Waiter::Confirm(reply));
                self.step(Event::Read(token));
            }
            Input::Received(from, frame) => self.receive(from, frame),
            Input::Disk(reply) => self.on_disk(reply),
            Input::HandOver => self.step(Event::HandOver),
        }
    }

    fn token(&mut self, waiter: Waiter) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.waiters.insert(token, waiter);
        token
    }

    fn propose(&mut self, data: Vec<u8>, reply: CommandReply) {
        if self.cx.clock.now() < self.full_until || self.is_forming() {
            // Nobody waits any more if this fails.
            let _ = reply.send(Err(ProposeError::NotLeader));
            return;
        }
        let token = self.token(Waiter::Propose(reply));
        let data = data.into();
        self.proposals.push(Proposal { token, data });
    }

    /// Whether a new group has fewer voters than it could have. What it acknowledged now would not
    /// outlive the loss of one.
    fn is_forming(&self) -> bool {
        let Some(core) = &self.core else {
            return true;
        };
        let is_new = self.lock().state == State::default();
        let now = self.cx.clock.now();
        is_new && core.membership().voters().count() < self.keeper().first_voters(now)
    }

    fn keeper(&self) -> std::sync::MutexGuard<'_, GroupKeeper> {
        self.shared
            .keeper
            .lock()
            .expect("no thread panics with the lock")
    }

    fn flush_proposals(&mut self) {
        if !self.proposals.is_empty() {
            let proposals = std::mem::take(&mut self.proposals);
            self.step(Event::Propose(proposals));
        }
    }

    fn receive(&mut self, from: InstanceName, frame: Frame) {
        match frame {
            Frame::Quorum(wire) => match Envelope::try_from(wire) {
                Ok(envelope) => self.step(Event::Received(envelope)),
                Err(error) => log::warn!(peer:% = from, error:% = error; "a message is impossible"),
            },
            Frame::Hello(hello) => {
                let seen = Seen {
                    disk: DiskId(hello.disk),
                    domain: hello.domain,
                    has_group: hello.has_group,
                    founder: hello.founder,
                    at: self.cx.clock.now(),
                };
                let restarted = self.keeper().on_hello(from.clone(), seen);
                if restarted {
                    self.transport.forget(&from);
                }
            }
        }
    }

    fn on_disk(&mut self, reply: DiskReply<State>) {
        match reply {
            DiskReply::Event(event) => {
                if matches!(event, Event::SnapshotMade(_)) {
                    self.snapshot_running = false;
                }
                self.step(event);
            }
            DiskReply::Installed { id, state } => {
                self.publish_state(*state);
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
        self.full_until = self.cx.clock.now() + FULL_PAUSE;
        self.core = None;
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            waiter.lose();
        }
        self.ask_disk(DiskRequest::Reload);
    }

    fn ask_disk(&self, request: DiskRequest) {
        // The disk thread ends only with the process.
        let _ = self.disk.send(request);
    }

    fn step(&mut self, event: Event) {
        let now = self.cx.clock.now();
        let Some(core) = &mut self.core else {
            return self.refuse(event);
        };
        for action in core.step(now, event) {
            self.act(action);
        }
    }

    /// Answers those whose event came while there is no core.
    fn refuse(&mut self, event: Event) {
        let tokens = match event {
            Event::Propose(proposals) => proposals.iter().map(|one| one.token).collect(),
            Event::Read(token) => vec![token],
            _ => Vec::new(),
        };
        for token in tokens {
            if let Some(waiter) = self.waiters.remove(&token) {
                waiter.refuse();
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
                self.shared.changed.notify_waiters();
            }
            Action::ReadReady { token, .. } => self.on_read_ready(token),
            Action::Rejected { token, verdict, .. } => {
                if self.barrier == Some(token) {
                    self.barrier = None;
                }
                if let Some(waiter) = self.waiters.remove(&token) {
                    match verdict {
                        Verdict::NotRun => waiter.refuse(),
                        _ => waiter.lose(),
                    }
                }
            }
            Action::ChangeRefused { error, .. } => {
                log::info!(error:% = error; "a change of the group is refused");
                if error == ChangeError::IsLeader {
                    self.step(Event::HandOver);
                }
            }
            Action::ReadChunk { to, id, offset } => {
                self.ask_disk(DiskRequest::ReadChunk { to, id, offset });
            }
            Action::StoreChunk { chunk, .. } => self.ask_disk(DiskRequest::StoreChunk(chunk)),
            Action::InstallSnapshot(snapshot) => self.ask_disk(DiskRequest::Install(snapshot.id)),
        }
    }

    fn send(&mut self, envelope: Envelope) {
        if let Some(name) = self.name_of(envelope.to) {
            self.transport.send(&name, &Frame::Quorum(envelope.into()));
        }
    }

    /// The instance that holds a disk, as the group knows it or as the disk's owner said.
    fn name_of(&self, id: DiskId) -> Option<InstanceName> {
        let group = self.core.as_ref().map(Core::membership);
        let member = group.and_then(|group| group.get(id));
        member
            .map(|member| member.name.clone())
            .or_else(|| self.keeper().name(id).cloned())
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
            return;
        };
        self.log_bytes += ENTRY_BYTES + data.len() as u64;
        let outcome = match postcard::from_bytes(data) {
            Ok(command) => self.lock().state.apply(command),
            Err(error) => {
                log::error!(index = index.0, error:% = error; "an entry is malformed and skipped");
                Outcome::Done
            }
        };
        if let Some(Waiter::Propose(reply)) = waiter {
            // Nobody waits any more if this fails.
            let _ = reply.send(Ok(outcome));
        }
    }

    fn on_read_ready(&mut self, token: Token) {
        if self.barrier == Some(token) {
            self.barrier = None;
            self.lock().is_current = true;
            log::info!("this instance leads, and its state is current");
            self.shared.changed.notify_waiters();
        }
        if let Some(Waiter::Confirm(reply)) = self.waiters.remove(&token) {
            // Nobody waits any more if this fails.
            let _ = reply.send(true);
        }
    }
}

/// The lengths of time of the protocol: about ten round trips between regions, so that callers wait
/// no longer than needed for a new leader.
fn timing() -> Timing {
    Timing {
        tick: Millis(25),
        heartbeat: Millis(100),
        election: Millis(450),
        lease: Millis(350),
    }
}

impl Waiter {
    /// Says that nothing was done here.
    fn refuse(self) {
        // Nobody waits any more if sending fails.
        match self {
            Self::Propose(reply) => drop(reply.send(Err(ProposeError::NotLeader))),
            Self::Confirm(reply) => drop(reply.send(false)),
        }
    }

    /// Says that what was asked for may still take effect.
    fn lose(self) {
        // Nobody waits any more if sending fails.
        match self {
            Self::Propose(reply) => drop(reply.send(Err(ProposeError::Unknown))),
            Self::Confirm(reply) => drop(reply.send(false)),
        }
    }
}
