//! Jobs known to the runner, numbered so that keys of items are small.

use std::collections::HashMap;

use yuccaseam_base::Millis;

use crate::state::Job;

/// Completion objective of a route that sets none.
pub(super) const DEFAULT_COMPLETION_OBJECTIVE: Millis = Millis(18_000);
/// Upper bound on the assumed age of a job that is new to the runner, as all are after an election.
const MAX_ASSUMED_AGE: Millis = Millis::from_secs(120);

/// The runner's view of a job.
#[derive(Debug)]
pub(super) struct JobView {
    pub(super) number: u64,
    pub(super) first_seen_at: Millis,
    /// Age of the job at `first_seen_at`, as far as the clocks of the two instances agree.
    age_when_seen: Millis,
}

impl JobView {
    /// Age of the job.
    pub(super) fn age(&self, now: Millis) -> Millis {
        now - self.first_seen_at + self.age_when_seen
    }

    /// When the results of the job are due.
    pub(super) fn due_at(&self, objective: Option<Millis>) -> Millis {
        self.first_seen_at + objective.unwrap_or(DEFAULT_COMPLETION_OBJECTIVE) - self.age_when_seen
    }
}

/// Jobs known to the runner.
#[derive(Debug, Default)]
pub(super) struct JobViews {
    by_id: HashMap<String, JobView>,
    ids: HashMap<u64, String>,
    next_number: u64,
}

impl JobViews {
    /// View of a job, created on the first call. `unix_now` is the time since the Unix epoch.
    pub(super) fn get_or_insert(&mut self, job: &Job, now: Millis, unix_now: Millis) -> &JobView {
        self.by_id.entry(job.id.clone()).or_insert_with(|| {
            self.next_number += 1;
            self.ids.insert(self.next_number, job.id.clone());
            JobView {
                number: self.next_number,
                first_seen_at: now,
                age_when_seen: (unix_now - job.submitted_at).min(MAX_ASSUMED_AGE),
            }
        })
    }

    /// Id of the job with a number.
    pub(super) fn job_id(&self, number: u64) -> Option<&str> {
        self.ids.get(&number).map(String::as_str)
    }

    /// Removes all jobs, when this instance does not lead.
    pub(super) fn clear(&mut self) {
        self.by_id.clear();
        self.ids.clear();
    }
}
