//! Gate with a simulated clock, and helpers for events and actions.

use yuccaseam_admit::{
    Action,
    Class,
    Entry,
    Event,
    Gate,
    LoadReport,
    PermitId,
    Request,
    RunId,
    Settings,
    Team, //
};
use yuccaseam_base::{
    EntityKey,
    Millis,
    Reason, //
};

pub(crate) const ENTRY: usize = 0;

pub(crate) struct Bench {
    pub(crate) gate: Gate,
    pub(crate) now: Millis,
    next: u64,
}

impl Bench {
    pub(crate) fn new(cfg: Settings) -> Self {
        Self {
            gate: Gate::new(cfg),
            now: Millis(1_000),
            next: 0,
        }
    }

    pub(crate) fn send(&mut self, event: Event) -> Vec<Action> {
        self.gate.handle(event, self.now)
    }

    pub(crate) fn request(&mut self, team: usize) -> Request {
        self.next += 1;
        Request {
            permit: PermitId(self.next),
            entry: Entry::from_index(ENTRY),
            team: Team::from_index(team),
            class: Class::from_index(0),
            prompt_tokens: 100,
            answer_tokens: 100,
            weight: 1,
            deadline: self.now + Millis(2_000),
        }
    }

    pub(crate) fn arrive(&mut self, team: usize) -> (PermitId, Vec<Action>) {
        let request = self.request(team);
        (request.permit, self.send(Event::Arrived(request)))
    }

    pub(crate) fn load(&mut self, running: u32, age: Millis) -> Vec<Action> {
        let waiting = 0;
        let kv_permille = 0;
        self.send(Event::Load(LoadReport {
            running,
            waiting,
            kv_permille,
            age,
        }))
    }

    /// Starts as many batch runs as the gate allows, each through its first token.
    pub(crate) fn fill_with_batch(&mut self, items: u32) -> Vec<RunId> {
        let mut runs = started(&self.send(Event::BatchReady(items)));
        let mut next = 0;
        while next < runs.len() {
            let run = runs[next];
            runs.extend(started(&self.send(Event::BatchFirstToken(run))));
            next += 1;
        }
        runs
    }
}

pub(crate) fn granted(actions: &[Action]) -> Vec<PermitId> {
    let permits = actions.iter().filter_map(|action| match action {
        Action::Grant { permit, .. } => Some(*permit),
        _ => None,
    });
    permits.collect()
}

pub(crate) fn refused(actions: &[Action]) -> Vec<(PermitId, Reason, Millis)> {
    let refusals = actions.iter().filter_map(|action| match action {
        Action::Refuse {
            permit,
            reason,
            retry_after,
            ..
        } => Some((*permit, *reason, *retry_after)),
        _ => None,
    });
    refusals.collect()
}

pub(crate) fn started(actions: &[Action]) -> Vec<RunId> {
    let runs = actions.iter().filter_map(|action| match action {
        Action::StartBatch(run) => Some(*run),
        _ => None,
    });
    runs.collect()
}

pub(crate) fn paused(actions: &[Action]) -> Vec<RunId> {
    let runs = actions.iter().filter_map(|action| match action {
        Action::PauseBatch(run) => Some(*run),
        _ => None,
    });
    runs.collect()
}
