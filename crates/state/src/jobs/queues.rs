//! Queues that select the job whose chunk is leased next.
//!
//! Jobs close to their deadline are urgent and go before others. Beyond that, teams share by
//! weight: each has a virtual time that grows with the items leased to it, divided by its weight.
//! The team with the least virtual time goes next, with its job of the earliest deadline. A team
//! that floods the queue delays only its own jobs.

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

/// Jobs ordered by deadline.
type JobsByDeadline = BTreeSet<(Millis, JobId)>;

/// Jobs with chunks to lease, by kind of work.
#[value]
#[derive(Default)]
pub(crate) struct Queues {
    works: BTreeMap<Work, WorkQueue>,
}

/// Jobs with chunks to lease, of one kind of work.
#[value]
#[derive(Default)]
struct WorkQueue {
    by_deadline: JobsByDeadline,
    teams: BTreeMap<String, TeamQueue>,
    /// Waiting teams, ordered by virtual time.
    by_virtual_time: BTreeSet<(u64, String)>,
}

/// Jobs of one team for one kind of work.
#[value]
struct TeamQueue {
    virtual_time: u64,
    by_deadline: JobsByDeadline,
}

impl Queues {
    /// Inserts a job that has chunks to lease, or removes one that has none.
    pub(crate) fn update(&mut self, id: JobId, job: &Job, shares: &Shares) {
        if job.has_free_chunk() {
            let virtual_time = shares.virtual_time(&job.work, &job.team);
            let queue = self.works.entry(job.work.clone()).or_default();
            queue.insert(id, job, virtual_time);
        } else if let Some(queue) = self.works.get_mut(&job.work) {
            queue.remove(id, job);
            if queue.by_deadline.is_empty() {
                self.works.remove(&job.work);
            }
        }
    }

    /// Returns the kinds of work with chunks to lease.
    pub(crate) fn works(&self) -> impl Iterator<Item = &Work> {
        self.works.keys()
    }

    /// Returns the next job for an owner that serves some kinds of work.
    pub(crate) fn next(&self, serves: &[Work], urgent_until: Millis) -> Option<JobId> {
        let queues = serves.iter().filter_map(|work| self.works.get(work));
        let candidates = queues.filter_map(|queue| queue.next(urgent_until));
        candidates.min().map(|candidate| candidate.job)
    }

    /// Charges a team for leased items.
    pub(crate) fn charge(&mut self, shares: &mut Shares, charge: &Charge<'_>) {
        let queue = self.works.get_mut(charge.work);
        let min_waiting = queue
            .as_ref()
            .and_then(|queue| queue.by_virtual_time.first());
        let virtual_time = shares.charge(
            charge,
            min_waiting.map_or(0, |(virtual_time, _)| *virtual_time),
        );
        if let Some(queue) = queue {
            queue.set_virtual_time(charge.team, virtual_time);
        }
    }
}

impl WorkQueue {
    /// Returns the next job. Usually no job is urgent, and the first team is found without a scan
    /// of the others.
    fn next(&self, urgent_until: Millis) -> Option<Candidate> {
        let &(earliest, _) = self.by_deadline.first()?;
        if earliest <= urgent_until {
            let teams = self
                .teams
                .values()
                .filter_map(|team| team.next(urgent_until));
            return teams.min();
        }
        let (_, team) = self.by_virtual_time.first()?;
        self.teams[team].next(urgent_until)
    }

    fn insert(&mut self, id: JobId, job: &Job, virtual_time: u64) {
        self.by_deadline.insert((job.deadline, id));
        if let Some(team) = self.teams.get_mut(&job.team) {
            team.by_deadline.insert((job.deadline, id));
            return;
        }
        self.by_virtual_time
            .insert((virtual_time, job.team.clone()));
        let by_deadline = JobsByDeadline::from([(job.deadline, id)]);
        self.teams.insert(
            job.team.clone(),
            TeamQueue {
                virtual_time,
                by_deadline,
            },
        );
    }

    fn remove(&mut self, id: JobId, job: &Job) {
        self.by_deadline.remove(&(job.deadline, id));
        let Some(team) = self.teams.get_mut(&job.team) else {
            return;
        };
        team.by_deadline.remove(&(job.deadline, id));
        if team.by_deadline.is_empty() {
            self.by_virtual_time
                .remove(&(team.virtual_time, job.team.clone()));
            self.teams.remove(&job.team);
        }
    }

    fn set_virtual_time(&mut self, name: &str, virtual_time: u64) {
        if let Some(team) = self.teams.get_mut(name) {
            self.by_virtual_time
                .remove(&(team.virtual_time, name.to_owned()));
            self.by_virtual_time.insert((virtual_time, name.to_owned()));
            team.virtual_time = virtual_time;
        }
    }
}

impl TeamQueue {
    fn next(&self, urgent_until: Millis) -> Option<Candidate> {
        let &(deadline, job) = self.by_deadline.first()?;
        Some(Candidate {
            not_urgent: deadline > urgent_until,
            virtual_time: self.virtual_time,
            deadline,
            job,
        })
    }
}

/// The first job of a team, ordered so that the least one goes next.
#[key]
struct Candidate {
    not_urgent: bool,
    virtual_time: u64,
    deadline: Millis,
    job: JobId,
}

/// Virtual time of each team, by kind of work: teams compete where they use the same targets.
#[record]
#[derive(Default)]
pub(crate) struct Shares {
    works: BTreeMap<Work, WorkShares>,
}

/// Virtual time of each team for one kind of work.
#[record]
#[derive(Default)]
struct WorkShares {
    /// Least virtual time of the teams that waited when a chunk was last leased. A team that was
    /// idle resumes here, so that it cannot accumulate credit. No waiting team is below it.
    floor: u64,
    teams: BTreeMap<String, u64>,
}

impl Shares {
    fn virtual_time(&self, work: &Work, team: &str) -> u64 {
        self.works
            .get(work)
            .map_or(0, |shares| shares.virtual_time(team))
    }

    /// Removes teams that are not ahead of `floor`, where an idle team resumes.
    pub(crate) fn compact(&mut self) {
        for shares in self.works.values_mut() {
            let floor = shares.floor;
            shares.teams.retain(|_, virtual_time| *virtual_time > floor);
        }
    }

    /// Advances a team's virtual time and returns it. `min_waiting` is the least virtual time of
    /// the waiting teams.
    fn charge(&mut self, charge: &Charge<'_>, min_waiting: u64) -> u64 {
        let shares = self.works.entry(charge.work.clone()).or_default();
        shares.floor = shares.floor.max(min_waiting);
        let cost = ITEM_COST * u64::from(charge.items) / charge.weight.max(1);
        let virtual_time = shares.virtual_time(charge.team).saturating_add(cost);
        shares.teams.insert(charge.team.to_owned(), virtual_time);
        virtual_time
    }
}

impl WorkShares {
    fn virtual_time(&self, team: &str) -> u64 {
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
