//! The jobs that the runner has seen, numbered so that keys of items are small.

use std::collections::HashMap;

use yuccaseam_base::Millis;

use crate::state::Job;

/// When results are due if the route does not say.
pub(super) const DUE: Millis = Millis(18_000);
/// The highest age that a job is taken to have when this instance begins to lead.
const MAX_AGE: Millis = Millis::from_secs(120);

/// A job as the runner sees it.
#[derive(Debug)]
pub(super) struct JobView {
    pub(super) number: u64,
    pub(super) seen_at: Millis,
    /// How long before that it was handed in, as far as clocks agree.
    age_then: Millis,
}

impl JobView {
    /// When the results of the job are due.
    pub(super) fn due_at(&self, objective: Option<Millis>) -> Millis {
        self.seen_at + objective.unwrap_or(DUE) - self.age_then
    }
}

/// The jobs that the runner has seen.
#[derive(Debug, Default)]
pub(super) struct JobViews {
    by_name: HashMap<String, JobView>,
    names: HashMap<u64, String>,
    next: u64,
}

impl JobViews {
    /// The view of a job, which is new if it was not seen before. `wall` is the time of day.
    pub(super) fn see(&mut self, job: &Job, now: Millis, wall: Millis) -> &JobView {
        self.by_name.entry(job.id.clone()).or_insert_with(|| {
            self.next += 1;
            self.names.insert(self.next, job.id.clone());
            JobView {
                number: self.next,
                seen_at: now,
                age_then: (wall - job.submitted_at).min(MAX_AGE),
            }
        })
    }

    /// The id of a job.
    pub(super) fn name(&self, number: u64) -> Option<&str> {
        self.names.get(&number).map(String::as_str)
    }

    /// Forgets all jobs, because another instance leads.
    pub(super) fn clear(&mut self) {
        self.by_name.clear();
        self.names.clear();
    }
}
