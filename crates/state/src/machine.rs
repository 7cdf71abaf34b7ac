//! The state machine: commands in log order, queries and snapshots.

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
    QueryResult,
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

/// Largest advance of the state's time by one command, so that a proposer whose clock is far ahead
/// does not expire every key and job at once. After a long pause the time catches up over several
/// commands, and retention is longer meanwhile.
const MAX_CLOCK_ADVANCE: Millis = Millis::from_secs(600);

/// Largest number of entries in one query result.
const MAX_PAGE_ENTRIES: u32 = 1_000;

/// The replicated state. Applying equal commands at equal log indexes gives equal states.
#[value]
#[derive(Default)]
pub struct State {
    applied: LogIndex,
    /// Monotonic time, advanced by the times of commands.
    now: Millis,
    configuration: ConfigurationStore,
    jobs: Jobs,
    keys: Keys,
    orders: Orders,
}

/// Encoded form of a snapshot.
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
    /// Creates the state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the log index of the last applied command.
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the current configuration.
    pub const fn configuration(&self) -> &Configuration {
        self.configuration.current()
    }

    /// Applies the command at a log index. Indexes may be skipped, for entries that are not
    /// commands. An index that is not above the last applied one is refused and changes nothing.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> Outcome {
        if index <= self.applied {
            return Refusal::not_run(Reason::Internal, "the log index is already applied").into();
        }
        self.applied = index;
        self.advance_clock(command.at);
        match &command.operation {
            Operation::SetConfiguration(set) => self.configuration.set(set, self.now).into(),
            Operation::ClaimKey(claim) => self.keys.claim(claim, index, self.now).into(),
            Operation::FinishKey(finish) => self.keys.finish(finish, self.now).into(),
            Operation::AbandonClaims(lost) => Outcome::OwnerEnded {
                count: self.keys.abandon_claims(&lost.owner, self.now),
            },
            Operation::ExpireOld => self.expire_old().into(),
            operation @ (Operation::IssueOrder(_)
            | Operation::ObserveTarget(_)
            | Operation::CompleteOrder(_)
            | Operation::RemoveTarget(_)) => self.apply_order_operation(index, operation),
            operation => self.apply_job_operation(index, operation),
        }
    }

    /// Executes a read-only query.
    pub fn query(&self, query: &Query) -> QueryResult {
        let page_size = |limit: u32| limit.min(MAX_PAGE_ENTRIES) as usize;
        match query {
            Query::Configuration => {
                QueryResult::Configuration(Box::new(self.configuration().clone()))
            }
            Query::ConfigurationHistory { after, limit } => {
                let entries = self.configuration.history_after(*after, page_size(*limit));
                QueryResult::ConfigurationHistory(entries.cloned().collect())
            }
            Query::Job(job) => self
                .jobs
                .status(*job)
                .map_or_else(QueryResult::Refused, QueryResult::Job),
            Query::Jobs { team, after, limit } => {
                QueryResult::Jobs(self.jobs.list(team.as_deref(), *after, page_size(*limit)))
            }
            Query::JobResults { job, from, limit } => self
                .jobs
                .results(*job, *from, page_size(*limit))
                .map_or_else(QueryResult::Refused, QueryResult::JobResults),
            Query::CancelledJobs { after } => QueryResult::CancelledJobs {
                jobs: self.jobs.cancelled_after(*after),
                upto: self.applied,
            },
            Query::Leases(owner) => QueryResult::Leases(self.jobs.leases_of(owner)),
            Query::Key(key) => QueryResult::Key(self.keys.status(*key)),
            Query::Orders => QueryResult::Orders(self.orders.list()),
            Query::Owners => QueryResult::Owners(self.owners()),
            Query::Summary => QueryResult::Summary(self.summary()),
        }
    }

    /// Returns the blobs that the state refers to, sorted. Any other blob may be removed, unless a
    /// command that refers to it is not applied yet.
    pub fn live_blobs(&self) -> Vec<BlobId> {
        let mut blobs = Vec::new();
        self.jobs.blobs(&mut blobs);
        self.keys.blobs(&mut blobs);
        query::sorted_unique(blobs)
    }

    /// Encodes the state for [`State::restore`].
    pub fn snapshot(&self) -> Vec<u8> {
        codec::encode(&WireSnapshot::from(self))
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is not exactly one snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, DecodeError> {
        codec::decode::<WireSnapshot>(bytes).map(Self::from)
    }

    /// Returns a hash of the snapshot, equal on replicas that applied the same commands.
    pub fn content_hash(&self) -> u64 {
        xxh3_64(&self.snapshot())
    }

    fn advance_clock(&mut self, at: Millis) {
        if self.now == Millis::ZERO {
            self.now = at;
        }
        self.now = self.now.max(at.min(self.now + MAX_CLOCK_ADVANCE));
    }

    fn apply_job_operation(&mut self, index: LogIndex, operation: &Operation) -> Outcome {
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
            _ => Refusal::not_run(Reason::Internal, "not a job operation").into(),
        }
    }

    fn apply_order_operation(&mut self, index: LogIndex, operation: &Operation) -> Outcome {
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
            _ => Refusal::not_run(Reason::Internal, "not an order operation").into(),
        }
    }

    fn expire_old(&mut self) -> Expired {
        let now = self.now;
        let requests = self.configuration.expire(now);
        let configuration = self.configuration.current();
        let duration = |setting| configuration.fleet_wide_millis(setting, now);
        Expired {
            requests,
            owners: self.jobs.expire_leases(duration(Setting::LeaseMs), now),
            jobs: self
                .jobs
                .expire_jobs(duration(Setting::JobRetentionMs), now),
            keys: self.keys.expire(duration(Setting::KeyRetentionMs), now),
            orders: self
                .orders
                .expire(duration(Setting::OrderMs), configuration, now),
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
            requests: self.configuration.request_count() as u32,
            waiting: self.jobs.waiting_work().cloned().collect(),
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
