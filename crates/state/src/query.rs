//! Queries, answered from state that a quorum has confirmed.

use yuccaseam_base::{
    Refusal,
    record, //
};

use crate::{
    BlobId,
    ChunkResults,
    Configuration,
    DecodeError,
    HistoryEntry,
    JobId,
    JobStatus,
    KeyClaim,
    KeyId,
    LeaseRef,
    LogIndex,
    Order,
    OwnerId,
    Work,
    codec, //
};

/// A question that changes nothing.
#[record]
pub enum Query {
    /// The configuration that stands.
    Configuration,
    /// Accepted changes after a revision, oldest first.
    ConfigurationHistory {
        /// The revision.
        after: u64,
        /// The most entries to return.
        limit: u32,
    },
    /// One job.
    Job(JobId),
    /// Jobs in the order of their identifiers.
    Jobs {
        /// Only those of this team.
        team: Option<String>,
        /// Only those after this one.
        after: Option<JobId>,
        /// The most jobs to return.
        limit: u32,
    },
    /// Where the results of a job's chunks are, in the order of its items.
    JobResults {
        /// The job.
        job: JobId,
        /// The first chunk.
        from: u32,
        /// The most chunks to return.
        limit: u32,
    },
    /// Jobs cancelled after a position in the log. Owners ask often, so that a cancel stops their
    /// running streams.
    CancelledJobs {
        /// The position.
        after: LogIndex,
    },
    /// The chunk leases that an owner has. It compares them with what it knows: a lease whose
    /// answer was lost is renewed with the others and would never end.
    Leases(OwnerId),
    /// What a claim of an idempotency key would find.
    Key(KeyId),
    /// Every order to a target.
    Orders,
    /// Runs of daemons that hold chunk leases or claims of keys.
    Owners,
    /// How much the state holds.
    Summary,
}

/// How much the state holds.
#[record]
pub struct Summary {
    /// The last command that was applied.
    pub applied: LogIndex,
    /// The configuration's revision.
    pub revision: u64,
    /// Jobs, ended ones within retention included.
    pub jobs: u32,
    /// Idempotency keys.
    pub keys: u32,
    /// Operators' requests whose outcome is remembered.
    pub requests: u32,
    /// The kinds of work that have chunks to lease.
    pub waiting: Vec<Work>,
}

/// The answer to a query.
#[record]
pub enum Answer {
    /// The configuration.
    Configuration(Box<Configuration>),
    /// Changes of configuration.
    ConfigurationHistory(Vec<HistoryEntry>),
    /// One job.
    Job(JobStatus),
    /// Jobs.
    Jobs(Vec<JobStatus>),
    /// Results of chunks.
    JobResults(Vec<ChunkResults>),
    /// Cancelled jobs.
    CancelledJobs {
        /// The jobs.
        jobs: Vec<JobId>,
        /// The position up to which these are all.
        upto: LogIndex,
    },
    /// Leases of an owner.
    Leases(Vec<LeaseRef>),
    /// A key's state; none if it is free.
    Key(Option<KeyClaim>),
    /// Orders.
    Orders(Vec<Order>),
    /// Runs of daemons.
    Owners(Vec<OwnerId>),
    /// How much the state holds.
    Summary(Summary),
    /// The query cannot be answered, such as for an unknown job.
    Refused(Refusal),
}

macro_rules! coded {
    ($($name:ident),+) => {
        $(
            impl $name {
                /// The bytes for the wire.
                pub fn encode(&self) -> Vec<u8> {
                    codec::encode(self)
                }

                /// Reads the bytes of the wire.
                ///
                /// # Errors
                ///
                /// If the bytes are not one such message.
                pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
                    codec::decode(bytes)
                }
            }
        )+
    };
}

coded!(Query, Answer);

/// The blobs that the state refers to, sorted, each once.
pub(crate) fn unique(mut blobs: Vec<BlobId>) -> Vec<BlobId> {
    blobs.sort_unstable();
    blobs.dedup();
    blobs
}
