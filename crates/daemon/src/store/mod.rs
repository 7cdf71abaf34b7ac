//! Access to the replicated state, on this instance or on others.
//!
//! [`Store`] proposes commands, runs queries and stores blobs for the rest of the daemon. An
//! instance with a data folder uses its own [`Replica`]; any other calls the voters over `tonic`.
//!
//! # Invariants
//!
//! - A proposal is acknowledged only after a majority has synced it.
//! - A proposal may take effect although its reply is lost. Operations are idempotent, so a retry
//!   is safe.

mod configuration;
mod members;
mod remote;
mod service;

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        Mutex,
        RwLock,
        mpsc::Sender, //
    },
};

use yuccaseam_base::{
    Clock,
    InstanceName,
    Millis,
    Reason,
    Refusal, //
};
use yuccaseam_state::{
    BlobId,
    Command,
    Configuration,
    Operation,
    Outcome,
    OwnerId,
    Query,
    QueryResult,
    Work, //
};

use crate::{
    context::Context,
    peers::Links,
    replica::{
        Input,
        Replica,
        ReplicaStatus, //
    },
    settings::Settings, //
};

pub(crate) use remote::{
    CallOutcome,
    fetch_blob, //
};
pub(crate) use service::StoreService;

/// Time-out of a call to the store, retries included.
const CALL_TIMEOUT: Millis = Millis(8_000);
/// Pause before the voters are called again after none of them replied.
const RETRY_BACKOFF: Millis = Millis(100);

/// Client of the replicated state.
pub(crate) struct Store {
    replica: Option<Replica>,
    /// Identity of this daemon process in leases and claims.
    owner: OwnerId,
    voters: Vec<InstanceName>,
    /// Last known leader: the voter that replied last, or the one named by a voter's leader hint.
    leader: Mutex<Option<InstanceName>>,
    configuration: RwLock<Arc<Configuration>>,
    /// The kinds of work for which job chunks wait.
    waiting: RwLock<BTreeSet<Work>>,
    clock: Clock,
}

impl Store {
    /// Opens the replica of this instance, if it has a data folder.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be opened.
    pub(crate) fn open(settings: &Settings, links: &Links, clock: Clock) -> anyhow::Result<Self> {
        let replica = match &settings.data {
            Some(path) => Some(Replica::open(path, settings, links, clock)?),
            None => None,
        };
        Ok(Self {
            replica,
            owner: OwnerId {
                instance: settings.instance.clone(),
                incarnation: Millis::unix_now().0,
            },
            voters: settings.voters.clone(),
            leader: Mutex::new(None),
            configuration: RwLock::default(),
            waiting: RwLock::default(),
            clock,
        })
    }

    /// Input queue of the local replica, for messages from other replicas.
    pub(crate) fn replica_inputs(&self) -> Option<Sender<Input>> {
        self.replica.as_ref().map(Replica::inputs)
    }

    /// Last published status of the local replica.
    pub(crate) fn replica_status(&self) -> Option<ReplicaStatus> {
        self.replica.as_ref().map(Replica::status)
    }

    /// Transfers leadership to another voter before a planned stop.
    pub(crate) fn transfer_leadership(&self) {
        if let Some(replica) = &self.replica {
            replica.transfer_leadership();
        }
    }

    /// Identity of this daemon process in leases and claims.
    pub(crate) fn owner(&self) -> &OwnerId {
        &self.owner
    }

