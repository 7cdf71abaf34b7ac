//! Replicated state: the manifest, batch jobs, retiring instances, known targets and stores, and
//! quarantined features.
//!
//! # Invariants
//!
//! - The version of the manifest never decreases.
//! - A job is accepted once; a result keeps its position and content until the job is removed.
//! - An item is listed at most once.
//! - A job never changes its team.
//! - What is recorded of a target never goes back to an older version of it, whatever a leader records. A target that
//!   is gone is kept until leaders have counted the time in which an older message of it can arrive, and then
//!   forgotten: the state is bounded by the targets that leave in that time.

mod command;
mod job;
mod packed;
mod stored_manifest;

pub use command::{
    Advance,
    Command,
    CommandOutcome,
    FinishedItem,
    NewItem,
    NewJob,
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
    Millis,
    TargetName,
    TeamName,
    record, //
};

use crate::{
    quarantine::Feature,
    targets::TargetRecord, //
};

/// The replicated state. Applying the same commands in the same order gives the same state.
#[record]
#[derive(Default)]
pub struct State {
    manifest: Option<StoredManifest>,
    jobs: BTreeMap<String, Job>,
    retiring: BTreeSet<InstanceName>,
    targets: BTreeMap<TargetName, TargetRecord>,
    stores: BTreeMap<InstanceName, IpAddr>,
    /// Quarantined features, and the trials granted to each so far.
    quarantined: BTreeMap<Feature, u32>,
    /// Rate of the slowest link between a leader and a voter in bytes per ms, as last measured; 0 if unknown.
    link_rate: u64,
    /// Teams of jobs, by job id. A job that was accepted without teams has none.
    job_teams: BTreeMap<String, TeamName>,
    /// Time that leaders have counted since each target was recorded as gone.
    gone_for: BTreeMap<TargetName, Millis>,
}

/// Expected size of a result in bytes before there are results.
const DEFAULT_RESULT_BYTES: u64 = 8 << 10;

/// Encodings of what snapshots of earlier versions lack at their end: the targets that are gone, the teams of jobs
/// before them, the link rate before these, and the map of quarantined features before that.
const MISSING_FIELDS: [&[u8]; 4] = [&[0], &[0, 0], &[0, 0, 0], &[0, 0, 0, 0]];

