//! Admission control: which target runs a request, and when.
//!
//! Each target is owned by one daemon, which runs its [`yuccaseam_admit::Gate`]. The entry that
//! received a request chooses targets, requests a permit from their owners one after another, and
//! then calls the target itself. Every daemon has both roles: [`EntryAdmission`] requests permits,
//! [`OwnerAdmission`] grants them.
//!
//! An owner that does not reply within a short time-out is skipped for a cool-down, during which
//! membership probes it. If two daemons own one target for a while, only accuracy suffers: each of
//! them accounts for the load that the target reports.

mod entry;
mod interner;
mod owner;
mod owner_selector;
mod permit;
mod prefix;
mod remote;
mod report;
mod requirements;
mod service;
mod target;
mod view;

use std::{
    io,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread, //
};

use yuccaseam_admit::{
    BudgetSettings,
    RetryBudget, //
};
use yuccaseam_base::{
    Clock,
    InstanceName,
    Reason,
    Refusal,
    TargetName, //
};

use crate::{
    context::Context,
    telemetry, //
};

pub(crate) use owner::OwnerAdmission;
pub(crate) use permit::Permit;
pub(crate) use prefix::prompt_prefix_hashes;
pub(crate) use requirements::{
    RequiredKind,
    TargetRequirements, //
};
pub(crate) use service::AdmissionService;

use entry::EntryAdmission;

/// Retry budget until the configuration is read. The burst covers the streams of one entry at the
/// targets of a failure domain that fails.
const RETRY_BUDGET: BudgetSettings = BudgetSettings {
    percent: 10,
    burst: 100,
};

/// Admission control of one daemon, as entry and as owner of targets.
pub(crate) struct Admission {
    entry: Arc<EntryAdmission>,
    owner: Arc<OwnerAdmission>,
    retry_budget: Mutex<RetryBudget>,
}

impl Admission {
    pub(crate) fn new(instance: InstanceName, clock: Clock) -> Self {
        let owner = Arc::new(OwnerAdmission::new(clock));
        let entry = EntryAdmission::new(instance, clock, Arc::clone(&owner));
        Self {
            entry: Arc::new(entry),
            owner,
            retry_budget: Mutex::new(RetryBudget::new(RETRY_BUDGET)),
        }
    }

    /// Waits for a permit at one of the suitable targets.
    ///
    /// # Errors
    ///
    /// The verdict of the refusal is always "not run".
    pub(crate) fn acquire(
        &self,
        cx: &Context,
        requirements: &TargetRequirements,
    ) -> Result<Permit, Refusal> {
        if requirements.failed_targets.is_empty() {
            self.retry_budget().record_request();
        }
        self.entry.acquire(cx, requirements)
    }

    /// Takes one retry for a failed call from this entry's budget.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict of the failed call if the budget is spent.
    pub(crate) fn spend_retry(&self, cx: &Context, refusal: Refusal) -> Result<(), Refusal> {
        let percent = cx.store.configuration().defaults.retry_budget_percent;
        let mut retry_budget = self.retry_budget();
        retry_budget.set_percent(u32::try_from(percent).unwrap_or(u32::MAX));
        if retry_budget.try_retry() {
            telemetry::count_retry(refusal.reason);
            return Ok(());
        }
        Err(Refusal {
            reason: Reason::RetryBudgetSpent,
            detail: format!("not retried after {refusal}"),
            ..refusal
        })
    }

    /// Records the outcome of a call to a target for its circuit breaker.
    pub(crate) fn record_result(&self, target: &TargetName, failure: Option<&Refusal>) {
        let failed =
            |refusal: &Refusal| matches!(refusal.reason, Reason::TargetFailed | Reason::AnswerCut);
        self.entry
            .record_result(target, failure.is_some_and(failed));
    }

    fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .expect("no thread panics with the lock")
    }

    /// The gates of the targets that this daemon owns.
    pub(crate) fn owner(&self) -> &Arc<OwnerAdmission> {
        &self.owner
    }

    /// Whether this daemon owns a target, according to its view of the instances.
    pub(crate) fn owns(&self, cx: &Context, target: &TargetName) -> bool {
        self.entry.owner_of(cx, target) == cx.settings.instance
    }

    /// Starts the threads that report permits, tick the gates and poll the load of targets.
    ///
    /// # Errors
    ///
    /// Returns the error of a thread that could not be started.
    pub(crate) fn start(cx: &Arc<Context>) -> io::Result<()> {
        type Task = fn(&Arc<Context>);
        let tasks: [(&str, Task); 3] = [
            ("permit-reports", report::run),
            ("gates", owner::run_ticks),
            ("target-loads", owner::poll_loads),
        ];
        for (name, task) in tasks {
            let cx = Arc::clone(cx);
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || task(&cx))?;
        }
        Ok(())
    }
}
