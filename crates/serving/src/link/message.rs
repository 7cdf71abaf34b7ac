//! Messages between instances.

use std::net::IpAddr;

use bytes::Bytes;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    TargetName,
    TeamName,
    record, //
};

use crate::{
    balance::Load,
    call_tries::CallTries,
    neighbourhood::Neighbourhood,
    quarantine::{
        CrashReport,
        Feature,
        FeatureList, //
    },
    quota::{
        QuotaAnswer,
        QuotaAsk, //
    },
    shares::{
        ServiceDemand,
        ServiceShares, //
    },
    state::{
        NewJob,
        StoredManifest, //
    },
    targets::{
        TargetKey,
        TargetRecord, //
    },
};

/// An instance with a disk, as gossiped between instances.
#[record]
pub(crate) struct StoreEntry {
    pub(crate) name: InstanceName,
    pub(crate) ip: IpAddr,
    pub(crate) domain: FailureDomain,
    /// Start of the process, in ms since the Unix epoch. Entries of the latest start win.
    pub(crate) started_at: u64,
    /// Counter that a running process increments.
    pub(crate) beat: u64,
}

/// Selects a page of the results of a job.
#[record]
pub(crate) struct PageRequest {
    pub(crate) job: String,
    pub(crate) after: usize,
    /// How long the reply may be delayed until there is a result, in ms.
    pub(crate) wait_ms: u64,
}

/// A request to another instance.
#[record]
pub(crate) enum HubRequest {
    /// Exchange known stores.
    Gossip(Vec<StoreEntry>),
    /// Replace the manifest.
    PutManifest(StoredManifest),
    /// Read the newest manifest.
    GetManifest,
    /// Accept a job.
    Submit(NewJob),
    /// Read results.
    Results(PageRequest),
    /// Read the body of an item that has no listed result yet.
    ItemBody { job: String, item: String },
    /// End a job.
    EndJob(String),
    /// Start to retire an instance.
    StartRetiring(InstanceName),
    /// Query whether an instance has been retired.
    GetRetiring(InstanceName),
    /// Query whether the receiver leads.
    Leads,
    /// Forward a request to the leader, for an entry that cannot reach the stores.
    PassOn(Box<HubRequest>),
    /// Record requests that crashes of their targets cut off before the first event.
    ReportCrashes(Vec<CrashReport>),
    /// Record that targets have begun to answer requests with these features.
    ProveFeatures(Vec<Feature>),
    /// Ask for the trial of a quarantined feature. [`HubReply::NotFound`] if none is due.
    TryFeature(Feature),
    /// A request about a job on behalf of a team. Jobs of other teams are unknown to it. Sent only if the
    /// manifest has teams: an instance of the version before cannot decode it.
    ForTeam {
        /// The team.
        team: TeamName,
        /// [`Self::Submit`], [`Self::Results`], [`Self::ItemBody`] or [`Self::EndJob`].
        request: Box<HubRequest>,
    },
    /// Ask a deputy for tokens of teams' quotas. [`HubReply::Quotas`] answers.
    AskDeputy {
        /// Address of the entry that asks.
        entry: IpAddr,
        /// What it asks for.
        ask: QuotaAsk,
    },
}

/// The reply to a request.
#[record]
pub(crate) enum HubReply {
    /// Stores that the receiver knows.
    Gossip(Vec<StoreEntry>),
    /// The receiver does not lead, and did nothing. Holds the leader, if known.
    NotLeader(Option<IpAddr>),
    /// The request took effect, now or earlier.
    Done,
    /// The outcome is unknown: no quorum answered in time.
    Unknown,
    /// The newest manifest, if there is one.
    Manifest(Option<StoredManifest>),
    /// The job exceeds a limit. None of its items runs.
    OverLimit,
    /// Unknown job, item or instance.
    NotFound,
    /// An encoded page of results, with the number of items and the next position.
    Page(Vec<u8>),
    /// Body of an item.
    Body(Vec<u8>),
    /// Refused: too few instances with disks would remain.
    TooFewLeft,
    /// Whether the instance can be shut down for good.
    Retired(bool),
    /// The stores have no capacity for the job. None of its items runs.
    NoCapacity,
    /// Tokens of teams' quotas.
    Quotas(QuotaAnswer),
}

impl HubReply {
    /// The reply to a call, given that of its last try: after a try that may still arrive, a refusal says too much.
    pub(crate) fn after(self, earlier: &CallTries) -> Self {
        let is_refusal = matches!(self, Self::OverLimit | Self::NoCapacity);
        if is_refusal && !earlier.may_be_refused() {
            return Self::Unknown;
        }
        self
    }
}

