//! Random operations and crashes on the log, compared with an in-memory model.

use std::sync::Arc;

use proptest::prelude::*;
use tempfile::tempdir;
use yuccaseam_journal::{
    DataFolder,
    Entry,
    HardState,
    Log,
    LogOptions,
    Position, //
};

use crate::faulty::Faulty;

const SMALL_SEGMENTS: LogOptions = LogOptions { segment_bytes: 500 };

#[derive(Clone, Debug)]
enum Op {
    Append {
        count: u64,
        bytes: usize,
    },
    Hard {
        term: u64,
    },
    Truncate {
        back: u64,
    },
    Drop {
        share: u64,
    },
    Reset {
        ahead: u64,
    },
    Sync,
    /// The process is killed, but the operating system keeps running.
    Kill,
    /// The machine crashes.
    Crash {
        seed: u64,
    },
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    start: Position,
    entries: Vec<Entry>,
    hard: HardState,
}

impl Model {
    fn of(log: &Log) -> Self {
        let range = log.start().index + 1..log.last().index + 1;
        Self {
            start: log.start(),
            entries: log.entries(range, usize::MAX).unwrap(),
            hard: log.hard_state(),
        }
    }

    fn last(&self) -> u64 {
        self.start.index + self.entries.len() as u64
    }

    fn drop_prefix(&mut self, to: Position) {
        let keep = self.entries.iter().position(|entry| entry.index > to.index);
        self.entries.drain(..keep.unwrap_or(self.entries.len()));
        self.start = to;
    }
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (1..5u64, 0..200usize).prop_map(|(count, bytes)| Op::Append { count, bytes }),
        2 => (1..9u64).prop_map(|term| Op::Hard { term }),
        1 => (1..6u64).prop_map(|back| Op::Truncate { back }),
        1 => (1..=100u64).prop_map(|share| Op::Drop { share }),
        1 => (1..9u64).prop_map(|ahead| Op::Reset { ahead }),
        3 => Just(Op::Sync),
        1 => Just(Op::Kill),
        2 => any::<u64>().prop_map(|seed| Op::Crash { seed }),
    ]
}

/// Runs the operations. After each crash the log must be in a state that it had at or after the
/// last sync, and that state must survive the next crash. Returns whether this always held.
fn recovers_synced_state(ops: &[Op], skip_sync: bool) -> bool {
    let dir = tempdir().unwrap();
    let disk = Faulty::default();
    let open = || {
        let folder = DataFolder::open_in(Arc::new(disk.clone()), dir.path()).unwrap();
        Log::open(&folder, SMALL_SEGMENTS)
    };
    let mut log = open().unwrap();
    disk.set_skip_sync(skip_sync);
    let mut model = Model::default();
    let mut since_sync = vec![model.clone()];
    for op in ops {
        if matches!(op, Op::Kill | Op::Crash { .. }) {
            drop(log);
            if let Op::Crash { seed } = op {
                disk.crash(*seed);
            }
            let Ok(reopened) = open() else {
                return false;
            };
            log = reopened;
            model = Model::of(&log);
            if !since_sync.contains(&model) {
                return false;
            }
            since_sync = vec![model.clone()];
            continue;
        }
        apply(op, &mut log, &mut model, &mut since_sync);
        assert_eq!(Model::of(&log), model);
    }
    true
}

fn apply(op: &Op, log: &mut Log, model: &mut Model, since_sync: &mut Vec<Model>) {
    match *op {
        Op::Append { count, bytes } => {
            let first = model.last() + 1;
            let entries = (first..first + count).map(|index| Entry {
                index,
                term: 1 + index / 7,
                payload: vec![index as u8; bytes],
            });
            let entries: Vec<_> = entries.collect();
            log.append(&entries).unwrap();
            for entry in entries {
                model.entries.push(entry);
                since_sync.push(model.clone());
            }
        }
        Op::Hard { term } => {
            model.hard.term += term;
            log.set_hard_state(model.hard).unwrap();
        }
        Op::Truncate { back } => {
            let from = model.last().saturating_sub(back) + 1;
            if from > model.start.index {
                log.truncate(from).unwrap();
                model.entries.retain(|entry| entry.index < from);
            }
        }
        Op::Drop { share } => {
            let at = (model.entries.len() as u64 * share / 100) as usize;
            if let Some(&Entry { index, term, .. }) = at.checked_sub(1).map(|at| &model.entries[at])
            {
                let to = Position { index, term };
                model.drop_prefix(to);
                since_sync.push(model.clone());
                log.drop_prefix(to).unwrap();
                since_sync.clear();
            }
        }
        Op::Reset { ahead } => {
            let index = model.last() + ahead;
            let to = Position { index, term: 99 };
            model.drop_prefix(to);
            log.drop_prefix(to).unwrap();
            since_sync.clear();
        }
        Op::Sync => {
            log.sync().unwrap();
            assert_eq!(log.durable_index(), log.last().index);
            since_sync.clear();
        }
        Op::Kill | Op::Crash { .. } => unreachable!("the caller handles crashes"),
    }
    since_sync.push(model.clone());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn crash_loses_only_unsynced_data(ops in prop::collection::vec(op(), 1..60)) {
        prop_assert!(recovers_synced_state(&ops, false));
    }
}

#[test]
fn skipped_sync_is_detected() {
    let ops = |seed| {
        [
            Op::Append { count: 4, bytes: 9 },
            Op::Sync,
            Op::Crash { seed },
        ]
    };
    assert!((0..20).any(|seed| !recovers_synced_state(&ops(seed), true)));
    assert!((0..20).all(|seed| recovers_synced_state(&ops(seed), false)));
}
