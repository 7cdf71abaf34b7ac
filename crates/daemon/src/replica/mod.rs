//! The replica of an instance with a data folder.
//!
//! One thread, the driver, owns the replication core and the state machine. A second one owns log
//! and snapshots and syncs them, a third fetches blobs that this replica lacks. Messages of other
//! replicas, requests of this daemon and answers of the disk reach the driver through one queue;
//! proposals that wait there together make one write and one message a follower.
//!
//! # Invariants
//!
//! - The core learns of a write only after its sync.
//! - A replica is known by its disk. An empty disk under an old name follows the log until the
//!   leader has seen it sync every entry and blob, and only then takes the place of the lost one.
//! - A query is answered from state that a quorum confirmed after the query arrived.

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
    store::Replied, //
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
pub(crate) use status::Status;
pub(crate) use transport::ConsensusService;

/// How long this replica may take to answer.
const ANSWER: Millis = Millis(2_500);

/// Takes the answer, on the driver's thread. It must not wait.
pub(crate) type Reply<T> = Box<dyn FnOnce(Replied<T>) + Send>;

/// What reaches the driver.
pub(crate) enum Input {
    /// A command is to be replicated.
    Propose {
        command: Vec<u8>,
        reply: Reply<Outcome>,
    },
    /// A query is to be answered from confirmed state.
    Query {
        query: Query,
        reply: Reply<QueryResult>,
    },
    /// An operator changes the group.
    Change {
        request: MemberRequest,
        reply: Reply<()>,
    },
    /// A message of another replica.
    Received { from: InstanceName, frame: Frame },
    /// The disk did something.
    Disk(DiskReply<State>),
    /// Which blobs does the state refer to?
    LiveBlobs(Sender<LiveBlobs>),
    /// This replica holds every blob that the state refers to as of an entry.
    BlobsWhole { upto: u64 },
    /// The process is about to stop.
    HandOver,
}

/// The blobs that the state refers to as of an entry.
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
        // The identity is random, so that any 64 bits of it are.
        let id = DiskId(folder.identity().0 as u64);
        let disk = Disk::open(&folder)?;
        let restored = disk.restore()?;
        let store = BlobStore::open(&folder).context("cannot open the blobs")?;
        let blobs = Arc::new(Blobs::new(store, folder));

        let (tx, rx) = mpsc::channel();
        let status = SharedStatus::default();
        let replies = tx.clone();
        let requests = yuccaseam_replica::start(disk, move |reply| {
            // The driver ends only with the process.
            let _ = replies.send(Input::Disk(reply));
        })?;
        let transport = Transport::new(settings.instance.clone(), links.clone());
        let driver = Driver::new(id, settings, clock, transport, requests, status.clone());
        driver::start(driver, restored, rx)?;
        blobs::start_repair(&blobs, settings, links, tx.clone(), status.clone())?;
        log::info!("the replica on disk {id} has started");
        Ok(Self { tx, blobs, status })
    }

    /// Where other replicas' messages go.
    pub(crate) fn inputs(&self) -> Sender<Input> {
        self.tx.clone()
    }

    /// What this replica knew when it last did something.
    pub(crate) fn status(&self) -> Status {
        self.status.get()
    }

    /// Proposes a command and waits on this thread.
    pub(crate) fn propose(&self, command: &Command) -> Replied<Outcome> {
        let command = command.encode();
        self.ask(|reply| Input::Propose { command, reply })
            .unwrap_or_else(unanswered_proposal)
    }

    /// Proposes an encoded command without holding a thread.
    pub(crate) async fn proposal(&self, command: Vec<u8>) -> Replied<Outcome> {
        let answer = self.answer(|reply| Input::Propose { command, reply });
        answer.await.unwrap_or_else(unanswered_proposal)
    }

    /// Asks a query and waits on this thread.
    pub(crate) fn query(&self, query: &Query) -> Replied<QueryResult> {
        let query = query.clone();
        self.ask(|reply| Input::Query { query, reply })
            .unwrap_or_else(unanswered_query)
    }

    /// Asks a query without holding a thread.
    pub(crate) async fn confirmed(&self, query: Query) -> Replied<QueryResult> {
        let answer = self.answer(|reply| Input::Query { query, reply });
        answer.await.unwrap_or_else(unanswered_query)
    }

    pub(crate) fn change(&self, request: MemberRequest) -> Replied<()> {
        self.ask(|reply| Input::Change { request, reply })
            .unwrap_or_else(|| Replied::Lost("the change is not committed yet".to_owned()))
    }

    /// Every replica, if this one leads.
    pub(crate) fn members(&self) -> Replied<Vec<MemberStatus>> {
        let status = self.status();
        match status.lease_until {
            Some(_) => Replied::Answer(status.members),
            None => Replied::NotLeader(status.leader),
        }
    }

    /// Gives leadership to another voter, if this replica leads.
    pub(crate) fn hand_over(&self) {
        // A driver that has ended leads nothing.
        let _ = self.tx.send(Input::HandOver);
    }

    pub(crate) fn put_blobs(&self, blobs: &[Vec<u8>]) -> Result<(), Refusal> {
        self.blobs.put(blobs)
    }

    pub(crate) fn get_blob(&self, id: &BlobId) -> Result<Option<Vec<u8>>, Refusal> {
        self.blobs.get(id)
    }

    fn ask<T, F>(&self, input: F) -> Option<Replied<T>>
    where
        T: Send + 'static,
        F: FnOnce(Reply<T>) -> Input,
    {
        let (tx, rx) = mpsc::channel();
        let reply = move |answer| {
            // Nobody waits any more if the time is over.
            let _ = tx.send(answer);
        };
        self.tx.send(input(Box::new(reply))).ok()?;
        rx.recv_timeout(ANSWER.duration()).ok()
    }

    async fn answer<T, F>(&self, input: F) -> Option<Replied<T>>
    where
        T: Send + 'static,
        F: FnOnce(Reply<T>) -> Input,
    {
        let (tx, rx) = oneshot::channel();
        let reply = move |answer| {
            // Nobody waits any more if the time is over.
            let _ = tx.send(answer);
        };
        self.tx.send(input(Box::new(reply))).ok()?;
        tokio::time::timeout(ANSWER.duration(), rx).await.ok()?.ok()
    }
}

fn unanswered_proposal() -> Replied<Outcome> {
    Replied::Lost("the replica has not answered in time".to_owned())
}

fn unanswered_query() -> Replied<QueryResult> {
    Replied::NotSent("no quorum has confirmed in time".to_owned())
}
