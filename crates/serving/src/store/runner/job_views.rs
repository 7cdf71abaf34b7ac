//! Jobs known to the runner, numbered so that keys of items are small.

use std::collections::HashMap;

use yuccaseam_base::{
    Millis,
    TeamName, //
};

use crate::{
    state::Job,
    team_turns::TeamNumber, //
};

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
    /// Team of the job, if any.
    pub(super) team: Option<TeamNumber>,
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
    teams: HashMap<TeamName, TeamNumber>,
}

impl JobViews {
    /// View of a job of a team, created on the first call. `unix_now` is the time since the Unix epoch.
    pub(super) fn get_or_insert(
        &mut self,
        job: &Job,
        team: Option<&TeamName>,
        now: Millis,
        unix_now: Millis,
    ) -> &JobView {
        let teams = &mut self.teams;
        self.by_id.entry(job.id.clone()).or_insert_with(|| {
            let team = team.map(|team| {
                let next = TeamNumber(teams.len() as u32);
                *teams.entry(team.clone()).or_insert(next)
            });
            self.next_number += 1;
            self.ids.insert(self.next_number, job.id.clone());
            JobView {
                number: self.next_number,
                first_seen_at: now,
                age_when_seen: (unix_now - job.submitted_at).min(MAX_ASSUMED_AGE),
                team,
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
        self.teams.clear();
    }
}
