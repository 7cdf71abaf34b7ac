//! The state machine: commands in log order, queries, snapshots.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;
use yuccaseam_base::{
    Machine,
    Millis,
    Reason,
    Refusal,
    record,
    value, //
};

use crate::{
    Answer,
    BlobId,
    Command,
    Configuration,
    DecodeError,
    Expired,
    LogIndex,
    Operation,
    Outcome,
    OwnerId,
    Query,
    Setting,
    Summary,
    codec,
    configuration::ConfigurationStore,
    jobs::{
        Jobs,
        WireJobs, //
    },
    keys::{
        Keys,
        WireKeys, //
    },
    orders::Orders,
    query, //
};

/// The most that one command moves the state's time forward. A proposer whose clock is far ahead
/// must not make every key and job expire at once; after a long pause the state's time catches up
/// over several commands, and retention is longer meanwhile.
const CLOCK_STEP: Millis = Millis::from_secs(600);

/// The most entries that one query returns.
const PAGE_LIMIT: u32 = 1_000;

/// The replicated state. Equal commands at equal positions make equal states on every replica.
#[value]
#[derive(Default)]
pub struct State {
    applied: LogIndex,
    /// The latest time of any command; it never goes back.
    now: Millis,
    configuration: ConfigurationStore,
    jobs: Jobs,
    keys: Keys,
    orders: Orders,
}

/// A snapshot on the wire.
#[record]
struct WireSnapshot {
    applied: LogIndex,
    now_ms: u64,
    configuration: ConfigurationStore,
    jobs: WireJobs,
    keys: WireKeys,
    orders: Orders,
}

impl From<&State> for WireSnapshot {
    fn from(state: &State) -> Self {
        Self {
            applied: state.applied,
            now_ms: state.now.0,
            configuration: state.configuration.clone(),
            jobs: (&state.jobs).into(),
            keys: (&state.keys).into(),
            orders: state.orders.clone(),
        }
    }
}

impl From<WireSnapshot> for State {
    fn from(wire: WireSnapshot) -> Self {
        Self {
            applied: wire.applied,
            now: Millis(wire.now_ms),
            configuration: wire.configuration,
            jobs: wire.jobs.into(),
            keys: wire.keys.into(),
            orders: wire.orders,
        }
    }
}

