//! What a target was told survives a kill of all stores, in whatever order its messages arrive and leaders change.

use std::collections::BTreeMap;

use proptest::{
    collection::vec,
    prelude::*, //
};
use yuccaseam_base::{
    Millis,
    TargetName, //
};
use yuccaseam_serving::{
    state::{
        Command,
        State, //
    },
    targets::{
        AnnouncementOutcome,
        GONE_AGE_INTERVAL,
        GONE_RETENTION,
        LOG_RETENTION,
        TargetRecord,
        Targets, //
    },
};

use super::support::target;

/// Time without an announcement after which a target expires.
const TARGET_TIMEOUT: Millis = Millis(6_000);
const STEP: Millis = Millis(500);
const STARTS: u64 = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A message of a target arrives, perhaps late.
    Announce {
        start: u64,
        number: u64,
        draining: bool,
    },
    /// The report of a start that leaves arrives, perhaps late.
    Leave { start: u64 },
    /// The leader records what has changed.
    Record,
    /// A leader that was replaced records what it had not yet.
    RecordLate,
    /// All stores are killed, and one of them leads again.
    KillAll,
    /// Another store leads.
    ChangeLeader,
    /// The leader counts time for targets that are gone.
    Age,
}

fn step() -> impl Strategy<Value = Step> {
    let start = 1..=STARTS;
    prop_oneof![
        5 => (start.clone(), 1..6_u64, any::<bool>()).prop_map(|(start, number, draining)| {
            Step::Announce { start, number, draining }
        }),
        3 => start.prop_map(|start| Step::Leave { start }),
        4 => Just(Step::Record),
        1 => Just(Step::RecordLate),
        2 => Just(Step::KillAll),
        1 => Just(Step::ChangeLeader),
        1 => Just(Step::Age),
    ]
}

fn name() -> TargetName {
    target(1, "a1").name
}

/// What the target was told: the start, and when it was told that the start drains or has left.
#[derive(Clone, Copy, Default)]
struct Told {
    start: u64,
    ends: Option<(u64, Millis)>,
}

#[derive(Default)]
struct Model {
    state: State,
    leader: Targets,
    /// Records that the leader has not written to the log.
    unrecorded: BTreeMap<TargetName, TargetRecord>,
    /// Those of a leader before.
    left_behind: Vec<TargetRecord>,
    /// Acknowledgements that wait for the log: the start, and whether it ends.
    waiting: Vec<(u64, bool)>,
    told: Told,
    now: Millis,
}

impl Model {
    fn known(&self) -> Option<&TargetRecord> {
        self.leader.records().find(|record| record.name == name())
    }

    fn note(&mut self, records: Vec<TargetRecord>) {
        let named = records.into_iter();
        self.unrecorded
            .extend(named.map(|record| (record.name.clone(), record)));
    }

    /// Acknowledges a message once the log covers what the leader knows.
    fn acknowledge(&mut self, start: u64, ends: bool) {
        let is_covered = self.known().is_none_or(|known| {
            let recorded = self.state.target(&known.name);
            recorded.is_some_and(|recorded| recorded.covers(known))
        });
        if !is_covered {
            return self.waiting.push((start, ends));
        }
        self.told.start = self.told.start.max(start);
        if ends && self.told.ends.is_none_or(|(ended, _)| ended <= start) {
            self.told.ends = Some((start, self.now));
        }
    }

    fn restart(&mut self) {
        self.waiting.clear();
        self.leader = Targets::default();
        let recorded = self.state.targets().cloned().collect();
        self.leader.merge_all(recorded, self.now);
    }

