//! Compares the outcomes that callers observed with the runs that targets recorded.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Mutex,
};

use yuccaseam_testing::platform::{
    Crash,
    Run, //
};

use crate::{
    prompts::DEADLY_PARTS,
    quarantine::{
        InstanceFault,
        late_requests, //
    },
};

/// Outcome of a request as observed by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A complete response.
    Complete,
    /// A refusal: the request has not run and will not run.
    NotRun,
    /// No response, or one that says that the request may have run.
    Unknown,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AllowedRuns {
    Once,
    Unlimited,
}

#[derive(Debug, Default)]
struct Inner {
    outcomes: HashMap<String, (AllowedRuns, Outcome)>,
    violations: Vec<String>,
    counts: BTreeMap<&'static str, usize>,
    highest_acknowledged: u64,
    instance_faults: Vec<InstanceFault>,
}

/// Outcomes observed by callers and operators, and the guarantees found violated.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    inner: Mutex<Inner>,
}

impl Ledger {
    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while holding the lock")
    }

    pub(crate) fn record_violation(&self, text: String) {
        self.inner().violations.push(text);
    }

    pub(crate) fn count_event(&self, event: &'static str) {
        *self.inner().counts.entry(event).or_default() += 1;
    }

    pub(crate) fn record_outcome(&self, id: &str, allowed: AllowedRuns, outcome: Outcome) {
        self.count_event(match outcome {
            Outcome::Complete => "whole answers",
            Outcome::NotRun => "refusals",
            Outcome::Unknown => "unknown outcomes",
        });
        self.inner()
            .outcomes
            .insert(id.to_owned(), (allowed, outcome));
    }

    pub(crate) fn record_instance_fault(&self, fault: InstanceFault) {
        self.inner().instance_faults.push(fault);
    }

    /// Records that an operator received the acknowledgement of a manifest version.
    pub(crate) fn record_acknowledged(&self, version: u64) {
        let mut inner = self.inner();
        inner.highest_acknowledged = inner.highest_acknowledged.max(version);
    }

    /// Returns the highest acknowledged manifest version.
    pub(crate) fn highest_acknowledged(&self) -> u64 {
        self.inner().highest_acknowledged
    }

    /// Checks the observed outcomes against the runs that targets recorded.
    pub(crate) fn check_runs(&self, runs: &[Run]) {
        let mut run_counts = HashMap::<&str, usize>::new();
        for run in runs {
            *run_counts.entry(run.id.as_str()).or_default() += 1;
        }
        let mut inner = self.inner();
        let mut violations = Vec::new();
        for (id, (allowed, outcome)) in &inner.outcomes {
            let count = run_counts.get(id.as_str()).copied().unwrap_or(0);
            if *allowed == AllowedRuns::Once && count > 1 {
                violations.push(format!("{id} ran {count} times, but may run at most once"));
            }
            if *outcome == Outcome::NotRun && *allowed == AllowedRuns::Once && count > 0 {
                violations.push(format!("{id} was refused as not run, but ran"));
            }
            if *outcome == Outcome::Complete && count == 0 {
                violations.push(format!("{id} got a complete response, but never ran"));
            }
        }
        inner.violations.extend(violations);
    }

    /// Checks that requests with parts that crash targets stopped reaching them.
    pub(crate) fn check_quarantine(&self, runs: &[Run], crashes: &[Crash]) {
        let mut inner = self.inner();
        inner.counts.insert("crashes", crashes.len());
        for part in DEADLY_PARTS {
            let prefix = format!("{part}-");
            let tainted = runs.iter().filter(|run| run.id.starts_with(&prefix));
            let tainted: Vec<_> = tainted.collect();
            let violation = late_requests(part, crashes, &tainted, &inner.instance_faults);
            inner.violations.extend(violation);
        }
    }

    pub(crate) fn violations_and_counts(&self) -> (Vec<String>, BTreeMap<&'static str, usize>) {
        let inner = self.inner();
        (inner.violations.clone(), inner.counts.clone())
    }
}
