//! Commands of the replicated state and their outcomes.

use std::{
    collections::BTreeMap,
    net::IpAddr, //
};

use yuccaseam_base::{
    InstanceName,
    Millis,
    TeamName,
    record, //
};

use crate::{
    quarantine::Feature,
    targets::TargetRecord, //
};

use super::StoredManifest;

/// An item of a new job.
#[record]
pub struct NewItem {
    /// Id of the item, unique in its job.
    pub id: String,
    /// Path of the request that runs it.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Sum of the tokens of the prompt and the maximum tokens of the output.
    pub tokens: u64,
}

/// A new job.
#[record]
pub struct NewJob {
    /// Id of the job. Submissions with the same id are one job.
    pub id: String,
    /// Host of its requests.
    pub host: String,
    /// Host and prefix of its route.
    pub route: String,
    /// Limit on the tokens waiting on the route, if any.
    pub waiting_limit: Option<u64>,
    /// Failed runs after which an item is abandoned.
    pub max_attempts: u32,
    /// Time of submission, in ms since the Unix epoch. The clocks of instances differ.
    pub submitted_at: Millis,
    /// The items, in order.
    pub items: Vec<NewItem>,
}

impl NewJob {
    /// Size of the data of its items, in bytes.
    pub fn stored_bytes(&self) -> u64 {
        let sizes = self.items.iter().map(|item| {
            let headers = item.headers.iter();
            let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
            item.id.len() + item.path.len() + item.body.len() + headers
        });
        sizes.sum::<usize>() as u64
    }
}

/// Partial or final output of an item.
#[record]
pub struct Output {
    /// Id of the event that precedes this output: the last one that the state has.
    pub after: Option<String>,
    /// Data of the events, one line each.
    pub lines: Vec<String>,
    /// Id of the last event of this output.
    pub last_id: Option<String>,
}

/// Output of one item.
#[record]
pub struct Advance {
    /// Id of the job.
    pub job: String,
    /// Position of the item in its job.
    pub item: u32,
    /// Output to append.
    pub output: Output,
}

/// An item whose last run has ended.
#[record]
pub struct FinishedItem {
    /// Id of the job.
    pub job: String,
    /// Position of the item in its job.
    pub item: u32,
    /// Its last output; `None` if it can never be completed, or failed too often.
    pub output: Option<Output>,
}

/// A change of the replicated state.
#[record]
pub enum Command {
    /// Replaces the manifest if the version is higher than the current one.
    PutManifest(StoredManifest),
    /// Accepts a job if the tokens of its items fit the limit of the route.
    Submit(NewJob),
    /// Appends output, so that another leader can resume the item.
    Advance(Vec<Advance>),
    /// Lists the result of an item.
    Finish(FinishedItem),
    /// Counts a run that the target itself reported as failed.
    FailedRun {
        /// Id of the job.
        job: String,
        /// Position of the item in its job.
        item: u32,
    },
    /// Ends a job. Items that are not listed yet are dropped.
    End {
        /// Id of the job.
        job: String,
    },
    /// Removes jobs whose results need not be readable any more.
    Forget {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
    /// Marks an instance as retiring.
    Retire(InstanceName),
    /// Records new and changed targets, so that they are known after a power loss.
    NoteTargets(Vec<TargetRecord>),
    /// Replaces the recorded addresses of the stores, so that they find each other after a power
    /// loss.
    NoteStores(BTreeMap<InstanceName, IpAddr>),
    /// Records that features are quarantined.
    Quarantine {
        /// The features.
        features: Vec<Feature>,
        /// Trials granted to each so far.
        trials: u32,
    },
    /// Releases features from quarantine.
    Release(Vec<Feature>),
    /// Discards the partial output of an item, which then runs again from its beginning.
    Discard {
        /// Id of the job.
        job: String,
        /// Position of the item in its job.
        item: u32,
    },
    /// Records the rate of the slowest link between a leader and a voter, in bytes per ms.
    NoteLinkRate(u64),
    /// As [`Command::Submit`], for a team: the limit of the route holds for the jobs of this team alone.
    SubmitForTeam {
        /// Team that the job belongs to from now on.
        team: TeamName,
        /// The job.
        job: NewJob,
    },
    /// As [`Command::End`], unless the job belongs to another team.
    EndForTeam {
        /// Team that ends the job.
        team: TeamName,
        /// Id of the job.
        job: String,
    },
    /// Counts time for all targets that are gone, and forgets those that have been for long.
    AgeGoneTargets {
        /// Time to count.
        elapsed: Millis,
        /// Counted time after which a target is forgotten.
        retention: Millis,
    },
}

/// Outcome of a command.
#[record]
#[derive(Copy)]
pub enum CommandOutcome {
    /// It took effect, now or before.
    Done,
    /// The tokens of the job exceed the limit. Nothing of it runs.
    OverLimit,
    /// There is no such job, or it belongs to another team.
    UnknownJob,
    /// Some output does not follow the output in the state. The rest took effect.
    Gap,
}
