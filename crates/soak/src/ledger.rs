//! What callers were told, against what targets did.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Mutex,
};

use yuccaseam_testing::platform::Run;

/// What the caller of a request was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// The whole answer.
    Whole,
    /// That it has not run and will not run.
    NotRun,
    /// Nothing, or that it may have run.
    Unknown,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Allowed {
    Once,
    Often,
}

#[derive(Debug, Default)]
struct Inner {
    told: HashMap<String, (Allowed, Told)>,
    violations: Vec<String>,
    counts: BTreeMap<&'static str, usize>,
    acknowledged: u64,
}

/// What callers and operators were told, and the promises that were seen broken.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    inner: Mutex<Inner>,
}

impl Ledger {
    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics with the lock")
    }

    pub(crate) fn violation(&self, text: String) {
        self.inner().violations.push(text);
    }

    pub(crate) fn count(&self, what: &'static str) {
        *self.inner().counts.entry(what).or_default() += 1;
    }

    pub(crate) fn told(&self, id: &str, allowed: Allowed, told: Told) {
        self.count(match told {
            Told::Whole => "whole answers",
            Told::NotRun => "refusals",
            Told::Unknown => "unknown outcomes",
        });
        self.inner().told.insert(id.to_owned(), (allowed, told));
    }

    /// An operator got an acknowledgement of this version.
    pub(crate) fn acknowledged(&self, version: u64) {
        let mut inner = self.inner();
        inner.acknowledged = inner.acknowledged.max(version);
    }

    /// The highest version that was acknowledged.
    pub(crate) fn highest(&self) -> u64 {
        self.inner().acknowledged
    }

    /// Compares what callers were told with what targets ran.
    pub(crate) fn check_runs(&self, runs: &[Run]) {
        let mut ran = HashMap::<&str, usize>::new();
        for run in runs {
            *ran.entry(run.id.as_str()).or_default() += 1;
        }
        let mut inner = self.inner();
        let mut violations = Vec::new();
        for (id, (allowed, told)) in &inner.told {
            let count = ran.get(id.as_str()).copied().unwrap_or(0);
            if *allowed == Allowed::Once && count > 1 {
                violations.push(format!("{id} ran {count} times and may run once"));
            }
            if *told == Told::NotRun && *allowed == Allowed::Once && count > 0 {
                violations.push(format!("{id} was refused as not run and ran"));
            }
            if *told == Told::Whole && count == 0 {
                violations.push(format!("{id} was answered and never ran"));
            }
        }
        inner.violations.extend(violations);
    }

    pub(crate) fn finish(&self) -> (Vec<String>, BTreeMap<&'static str, usize>) {
        let inner = self.inner();
        (inner.violations.clone(), inner.counts.clone())
    }
}