/// A message of a follower to the leader.
#[record]
pub(crate) enum FollowerMessage {
    /// A target announced itself to the follower.
    Announced(TargetRecord),
    /// A target reported to the follower that it leaves. Confirmed by [`LeaderMessage::Noted`].
    Leaving {
        /// The target.
        name: TargetName,
        /// Identifies this notification in the confirmation.
        notice: u64,
    },
    /// A target announced to the follower that it drains. Confirmed by [`LeaderMessage::Noted`].
    Draining {
        /// The target.
        record: TargetRecord,
        /// Identifies this notification in the confirmation.
        notice: u64,
    },
    /// Identifies the follower. The first message on a connection.
    Hello {
        /// Address of the follower.
        ip: IpAddr,
        /// Its failure domain.
        domain: FailureDomain,
        /// Whether it serves callers.
        is_entry: bool,
    },
    /// Number of requests that the follower has in flight at each target.
    Loads(Vec<(TargetKey, u32)>),
    /// The follower understands [`LeaderMessage::Features`]. One of the version before would drop the
    /// connection.
    AcceptsFeatures,
    /// A response of this start of a target said that it drains. A leader of the version before ignores
    /// the message.
    Drains(TargetKey),
    /// Asks for tokens of teams' quotas. Answered by [`LeaderMessage::Quotas`]. A leader of the version
    /// before ignores the message.
    AskQuotas(QuotaAsk),
    /// The follower understands [`LeaderMessage::Shares`]. One of the version before would drop the connection.
    AcceptsShares,
    /// Requests that arrived at the follower, by service. Sent to a leader that has sent
    /// [`LeaderMessage::Shares`].
    Demand(Vec<ServiceDemand>),
    /// As [`Self::Leaving`], for one start of the target. A leader of the version before ignores the message, so that
    /// the target reports it again.
    StartLeaving {
        /// The target.
        name: TargetName,
        /// The start that leaves, in ms since the Unix epoch.
        started_at: u64,
        /// Identifies this notification in the confirmation.
        notice: u64,
    },
    /// As [`Self::Announced`], for a start that replaces one known to the follower. The follower sends it until the
    /// leader confirms it with [`LeaderMessage::Noted`]. A leader of the version before ignores the message, so that
    /// the target announces itself again.
    Started {
        /// The target.
        record: TargetRecord,
        /// Identifies this notification in the confirmation.
        notice: u64,
    },
}

/// A message of the leader to its followers.
#[record]
pub(crate) enum LeaderMessage {
    /// The newest manifest. Sent on connection and after each change.
    Manifest(StoredManifest),
    /// Targets that are new or have changed; all targets on connection.
    Targets(Vec<TargetRecord>),
    /// Load that others put on targets, where it changed. Also the heartbeat of the leader.
    Loads(Vec<(TargetKey, Load)>),
    /// Entries that notify the follower of each of their requests directly. [`Self::Loads`] leaves
    /// their requests out.
    Neighbours(Neighbourhood),
    /// All followers were sent the notification with this number.
    Noted(u64),
    /// Features that are quarantined or suspected. Sent to followers that accept it, on connection and
    /// after each change.
    Features(FeatureList),
    /// Tokens of teams' quotas. Sent only to a follower that asked.
    Quotas(QuotaAnswer),
    /// Flows beyond their share. Sent to followers that accept it, on connection and while there are any.
    Shares(Vec<ServiceShares>),
}

/// An encoded [`LeaderMessage`]. Encoded once, also if it goes to many followers.
#[derive(Clone)]
pub(crate) struct LeaderFrame(pub(crate) Bytes);

impl From<&LeaderMessage> for LeaderFrame {
    fn from(message: &LeaderMessage) -> Self {
        Self(encode(message).into())
    }
}

/// Encodes a message.
pub(crate) fn encode<M>(message: &M) -> Vec<u8>
where
    M: Serialize,
{
    postcard::to_stdvec(message).expect("plain data encodes")
}

/// Error of decoding a message.
pub(crate) type DecodeError = postcard::Error;

/// Decodes a message.
pub(crate) fn decode<M>(bytes: &[u8]) -> Result<M, DecodeError>
where
    M: DeserializeOwned,
{
    postcard::from_bytes(bytes)
}

/// Decodes a message, and returns it and the bytes after it.
pub(crate) fn decode_prefix<M>(bytes: &[u8]) -> Result<(M, &[u8]), DecodeError>
where
    M: DeserializeOwned,
{
    postcard::take_from_bytes(bytes)
}
