//! Commands to the replicated state and their outcomes.

use std::{
    collections::BTreeMap,
    net::IpAddr, //
};

use yuccaseam_base::{
    InstanceName,
    Millis,
    record, //
};

use crate::targets::TargetRecord;

use super::StoredManifest;

/// One item of a new job.
#[record]
pub struct NewItem {
    /// Names the item in its job.
    pub id: String,
    /// Path of the request that runs it.
    pub path: String,
    /// Headers of that request.
    pub headers: Vec<(String, String)>,
    /// Body of that request.
    pub body: Vec<u8>,
    /// Tokens of the prompt and the most tokens of the output together.
    pub tokens: u64,
}

/// A new job.
#[record]
pub struct NewJob {
    /// The job. Submissions with the same id are one job.
    pub id: String,
    /// The host of its requests.
    pub host: String,
    /// Host and prefix of its route.
    pub route: String,
    /// Tokens that may wait on the route, if limited.
    pub waiting_limit: Option<u64>,
    /// Runs that may fail before an item is given up.
    pub max_attempts: u32,
    /// When it was handed in, in ms since the Unix epoch. The clocks of instances differ.
    pub submitted_at: Millis,
    /// The items, in order.
    pub items: Vec<NewItem>,
}

/// Output of an item that has arrived.
#[record]
pub struct Output {
    /// The event after which it goes on: the last one that the state has.
    pub after: Option<String>,
    /// The data of the events, a line each.
    pub lines: Vec<String>,
    /// The last event of it.
    pub last_id: Option<String>,
}

/// Output of one item.
#[record]
pub struct Advance {
    /// The job.
    pub job: String,
    /// Position of the item in its job.
    pub item: u32,
    /// What has arrived.
    pub output: Output,
}

/// An item whose last run has ended.
#[record]
pub struct FinishedItem {
    /// The job.
    pub job: String,
    /// Position of the item in its job.
    pub item: u32,
    /// Its last output, or `None` if it can never be done, or failed too often.
    pub output: Option<Output>,
}

/// A change of the replicated state.
#[record]
pub enum Command {
    /// Replaces the manifest, if the version is higher than the one held.
    PutManifest(StoredManifest),
    /// Accepts a job, if the tokens of its items fit.
    Submit(NewJob),
    /// Keeps output, so that another leader goes on from there.
    Advance(Vec<Advance>),
    /// Lists a result.
    Finish(FinishedItem),
    /// Counts a run that the target itself called failed.
    FailedRun {
        /// The job.
        job: String,
        /// Position of the item in its job.
        item: u32,
    },
    /// Ends a job: what is not listed yet is dropped.
    End {
        /// The job.
        job: String,
    },
    /// Forgets jobs whose results need not be readable any more.
    Forget {
        /// The jobs.
        jobs: Vec<String>,
    },
    /// An instance is to be emptied.
    Retire(InstanceName),
    /// Notes targets that are new or have changed, so that a system that lost power finds them.
    NoteTargets(Vec<TargetRecord>),
    /// Notes where stores are, so that they find each other after a loss of power.
    NoteStores(BTreeMap<InstanceName, IpAddr>),
}

/// What a command did.
#[record]
#[derive(Copy)]
pub enum Outcome {
    /// It took effect, now or before.
    Done,
    /// The tokens of the job do not fit. Nothing of it runs.
    OverLimit,
    /// There is no such job.
    UnknownJob,
    /// Some output does not follow what the state has. The rest took effect.
    Gap,
}
