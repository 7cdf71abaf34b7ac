//! Which target runs a call, and when.
//!
//! Each target has an owner among the daemons, which runs its [`yuccaseam_admit::Gate`]. The entry
//! that got a call from a caller chooses targets, asks their owners for a permit, one after the
//! other, and then calls the target itself. A daemon is both: [`EntrySide`] asks, [`OwnerSide`]
//! answers.
//!
//! An owner that does not answer within a short bound is passed over and counts as down until a
//! probe reaches it. Two daemons that own one target for a while cost accuracy only: each counts
//! what the target reports.

mod ask;
mod entry;
mod names;
mod owner;
mod peers;
mod permit;
mod prefix;
mod remote;
mod report;
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
    measures, //
};

pub(crate) use ask::{
    Ask,
    Needs, //
};
pub(crate) use owner::OwnerSide;
pub(crate) use permit::Permit;
pub(crate) use prefix::prefix_of;
pub(crate) use service::AdmissionService;

use entry::EntrySide;

/// The budget of retries until the configuration is read. What may be saved up covers the streams
/// of one entry at the targets of a failure domain that falls.
const BUDGET: BudgetSettings = BudgetSettings {
    percent: 10,
    burst: 100,
};

/// Both sides of admission.
pub(crate) struct Admission {
    entry: Arc<EntrySide>,
    owner: Arc<OwnerSide>,
    budget: Mutex<RetryBudget>,
}

impl Admission {
    pub(crate) fn new(instance: InstanceName, clock: Clock) -> Self {
        let owner = Arc::new(OwnerSide::new(clock));
        let entry = EntrySide::new(instance, clock, Arc::clone(&owner));
        Self {
            entry: Arc::new(entry),
            owner,
            budget: Mutex::new(RetryBudget::new(BUDGET)),
        }
    }

    /// Waits for a permit at one of the suitable targets.
    ///
    /// # Errors
    ///
    /// The refusal is always "not run".
    pub(crate) fn acquire(&self, cx: &Context, ask: &Ask) -> Result<Permit, Refusal> {
        if ask.avoid.is_empty() {
            self.budget().record_request();
        }
        self.entry.acquire(cx, ask)
    }

    /// Takes one retry from this entry's budget for a call that failed.
    ///
    /// # Errors
    ///
    /// Fails with the call's verdict if the budget is spent.
    pub(crate) fn retry(&self, cx: &Context, refusal: Refusal) -> Result<(), Refusal> {
        let percent = cx.store.configuration().defaults.retry_budget_percent;
        let mut budget = self.budget();
        budget.set_percent(u32::try_from(percent).unwrap_or(u32::MAX));
        if budget.try_retry() {
            measures::count_retry(refusal.reason);
            return Ok(());
        }
        Err(Refusal {
            reason: Reason::RetryBudgetSpent,
            detail: format!("not sent again after {refusal}"),
            ..refusal
        })
    }

    /// Notes how a call to a target ended, for its circuit breaker.
    pub(crate) fn note_result(&self, target: &TargetName, failure: Option<&Refusal>) {
        let failed =
            |refusal: &Refusal| matches!(refusal.reason, Reason::TargetFailed | Reason::AnswerCut);
        self.entry.note_result(target, failure.is_some_and(failed));
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().expect("no thread panics with the lock")
    }

    /// The gates of the targets that this daemon owns.
    pub(crate) fn owner(&self) -> &Arc<OwnerSide> {
        &self.owner
    }

    /// Whether this daemon owns a target, as far as it knows.
    pub(crate) fn owns(&self, cx: &Context, target: &TargetName) -> bool {
        self.entry.owner_of(cx, target) == cx.settings.instance
    }

    /// Starts the threads that renew permits, watch targets and pass time to the gates.
    ///
    /// # Errors
    ///
    /// Returns the error of a thread that does not start.
    pub(crate) fn start(cx: &Arc<Context>) -> io::Result<()> {
        type Task = fn(&Arc<Context>);
        let tasks: [(&str, Task); 3] = [
            ("permit-reports", report::run),
            ("gates", owner::run_ticks),
            ("target-loads", owner::run_loads),
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
