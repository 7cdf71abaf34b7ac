//! Every accepted item ends exactly once, under random interleavings of owners, target deaths and
//! late reports.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use proptest::prelude::*;
use yuccaseam_base::Reason;
use yuccaseam_state::{
    BlobId,
    CancelJob,
    CompleteItems,
    ExpireOwner,
    FailedItem,
    ItemSet,
    JobId,
    JobState,
    Lease,
    LogIndex,
    MarkSuspects,
    Outcome,
    Query,
    QueryResult,
    ReleaseChunk,
    StartItems,
    State, //
};

use crate::common::{
    Machine,
    blob,
    job,
    lease_ref,
    order_desk,
    owner, //
};

/// A step of a test run. `lease` selects among all leases granted so far, including ended ones.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Lease {
        owner: u8,
        max: u16,
    },
    Complete {
        lease: usize,
        items: u16,
        fail: bool,
    },
    Start {
        lease: usize,
        items: u16,
    },
    Release {
        lease: usize,
        not_run: u16,
    },
    Expire {
        owner: u8,
    },
    Restart {
        owner: u8,
    },
    Mark {
        lease: usize,
        items: u16,
        alone: bool,
    },
    Cancel {
        job: u8,
    },
    Wait,
}

pub(crate) fn steps(count: usize) -> impl Strategy<Value = Vec<Step>> {
    let lease = || 0..64_usize;
    let step = prop_oneof![
        4 => (0..3_u8, 1..4_u16).prop_map(|(owner, max)| Step::Lease { owner, max }),
        6 => (lease(), any::<u16>(), prop::bool::weighted(0.1))
            .prop_map(|(lease, items, fail)| Step::Complete { lease, items, fail }),
        2 => (lease(), any::<u16>()).prop_map(|(lease, items)| Step::Start { lease, items }),
        1 => (lease(), any::<u16>())
            .prop_map(|(lease, not_run)| Step::Release { lease, not_run }),
        1 => (0..3_u8).prop_map(|owner| Step::Expire { owner }),
        1 => (0..3_u8).prop_map(|owner| Step::Restart { owner }),
        1 => (lease(), any::<u16>(), any::<bool>())
            .prop_map(|(lease, items, alone)| Step::Mark { lease, items, alone }),
        1 => prop::bool::weighted(0.1).prop_map(|cancel| match cancel {
            true => Step::Cancel { job: 1 },
            false => Step::Wait,
        }),
    ];
    prop::collection::vec(step, count)
}

/// Runs steps on a machine with one idempotent and one non-idempotent job.
pub(crate) struct Run {
    pub(crate) machine: Machine,
    pub(crate) jobs: [JobId; 2],
    leases: Vec<Lease>,
    incarnations: [u64; 3],
    reports: u64,
    /// Leases under which each item of the non-idempotent job was allowed to start and was not
    /// returned as not run.
    starts: BTreeMap<Item, BTreeSet<LogIndex>>,
}

impl Run {
    pub(crate) fn new() -> Self {
        let mut machine = Machine::new();
        let repeatable = job("t", "repeatable", &[5, 8, 3, 8]);
        let mut once = job("u", "once", &[4, 4]);
        once.work = order_desk();
        once.idempotent = false;
        let jobs = [machine.create(&repeatable), machine.create(&once)];
        Self {
            machine,
            jobs,
            leases: Vec::new(),
            incarnations: [1; 3],
            reports: 0,
            starts: BTreeMap::new(),
        }
    }

    pub(crate) fn step(&mut self, step: &Step) {
        match *step {
            Step::Lease { owner, max } => {
                let leases = self.machine.lease(&self.owner(owner), max);
                self.leases.extend(leases);
            }
            Step::Complete { lease, items, fail } => self.complete(lease, items, fail),
            Step::Start { lease, items } => self.start(lease, items),
            Step::Release { lease, not_run } => self.release(lease, not_run),
            Step::Expire { owner } => {
                let owner = self.owner(owner);
                self.machine.apply(ExpireOwner { owner });
            }
            Step::Restart { owner } => {
                self.incarnations[usize::from(owner)] += 1;
                let leases = self.machine.lease(&self.owner(owner), 1);
                self.leases.extend(leases);
            }
            Step::Mark {
                lease,
                items,
                alone,
            } => {
                if let Some(lease) = self.select_lease(lease) {
                    let items = mask(items, lease.spec.items);
                    let lease = lease_ref(&lease);
                    let death = self.machine.index;
                    self.machine.apply(MarkSuspects {
                        lease,
                        items,
                        alone,
                        death,
                    });
                }
            }
            Step::Cancel { job } => {
                let job = self.jobs[usize::from(job)];
                self.machine.apply(CancelJob { job });
            }
            Step::Wait => {
                let lease = self.machine.state.configuration().defaults.lease_ms;
                self.machine.wait(yuccaseam_base::Millis(lease));
            }
        }
    }

    fn owner(&self, number: u8) -> yuccaseam_state::OwnerId {
        let incarnation = self.incarnations[usize::from(number)];
        owner(&format!("owner-{number}"), incarnation)
    }

