//! One target at its owner: its gate, and who waits for an answer.

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

/// What the owner answers to a request for a permit.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) result: Result<PermitId, Refusal>,
    /// Online requests that hold a slot of the target or wait for one.
    pub(crate) busy: u32,
}

/// Carries the gate's orders to the side that runs batch at the target.
pub(crate) type BatchOrders = Box<dyn Fn(Action) + Send>;

/// One target at its owner.
pub(crate) struct OwnedTarget {
    name: TargetName,
    gate: Gate,
    batch: Option<BatchOrders>,
    /// The state that the target announced last.
    announced: Option<State>,
    /// Whether the target refused a connection lately.
    refuses: bool,
    waiting: HashMap<PermitId, oneshot::Sender<Answer>>,
}

impl OwnedTarget {
    pub(crate) fn new(name: TargetName, cfg: Settings) -> Self {
        Self {
            name,
            gate: Gate::new(cfg),
            batch: None,
            announced: Some(State::Live),
            refuses: false,
            waiting: HashMap::new(),
        }
    }

    pub(crate) fn configure(&mut self, cfg: Settings) {
        self.gate.configure(cfg);
    }

    /// Begins a session of batch, in place of an earlier one.
    pub(crate) fn open_batch(&mut self, orders: BatchOrders, now: Millis) {
        self.batch = Some(orders);
        self.handle(Event::BatchOpened, now);
    }

    /// Ends the session of batch.
    pub(crate) fn end_batch(&mut self, now: Millis) {
        self.batch = None;
        self.handle(Event::BatchOpened, now);
        self.handle(Event::BatchClosing, now);
    }

    /// Notes whether the target takes connections.
    pub(crate) fn set_refuses(&mut self, refuses: bool, now: Millis) {
        self.refuses = refuses;
        self.set_state(self.announced, now);
    }

    /// Takes the state that the target announces; none if its announcement is too old.
    pub(crate) fn set_state(&mut self, state: Option<State>, now: Millis) {
        self.announced = state;
        let state = match state {
            Some(State::Leaving) => TargetState::Leaving,
            Some(State::Live) if !self.refuses => TargetState::Live,
            Some(State::Live | State::Suspect) | None => TargetState::Suspect,
        };
        self.handle(Event::Target(state), now);
    }

    /// Whether nothing holds a slot or waits for one, and no batch may come.
    pub(crate) fn is_idle(&self) -> bool {
        self.batch.is_none() && self.busy() == 0
    }

    /// Registers who waits for the answer on a permit. Its arrival is the next event.
    pub(crate) fn expect(&mut self, permit: PermitId) -> oneshot::Receiver<Answer> {
        let (tx, rx) = oneshot::channel();
        self.waiting.insert(permit, tx);
        rx
    }

    /// Online requests that hold a slot or wait for one.
    pub(crate) fn busy(&self) -> u32 {
        let snapshot = self.gate.snapshot();
        snapshot.online + snapshot.foreign + snapshot.waiting as u32
    }

    /// Gives the gate an event and carries out what it orders.
    pub(crate) fn handle(&mut self, event: Event, now: Millis) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.gate.handle(event, now) {
                events.extend(self.act(action));
            }
        }
    }

    /// Carries out one order. A permit that nobody waits for any more is returned.
    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Grant { permit, .. } => {
                let taken = self.answer(permit, Ok(permit));
                (!taken).then_some(Event::Withdrawn(permit))
            }
            Action::Refuse {
                permit,
                reason,
                retry_after,
                ..
            } => {
                let refusal = Refusal::not_run(reason, describe(reason, &self.name));
                self.answer(permit, Err(refusal.with_retry_after(retry_after)));
                None
            }
            Action::StartBatch(_) | Action::PauseBatch(_) => {
                if let Some(orders) = &self.batch {
                    orders(action);
                }
                None
            }
        }
    }

    fn answer(&mut self, permit: PermitId, result: Result<PermitId, Refusal>) -> bool {
        let busy = self.busy();
        let waiting = self.waiting.remove(&permit);
        waiting.is_some_and(|tx| tx.send(Answer { result, busy }).is_ok())
    }
}

fn describe(reason: Reason, target: &TargetName) -> String {
    match reason {
        Reason::QueueFull => format!("the queue of {target} is full"),
        Reason::DeadlinePassed => format!("{target} cannot start the request in time"),
        Reason::TeamOverShare => format!("the team's requests fill the queue of {target}"),
        Reason::NoTarget => format!("{target} is leaving"),
        _ => format!("{target} takes no request"),
    }
}