impl State {
    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> CommandOutcome {
        match command {
            Command::PutManifest(manifest) => self.put_manifest(manifest),
            Command::Submit(job) => self.submit(None, job),
            Command::SubmitForTeam { team, job } => self.submit(Some(team), job),
            Command::Advance(advances) => self.advance(advances),
            Command::Finish(finished) => self.finish(finished),
            Command::FailedRun { job, item } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.record_failed_run(item);
                }
                CommandOutcome::Done
            }
            Command::Discard { job, item } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.discard_output(item);
                }
                CommandOutcome::Done
            }
            Command::End { job } => self.end(&job, None),
            Command::EndForTeam { team, job } => self.end(&job, Some(&team)),
            Command::Forget { jobs } => {
                for job in jobs {
                    self.jobs.remove(&job);
                    self.job_teams.remove(&job);
                }
                CommandOutcome::Done
            }
            Command::Retire(instance) => {
                self.retiring.insert(instance);
                CommandOutcome::Done
            }
            Command::NoteTargets(records) => {
                for record in records {
                    self.record_target(record);
                }
                CommandOutcome::Done
            }
            Command::NoteStores(stores) => {
                self.stores = stores;
                CommandOutcome::Done
            }
            Command::Quarantine { features, trials } => {
                let entries = features.into_iter().map(|feature| (feature, trials));
                self.quarantined.extend(entries);
                CommandOutcome::Done
            }
            Command::AgeGoneTargets { elapsed, retention } => {
                self.age_gone_targets(elapsed, retention);
                CommandOutcome::Done
            }
            Command::NoteLinkRate(rate) => {
                self.link_rate = rate;
                CommandOutcome::Done
            }
            Command::Release(features) => {
                for feature in features {
                    self.quarantined.remove(&feature);
                }
                CommandOutcome::Done
            }
        }
    }

    fn put_manifest(&mut self, manifest: StoredManifest) -> CommandOutcome {
        let current_version = self.manifest.as_ref().map(|current| current.version);
        if current_version.is_none_or(|current_version| manifest.version > current_version) {
            self.manifest = Some(manifest);
        }
        CommandOutcome::Done
    }

    fn submit(&mut self, team: Option<TeamName>, new: NewJob) -> CommandOutcome {
        if self.jobs.contains_key(&new.id) {
            return match self.job_for(&new.id, team.as_ref()) {
                Some(_) => CommandOutcome::Done,
                None => CommandOutcome::UnknownJob,
            };
        }
        let job = Job::from(new);
        if let Some(limit) = job.waiting_limit
            && self
                .waiting_tokens(&job.route, team.as_ref())
                .saturating_add(job.waiting_tokens())
                > limit
        {
            return CommandOutcome::OverLimit;
        }
        if let Some(team) = team {
            self.job_teams.insert(job.id.clone(), team);
        }
        self.jobs.insert(job.id.clone(), job);
        CommandOutcome::Done
    }

    fn end(&mut self, id: &str, team: Option<&TeamName>) -> CommandOutcome {
        if !self.is_accessible(id, team) {
            return CommandOutcome::UnknownJob;
        }
        match self.jobs.get_mut(id) {
            Some(job) => {
                job.end();
                CommandOutcome::Done
            }
            None => CommandOutcome::UnknownJob,
        }
    }

    fn record_target(&mut self, record: TargetRecord) {
        let known = self.targets.get(&record.name);
        if known.is_some_and(|known| !record.is_newer_than(known)) {
            return;
        }
        if record.left {
            self.gone_for.insert(record.name.clone(), Millis::ZERO);
        } else {
            self.gone_for.remove(&record.name);
        }
        self.targets.insert(record.name.clone(), record);
    }

    fn age_gone_targets(&mut self, elapsed: Millis, retention: Millis) {
        for gone_for in self.gone_for.values_mut() {
            *gone_for += elapsed;
        }
        let targets = &mut self.targets;
        self.gone_for.retain(|name, gone_for| {
            let is_kept = *gone_for < retention;
            if !is_kept {
                targets.remove(name);
            }
            is_kept
        });
    }

    fn advance(&mut self, advances: Vec<Advance>) -> CommandOutcome {
        let mut outcome = CommandOutcome::Done;
        for advance in advances {
            let job = self.jobs.get_mut(&advance.job);
            let is_applied = job.is_some_and(|job| {
                // The output of an item that nothing can be added to any more is dropped. That says nothing
                // about the other items in the command.
                job.is_closed(advance.item) || job.advance(advance.item, advance.output)
            });
            if !is_applied {
                outcome = CommandOutcome::Gap;
            }
        }
        outcome
    }

    fn finish(&mut self, finished: FinishedItem) -> CommandOutcome {
        match self.jobs.get_mut(&finished.job) {
            None => CommandOutcome::UnknownJob,
            Some(job) => {
                if job.finish(finished.item, finished.output) {
                    CommandOutcome::Done
                } else {
                    CommandOutcome::Gap
                }
            }
        }
    }

    /// The newest manifest.
    pub fn manifest(&self) -> Option<&StoredManifest> {
        self.manifest.as_ref()
    }

    /// Returns the job with an id, unless it has been removed.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns the job with an id, unless it has been removed or belongs to another team.
    pub fn job_for(&self, id: &str, team: Option<&TeamName>) -> Option<&Job> {
        self.job(id).filter(|_| self.is_accessible(id, team))
    }

    /// Team of a job. `None` if it was accepted without teams.
    pub fn team_of(&self, id: &str) -> Option<&TeamName> {
        self.job_teams.get(id)
    }

    /// Whether a caller may have a job: one of its team, or any caller if either has no team. Without teams in
    /// force, whoever knows the id of a job may have it.
    fn is_accessible(&self, id: &str, team: Option<&TeamName>) -> bool {
        match (self.team_of(id), team) {
            (Some(owner), Some(team)) => owner == team,
            (None, _) | (_, None) => true,
        }
    }

    /// All jobs that have not been removed.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Sum of the tokens of the items that wait on a route, at most the largest value: those of a team, or of
    /// all callers if no team is given.
    pub fn waiting_tokens(&self, route: &str, team: Option<&TeamName>) -> u64 {
        let jobs = self
            .jobs
            .values()
            .filter(|job| job.route == route && (team.is_none() || self.team_of(&job.id) == team));
        jobs.map(Job::waiting_tokens).fold(0, u64::saturating_add)
    }

    /// Size of the jobs in bytes once all items that wait have results, each of the mean size of the results so
    /// far. The tokens of an item only limit its result, and may be far more than any target has.
    pub fn expected_bytes(&self) -> u64 {
        let mean = self.mean_result_bytes();
        self.jobs.values().map(|job| job.expected_bytes(mean)).sum()
    }

    /// Growth of [`Self::expected_bytes`] if a job is accepted.
    pub fn expected_growth(&self, new: &NewJob) -> u64 {
        new.stored_bytes() + new.items.len() as u64 * self.mean_result_bytes()
    }

    fn mean_result_bytes(&self) -> u64 {
        let sizes = self.jobs.values().map(Job::completed_sizes);
        let (count, bytes) = sizes.fold((0, 0), |sum, size| (sum.0 + size.0, sum.1 + size.1));
        u64::checked_div(bytes, count).unwrap_or(DEFAULT_RESULT_BYTES)
    }

    /// Whether targets are recorded that are gone.
    pub fn has_gone_targets(&self) -> bool {
        !self.gone_for.is_empty()
    }

    /// The targets as last recorded, with those that are gone. Others may have departed since.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// A target as last recorded.
    pub fn target(&self, name: &TargetName) -> Option<&TargetRecord> {
        self.targets.get(name)
    }

    /// The addresses of the stores as last recorded.
    pub fn stores(&self) -> &BTreeMap<InstanceName, IpAddr> {
        &self.stores
    }

    /// The quarantined features, and the trials granted to each so far.
    pub fn quarantined(&self) -> &BTreeMap<Feature, u32> {
        &self.quarantined
    }

    /// Rate of the slowest link between a leader and a voter, in bytes per ms; `None` if it was never measured.
    pub fn link_rate(&self) -> Option<u64> {
        (self.link_rate > 0).then_some(self.link_rate)
    }

    /// Instances that are being retired.
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
        postcard::from_bytes(data).or_else(|error| {
            let mut extended = MISSING_FIELDS
                .iter()
                .map(|missing| [data, *missing].concat());
            extended
                .find_map(|extended| postcard::from_bytes(&extended).ok())
                .ok_or(error)
        })
    }
}
