//! The replicated state: the manifest, batch jobs and instances that are to be emptied.
//!
//! # Invariants
//!
//! - The version of the manifest never goes down.
//! - A job is accepted once; a result keeps its position and content until the job is forgotten.
//! - An item is listed at most once.

mod command;
mod job;
mod stored_manifest;

pub use command::{
    Advance,
    Command,
    FinishedItem,
    NewItem,
    NewJob,
    Outcome,
    Output, //
};
pub use job::{
    Finish,
    Item,
    Job, //
};
pub use stored_manifest::StoredManifest;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::IpAddr, //
};

use yuccaseam_base::{
    InstanceName,
    Machine,
    TargetName,
    record, //
};

use crate::targets::TargetRecord;

/// The replicated state. Equal commands in equal order make equal states.
#[record]
#[derive(Default)]
pub struct State {
    manifest: Option<StoredManifest>,
    jobs: BTreeMap<String, Job>,
    retiring: BTreeSet<InstanceName>,
    targets: BTreeMap<TargetName, TargetRecord>,
    stores: BTreeMap<InstanceName, IpAddr>,
}

impl State {
    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::PutManifest(manifest) => self.put_manifest(manifest),
            Command::Submit(job) => self.submit(job),
            Command::Advance(advances) => self.advance(advances),
            Command::Finish(finished) => self.finish(finished),
            Command::FailedRun { job, item } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.note_failed_run(item);
                }
                Outcome::Done
            }
            Command::End { job } => match self.jobs.get_mut(&job) {
                Some(job) => {
                    job.end();
                    Outcome::Done
                }
                None => Outcome::UnknownJob,
            },
            Command::Forget { jobs } => {
                for job in jobs {
                    self.jobs.remove(&job);
                }
                Outcome::Done
            }
            Command::Retire(instance) => {
                self.retiring.insert(instance);
                Outcome::Done
            }
            Command::NoteTargets(records) => {
                for record in records {
                    self.note_target(record);
                }
                Outcome::Done
            }
            Command::NoteStores(stores) => {
                self.stores = stores;
                Outcome::Done
            }
        }
    }

    fn put_manifest(&mut self, manifest: StoredManifest) -> Outcome {
        let newest = self.manifest.as_ref().map(|held| held.version);
        if newest.is_none_or(|newest| manifest.version > newest) {
            self.manifest = Some(manifest);
        }
        Outcome::Done
    }

    fn submit(&mut self, new: NewJob) -> Outcome {
        if self.jobs.contains_key(&new.id) {
            return Outcome::Done;
        }
        let job = Job::from(new);
        if let Some(most) = job.waiting_limit
            && self.waiting_tokens(&job.route) + job.waiting_tokens() > most
        {
            return Outcome::OverLimit;
        }
        self.jobs.insert(job.id.clone(), job);
        Outcome::Done
    }

    fn note_target(&mut self, record: TargetRecord) {
        if record.left {
            self.targets.remove(&record.name);
        } else {
            self.targets.insert(record.name.clone(), record);
        }
    }

    fn advance(&mut self, advances: Vec<Advance>) -> Outcome {
        let mut outcome = Outcome::Done;
        for one in advances {
            let job = self.jobs.get_mut(&one.job);
            if !job.is_some_and(|job| job.advance(one.item, one.output)) {
                outcome = Outcome::Gap;
            }
        }
        outcome
    }

    fn finish(&mut self, finished: FinishedItem) -> Outcome {
        match self.jobs.get_mut(&finished.job) {
            None => Outcome::UnknownJob,
            Some(job) => {
                if job.finish(finished.item, finished.output) {
                    Outcome::Done
                } else {
                    Outcome::Gap
                }
            }
        }
    }

    /// The newest manifest.
    pub fn manifest(&self) -> Option<&StoredManifest> {
        self.manifest.as_ref()
    }

    /// A job that is not forgotten.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Every job that is not forgotten.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Tokens of the items that wait on a route.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.route == route);
        jobs.map(Job::waiting_tokens).sum()
    }

    /// The targets as they were noted last. They may be gone since.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// Where the stores were when that was noted last.
    pub fn stores(&self) -> &BTreeMap<InstanceName, IpAddr> {
        &self.stores
    }

    /// Instances that are to be emptied.
    pub fn retiring(&self) -> &BTreeSet<InstanceName> {
        &self.retiring
    }
}

impl Machine for State {
    type Error = postcard::Error;

    fn empty() -> Self {
        Self::default()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data encodes")
    }

    fn restore(data: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(data)
    }
}
