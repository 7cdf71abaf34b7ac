//! The replica of this instance: the replication core, its disk and the replicated state.
//!
//! One task owns the core. Messages of other stores, requests of this process and replies of the disk
//! reach it through one queue; commands that wait there together share one write.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::IpAddr,
    sync::{
        Arc,
        Mutex,
        mpsc::Sender as DiskSender, //
    },
};

use anyhow::Context as _;
use tokio::sync::{
    Notify,
    futures::OwnedNotified,
    mpsc::{
        self,
        UnboundedReceiver,
        UnboundedSender, //
    },
    oneshot, //
};
use yuccaseam_base::{
    InstanceName,
    Machine as _,
    Millis, //
};
use yuccaseam_journal::{
    DataFolder,
    Position, //
};
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
use yuccaseam_replica::{
    Disk,
    DiskReply,
    DiskRequest, //
};

use crate::{
    cx::Cx,
    state::{
        Command,
        Outcome,
        State, //
    },
};

use super::{
    GroupKeeper, Seen,
    transport::{
        Frame,
        Hello,
        Transport, //
    },
};

/// How long a command or a read may take. Shorter than a caller's patience with one instance.
const ANSWER: Millis = Millis(2_000);
/// How often a store without a group says who it is.
const HELLO_JOINING: Millis = Millis(200);
/// How often a store of a group says who it is.
const HELLO: Millis = Millis(1_000);
/// How often the leader looks after the group.
const UPKEEP: Millis = Millis(200);
/// How long commands are refused after the disk was found full.
const FULL_PAUSE: Millis = Millis(1_000);
/// The least growth of the log, in bytes, after which the state is written to a snapshot.
const SNAPSHOT_BYTES: u64 = 4 << 20;
/// What an entry of the log costs besides its command, in bytes.
const ENTRY_BYTES: u64 = 64;

/// Why a command was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProposeError {
    /// This instance does not lead: nothing was done.
    NotLeader,
    /// It may take effect or not.
    Unknown,
}

type CommandReply = oneshot::Sender<Result<Outcome, ProposeError>>;

enum Input {
    Propose(Vec<u8>, CommandReply),
    Confirm(oneshot::Sender<bool>),
    Received(InstanceName, Frame),
    Disk(DiskReply<State>),
    HandOver,
}

enum Waiter {
    Propose(CommandReply),
    Confirm(oneshot::Sender<bool>),
}

/// What everyone on this instance may read.
#[derive(Default)]
struct Published {
    state: State,
    leader: Option<InstanceName>,
    lease_until: Option<Millis>,
    /// Whether the state holds everything that was acknowledged before this leader's term.
    is_current: bool,
    group: Membership,
}

/// The replica of this instance.
pub(crate) struct Replica {
    cx: Arc<Cx>,
    tx: UnboundedSender<Input>,
    published: Arc<Mutex<Published>>,
    keeper: Arc<Mutex<GroupKeeper>>,
    changed: Arc<Notify>,
}

impl Replica {
    /// Opens the data folder and starts the replica.
    ///
    /// # Errors
    ///
    /// Fails if there is no data folder, or it is locked, damaged or not accessible.
    pub(crate) fn open(cx: &Arc<Cx>) -> anyhow::Result<Arc<Self>> {
        let settings = &cx.settings;
        let path = settings
            .data
            .as_ref()
            .context("a store needs a data folder")?;
        let folder = DataFolder::open(path)
            .with_context(|| format!("cannot open the data folder {}", path.display()))?;
        // The identity is random, so that any 64 bits of it are.
        let id = DiskId(folder.identity().0 as u64);
        let disk = Disk::open(&folder)?;
        let restored = disk.restore::<State>()?;
        cx.book().remember(&known_stores(&restored));
        let (tx, rx) = mpsc::unbounded_channel();
        let replies = tx.clone();
        let requests = yuccaseam_replica::start(disk, move |reply| {
            // The driver ends only with the process.
            let _ = replies.send(Input::Disk(reply));
        })?;
        let published = Arc::<Mutex<Published>>::default();
        let changed = Arc::new(Notify::new());
        let now = cx.clock.now();
        let keeper = GroupKeeper::new(
            settings.instance.clone(),
            settings.is_first_start,
            settings.tolerated_losses,
            now,
        );
        let keeper = Arc::new(Mutex::new(keeper));
        let mut driver = Driver {
            id,
            cx: Arc::clone(cx),
            transport: Transport::new(Arc::clone(cx)),
            disk: requests,
            _folder: folder,
            published: Arc::clone(&published),
            keeper: Arc::clone(&keeper),
            changed: Arc::clone(&changed),
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
        };
        driver.start_core(restored);
        tokio::spawn(driver.run(rx));
        log::info!(disk:% = id; "the replica has started");
        Ok(Arc::new(Self {
            cx: Arc::clone(cx),
            tx,
            published,
            keeper,
            changed,
        }))
    }

