//! One target at its owner: its gate and the permit requests that await a reply.

use std::collections::{
    HashMap,
    VecDeque, //
};

use tokio::sync::oneshot;
use yuccaseam_admit::{
    Action,
    Event,
    Gate,
    PermitId,
    Settings,
    TargetState, //
};
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    TargetName, //
};

use crate::fleet::State;

/// An owner's reply to a permit request.
#[derive(Debug)]
pub(crate) struct PermitReply {
    pub(crate) result: Result<PermitId, Refusal>,
    /// Online requests that hold a slot of the target or wait for one.
    pub(crate) busy: u32,
}

/// Delivers the gate's batch actions to the batch runner of the target.
pub(crate) type BatchActionSink = Box<dyn Fn(Action) + Send>;

/// One target at its owner.
pub(crate) struct OwnedTarget {
    name: TargetName,
    gate: Gate,
    batch: Option<BatchActionSink>,
    /// The state that the target announced last; `None` if its record is gone.
    announced_state: Option<State>,
    /// Whether the target recently refused a connection.
    refuses_connections: bool,
    waiters: HashMap<PermitId, oneshot::Sender<PermitReply>>,
}

impl OwnedTarget {
    pub(crate) fn new(name: TargetName, cfg: Settings) -> Self {
        Self {
            name,
            gate: Gate::new(cfg),
            batch: None,
            announced_state: Some(State::Live),
            refuses_connections: false,
            waiters: HashMap::new(),
        }
    }

    pub(crate) fn configure(&mut self, cfg: Settings) {
        self.gate.configure(cfg);
    }

    /// Opens a batch session, which replaces an earlier one.
    pub(crate) fn open_batch(&mut self, sink: BatchActionSink, now: Millis) {
        self.batch = Some(sink);
        self.handle(Event::BatchOpened, now);
    }

    /// Ends the batch session.
    pub(crate) fn end_batch(&mut self, now: Millis) {
        self.batch = None;
        self.handle(Event::BatchOpened, now);
        self.handle(Event::BatchClosing, now);
    }

    /// Records whether the target refuses connections.
    pub(crate) fn set_refuses_connections(&mut self, refuses_connections: bool, now: Millis) {
        self.refuses_connections = refuses_connections;
        self.set_state(self.announced_state, now);
    }

    /// Applies the announced state of the target; `None` if its record is gone.
    pub(crate) fn set_state(&mut self, state: Option<State>, now: Millis) {
        self.announced_state = state;
        let state = match state {
            Some(State::Leaving) => TargetState::Leaving,
            Some(State::Live) if !self.refuses_connections => TargetState::Live,
            Some(State::Live | State::Suspect) | None => TargetState::Suspect,
        };
        self.handle(Event::Target(state), now);
    }

    /// Whether no request holds a slot or waits for one, and no batch session is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.batch.is_none() && self.busy() == 0
    }

    /// Registers a waiter for the reply to a permit request. The caller must then pass the
    /// request's arrival to [`Self::handle`] as the next event.
    pub(crate) fn register_waiter(&mut self, permit: PermitId) -> oneshot::Receiver<PermitReply> {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(permit, tx);
        rx
    }

    /// Number of online requests that hold a slot or wait for one.
    pub(crate) fn busy(&self) -> u32 {
        let snapshot = self.gate.snapshot();
        snapshot.online + snapshot.foreign + snapshot.waiting as u32
    }

    /// Passes an event to the gate and executes the resulting actions.
    pub(crate) fn handle(&mut self, event: Event, now: Millis) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.gate.handle(event, now) {
                events.extend(self.execute(action));
            }
        }
    }

    /// Executes one action. A granted permit whose requester no longer waits is withdrawn.
    fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Grant { permit, .. } => {
                let delivered = self.reply(permit, Ok(permit));
                (!delivered).then_some(Event::Withdrawn(permit))
            }
            Action::Refuse {
                permit,
                reason,
                retry_after,
                ..
            } => {
                let refusal = Refusal::not_run(reason, refusal_detail(reason, &self.name));
                self.reply(permit, Err(refusal.with_retry_after(retry_after)));
                None
            }
            Action::StartBatch(_) | Action::PauseBatch(_) => {
                if let Some(sink) = &self.batch {
                    sink(action);
                }
                None
            }
        }
    }

    fn reply(&mut self, permit: PermitId, result: Result<PermitId, Refusal>) -> bool {
        let busy = self.busy();
        let waiter = self.waiters.remove(&permit);
        waiter.is_some_and(|tx| tx.send(PermitReply { result, busy }).is_ok())
    }
}

fn refusal_detail(reason: Reason, target: &TargetName) -> String {
    match reason {
        Reason::QueueFull => format!("the queue of {target} is full"),
        Reason::DeadlinePassed => format!("{target} cannot start the request before its deadline"),
        Reason::TeamOverShare => format!("the team exceeds its share of the queue of {target}"),
        Reason::NoTarget => format!("{target} is draining"),
        _ => format!("{target} accepts no requests"),
    }
}
