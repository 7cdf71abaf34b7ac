//! The replica of this instance: the replication core, its disk and the replicated state.
//!
//! One task, the driver, owns the core. Messages of other stores, requests of this process and
//! replies of the disk reach it through one queue. Commands queued together are written in one
//! batch.

mod driver;

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use anyhow::Context as _;
use tokio::sync::{
    Notify,
    futures::OwnedNotified,
    mpsc::{
        self,
        UnboundedSender, //
    },
    oneshot, //
};
use yuccaseam_base::{
    InstanceName,
    Millis,
    TeamName, //
};
use yuccaseam_journal::DataFolder;
use yuccaseam_quorum::{
    DiskId,
    Membership,
    Payload,
    Restored, //
};
use yuccaseam_replica::{
    Disk,
    DiskReply, //
};

use crate::{
    capacity,
    cx::Cx,
    intake::Submission,
    state::{
        Command,
        CommandOutcome,
        NewJob,
        State, //
    },
};

use super::{
    GroupManager,
    transport::Frame, //
};

use driver::Driver;

/// Time limit for a command or a read barrier. Shorter than the time-out of a call to one instance.
const REPLY_TIMEOUT: Millis = Millis(2_000);

/// Why a command has no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProposeError {
    /// This instance does not lead, and the command was not proposed.
    NotLeader,
    /// The command may or may not take effect.
    Unknown,
    /// The state has no room for the job, which does not run.
    NoCapacity,
    /// Too few stores would remain.
    TooFewLeft,
}

type CommandReply = oneshot::Sender<Result<CommandOutcome, ProposeError>>;

/// A job to propose, if the state has room for it.
struct JobProposal {
    team: Option<TeamName>,
    job: NewJob,
    /// Held until the outcome is known.
    submission: Submission,
    reply: CommandReply,
}

/// An event for the driver.
enum Input {
    Propose(Vec<u8>, CommandReply),
    ProposeJob(Box<JobProposal>),
    ProposeRetirement(InstanceName, CommandReply),
    ReadBarrier(oneshot::Sender<bool>),
    Received(InstanceName, Frame),
    Disk(DiskReply<State>),
    TransferLeadership,
}

/// Recipient of the outcome of an event.
enum Waiter {
    Propose {
        reply: CommandReply,
        /// The job in progress, if the command is one.
        _submission: Option<Submission>,
    },
    ReadBarrier(oneshot::Sender<bool>),
}

/// State of the driver that all tasks of this process may read.
#[derive(Default)]
struct Published {
    state: State,
    leader: Option<InstanceName>,
    lease_until: Option<Millis>,
    /// Whether the state includes everything acknowledged before this leader's term.
    is_current: bool,
    group: Membership,
    /// The group as of the last committed change.
    committed_group: Membership,
    /// Measured rate of the slowest link to a voter, in bytes per ms.
    link_rate: Option<u64>,
}

/// Shared between the driver and [`Replica`].
struct Shared {
    published: Arc<Mutex<Published>>,
    manager: Arc<Mutex<GroupManager>>,
    changed: Arc<Notify>,
}

/// Handle to the replica of this instance.
pub(crate) struct Replica {
    cx: Arc<Cx>,
    tx: UnboundedSender<Input>,
    published: Arc<Mutex<Published>>,
    manager: Arc<Mutex<GroupManager>>,
    changed: Arc<Notify>,
}

impl Replica {
    /// Opens the data folder and starts the replica.
    ///
    /// # Errors
    ///
    /// Fails if the settings name no data folder, or it is locked, damaged or inaccessible.
    pub(crate) fn open(cx: &Arc<Cx>) -> anyhow::Result<Arc<Self>> {
        let settings = &cx.settings;
        let path = settings
            .data
            .as_ref()
            .context("a store needs a data folder")?;
        let folder = DataFolder::open_in(cx.test_hooks.storage(), path)
            .with_context(|| format!("cannot open the data folder {}", path.display()))?;
        // The identity is random, so any 64 bits of it are as well.
        let id = DiskId(folder.identity().0 as u64);
        let disk = Disk::open(&folder)?;
        let restored = disk.restore::<State>()?;
        cx.address_book().remember(&known_stores(&restored));
        let (tx, rx) = mpsc::unbounded_channel();
        let replies = tx.clone();
        let requests = yuccaseam_replica::start(disk, move |reply| {
            // The driver runs until the process exits.
            let _ = replies.send(Input::Disk(reply));
        })?;
        let published = Arc::<Mutex<Published>>::default();
        let changed = Arc::new(Notify::new());
        let now = cx.clock.now();
        let manager = GroupManager::new(
            settings.instance.clone(),
            settings.is_first_start,
            settings.tolerated_losses,
            now,
        )
        .with_budget(cx.join_budget());
        let manager = Arc::new(Mutex::new(manager));
        let shared = Shared {
            published: Arc::clone(&published),
            manager: Arc::clone(&manager),
            changed: Arc::clone(&changed),
        };
        let mut driver = Driver::new(id, Arc::clone(cx), requests, folder, shared);
        driver.start_core(restored);
        let driver = tokio::spawn(driver.run(rx));
        tokio::spawn(async move {
            // Without its replica, a process that runs on would take the place of a store for good.
            if let Err(error) = driver.await
                && error.is_panic()
            {
                log::error!(error:% = error; "replica failed; process exits");
                std::process::exit(1);
            }
        });
        log::info!(disk:% = id; "replica started");
        Ok(Arc::new(Self {
            cx: Arc::clone(cx),
            tx,
            published,
            manager,
            changed,
        }))
    }

