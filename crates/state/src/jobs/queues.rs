//! Which job's chunk is leased next.
//!
//! A job whose deadline is near is urgent and goes before those that are not. Beyond that, teams
//! share by weight: each has a virtual time that grows with the items leased to it, divided by its
//! weight, and the team that lags most goes next with its earliest deadline. A team that floods
//! the queue competes with itself only.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use yuccaseam_base::{
    Millis,
    record,
    value, //
};

use super::job::Job;
use crate::{
    JobId,
    Work, //
};

/// Virtual time of one item at weight 1.
const ITEM_COST: u64 = 1 << 20;

/// The jobs of one team for one kind of work, earliest deadline first.
type Due = BTreeSet<(Millis, JobId)>;

/// Jobs that have chunks to lease.
#[value]
#[derive(Default)]
pub(crate) struct Queues {
    due: BTreeMap<Work, BTreeMap<String, Due>>,
}

impl Queues {
    /// Puts a job in, or takes it out, as it has chunks to lease or not.
    pub(crate) fn update(&mut self, id: JobId, job: &Job) {
        if job.has_free_chunk() {
            let teams = self.due.entry(job.work.clone()).or_default();
            let due = teams.entry(job.team.clone()).or_default();
            due.insert((job.deadline, id));
        } else {
            self.remove(id, job);
        }
    }

    /// The next job for an owner that serves some kinds of work.
    pub(crate) fn next(&self, serves: &[Work], shares: &Shares, urgent: Millis) -> Option<JobId> {
        let candidates = serves.iter().flat_map(|work| self.first_of_each_team(work));
        let rank = |first: &First<'_>| {
            let late = first.deadline > urgent;
            (
                late,
                shares.of(first.work, first.team),
                first.deadline,
                first.job,
            )
        };
        candidates.min_by_key(rank).map(|first| first.job)
    }

    /// The least virtual time of the teams that wait for a kind of work.
    pub(crate) fn least_time(&self, work: &Work, shares: &Shares) -> Option<u64> {
        let teams = self.due.get(work)?.keys();
        teams.map(|team| shares.of(work, team)).min()
    }

    fn first_of_each_team(&self, work: &Work) -> impl Iterator<Item = First<'_>> {
        let entry = self.due.get_key_value(work).into_iter();
        let teams = entry.flat_map(|(work, teams)| teams.iter().map(move |entry| (work, entry)));
        teams.filter_map(|(work, (team, due))| {
            let &(deadline, job) = due.first()?;
            Some(First {
                work,
                team,
                deadline,
                job,
            })
        })
    }

    fn remove(&mut self, id: JobId, job: &Job) {
        let Some(teams) = self.due.get_mut(&job.work) else {
            return;
        };
        if let Some(due) = teams.get_mut(&job.team) {
            due.remove(&(job.deadline, id));
            if due.is_empty() {
                teams.remove(&job.team);
            }
        }
        if teams.is_empty() {
            self.due.remove(&job.work);
        }
    }
}

/// The job of a team that is due first.
struct First<'a> {
    work: &'a Work,
    team: &'a str,
    deadline: Millis,
    job: JobId,
}

/// The virtual time of each team, for each kind of work: teams compete where they use the same
/// targets.
#[record]
#[derive(Default)]
pub(crate) struct Shares {
    works: BTreeMap<Work, WorkShares>,
}

/// The virtual time of each team for one kind of work.
#[record]
#[derive(Default)]
struct WorkShares {
    /// The least virtual time of the teams that waited when a chunk was last leased: a team that
    /// was idle resumes here, so that it cannot save up its share.
    floor: u64,
    teams: BTreeMap<String, u64>,
}

impl Shares {
    fn of(&self, work: &Work, team: &str) -> u64 {
        self.works.get(work).map_or(0, |shares| shares.of(team))
    }

    /// Charges a team for leased items. `least` is the least virtual time of the waiting teams.
    pub(crate) fn charge(&mut self, charge: &Charge<'_>, least: u64) {
        let shares = self.works.entry(charge.work.clone()).or_default();
        shares.floor = shares.floor.max(least);
        let cost = ITEM_COST * u64::from(charge.items) / charge.weight.max(1);
        let time = shares.of(charge.team).saturating_add(cost);
        shares.teams.insert(charge.team.to_owned(), time);
    }

    /// Forgets teams that are not ahead of those that were idle.
    pub(crate) fn compact(&mut self) {
        for shares in self.works.values_mut() {
            let floor = shares.floor;
            shares.teams.retain(|_, time| *time > floor);
        }
    }
}

impl WorkShares {
    fn of(&self, team: &str) -> u64 {
        self.teams.get(team).copied().unwrap_or(0).max(self.floor)
    }
}

/// Items leased to one team.
pub(crate) struct Charge<'a> {
    pub(crate) work: &'a Work,
    pub(crate) team: &'a str,
    pub(crate) items: u16,
    pub(crate) weight: u64,
}