    fn published(&self) -> std::sync::MutexGuard<'_, Published> {
        self.published
            .lock()
            .expect("no thread panics with the lock")
    }

    fn keeper(&self) -> std::sync::MutexGuard<'_, GroupKeeper> {
        self.keeper.lock().expect("no thread panics with the lock")
    }

    /// Reads the state as this replica knows it.
    pub(crate) fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&State) -> T,
    {
        read(&self.published().state)
    }

    /// Becomes ready once the state has changed after this call.
    pub(crate) fn changed(&self) -> OwnedNotified {
        Arc::clone(&self.changed).notified_owned()
    }

    /// The leader, as far as this replica knows.
    pub(crate) fn leader(&self) -> Option<InstanceName> {
        self.published().leader.clone()
    }

    /// Whether this replica leads, nobody else can, and its state is current.
    pub(crate) fn holds_lease(&self) -> bool {
        let published = self.published();
        let now = self.cx.clock.now();
        published.is_current && published.lease_until.is_some_and(|until| now < until)
    }

    /// Carries a command out.
    ///
    /// # Errors
    ///
    /// Says whether the command may take effect.
    pub(crate) async fn propose(&self, command: Command) -> Result<Outcome, ProposeError> {
        let (tx, rx) = oneshot::channel();
        let data = postcard::to_stdvec(&command).expect("plain data encodes");
        if self.tx.send(Input::Propose(data, tx)).is_err() {
            return Err(ProposeError::NotLeader);
        }
        match tokio::time::timeout(ANSWER.duration(), rx).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(ProposeError::Unknown),
        }
    }

    /// Waits until the state of this replica holds everything acknowledged before this call. False
    /// if this replica does not lead, or no quorum answers.
    pub(crate) async fn confirm(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Input::Confirm(tx)).is_err() {
            return false;
        }
        matches!(
            tokio::time::timeout(ANSWER.duration(), rx).await,
            Ok(Ok(true))
        )
    }

    /// Gives leadership to another voter.
    pub(crate) fn hand_over(&self) {
        // A driver that has ended leads nothing.
        let _ = self.tx.send(Input::HandOver);
    }

    /// Takes a message of another store in.
    pub(crate) fn on_packet(&self, from: InstanceName, message: &[u8]) {
        match postcard::from_bytes(message) {
            Ok(frame) => {
                // The driver ends only with the process.
                let _ = self.tx.send(Input::Received(from, frame));
            }
            Err(error) => log::warn!(peer:% = from, error:% = error; "a message is malformed"),
        }
    }

    /// Whether an instance can be emptied: `None` if it is unknown.
    pub(crate) fn can_retire(&self, name: &InstanceName) -> Option<bool> {
        let retiring = self.read(|state| state.retiring().clone());
        self.keeper()
            .can_retire(name, &retiring, self.cx.clock.now())
    }

    /// Whether nothing that must survive depends on an instance.
    pub(crate) fn has_left_group(&self, name: &InstanceName) -> bool {
        let published = self.published();
        let mut members = published.group.iter();
        members.all(|(_, member)| member.name != *name)
    }
}

struct Driver {
    id: DiskId,
    cx: Arc<Cx>,
    transport: Transport,
    disk: DiskSender<DiskRequest>,
    /// Holds the lock of the data folder.
    _folder: DataFolder,
    published: Arc<Mutex<Published>>,
    keeper: Arc<Mutex<GroupKeeper>>,
    changed: Arc<Notify>,
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
    fn start_core(&mut self, (restored, state): (Restored, State)) {
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
        self.changed.notify_waiters();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Published> {
        self.published
            .lock()
            .expect("no thread panics with the lock")
    }

    async fn run(mut self, mut rx: UnboundedReceiver<Input>) {
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
        self.keeper.lock().expect("no thread panics with the lock")
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
                self.keeper().on_hello(from, seen);
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
                self.changed.notify_waiters();
            }
            Action::ReadReady { token, .. } => self.on_read_ready(token),
            Action::Rejected { token, verdict, .. } => {
                if self.barrier == Some(token) {
                    self.barrier = None;
                }
                if let Some(waiter) = self.waiters.remove(&token) {
                    match verdict {
                        yuccaseam_base::Verdict::NotRun => waiter.refuse(),
                        _ => waiter.lose(),
                    }
                }
            }
            Action::ChangeRefused { error, .. } => {
                log::debug!(error:% = error; "a change of the group is refused");
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
            self.changed.notify_waiters();
        }
        if let Some(Waiter::Confirm(reply)) = self.waiters.remove(&token) {
            // Nobody waits any more if this fails.
            let _ = reply.send(true);
        }
    }

