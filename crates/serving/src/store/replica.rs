//! The replica of this instance: the replication core, its disk and the replicated state.
//!
//! One task owns the core. Messages of other stores, requests of this process and replies of the disk
//! reach it through one queue; commands that wait there together share one write.

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
    Millis, //
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
    cx::Cx,
    state::{
        Command,
        Outcome,
        State, //
    },
};

use super::{
    GroupKeeper,
    transport::Frame, //
};

use driver::Driver;

/// How long a command or a read may take. Shorter than a caller's patience with one instance.
const ANSWER: Millis = Millis(2_000);

/// Why a command was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProposeError {
    /// This instance does not lead: nothing was done.
    NotLeader,
    /// It may take effect or not.
    Unknown,
}

type CommandReply = oneshot::Sender<Result<Outcome, ProposeError>>;

enum Input {
    Propose(Vec<u8>, CommandReply),
    Confirm(oneshot::Sender<bool>),
    Received(InstanceName, Frame),
    Disk(DiskReply<State>),
    HandOver,
}

enum Waiter {
    Propose(CommandReply),
    Confirm(oneshot::Sender<bool>),
}

/// What everyone on this instance may read.
#[derive(Default)]
struct Published {
    state: State,
    leader: Option<InstanceName>,
    lease_until: Option<Millis>,
    /// Whether the state holds everything that was acknowledged before this leader's term.
    is_current: bool,
    group: Membership,
}

/// What the driver and the handle share.
struct Shared {
    published: Arc<Mutex<Published>>,
    keeper: Arc<Mutex<GroupKeeper>>,
    changed: Arc<Notify>,
}

/// The replica of this instance.
pub(crate) struct Replica {
    cx: Arc<Cx>,
    tx: UnboundedSender<Input>,
    published: Arc<Mutex<Published>>,
    keeper: Arc<Mutex<GroupKeeper>>,
    changed: Arc<Notify>,
}

impl Replica {
    /// Opens the data folder and starts the replica.
    ///
    /// # Errors
    ///
    /// Fails if there is no data folder, or it is locked, damaged or not accessible.
    pub(crate) fn open(cx: &Arc<Cx>) -> anyhow::Result<Arc<Self>> {
        let settings = &cx.settings;
        let path = settings
            .data
            .as_ref()
            .context("a store needs a data folder")?;
        let folder = DataFolder::open_in(cx.seams.storage(), path)
            .with_context(|| format!("cannot open the data folder {}", path.display()))?;
        // The identity is random, so that any 64 bits of it are.
        let id = DiskId(folder.identity().0 as u64);
        let disk = Disk::open(&folder)?;
        let restored = disk.restore::<State>()?;
        cx.book().remember(&known_stores(&restored));
        let (tx, rx) = mpsc::unbounded_channel();
        let replies = tx.clone();
        let requests = yuccaseam_replica::start(disk, move |reply| {
            // The driver ends only with the process.
            let _ = replies.send(Input::Disk(reply));
        })?;
        let published = Arc::<Mutex<Published>>::default();
        let changed = Arc::new(Notify::new());
        let now = cx.clock.now();
        let keeper = GroupKeeper::new(
            settings.instance.clone(),
            settings.is_first_start,
            settings.tolerated_losses,
            now,
        );
        let keeper = Arc::new(Mutex::new(keeper));
        let shared = Shared {
            published: Arc::clone(&published),
            keeper: Arc::clone(&keeper),
            changed: Arc::clone(&changed),
        };
        let mut driver = Driver::new(id, Arc::clone(cx), requests, folder, shared);
        driver.start_core(restored);
        tokio::spawn(driver.run(rx));
        log::info!(disk:% = id; "the replica has started");
        Ok(Arc::new(Self {
            cx: Arc::clone(cx),
            tx,
            published,
            keeper,
            changed,
        }))
    }

    fn published(&self) -> std::sync::MutexGuard<'_, Published> {
        self.published
            .lock()
            .expect("no thread panics with the lock")
    }

    fn keeper(&self) -> std::sync::MutexGuard<'_, GroupKeeper> {
        self.keeper.lock().expect("no thread panics with the lock")
    }

    /// Reads the state as this replica knows it.
    pub(crate) fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&State) -> T,
    {
        read(&self.published().state)
    }

    /// Becomes ready once the state has changed after this call.
    pub(crate) fn changed(&self) -> OwnedNotified {
        Arc::clone(&self.changed).notified_owned()
    }

    /// The leader, as far as this replica knows.
    pub(crate) fn leader(&self) -> Option<InstanceName> {
        self.published().leader.clone()
    }

    /// Whether this replica leads, nobody else can, and its state is current.
    pub(crate) fn holds_lease(&self) -> bool {
        let published = self.published();
        let now = self.cx.clock.now();
        published.is_current && published.lease_until.is_some_and(|until| now < until)
    }

    /// Carries a command out.
    ///
    /// # Errors
    ///
    /// Says whether the command may take effect.
    pub(crate) async fn propose(&self, command: Command) -> Result<Outcome, ProposeError> {
        let (tx, rx) = oneshot::channel();
        let data = postcard::to_stdvec(&command).expect("plain data encodes");
        if self.tx.send(Input::Propose(data, tx)).is_err() {
            return Err(ProposeError::NotLeader);
        }
        match tokio::time::timeout(ANSWER.duration(), rx).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(ProposeError::Unknown),
        }
    }

    /// Waits until the state of this replica holds everything acknowledged before this call. False
    /// if this replica does not lead, or no quorum answers.
    pub(crate) async fn confirm(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Input::Confirm(tx)).is_err() {
            return false;
        }
        matches!(
            tokio::time::timeout(ANSWER.duration(), rx).await,
            Ok(Ok(true))
        )
    }

    /// Gives leadership to another voter.
    pub(crate) fn hand_over(&self) {
        // A driver that has ended leads nothing.
        let _ = self.tx.send(Input::HandOver);
    }

    /// Takes a message of another store in.
    pub(crate) fn on_packet(&self, from: InstanceName, message: &[u8]) {
        match postcard::from_bytes(message) {
            Ok(frame) => {
                // The driver ends only with the process.
                let _ = self.tx.send(Input::Received(from, frame));
            }
            Err(error) => log::warn!(peer:% = from, error:% = error; "a message is malformed"),
        }
    }

    /// Whether an instance can be emptied: `None` if it is unknown.
    pub(crate) fn can_retire(&self, name: &InstanceName) -> Option<bool> {
        let retiring = self.read(|state| state.retiring().clone());
        self.keeper()
            .can_retire(name, &retiring, self.cx.clock.now())
    }

    /// Whether nothing that must survive depends on an instance.
    pub(crate) fn has_left_group(&self, name: &InstanceName) -> bool {
        let published = self.published();
        let mut members = published.group.iter();
        members.all(|(_, member)| member.name != *name)
    }
}

/// Where stores were, as the snapshot or the log that follows it says.
fn known_stores((restored, state): &(Restored, State)) -> BTreeMap<InstanceName, IpAddr> {
    let commands = restored.entries.iter().rev();
    let noted = commands.filter_map(|entry| match &entry.payload {
        Payload::Command(data) => match postcard::from_bytes(data) {
            Ok(Command::NoteStores(stores)) => Some(stores),
            // A malformed entry is reported when it is applied.
            Ok(_) | Err(_) => None,
        },
        _ => None,
    });
    let mut noted = noted;
    noted.next().unwrap_or_else(|| state.stores().clone())
}
