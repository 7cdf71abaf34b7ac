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
    key,
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

/// Jobs, earliest deadline first.
type Due = BTreeSet<(Millis, JobId)>;

/// Jobs that have chunks to lease, by the kind of work.
#[value]
#[derive(Default)]
pub(crate) struct Queues {
    works: BTreeMap<Work, WorkQueue>,
}

/// Jobs that have chunks to lease, of one kind of work.
#[value]
#[derive(Default)]
struct WorkQueue {
    due: Due,
    teams: BTreeMap<String, TeamQueue>,
    /// The waiting teams, the one that lags most first.
    by_time: BTreeSet<(u64, String)>,
}

/// Jobs of one team.
#[value]
struct TeamQueue {
    time: u64,
    due: Due,
}

impl Queues {
    /// Puts a job in, or takes it out, as it has chunks to lease or not.
    pub(crate) fn update(&mut self, id: JobId, job: &Job, shares: &Shares) {
        if job.has_free_chunk() {
            let time = shares.of(&job.work, &job.team);
            let queue = self.works.entry(job.work.clone()).or_default();
            queue.insert(id, job, time);
        } else if let Some(queue) = self.works.get_mut(&job.work) {
            queue.remove(id, job);
            if queue.due.is_empty() {
                self.works.remove(&job.work);
            }
        }
    }

    /// The kinds of work that have chunks to lease.
    pub(crate) fn works(&self) -> impl Iterator<Item = &Work> {
        self.works.keys()
    }

    /// The next job for an owner that serves some kinds of work.
    pub(crate) fn next(&self, serves: &[Work], urgent: Millis) -> Option<JobId> {
        let queues = serves.iter().filter_map(|work| self.works.get(work));
        let first = queues.filter_map(|queue| queue.first(urgent));
        first.min().map(|first| first.job)
    }

    /// Charges a team for leased items.
    pub(crate) fn charge(&mut self, shares: &mut Shares, charge: &Charge<'_>) {
        let queue = self.works.get_mut(charge.work);
        let least = queue.as_ref().and_then(|queue| queue.by_time.first());
        let time = shares.charge(charge, least.map_or(0, |(time, _)| *time));
        if let Some(queue) = queue {
            queue.set_time(charge.team, time);
        }
    }
}

impl WorkQueue {
    /// Usually no job is urgent, and the first team is found without a look at the others.
    fn first(&self, urgent: Millis) -> Option<First> {
        let &(earliest, _) = self.due.first()?;
        if earliest <= urgent {
            let teams = self.teams.values().filter_map(|team| team.first(urgent));
            return teams.min();
        }
        let (_, team) = self.by_time.first()?;
        self.teams[team].first(urgent)
    }

    fn insert(&mut self, id: JobId, job: &Job, time: u64) {
        self.due.insert((job.deadline, id));
        if let Some(team) = self.teams.get_mut(&job.team) {
            team.due.insert((job.deadline, id));
            return;
        }
        self.by_time.insert((time, job.team.clone()));
        let due = Due::from([(job.deadline, id)]);
        self.teams.insert(job.team.clone(), TeamQueue { time, due });
    }

    fn remove(&mut self, id: JobId, job: &Job) {
        self.due.remove(&(job.deadline, id));
        let Some(team) = self.teams.get_mut(&job.team) else {
            return;
        };
        team.due.remove(&(job.deadline, id));
        if team.due.is_empty() {
            self.by_time.remove(&(team.time, job.team.clone()));
            self.teams.remove(&job.team);
        }
    }

    fn set_time(&mut self, name: &str, time: u64) {
        if let Some(team) = self.teams.get_mut(name) {
            self.by_time.remove(&(team.time, name.to_owned()));
            self.by_time.insert((time, name.to_owned()));
            team.time = time;
        }
    }
}

impl TeamQueue {
    fn first(&self, urgent: Millis) -> Option<First> {
        let &(deadline, job) = self.due.first()?;
        Some(First {
            relaxed: deadline > urgent,
            time: self.time,
            deadline,
            job,
        })
    }
}

/// The job of a team that is due first. The least one goes next.
#[key]
struct First {
    relaxed: bool,
    time: u64,
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
    /// was idle resumes here, so that it cannot save up its share. No waiting team is below it.
    floor: u64,
    teams: BTreeMap<String, u64>,
}

impl Shares {
    fn of(&self, work: &Work, team: &str) -> u64 {
        self.works.get(work).map_or(0, |shares| shares.of(team))
    }

    /// Forgets teams that are not ahead of those that were idle.
    pub(crate) fn compact(&mut self) {
        for shares in self.works.values_mut() {
            let floor = shares.floor;
            shares.teams.retain(|_, time| *time > floor);
        }
    }

    /// Moves a team's time forward and returns it. `least` is that of the waiting teams.
    fn charge(&mut self, charge: &Charge<'_>, least: u64) -> u64 {
        let shares = self.works.entry(charge.work.clone()).or_default();
        shares.floor = shares.floor.max(least);
        let cost = ITEM_COST * u64::from(charge.items) / charge.weight.max(1);
        let time = shares.of(charge.team).saturating_add(cost);
        shares.teams.insert(charge.team.to_owned(), time);
        time
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