impl State {
    /// The state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// The position of the last command that was applied.
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }

    /// The configuration that stands.
    pub const fn configuration(&self) -> &Configuration {
        self.configuration.current()
    }

    /// Applies the command at a position of the log. Positions may be skipped, for entries that
    /// are not commands; one that is not after the last is refused and changes nothing.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> Outcome {
        if index <= self.applied {
            return Refusal::not_run(Reason::Internal, "the position was applied before").into();
        }
        self.applied = index;
        self.advance(command.at);
        match &command.operation {
            Operation::SetConfiguration(set) => self.configuration.set(set, self.now).into(),
            Operation::ClaimKey(claim) => self.keys.claim(claim, index, self.now).into(),
            Operation::FinishKey(finish) => self.keys.finish(finish, self.now).into(),
            Operation::OwnerLost(lost) => Outcome::OwnerEnded {
                count: self.keys.lose_owner(&lost.owner, self.now),
            },
            Operation::ExpireOld => self.expire_old().into(),
            operation @ (Operation::IssueOrder(_)
            | Operation::ObserveTarget(_)
            | Operation::CompleteOrder(_)
            | Operation::RemoveTarget(_)) => self.apply_to_orders(index, operation),
            operation => self.apply_to_jobs(index, operation),
        }
    }

    /// Answers a query.
    pub fn answer(&self, query: &Query) -> Answer {
        let page = |limit: u32| limit.min(PAGE_LIMIT) as usize;
        match query {
            Query::Configuration => Answer::Configuration(Box::new(self.configuration().clone())),
            Query::ConfigurationHistory { after, limit } => {
                let entries = self.configuration.history_after(*after, page(*limit));
                Answer::ConfigurationHistory(entries.cloned().collect())
            }
            Query::Job(job) => self
                .jobs
                .status(*job)
                .map_or_else(Answer::Refused, Answer::Job),
            Query::Jobs { team, after, limit } => {
                Answer::Jobs(self.jobs.list(team.as_deref(), *after, page(*limit)))
            }
            Query::JobResults { job, from, limit } => self
                .jobs
                .results(*job, *from, page(*limit))
                .map_or_else(Answer::Refused, Answer::JobResults),
            Query::CancelledJobs { after } => Answer::CancelledJobs {
                jobs: self.jobs.cancelled_after(*after),
                upto: self.applied,
            },
            Query::Leases(owner) => Answer::Leases(self.jobs.leases_of(owner)),
            Query::Key(key) => Answer::Key(self.keys.status(*key)),
            Query::Orders => Answer::Orders(self.orders.list()),
            Query::Owners => Answer::Owners(self.owners()),
            Query::Summary => Answer::Summary(self.summary()),
        }
    }

    /// The blobs that the state refers to, sorted. All others may be removed, but for those whose
    /// command is still on its way.
    pub fn live_blobs(&self) -> Vec<BlobId> {
        let mut blobs = Vec::new();
        self.jobs.blobs(&mut blobs);
        self.keys.blobs(&mut blobs);
        query::unique(blobs)
    }

    /// The bytes from which [`State::restore`] makes an equal state.
    pub fn snapshot(&self) -> Vec<u8> {
        codec::encode(&WireSnapshot::from(self))
    }

    /// Makes the state of a snapshot.
    ///
    /// # Errors
    ///
    /// If the bytes are not one snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, DecodeError> {
        codec::decode::<WireSnapshot>(bytes).map(Self::from)
    }

    /// A hash of the whole content, equal on replicas that applied the same commands.
    pub fn content_hash(&self) -> u64 {
        xxh3_64(&self.snapshot())
    }

    fn advance(&mut self, at: Millis) {
        if self.now == Millis::ZERO {
            self.now = at;
        }
        self.now = self.now.max(at.min(self.now + CLOCK_STEP));
    }

    fn apply_to_jobs(&mut self, index: LogIndex, operation: &Operation) -> Outcome {
        let now = self.now;
        let configuration = self.configuration.current();
        let jobs = &mut self.jobs;
        match operation {
            Operation::CreateJob(create) => {
                let limit = configuration.fleet_wide(Setting::JobLimit, now);
                jobs.create(create, limit, now).into()
            }
            Operation::CancelJob(cancel) => jobs.cancel(cancel.job, index, now).into(),
            Operation::LeaseChunks(request) => {
                jobs.lease(request, index, configuration, now).into()
            }
            Operation::RenewLeases(renew) => Outcome::Renewed {
                chunks: jobs.renew(&renew.owner, now),
            },
            Operation::StartItems(start) => jobs.start_items(start).into(),
            Operation::CompleteItems(report) => jobs.complete(report, now).into(),
            Operation::MarkSuspects(mark) => {
                let limit = configuration.fleet_wide(Setting::ItemAttemptLimit, now) as u8;
                jobs.mark_suspects(mark, limit, now).into()
            }
            Operation::ReleaseChunk(release) => Outcome::Released {
                stood: jobs.release(release, now),
            },
            Operation::ExpireOwner(expire) => Outcome::OwnerEnded {
                count: jobs.expire_owner(&expire.owner, now),
            },
            Operation::MergeResults(merge) => match jobs.merge_results(merge) {
                Ok(()) => Outcome::Merged,
                Err(refusal) => Outcome::Refused(refusal),
            },
            _ => Refusal::not_run(Reason::Internal, "not an operation on jobs").into(),
        }
    }

    fn apply_to_orders(&mut self, index: LogIndex, operation: &Operation) -> Outcome {
        let now = self.now;
        let configuration = self.configuration.current();
        match operation {
            Operation::IssueOrder(issue) => {
                self.orders.issue(issue, index, configuration, now).into()
            }
            Operation::ObserveTarget(observe) => {
                self.orders.observe(observe, configuration, now);
                Outcome::TargetRecorded
            }
            Operation::CompleteOrder(complete) => Outcome::OrderCompleted {
                stood: self.orders.complete(complete, configuration, now),
            },
            Operation::RemoveTarget(remove) => {
                self.orders.remove(&remove.target, configuration, now);
                Outcome::TargetRecorded
            }
            _ => Refusal::not_run(Reason::Internal, "not an operation on orders").into(),
        }
    }

    fn expire_old(&mut self) -> Expired {
        let now = self.now;
        let requests = self.configuration.expire(now);
        let configuration = self.configuration.current();
        let bound = |setting| configuration.fleet_wide_millis(setting, now);
        Expired {
            requests,
            owners: self.jobs.expire_leases(bound(Setting::LeaseMs), now),
            jobs: self.jobs.expire_jobs(bound(Setting::JobRetentionMs), now),
            keys: self.keys.expire(bound(Setting::KeyRetentionMs), now),
            orders: self
                .orders
                .expire(bound(Setting::OrderMs), configuration, now),
        }
    }

    fn owners(&self) -> Vec<OwnerId> {
        let all: BTreeSet<_> = self.jobs.owners().chain(self.keys.owners()).collect();
        all.into_iter().cloned().collect()
    }

    fn summary(&self) -> Summary {
        Summary {
            applied: self.applied,
            revision: self.configuration().revision,
            jobs: self.jobs.len() as u32,
            keys: self.keys.len() as u32,
            requests: self.configuration.remembered() as u32,
            waiting: self.jobs.waiting().cloned().collect(),
        }
    }
}

impl From<Refusal> for Outcome {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl Machine for State {
    type Error = DecodeError;

    fn empty() -> Self {
        Self::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        Self::snapshot(self)
    }

    fn restore(data: &[u8]) -> Result<Self, DecodeError> {
        Self::restore(data)
    }
}