    fn take(&mut self, step: Step) {
        self.now += STEP;
        match step {
            Step::Announce {
                start,
                number,
                draining,
            } => {
                let record = TargetRecord {
                    started_at: start,
                    number,
                    draining,
                    ..target(1, "a1")
                };
                let outcome = self.leader.apply_announcement(record, self.now);
                if let AnnouncementOutcome::Changed(records) = outcome {
                    self.note(records);
                }
                self.acknowledge(start, draining);
            }
            Step::Leave { start } => {
                let left = self.leader.mark_start_left(&name(), start, self.now);
                self.note(left.into_iter().collect());
                self.acknowledge(start, true);
            }
            Step::Record => {
                let records = std::mem::take(&mut self.unrecorded);
                self.state
                    .apply(Command::NoteTargets(records.into_values().collect()));
                for (start, ends) in std::mem::take(&mut self.waiting) {
                    self.acknowledge(start, ends);
                }
            }
            Step::RecordLate => {
                let records = std::mem::take(&mut self.left_behind);
                self.state.apply(Command::NoteTargets(records));
            }
            Step::KillAll => {
                self.unrecorded.clear();
                self.left_behind.clear();
                self.restart();
            }
            Step::ChangeLeader => {
                let records = std::mem::take(&mut self.unrecorded);
                self.left_behind.extend(records.into_values());
                self.restart();
            }
            Step::Age => {
                self.now += GONE_AGE_INTERVAL;
                let expired = self.leader.expire(TARGET_TIMEOUT, self.now);
                self.note(expired);
                self.state.apply(Command::AgeGoneTargets {
                    elapsed: GONE_AGE_INTERVAL,
                    retention: LOG_RETENTION,
                });
            }
        }
    }

    /// Whether the target takes work that it was told that it gets none of.
    fn breaks_promise(&self) -> bool {
        let Some(known) = self.known().filter(|known| known.takes_work()) else {
            return false;
        };
        self.told
            .ends
            .is_some_and(|(start, at)| known.started_at <= start && self.now < at + GONE_RETENTION)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a target that left, as was acknowledged, and gets work again because the stores were killed and
    /// an older message of it arrives, or a leader before writes what it knew.
    #[test]
    fn acknowledged_end_outlives_all_stores(steps in vec(step(), 1..40)) {
        let mut model = Model::default();
        for step in steps {
            model.take(step);
            prop_assert!(!model.breaks_promise(), "{step:?}: {:?}", model.known());
        }
        // A later start of the name takes work.
        let later = STARTS + 1;
        model.take(Step::Announce { start: later, number: 1, draining: false });
        model.take(Step::Record);
        model.take(Step::KillAll);
        prop_assert!(model.known().is_some_and(TargetRecord::takes_work));
        // Nothing is kept of a target that has been gone for long.
        model.take(Step::Leave { start: later });
        model.take(Step::Record);
        for _ in 0..=LOG_RETENTION.0 / GONE_AGE_INTERVAL.0 {
            model.take(Step::Age);
        }
        prop_assert_eq!(model.state.targets().count(), 0);
        prop_assert!(!model.state.has_gone_targets());
    }
}

/// Guards against an earlier start that takes the place of a later one, which was acknowledged, after a kill of all stores.
#[test]
fn acknowledged_start_outlives_all_stores() {
    let mut model = Model::default();
    let announce = |start, number| Step::Announce {
        start,
        number,
        draining: false,
    };
    for step in [announce(1, 1), Step::Record, announce(2, 1)] {
        model.take(step);
    }
    assert_eq!(model.told.start, 1, "the second start is not in the log");
    model.take(Step::Record);
    assert_eq!(model.told.start, 2);
    model.take(Step::KillAll);
    model.take(announce(1, 9));
    let known = model.known().expect("the target is known");
    assert_eq!(known.started_at, 2);
}

/// Guards against a late report of an earlier start that is acknowledged before the later start is in the log.
#[test]
fn departure_of_an_earlier_start_waits_for_the_later_one() {
    let mut model = Model::default();
    model.take(Step::Announce {
        start: 2,
        number: 1,
        draining: false,
    });
    model.take(Step::Leave { start: 1 });
    assert!(model.told.ends.is_none());
    model.take(Step::Record);
    assert!(model.told.ends.is_some());
}

/// Guards against a target that left before its first announcement arrived, and gets work then.
#[test]
fn departure_of_an_unknown_target_is_kept() {
    let mut model = Model::default();
    model.take(Step::Leave { start: 1 });
    model.take(Step::Record);
    model.take(Step::KillAll);
    model.take(Step::Announce {
        start: 1,
        number: 3,
        draining: false,
    });
    assert!(model.known().is_some_and(|known| !known.takes_work()));
}
