//! Read-only queries, served from state that a quorum has confirmed.

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

/// A read-only query.
#[record]
pub enum Query {
    /// Current configuration.
    Configuration,
    /// Accepted changes of the configuration, oldest first.
    ConfigurationHistory {
        /// Revision after which changes are listed.
        after: u64,
        /// Largest number of entries to return.
        limit: u32,
    },
    /// Status of one job.
    Job(JobId),
    /// Jobs ordered by identifier.
    Jobs {
        /// Restricts the list to this team.
        team: Option<String>,
        /// Job after which the list starts.
        after: Option<JobId>,
        /// Largest number of jobs to return.
        limit: u32,
    },
    /// Result locations of a job's chunks, in item order.
    JobResults {
        /// Job to read.
        job: JobId,
        /// Number of the first chunk to return.
        from: u32,
        /// Largest number of chunks to return.
        limit: u32,
    },
    /// Jobs cancelled after a log index. Owners poll this often, so that a cancellation stops their
    /// running streams.
    CancelledJobs {
        /// Log index after which cancellations are listed.
        after: LogIndex,
    },
    /// Chunk leases of an owner. The owner compares them with the leases it knows: one whose reply
    /// was lost would be renewed with the others and never end.
    Leases(OwnerId),
    /// State of an idempotency key, as a claim would find it.
    Key(KeyId),
    /// All target orders.
    Orders,
    /// Daemon runs that hold chunk leases or key claims.
    Owners,
    /// Log position and size of the state.
    Summary,
}

/// Log position and size of the state.
#[record]
pub struct Summary {
    /// Log index of the last applied command.
    pub applied: LogIndex,
    /// Revision of the configuration.
    pub revision: u64,
    /// Number of jobs, including ended ones within their retention.
    pub jobs: u32,
    /// Number of idempotency keys.
    pub keys: u32,
    /// Number of operator requests whose outcome is stored.
    pub requests: u32,
    /// Kinds of work with chunks to lease.
    pub waiting: Vec<Work>,
}

/// The result of a [`Query`].
#[record]
pub enum QueryResult {
    /// Result of [`Query::Configuration`].
    Configuration(Box<Configuration>),
    /// Result of [`Query::ConfigurationHistory`].
    ConfigurationHistory(Vec<HistoryEntry>),
    /// Result of [`Query::Job`].
    Job(JobStatus),
    /// Result of [`Query::Jobs`].
    Jobs(Vec<JobStatus>),
    /// Result of [`Query::JobResults`].
    JobResults(Vec<ChunkResults>),
    /// Result of [`Query::CancelledJobs`].
    CancelledJobs {
        /// Cancelled jobs.
        jobs: Vec<JobId>,
        /// Log index up to which the list is complete.
        upto: LogIndex,
    },
    /// Result of [`Query::Leases`].
    Leases(Vec<LeaseRef>),
    /// Result of [`Query::Key`]; `None` if the key is free.
    Key(Option<KeyClaim>),
    /// Result of [`Query::Orders`].
    Orders(Vec<Order>),
    /// Result of [`Query::Owners`].
    Owners(Vec<OwnerId>),
    /// Result of [`Query::Summary`].
    Summary(Summary),
    /// The query was refused, for example for an unknown job.
    Refused(Refusal),
}

macro_rules! impl_codec {
    ($($name:ident),+) => {
        $(
            impl $name {
                /// Encodes the message.
                pub fn encode(&self) -> Vec<u8> {
                    codec::encode(self)
                }

                /// Decodes a message.
                ///
                /// # Errors
                ///
                /// Returns an error if `bytes` is not exactly one message of this type.
                pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
                    codec::decode(bytes)
                }
            }
        )+
    };
}

impl_codec!(Query, QueryResult);

pub(crate) fn sorted_unique(mut blobs: Vec<BlobId>) -> Vec<BlobId> {
    blobs.sort_unstable();
    blobs.dedup();
    blobs
}