    /// The configuration in force on this instance.
    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        let configuration = self
            .configuration
            .read()
            .expect("no thread panics with the lock");
        Arc::clone(&configuration)
    }

    /// Proposes an operation and waits until a majority has synced it.
    ///
    /// # Errors
    ///
    /// Returns the state machine's refusal, or [`Reason::NoQuorum`] after the time-out. In the
    /// second case the operation may still take effect.
    pub(crate) fn propose<T>(&self, cx: &Context, operation: T) -> Result<Outcome, Refusal>
    where
        T: Into<Operation>,
    {
        let command = Command::new(Millis::unix_now(), operation);
        let bytes = command.encode();
        let outcome = self.call_voters(cx, |voter| match voter {
            Voter::Local(replica) => replica.propose(&command),
            Voter::Remote(name) => remote::propose(cx, name, &bytes),
        })?;
        match outcome {
            Outcome::Refused(refusal) => Err(refusal),
            outcome => Ok(outcome),
        }
    }

    /// Runs a query on state that a quorum has confirmed.
    ///
    /// # Errors
    ///
    /// Returns the state machine's refusal, or [`Reason::NoQuorum`] after the time-out.
    pub(crate) fn query(&self, cx: &Context, query: &Query) -> Result<QueryResult, Refusal> {
        let bytes = query.encode();
        let result = self.call_voters(cx, |voter| match voter {
            Voter::Local(replica) => replica.query(query),
            Voter::Remote(name) => remote::query(cx, name, &bytes),
        })?;
        match result {
            QueryResult::Refused(refusal) => Err(refusal),
            result => Ok(result),
        }
    }

    /// Stores blobs on a majority of the voters, synced.
    ///
    /// # Errors
    ///
    /// Fails if no majority stored them.
    pub(crate) fn put_blobs(
        &self,
        cx: &Context,
        blobs: Vec<Vec<u8>>,
    ) -> Result<Vec<BlobId>, Refusal> {
        let ids = blobs.iter().map(|blob| BlobId::of(blob)).collect();
        let mut stored = 0;
        let mut failure = None;
        if let Some(replica) = &self.replica {
            replica.put_blobs(&blobs)?;
            stored += usize::from(self.voters().contains(&self.owner.instance));
        }
        let voters = self.voters();
        let others = voters.iter().filter(|name| !self.is_local(name));
        for result in remote::put_blobs(cx, others, &blobs) {
            match result {
                Ok(()) => stored += 1,
                Err(refusal) => failure = Some(refusal),
            }
        }
        if stored > voters.len() / 2 {
            return Ok(ids);
        }
        Err(failure.unwrap_or_else(no_quorum))
    }

    /// Reads a blob from any voter that holds it.
    ///
    /// # Errors
    ///
    /// Fails if no reachable voter holds the blob.
    pub(crate) fn get_blob(&self, cx: &Context, id: &BlobId) -> Result<Vec<u8>, Refusal> {
        if let Some(replica) = &self.replica
            && let Some(data) = replica.get_blob(id)?
        {
            return Ok(data);
        }
        for name in self.voters().iter().filter(|name| !self.is_local(name)) {
            match remote::get_blob(cx, name, id) {
                Ok(Some(data)) => return Ok(data),
                Ok(None) => {}
                Err(refusal) => log::debug!("cannot read a blob from {name}: {refusal}"),
            }
        }
        Err(no_quorum())
    }

    /// Calls the voters in turn, the last known leader first, until one replies or the call times
    /// out.
    fn call_voters<T, F>(&self, cx: &Context, call_one: F) -> Result<T, Refusal>
    where
        F: Fn(Voter<'_>) -> CallOutcome<T>,
    {
        let deadline = cx.clock.now() + CALL_TIMEOUT;
        let mut may_have_run = false;
        let mut last = String::new();
        while cx.clock.now() < deadline {
            for name in self.voters_leader_first() {
                let voter = match &self.replica {
                    Some(replica) if self.is_local(&name) => Voter::Local(replica),
                    _ => Voter::Remote(&name),
                };
                match call_one(voter) {
                    CallOutcome::Reply(reply) => {
                        self.record_leader(Some(name));
                        return Ok(reply);
                    }
                    CallOutcome::Refused(refusal) => return Err(refusal),
                    CallOutcome::NotLeader(hint) => {
                        self.record_leader(hint);
                    }
                    CallOutcome::NotRun(error) => last = format!("{name}: {error}"),
                    CallOutcome::Unknown(error) => {
                        may_have_run = true;
                        last = format!("{name}: {error}");
                    }
                }
            }
            std::thread::sleep(RETRY_BACKOFF.duration());
        }
        let mut refusal = no_quorum();
        refusal.detail = format!("{} (last: {last})", refusal.detail);
        if may_have_run {
            refusal.verdict = yuccaseam_base::Verdict::MayHaveRun;
        }
        Err(refusal)
    }

    /// The voters of the local replica's group once the group has formed, otherwise the configured
    /// voters.
    fn voters(&self) -> Vec<InstanceName> {
        match self.replica_status() {
            Some(status) if !status.forming && !status.voters.is_empty() => status.voters,
            _ => self.voters.clone(),
        }
    }

    /// The voters, the last known leader first.
    fn voters_leader_first(&self) -> Vec<InstanceName> {
        let leader = self.leader.lock().expect("no thread panics with the lock");
        let mut names = self.voters();
        names.sort_by_key(|name| leader.as_ref() != Some(name));
        names
    }

    fn record_leader(&self, name: Option<InstanceName>) {
        let mut leader = self.leader.lock().expect("no thread panics with the lock");
        *leader = name;
    }

    fn is_local(&self, name: &InstanceName) -> bool {
        *name == self.owner.instance
    }
}

/// A voter, on this instance or on another.
enum Voter<'a> {
    Local(&'a Replica),
    Remote(&'a InstanceName),
}

fn no_quorum() -> Refusal {
    Refusal::not_run(
        Reason::NoQuorum,
        "no quorum of the instances with disks replied",
    )
    .with_retry_after(Millis::from_secs(1))
}
