//! Ends of runs: what becomes of their items.

use yuccaseam_base::Millis;

use crate::{
    refusals::RETRY_BACKOFF,
    schedule::ItemKey,
    state::{
        Command,
        FinishedItem,
        Output, //
    },
    targets::{
        TargetKey,
        TargetRecord, //
    },
    upstream::Failure,
};

use super::{
    Run,
    Runner,
    TARGET_COOLDOWN,
    stream::RunEnd, //
};

impl Runner {
    /// Records the end of a run, and decides whether its item runs again.
    pub(super) fn on_run_ended(&mut self, run: &Run, end: &RunEnd) {
        let now = self.cx.clock.now();
        let Some(job) = self.jobs.job_id(run.key.job).map(str::to_owned) else {
            return;
        };
        let item = run.key.item;
        let progress = self.progress.entry(run.key).or_default();
        progress.ran += now - run.started_at;
        if matches!(end, RunEnd::Completed) {
            self.times.record(progress.ran);
            if !run.features.is_empty() {
                self.hub.prove_features(&run.features);
            }
        }
        let outcome = match end {
            RunEnd::Completed => "done",
            RunEnd::Unprocessable => "impossible",
            RunEnd::FailedByTarget => "failed",
            RunEnd::Rejected => "rejected",
            RunEnd::Refused => "refused",
            RunEnd::Oversized => "oversized",
            RunEnd::Interrupted(failure) => failure.code(),
            RunEnd::BrokenBeforeOutput => "broken",
        };
        metrics::counter!("yuccaseam_batch_runs_total", "outcome" => outcome).increment(1);
        log::info!(job:%, item, outcome, failures = progress.failures; "batch run ended");
        if matches!(end, RunEnd::BrokenBeforeOutput) {
            self.record_if_crash(run);
        }
        if let Some(feature) = run.trial
            && matches!(
                end,
                RunEnd::Rejected | RunEnd::Interrupted(Failure::Unreachable)
            )
        {
            self.hub.return_item_trial(feature);
        }
        let progress = self.progress.entry(run.key).or_default();
        match end {
            RunEnd::Completed => {
                progress.retry_at = Millis::MAX;
                let output = progress.take_output();
                self.propose(finished(job, item, Some(output)), vec![run.key]);
            }
            RunEnd::Unprocessable => {
                progress.retry_at = Millis::MAX;
                self.propose(finished(job, item, None), vec![run.key]);
            }
            RunEnd::FailedByTarget => {
                self.record_failure(job, run.key);
            }
            RunEnd::Rejected | RunEnd::Refused => self.record_refusal(run, now),
            RunEnd::Oversized => {
                progress.discard_output();
                self.record_refusal(run, now);
                self.propose(Command::Discard { job, item }, vec![run.key]);
            }
            RunEnd::Interrupted(_) | RunEnd::BrokenBeforeOutput => {
                progress.retry_at = now + RETRY_BACKOFF;
                self.cooldowns.insert(run.target, now + TARGET_COOLDOWN);
            }
        }
    }

    /// Lets a refused item wait. Only its first refusal counts against the target, which may be full: an item
    /// that is refused again and again says nothing about others.
    fn record_refusal(&mut self, run: &Run, now: Millis) {
        let targets = self.targets_beside(run.target);
        let progress = self.progress.entry(run.key).or_default();
        let backoff = match targets {
            Some(targets) => progress.refusals.record(run.target, targets),
            // The target has left: that says nothing about the others.
            None => RETRY_BACKOFF,
        };
        progress.retry_at = now + backoff;
        if progress.refusals.is_first() {
            self.cooldowns.insert(run.target, now + TARGET_COOLDOWN);
        }
    }

    /// The targets of the same service that take work; `None` if the target is not known any more.
    fn targets_beside(&self, target: TargetKey) -> Option<Vec<TargetKey>> {
        let targets = self.cx.targets();
        let service = &targets.record(target)?.service;
        let records = targets
            .records()
            .filter(|record| record.service == *service && record.takes_work());
        Some(records.map(TargetRecord::key).collect())
    }

    /// Counts a failed run, and finishes the item as errored after the last allowed one. The local
    /// count is ahead of the replicated one, which a slow disk delays.
    fn record_failure(&mut self, job: String, key: ItemKey) {
        let max_attempts = self
            .replica
            .read(|state| state.job(&job).map(|job| job.max_attempts));
        let progress = self.progress.entry(key).or_default();
        progress.failures += 1;
        let item = key.item;
        if max_attempts.is_some_and(|max| progress.failures >= max) {
            progress.retry_at = Millis::MAX;
            return self.propose(finished(job, item, None), vec![key]);
        }
        progress.retry_at = self.cx.clock.now() + RETRY_BACKOFF;
        self.propose(Command::FailedRun { job, item }, Vec::new());
    }
}

/// Command that lists the result of an item.
pub(super) fn finished(job: String, item: u32, output: Option<Output>) -> Command {
    Command::Finish(FinishedItem { job, item, output })
}