    fn select_lease(&self, number: usize) -> Option<Lease> {
        let count = self.leases.len().max(1);
        self.leases.get(number % count).cloned()
    }

    fn complete(&mut self, lease: usize, items: u16, fail: bool) {
        let Some(lease) = self.select_lease(lease) else {
            return;
        };
        self.reports += 1;
        let ended = mask(items, lease.spec.items);
        let failure = |item| FailedItem {
            item,
            reason: Reason::BadRequest,
        };
        let report = CompleteItems {
            lease: lease_ref(&lease),
            result: Some(blob(&format!("report {}", self.reports))),
            failed: if fail {
                ended.iter().map(failure).collect()
            } else {
                Vec::new()
            },
            done: if fail { ItemSet::new() } else { ended },
        };
        self.machine.complete(report);
    }

    fn start(&mut self, lease: usize, items: u16) {
        let Some(lease) = self.select_lease(lease).filter(|lease| !lease.idempotent) else {
            return;
        };
        let start = StartItems {
            lease: lease_ref(&lease),
            items: mask(items, lease.spec.items),
        };
        if let Outcome::Started(started) = self.machine.apply(start) {
            for item in started.iter() {
                self.starts
                    .entry((lease.chunk, item))
                    .or_default()
                    .insert(lease.epoch);
            }
        }
    }

    fn release(&mut self, lease: usize, not_run: u16) {
        let Some(lease) = self.select_lease(lease) else {
            return;
        };
        let not_run = mask(not_run, lease.spec.items);
        let release = ReleaseChunk {
            lease: lease_ref(&lease),
            not_run: not_run.clone(),
        };
        let outcome = self.machine.apply(release);
        if !lease.idempotent && outcome == (Outcome::Released { stood: true }) {
            for item in not_run.iter() {
                self.starts.remove(&(lease.chunk, item));
            }
        }
    }

    fn ended_items(&self, job: JobId) -> EndedItems {
        let query = Query::JobResults {
            job,
            from: 0,
            limit: 100,
        };
        let QueryResult::JobResults(chunks) = self.machine.state.query(&query) else {
            panic!("no results");
        };
        let mut done = BTreeMap::new();
        let mut failed = Vec::new();
        for chunk in chunks {
            for part in &chunk.parts {
                for item in part.items.iter() {
                    let before = done.insert((chunk.chunk, item), part.blob);
                    assert_eq!(
                        before, None,
                        "item {item} of chunk {} is done twice",
                        chunk.chunk
                    );
                }
            }
            failed.extend(chunk.failed.iter().map(|&item| (chunk.chunk, item)));
        }
        EndedItems { done, failed }
    }
}

/// An item, as chunk number and item number.
type Item = (u32, u16);

/// The ended items of a job.
struct EndedItems {
    /// Result blob of each done item.
    done: BTreeMap<Item, BlobId>,
    failed: Vec<(u32, FailedItem)>,
}

fn mask(bits: u16, items: u16) -> ItemSet {
    (0..items.min(16))
        .filter(|item| bits >> item & 1 == 1)
        .collect()
}

fn check_ended_items(run: &Run, job: JobId, before: &mut BTreeMap<Item, BlobId>) {
    let EndedItems { done, failed } = run.ended_items(job);
    for (item, blob) in &*before {
        assert_eq!(
            done.get(item),
            Some(blob),
            "the result of {item:?} was lost or replaced"
        );
    }
    for (chunk, failure) in &failed {
        assert!(
            !done.contains_key(&(*chunk, failure.item)),
            "an item is both done and failed"
        );
    }
    let status = run.machine.status(job);
    assert_eq!(status.done as usize, done.len());
    assert_eq!(status.failed as usize, failed.len());
    *before = done;
}

/// Leases and completes all remaining items.
fn complete_remaining(run: &mut Run) {
    let last = owner("last", 1);
    for number in 0..3 {
        let owner = run.owner(number);
        run.machine.apply(ExpireOwner { owner });
    }
    loop {
        let leases = run.machine.lease(&last, 10);
        if leases.is_empty() {
            break;
        }
        for lease in leases {
            let report = crate::common::done(&lease, ItemSet::full(lease.spec.items), "drain");
            run.machine.complete(report);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_item_ends_once(steps in steps(60)) {
        let mut run = Run::new();
        let mut before = [BTreeMap::new(), BTreeMap::new()];
        for step in &steps {
            run.step(step);
            for (job, before) in run.jobs.into_iter().zip(&mut before) {
                check_ended_items(&run, job, before);
            }
            prop_assert!(run.starts.values().all(|leases| leases.len() <= 1));
        }
        complete_remaining(&mut run);
        for (job, before) in run.jobs.into_iter().zip(&mut before) {
            check_ended_items(&run, job, before);
            let state = run.machine.status(job).state;
            prop_assert!(matches!(state, JobState::Completed | JobState::Cancelled));
        }
    }

    #[test]
    fn snapshot_restores_an_equal_state_at_every_point(steps in steps(40)) {
        let mut run = Run::new();
        for step in &steps {
            run.step(step);
            let restored = State::restore(&run.machine.state.snapshot());
            prop_assert_eq!(restored.as_ref(), Ok(&run.machine.state));
        }
    }
}
