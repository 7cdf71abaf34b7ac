//! Messages between instances.

use std::net::IpAddr;

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    TargetName,
    record, //
};

use crate::{
    balance::Load,
    neighbourhood::Neighbourhood,
    state::{
        NewJob,
        StoredManifest, //
    },
    targets::{
        TargetKey,
        TargetRecord, //
    },
};

/// An instance with a disk, as others know it.
#[record]
pub(crate) struct StoreEntry {
    pub(crate) name: InstanceName,
    pub(crate) ip: IpAddr,
    pub(crate) domain: FailureDomain,
    /// When the process started, in ms since the Unix epoch: the later start counts.
    pub(crate) started_at: u64,
    /// Grows while the process lives.
    pub(crate) beat: u64,
}

/// Which results a reader wants.
#[record]
pub(crate) struct PageRequest {
    pub(crate) job: String,
    pub(crate) after: usize,
    /// How long the answer may wait for a result, in ms.
    pub(crate) wait_ms: u64,
}

/// A question to another instance.
#[record]
pub(crate) enum Ask {
    /// Exchange of known stores.
    Gossip(Vec<StoreEntry>),
    /// Replace the manifest.
    PutManifest(StoredManifest),
    /// Read the newest manifest.
    GetManifest,
    /// Accept a job.
    Submit(NewJob),
    /// Read results.
    Results(PageRequest),
    /// Read the body of an item that is not listed.
    ItemBody { job: String, item: String },
    /// End a job.
    EndJob(String),
    /// Empty an instance.
    StartRetiring(InstanceName),
    /// How far is that?
    GetRetiring(InstanceName),
    /// Does this instance lead?
    Leads,
    /// An entry that cannot reach the stores asks another entry to ask the leader.
    PassOn(Box<Ask>),
}

/// The answer to a question.
#[record]
pub(crate) enum Answer {
    /// The stores that the other one knows.
    Gossip(Vec<StoreEntry>),
    /// This instance does not lead. Nothing was done. The leader, if known.
    NotLeader(Option<IpAddr>),
    /// It took effect, now or before.
    Done,
    /// It may take effect or not: no quorum answered in time.
    Unknown,
    /// The newest manifest, if there is one.
    Manifest(Option<StoredManifest>),
    /// The job does not fit. Nothing of it runs.
    OverLimit,
    /// There is no such job, item or instance.
    NotFound,
    /// Results: the number of items, the next position, and the encoded page.
    Page(Vec<u8>),
    /// The body of an item.
    Body(Vec<u8>),
    /// Too few instances with disks would remain.
    TooFewLeft,
    /// Whether the instance can be taken away.
    Retired(bool),
}

/// What an instance tells the leader that it follows.
#[record]
pub(crate) enum Up {
    /// A target announced itself here.
    Announced(TargetRecord),
    /// A target said here that it leaves. Answered by [`Down::Noted`].
    Leaving {
        /// The target.
        name: TargetName,
        /// Names this notice in the answer.
        notice: u64,
    },
    /// A target announced here that it drains. Answered by [`Down::Noted`].
    Draining {
        /// The target.
        record: TargetRecord,
        /// Names this notice in the answer.
        notice: u64,
    },
    /// Who follows. Said first.
    Hello {
        /// The address of the instance.
        ip: IpAddr,
        /// Its failure domain.
        domain: FailureDomain,
        /// Whether it serves callers.
        is_entry: bool,
    },
    /// Requests that this instance has under way.
    Loads(Vec<(TargetKey, u32)>),
}

/// What the leader tells those who follow it.
#[record]
pub(crate) enum Down {
    /// The newest manifest. Sent first and after each change.
    Manifest(StoredManifest),
    /// Targets that are new or have changed. All of them at first.
    Targets(Vec<TargetRecord>),
    /// The leader still leads. Work of others at targets where that changed.
    Loads(Vec<(TargetKey, Load)>),
    /// The entries that tell the follower of each of their requests. What these have under way is left
    /// out of the loads.
    Neighbours(Neighbourhood),
    /// Everyone who follows was told.
    Noted(u64),
}

/// Encodes a message.
pub(crate) fn encode<M>(message: &M) -> Vec<u8>
where
    M: Serialize,
{
    postcard::to_stdvec(message).expect("plain data encodes")
}

/// Decodes a message.
pub(crate) fn decode<M>(bytes: &[u8]) -> Result<M, postcard::Error>
where
    M: DeserializeOwned,
{
    postcard::from_bytes(bytes)
}
