//! The replica of an instance with a data folder.
//!
//! The driver thread owns the replication core and the state machine. A second thread writes and
//! syncs log and snapshots, and a third fetches missing blobs. Messages from other replicas,
//! requests of this daemon and replies of the disk thread reach the driver through one queue.
//! Proposals queued together are batched into one write and one message per follower.
//!
//! # Invariants
//!
//! - The core is notified of a write only after its sync.
//! - A replica is identified by its disk. An empty disk under an existing instance name is a
//!   learner, and replaces the lost disk only once it has synced every entry and blob.
//! - A query reads state that a quorum confirmed after the query arrived.

mod blobs;
mod driver;
mod formation;
mod frame;
mod members;
mod status;
mod transport;

use std::{
    path::Path,
    sync::{
        Arc,
        mpsc::{
            self,
            Sender, //
        }, //
    }, //
};

use anyhow::Context as _;
use tokio::sync::oneshot;
use yuccaseam_base::{
    Clock,
    InstanceName,
    Millis,
    Refusal, //
};
use yuccaseam_journal::{
    BlobStore,
    DataFolder, //
};
use yuccaseam_quorum::DiskId;
use yuccaseam_replica::{
    Disk,
    DiskReply, //
};
use yuccaseam_state::{
    BlobId,
    Command,
    Outcome,
    Query,
    QueryResult,
    State, //
};

use crate::{
    peers::Links,
    settings::Settings,
    store::CallOutcome, //
};

use blobs::Blobs;
use driver::Driver;
use frame::Frame;
use status::SharedStatus;
use transport::Transport;

pub(crate) use members::{
    MemberRequest,
    MemberStatus, //
};
pub(crate) use status::ReplicaStatus;
pub(crate) use transport::ConsensusService;

/// Time-out for a reply of the driver.
const REPLY_TIMEOUT: Millis = Millis(2_500);

/// Callback that receives the outcome on the driver thread. It must not block.
pub(crate) type ReplyCallback<T> = Box<dyn FnOnce(CallOutcome<T>) + Send>;

/// Input of the driver.
pub(crate) enum Input {
    /// Replicate a command.
    Propose {
        command: Vec<u8>,
        reply: ReplyCallback<Outcome>,
    },
    /// Run a query on confirmed state.
    Query {
        query: Query,
        reply: ReplyCallback<QueryResult>,
    },
    /// Change the members of the group, on an operator's request.
    Change {
        request: MemberRequest,
        reply: ReplyCallback<()>,
    },
    /// A message from another replica.
    Received { from: InstanceName, frame: Frame },
    /// A reply of the disk thread.
    Disk(DiskReply<State>),
    /// List the blobs that the state refers to.
    LiveBlobs(Sender<LiveBlobs>),
    /// This replica holds every blob that the state refers to as of entry `upto`.
    BlobsComplete { upto: u64 },
    /// Transfer leadership before the process stops.
    TransferLeadership,
}

/// The blobs that the state refers to as of entry `upto`.
pub(crate) struct LiveBlobs {
    pub(crate) upto: u64,
    pub(crate) blobs: Vec<BlobId>,
}

/// The replica of this instance.
pub(crate) struct Replica {
    tx: Sender<Input>,
    blobs: Arc<Blobs>,
    status: SharedStatus,
}

impl Replica {
    /// Opens a data folder and starts the threads of its replica.
    ///
    /// # Errors
    ///
    /// Fails if the folder is locked, damaged or not accessible.
    pub(crate) fn open(
        path: &Path,
        settings: &Settings,
        links: &Links,
        clock: Clock,
    ) -> anyhow::Result<Self> {
        let folder = DataFolder::open(path)
            .with_context(|| format!("cannot open the data folder {}", path.display()))?;
        // The identity is random, so its low 64 bits are random too.
        let id = DiskId(folder.identity().0 as u64);
        let disk = Disk::open(&folder)?;
        let restored = disk.restore()?;
        let store = BlobStore::open(&folder).context("cannot open the blob store")?;
        let blobs = Arc::new(Blobs::new(store, folder));

        let (tx, rx) = mpsc::channel();
        let status = SharedStatus::default();
        let replies = tx.clone();
        let requests = yuccaseam_replica::start(disk, move |reply| {
            // The driver runs until the process exits.
            let _ = replies.send(Input::Disk(reply));
        })?;
        let transport = Transport::new(settings.instance.clone(), links.clone());
        let driver = Driver::new(id, settings, clock, transport, requests, status.clone());
        driver::start(driver, restored, rx)?;
        blobs::start_repair(&blobs, settings, links, tx.clone(), status.clone())?;
        log::info!("replica started on disk {id}");
        Ok(Self { tx, blobs, status })
    }

