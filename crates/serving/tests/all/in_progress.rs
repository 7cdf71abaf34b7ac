//! Bounds on the replicated state hold in whatever order commands are proposed and applied, and leaders change.

use std::collections::BTreeSet;

use proptest::{
    collection::vec,
    prelude::*, //
};
use yuccaseam_base::{
    InstanceName,
    Millis, //
};
use yuccaseam_quorum::{
    Term,
    Token, //
};
use yuccaseam_serving::{
    BoundDecision, InProgress,
    state::{
        Command,
        NewItem,
        NewJob,
        State, //
    },
};

/// Maximum size of the state, in bytes: less than four jobs.
const MAX_STATE_BYTES: u64 = 35_000;
const STORES: usize = 5;
/// Voters of a full group.
const FULL_SIZE: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller submits a job, perhaps again.
    Submit { job: u8, body_bytes: usize },
    /// An operator retires a store.
    Retire { store: u8 },
    /// The next entry of the log is committed and applied.
    Apply,
    /// Another leader is elected, which has some entries that are not applied yet.
    Elect { kept: usize },
    /// The state of the leader becomes current.
    BecomeCurrent,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..8_u8, 0..4_000_usize).prop_map(|(job, body_bytes)| Step::Submit { job, body_bytes }),
        2 => (0..STORES as u8).prop_map(|store| Step::Retire { store }),
        3 => Just(Step::Apply),
        1 => (0..4_usize).prop_map(|kept| Step::Elect { kept }),
        2 => Just(Step::BecomeCurrent),
    ]
}

fn job(number: u8, body_bytes: usize) -> NewJob {
    NewJob {
        id: format!("j{number}"),
        host: "h.example".to_owned(),
        route: "h.example/b/".to_owned(),
        waiting_limit: None,
        max_attempts: 3,
        submitted_at: Millis(1),
        items: vec![NewItem {
            id: "i".to_owned(),
            path: "/b/1".to_owned(),
            headers: Vec::new(),
            body: vec![0; body_bytes],
            tokens: 1,
        }],
    }
}

/// The log of the leader beyond what is applied, and the applied state.
#[derive(Default)]
struct Model {
    state: State,
    unapplied: Vec<(Token, Command)>,
    in_progress: InProgress,
    term: u64,
    tokens: u64,
}

impl Model {
    fn token(&mut self) -> Token {
        self.tokens += 1;
        Token(self.tokens)
    }

    fn apply(&mut self) {
        if !self.unapplied.is_empty() {
            let (token, command) = self.unapplied.remove(0);
            self.in_progress.end(token);
            self.state.apply(command);
        }
    }

    fn holds_job(&self, id: &str) -> bool {
        let is_in_log = self
            .unapplied
            .iter()
            .any(|(_, command)| matches!(command, Command::Submit(job) if job.id == id));
        is_in_log || self.state.job(id).is_some()
    }

    fn submit(&mut self, job: NewJob) {
        let token = self.token();
        let admission = self
            .in_progress
            .admit_job(token, &job, &self.state, MAX_STATE_BYTES);
        match admission {
            BoundDecision::Admitted => self.unapplied.push((token, Command::Submit(job))),
            BoundDecision::Refused => {
                assert!(!self.holds_job(&job.id), "a refused job runs");
            }
            BoundDecision::Undecided | BoundDecision::NotCurrent => {}
        }
    }

    fn retire(&mut self, store: u8) {
        let token = self.token();
        let name = InstanceName::from(format!("store-{store}").as_str());
        let can_retire = |retiring: &BTreeSet<InstanceName>| STORES - retiring.len() > FULL_SIZE;
        let admission = self
            .in_progress
            .admit_retirement(token, &name, &self.state, can_retire);
        if admission == BoundDecision::Admitted {
            self.unapplied.push((token, Command::Retire(name)));
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Submit {
                job: number,
                body_bytes,
            } => self.submit(job(number, body_bytes)),
            Step::Retire { store } => self.retire(store),
            Step::Apply => self.apply(),
            Step::Elect { kept } => {
                self.unapplied.truncate(kept);
                self.term += 1;
                self.in_progress.stop();
            }
            Step::BecomeCurrent => {
                while !self.unapplied.is_empty() && !self.in_progress.is_current_in(Term(self.term))
                {
                    self.apply();
                }
                if !self.in_progress.is_current_in(Term(self.term)) {
                    self.in_progress.start(Term(self.term));
                }
            }
        }
    }
}

proptest! {
    /// Guards against jobs that come before the first of them is applied and outgrow the state together, and against
    /// retirements that leave too few stores together.
    #[test]
    fn bounds_hold_for_commands_in_progress(steps in vec(step(), 1..60)) {
        let mut model = Model::default();
        for step in steps {
            model.take(step);
        }
        while !model.unapplied.is_empty() {
            model.apply();
        }
        prop_assert!(model.state.expected_bytes() <= MAX_STATE_BYTES);
        prop_assert!(STORES - model.state.retiring().len() >= FULL_SIZE);
    }
}

#[test]
fn job_counts_until_its_outcome_is_known() {
    let mut model = Model::default();
    model.take(Step::BecomeCurrent);
    for number in 0..8 {
        model.submit(job(number, 0));
    }
    assert_eq!(
        model.unapplied.len(),
        4,
        "as many as the state has room for"
    );
    // A second try of a job in progress is not refused: the first one may run.
    let (token, first) = (model.token(), job(0, 9_000));
    let admission = model
        .in_progress
        .admit_job(token, &first, &model.state, MAX_STATE_BYTES);
    assert_eq!(admission, BoundDecision::Undecided);
    // It counts for as long as any of its tries is in progress.
    model.submit(job(0, 0));
    let before = model.in_progress.job_bytes();
    let (refused, _) = model.unapplied.remove(0);
    model.in_progress.end(refused);
    assert_eq!(model.in_progress.job_bytes(), before);
    while !model.unapplied.is_empty() {
        model.apply();
    }
    assert_eq!(model.in_progress.job_bytes(), 0);
}