    fn on_tick(&mut self) {
        let now = self.cx.clock.now();
        self.step(Event::Tick);
        if now >= self.hello_at {
            self.say_hello(now);
        }
        if now >= self.upkeep_at {
            self.upkeep_at = now + UPKEEP;
            self.upkeep(now);
        }
    }

    fn has_group(&self) -> bool {
        self.core
            .as_ref()
            .is_none_or(|core| !core.membership().is_empty() || core.last_index() > Index::ZERO)
    }

    fn say_hello(&mut self, now: Millis) {
        let has_group = self.has_group();
        self.hello_at = now + if has_group { HELLO } else { HELLO_JOINING };
        let own = self.cx.settings.instance.clone();
        let founder = self.keeper().founder();
        let hello = Hello {
            disk: self.id.0,
            domain: self.cx.settings.domain.clone(),
            has_group,
            founder: founder.clone(),
        };
        let seen = Seen {
            disk: self.id,
            domain: hello.domain.clone(),
            has_group,
            founder,
            at: now,
        };
        self.keeper().on_hello(own.clone(), seen);
        let frame = Frame::Hello(hello);
        let mut others: BTreeSet<_> = {
            let book = self.cx.book();
            book.entries().into_iter().map(|entry| entry.name).collect()
        };
        let group = self.core.as_ref().map(Core::membership);
        let members = group.into_iter().flat_map(Membership::iter);
        others.extend(members.map(|(_, member)| member.name.clone()));
        others.remove(&own);
        for other in others {
            self.transport.send(&other, &frame);
        }
    }

    fn upkeep(&mut self, now: Millis) {
        if !self.has_group() && self.keeper().may_found(now) {
            log::info!("no store belongs to a group: a new one begins here");
            let group = Membership::of_voters([(self.id, self.cx.settings.instance.clone())]);
            self.core = None;
            return self.ask_disk(DiskRequest::BeginGroup(group));
        }
        let Some(core) = self.core.as_ref().filter(|core| core.is_leader()) else {
            return;
        };
        let retiring = self.lock().state.retiring().clone();
        let change = self.keeper().next_change(core.membership(), &retiring, now);
        if let Some(change) = change {
            log::info!(change:? = change; "the group is to change");
            self.next_token += 1;
            let token = Token(self.next_token);
            self.step(Event::ChangeMembers { token, change });
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
        let members = members.clone();
        let state = self.lock().state.snapshot();
        self.snapshot_bytes = state.len() as u64;
        self.snapshot_running = true;
        self.log_bytes = 0;
        self.ask_disk(DiskRequest::Snapshot {
            position: Position {
                index: self.applied.0,
                term: term.0,
            },
            members,
            state,
        });
    }

    fn publish(&mut self) {
        let leads = self.core.as_ref().is_some_and(Core::is_leader);
        if leads != self.led {
            self.led = leads;
            self.lock().is_current = false;
            self.barrier = None;
            if !leads {
                log::info!("this instance does not lead any more");
            }
        }
        if leads && self.barrier.is_none() && !self.lock().is_current && !self.is_forming() {
            self.next_token += 1;
            let token = Token(self.next_token);
            self.barrier = Some(token);
            self.step(Event::Read(token));
        }
        let leader = self.core.as_ref().and_then(Core::leader);
        let leader = leader.and_then(|id| self.name_of(id));
        let lease_until = self.core.as_ref().and_then(Core::lease_until);
        let group = self.core.as_ref().map(Core::membership).cloned();
        let mut published = self.lock();
        published.leader = leader;
        published.lease_until = lease_until;
        if let Some(group) = group {
            published.group = group;
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

/// Where stores were, as the snapshot or the log that follows it says.
fn known_stores((restored, state): &(Restored, State)) -> BTreeMap<InstanceName, IpAddr> {
    let commands = restored.entries.iter().rev();
    let noted = commands.filter_map(|entry| match &entry.payload {
        Payload::Command(data) => match postcard::from_bytes(data) {
            Ok(Command::NoteStores(stores)) => Some(stores),
            // A malformed entry is reported when it is applied.
            Ok(_) | Err(_) => None,
        },
        _ => None,
    });
    let mut noted = noted;
    noted.next().unwrap_or_else(|| state.stores().clone())
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