    fn published(&self) -> std::sync::MutexGuard<'_, Published> {
        self.published
            .lock()
            .expect("no thread panics with the lock")
    }

    fn manager(&self) -> std::sync::MutexGuard<'_, GroupManager> {
        self.manager.lock().expect("no thread panics with the lock")
    }

    /// Reads the local state, which may lag behind the leader's.
    pub(crate) fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&State) -> T,
    {
        read(&self.published().state)
    }

    /// Returns a future that completes at the first change of the state after this call.
    pub(crate) fn changed(&self) -> OwnedNotified {
        Arc::clone(&self.changed).notified_owned()
    }

    /// Last known leader.
    pub(crate) fn leader(&self) -> Option<InstanceName> {
        self.published().leader.clone()
    }

    /// Whether this replica holds the leader lease, so that no other can lead, and its state is
    /// current.
    pub(crate) fn holds_lease(&self) -> bool {
        let published = self.published();
        let now = self.cx.clock.now();
        published.is_current && published.lease_until.is_some_and(|until| now < until)
    }

    /// The measured rate of the slowest link to a voter, if it differs from the recorded one.
    pub(crate) fn new_link_rate(&self) -> Option<u64> {
        let published = self.published();
        let measured = published.link_rate?;
        capacity::is_new_rate(published.state.link_rate(), measured).then_some(measured)
    }

    /// Proposes a command and waits until it has been applied.
    ///
    /// # Errors
    ///
    /// Distinguishes commands that were not proposed from those that may still take effect.
    pub(crate) async fn propose(&self, command: Command) -> Result<CommandOutcome, ProposeError> {
        let data = encode(&command);
        self.await_outcome(|tx| Input::Propose(data, tx)).await
    }

    /// Proposes a job, unless the state has no room for it beside all jobs in progress, and waits until it has
    /// been applied.
    ///
    /// # Errors
    ///
    /// As for [`Self::propose`], and [`ProposeError::NoCapacity`].
    pub(crate) async fn propose_job(
        &self,
        team: Option<TeamName>,
        job: NewJob,
        submission: Submission,
    ) -> Result<CommandOutcome, ProposeError> {
        self.await_outcome(|reply| {
            Input::ProposeJob(Box::new(JobProposal {
                team,
                job,
                submission,
                reply,
            }))
        })
        .await
    }

    /// Proposes to retire an instance, unless too few stores would remain, and waits until that has been applied.
    ///
    /// # Errors
    ///
    /// As for [`Self::propose`], and [`ProposeError::TooFewLeft`].
    pub(crate) async fn propose_retirement(
        &self,
        instance: InstanceName,
    ) -> Result<CommandOutcome, ProposeError> {
        self.await_outcome(|reply| Input::ProposeRetirement(instance, reply))
            .await
    }

    async fn await_outcome<F>(&self, input: F) -> Result<CommandOutcome, ProposeError>
    where
        F: FnOnce(CommandReply) -> Input,
    {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(input(tx)).is_err() {
            return Err(ProposeError::NotLeader);
        }
        match tokio::time::timeout(REPLY_TIMEOUT.duration(), rx).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(ProposeError::Unknown),
        }
    }

    /// Waits until the local state includes everything acknowledged before this call. False if this
    /// replica does not lead, or no quorum answers in time.
    pub(crate) async fn read_barrier(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Input::ReadBarrier(tx)).is_err() {
            return false;
        }
        matches!(
            tokio::time::timeout(REPLY_TIMEOUT.duration(), rx).await,
            Ok(Ok(true))
        )
    }

    /// Transfers leadership to another voter.
    pub(crate) fn transfer_leadership(&self) {
        // After the end of the driver there is no leadership to transfer.
        let _ = self.tx.send(Input::TransferLeadership);
    }

    /// Handles a message of another store.
    pub(crate) fn on_packet(&self, from: InstanceName, message: &[u8]) {
        match postcard::from_bytes(message) {
            Ok(frame) => {
                // The driver runs until the process exits.
                let _ = self.tx.send(Input::Received(from, frame));
            }
            Err(error) => {
                log::warn!(peer:% = from, error:% = error; "malformed replication message")
            }
        }
    }

    /// Whether an instance is a store that this one has heard of.
    pub(crate) fn knows_store(&self, name: &InstanceName) -> bool {
        self.manager().knows(name)
    }

    /// Whether an instance is no longer a member of the group, and its removal is committed, so that it holds no
    /// data that must survive.
    pub(crate) fn has_left_group(&self, name: &InstanceName) -> bool {
        let published = self.published();
        let groups = [&published.group, &published.committed_group];
        let mut members = groups.into_iter().flat_map(Membership::iter);
        members.all(|(_, member)| member.name != *name)
    }
}

fn encode(command: &Command) -> Vec<u8> {
    postcard::to_stdvec(command).expect("plain data encodes")
}

/// Last recorded addresses of stores, from the log or else from the snapshot before it.
fn known_stores((restored, state): &(Restored, State)) -> BTreeMap<InstanceName, IpAddr> {
    let commands = restored.entries.iter().rev();
    let recorded = commands.filter_map(|entry| match &entry.payload {
        Payload::Command(data) => match postcard::from_bytes(data) {
            Ok(Command::NoteStores(stores)) => Some(stores),
            // The driver reports malformed entries when it applies them.
            Ok(_) | Err(_) => None,
        },
        _ => None,
    });
    let mut recorded = recorded;
    recorded.next().unwrap_or_else(|| state.stores().clone())
}
