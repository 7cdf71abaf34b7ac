//! The durable state, wherever it is: on this instance or on others.
//!
//! [`Store`] gives the rest of the daemon one way to propose commands, ask queries and keep blobs.
//! An instance with a data folder answers from its own [`Replica`]; every other one asks the
//! voters over `tonic`.
//!
//! # Invariants
//!
//! - A proposal is answered only once a majority has synced it.
//! - A proposal may be carried out although its answer is lost. Each operation is idempotent, so
//!   that proposing it again is safe.

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
        Status, //
    },
    settings::Settings, //
};

pub(crate) use remote::{
    Replied,
    fetch_blob, //
};
pub(crate) use service::StoreService;

/// How long a call to the store may take in all.
const DEADLINE: Millis = Millis(8_000);
/// The pause before the voters are asked again after none of them answered.
const PAUSE: Millis = Millis(100);

/// The durable state as this daemon reaches it.
pub(crate) struct Store {
    replica: Option<Replica>,
    /// This run of this daemon, as leases and claims name it.
    owner: OwnerId,
    voters: Vec<InstanceName>,
    /// The voter that answered last.
    leader: Mutex<Option<InstanceName>>,
    configuration: RwLock<Arc<Configuration>>,
    /// The kinds of work for which chunks of jobs wait.
    waiting: RwLock<BTreeSet<Work>>,
    clock: Clock,
}

impl Store {
    /// Opens the replica of this instance, if it has a data folder.
    ///
    /// # Errors
    ///
    /// Returns the error of the data folder.
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

    /// Where messages of other replicas go, if there is a replica here.
    pub(crate) fn replica_inputs(&self) -> Option<Sender<Input>> {
        self.replica.as_ref().map(Replica::inputs)
    }

    /// What the replica of this instance last knew, if there is one.
    pub(crate) fn replica_status(&self) -> Option<Status> {
        self.replica.as_ref().map(Replica::status)
    }

    /// Gives leadership to another voter before a planned stop.
    pub(crate) fn hand_over(&self) {
        if let Some(replica) = &self.replica {
            replica.hand_over();
        }
    }

    /// This run of this daemon.
    pub(crate) fn owner(&self) -> &OwnerId {
        &self.owner
    }

    /// The configuration that runs here.
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
    /// Returns the refusal of the state machine, or says that no quorum answered in time. In the
    /// second case the operation may still take effect.
    pub(crate) fn propose<T>(&self, cx: &Context, operation: T) -> Result<Outcome, Refusal>
    where
        T: Into<Operation>,
    {
        let command = Command::new(Millis::unix_now(), operation);
        let bytes = command.encode();
        let outcome = self.ask(cx, |voter| match voter {
            Voter::Here(replica) => replica.propose(&command),
            Voter::There(name) => remote::propose(cx, name, &bytes),
        })?;
        match outcome {
            Outcome::Refused(refusal) => Err(refusal),
            outcome => Ok(outcome),
        }
    }

    /// Answers a query from state that a quorum has confirmed.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the state machine, or says that no quorum answered in time.
    pub(crate) fn query(&self, cx: &Context, query: &Query) -> Result<QueryResult, Refusal> {
        let bytes = query.encode();
        let answer = self.ask(cx, |voter| match voter {
            Voter::Here(replica) => replica.query(query),
            Voter::There(name) => remote::query(cx, name, &bytes),
        })?;
        match answer {
            QueryResult::Refused(refusal) => Err(refusal),
            answer => Ok(answer),
        }
    }

    /// Stores blobs on a majority of the voters, synced.
    ///
    /// # Errors
    ///
    /// Fails if fewer than a majority have stored them.
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
        let others = voters.iter().filter(|name| !self.is_here(name));
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

    /// Reads a blob from whichever voter holds it.
    ///
    /// # Errors
    ///
    /// Fails if no voter that answers holds the blob.
    pub(crate) fn get_blob(&self, cx: &Context, id: &BlobId) -> Result<Vec<u8>, Refusal> {
        if let Some(replica) = &self.replica
            && let Some(data) = replica.get_blob(id)?
        {
            return Ok(data);
        }
        for name in self.voters().iter().filter(|name| !self.is_here(name)) {
            match remote::get_blob(cx, name, id) {
                Ok(Some(data)) => return Ok(data),
                Ok(None) => {}
                Err(refusal) => log::debug!("no blob from {name}: {refusal}"),
            }
        }
        Err(no_quorum())
    }

    /// Asks one voter after another until one answers, beginning with the leader.
    fn ask<T, F>(&self, cx: &Context, try_one: F) -> Result<T, Refusal>
    where
        F: Fn(Voter<'_>) -> Replied<T>,
    {
        let deadline = cx.clock.now() + DEADLINE;
        let mut may_have_run = false;
        let mut last = String::new();
        while cx.clock.now() < deadline {
            for name in self.in_order() {
                let voter = match &self.replica {
                    Some(replica) if self.is_here(&name) => Voter::Here(replica),
                    _ => Voter::There(&name),
                };
                match try_one(voter) {
                    Replied::Answer(answer) => {
                        self.remember_leader(Some(name));
                        return Ok(answer);
                    }
                    Replied::Refused(refusal) => return Err(refusal),
                    Replied::NotLeader(hint) => {
                        self.remember_leader(hint);
                    }
                    Replied::NotSent(error) => last = format!("{name}: {error}"),
                    Replied::Lost(error) => {
                        may_have_run = true;
                        last = format!("{name}: {error}");
                    }
                }
            }
            std::thread::sleep(PAUSE.duration());
        }
        let mut refusal = no_quorum();
        refusal.detail = format!("{} (last: {last})", refusal.detail);
        if may_have_run {
            refusal.verdict = yuccaseam_base::Verdict::MayHaveRun;
        }
        Err(refusal)
    }

    /// The instances that vote: those of the replica here, once it knows a whole group, or else
    /// the configured ones.
    fn voters(&self) -> Vec<InstanceName> {
        match self.replica_status() {
            Some(status) if !status.forming && !status.voters.is_empty() => status.voters,
            _ => self.voters.clone(),
        }
    }

    /// The voters, the last known leader first.
    fn in_order(&self) -> Vec<InstanceName> {
        let leader = self.leader.lock().expect("no thread panics with the lock");
        let mut names = self.voters();
        names.sort_by_key(|name| leader.as_ref() != Some(name));
        names
    }

    fn remember_leader(&self, name: Option<InstanceName>) {
        let mut leader = self.leader.lock().expect("no thread panics with the lock");
        *leader = name;
    }

    fn is_here(&self, name: &InstanceName) -> bool {
        *name == self.owner.instance
    }
}

/// One voter, on this instance or on another.
enum Voter<'a> {
    Here(&'a Replica),
    There(&'a InstanceName),
}

fn no_quorum() -> Refusal {
    Refusal::not_run(
        Reason::NoQuorum,
        "no quorum of the instances with disks answers",
    )
    .with_retry_after(Millis::from_secs(1))
}