    /// Input queue of the driver.
    pub(crate) fn inputs(&self) -> Sender<Input> {
        self.tx.clone()
    }

    /// Status that the driver published last.
    pub(crate) fn status(&self) -> ReplicaStatus {
        self.status.get()
    }

    /// Proposes a command and blocks until it is applied or the time-out expires.
    pub(crate) fn propose(&self, command: &Command) -> CallOutcome<Outcome> {
        let command = command.encode();
        self.call(|reply| Input::Propose { command, reply })
            .unwrap_or_else(proposal_timed_out)
    }

    /// Proposes an encoded command without blocking the thread.
    pub(crate) async fn propose_async(&self, command: Vec<u8>) -> CallOutcome<Outcome> {
        let outcome = self.call_async(|reply| Input::Propose { command, reply });
        outcome.await.unwrap_or_else(proposal_timed_out)
    }

    /// Runs a query and blocks until the result or the time-out.
    pub(crate) fn query(&self, query: &Query) -> CallOutcome<QueryResult> {
        let query = query.clone();
        self.call(|reply| Input::Query { query, reply })
            .unwrap_or_else(query_timed_out)
    }

    /// Runs a query without blocking the thread.
    pub(crate) async fn query_async(&self, query: Query) -> CallOutcome<QueryResult> {
        let outcome = self.call_async(|reply| Input::Query { query, reply });
        outcome.await.unwrap_or_else(query_timed_out)
    }

    pub(crate) fn change_members(&self, request: MemberRequest) -> CallOutcome<()> {
        self.call(|reply| Input::Change { request, reply })
            .unwrap_or_else(|| {
                CallOutcome::Unknown(
                    "membership change not committed before the time-out".to_owned(),
                )
            })
    }

    /// Status of every replica, if this one is the leader.
    pub(crate) fn members(&self) -> CallOutcome<Vec<MemberStatus>> {
        let status = self.status();
        match status.lease_until {
            Some(_) => CallOutcome::Reply(status.members),
            None => CallOutcome::NotLeader(status.leader),
        }
    }

    /// Transfers leadership to another voter, if this replica is the leader.
    pub(crate) fn transfer_leadership(&self) {
        // Without a driver there is no leadership to transfer.
        let _ = self.tx.send(Input::TransferLeadership);
    }

    pub(crate) fn put_blobs(&self, blobs: &[Vec<u8>]) -> Result<(), Refusal> {
        self.blobs.put(blobs)
    }

    pub(crate) fn get_blob(&self, id: &BlobId) -> Result<Option<Vec<u8>>, Refusal> {
        self.blobs.get(id)
    }

    fn call<T, F>(&self, input: F) -> Option<CallOutcome<T>>
    where
        T: Send + 'static,
        F: FnOnce(ReplyCallback<T>) -> Input,
    {
        let (tx, rx) = mpsc::channel();
        let reply = move |outcome| {
            // The receiver may have timed out.
            let _ = tx.send(outcome);
        };
        self.tx.send(input(Box::new(reply))).ok()?;
        rx.recv_timeout(REPLY_TIMEOUT.duration()).ok()
    }

    async fn call_async<T, F>(&self, input: F) -> Option<CallOutcome<T>>
    where
        T: Send + 'static,
        F: FnOnce(ReplyCallback<T>) -> Input,
    {
        let (tx, rx) = oneshot::channel();
        let reply = move |outcome| {
            // The receiver may have timed out.
            let _ = tx.send(outcome);
        };
        self.tx.send(input(Box::new(reply))).ok()?;
        tokio::time::timeout(REPLY_TIMEOUT.duration(), rx)
            .await
            .ok()?
            .ok()
    }
}

fn proposal_timed_out() -> CallOutcome<Outcome> {
    CallOutcome::Unknown("the replica did not reply before the time-out".to_owned())
}

fn query_timed_out() -> CallOutcome<QueryResult> {
    CallOutcome::NotRun("no quorum confirmed the read before the time-out".to_owned())
}
