//! The blobs of this replica, and fetching those that it lacks.
//!
//! A blob is written to a majority before the command that refers to it is proposed, so that some
//! replicas may lack it. Each fetches what it lacks from the others. A learner takes a lost disk's
//! place only when it holds everything: otherwise the next lost disk could hold the only copy.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        mpsc::{
            self,
            Sender, //
        }, //
    },
    thread, //
};

use anyhow::Context as _;
use yuccaseam_base::{
    Clock,
    InstanceName,
    Millis,
    Reason,
    Refusal, //
};
use yuccaseam_journal::{
    BlobStore,
    DataFolder,
    JournalError, //
};
use yuccaseam_state::BlobId;

use crate::{
    peers::Links,
    settings::Settings,
    store::fetch_blob, //
};

use super::{
    Input,
    LiveBlobs,
    status::SharedStatus, //
};

/// The pause between two passes over the blobs of the state.
const PERIOD: Millis = Millis::from_secs(30);
/// The same while this replica does not vote: it waits for the passes to be promoted.
const PERIOD_JOINING: Millis = Millis(500);

/// The pause between two passes that look for blobs that nothing refers to. It is longer than a
/// caller may take between storing a blob and proposing the command that refers to it.
const COMPACTION_PERIOD: Millis = Millis::from_secs(600);

/// The blobs of this replica.
pub(crate) struct Blobs {
    store: Mutex<BlobStore>,
    /// Holds the lock of the data folder for the life of the process.
    _folder: DataFolder,
}

impl Blobs {
    pub(crate) fn new(store: BlobStore, folder: DataFolder) -> Self {
        Self {
            store: Mutex::new(store),
            _folder: folder,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BlobStore> {
        self.store.lock().expect("no thread panics with the lock")
    }

    /// Stores blobs, synced.
    pub(crate) fn put(&self, blobs: &[Vec<u8>]) -> Result<(), Refusal> {
        let mut store = self.lock();
        for blob in blobs {
            store.put(blob).map_err(|error| error.refusal())?;
        }
        store.sync().map_err(|error| error.refusal())
    }

    /// Reads a blob. One whose bytes have changed on the disk counts as missing from here on.
    pub(crate) fn get(&self, id: &BlobId) -> Result<Option<Vec<u8>>, Refusal> {
        let id = yuccaseam_journal::BlobId(id.0);
        let mut store = self.lock();
        match store.get(&id) {
            Err(error @ JournalError::Corrupt { .. }) => {
                log::error!("a blob is fetched anew: {error}");
                store.remove(&id).map_err(|error| error.refusal())?;
                Ok(None)
            }
            result => result.map_err(|error| Refusal::not_run(Reason::Internal, error.to_string())),
        }
    }

    /// Removes blobs that nothing referred to in this pass nor in the one before, and returns those
    /// that nothing refers to now.
    fn compact(
        &self,
        live: &BTreeSet<BlobId>,
        dead_before: &BTreeSet<BlobId>,
    ) -> Result<BTreeSet<BlobId>, JournalError> {
        let mut store = self.lock();
        let ids = store.ids()?.into_iter().map(|id| BlobId(id.0));
        let dead = ids.filter(|id| !live.contains(id)).collect();
        let done = store.compact(|id| {
            let id = BlobId(id.0);
            live.contains(&id) || !dead_before.contains(&id)
        })?;
        if done.removed > 0 {
            log::info!(
                "{} blobs removed, {} bytes freed",
                done.removed,
                done.freed_bytes
            );
        }
        Ok(dead)
    }

    fn lacks(&self, id: &BlobId) -> bool {
        let id = yuccaseam_journal::BlobId(id.0);
        !self.lock().contains(&id).unwrap_or(false)
    }
}

struct Repair {
    blobs: Arc<Blobs>,
    links: Links,
    others: Vec<InstanceName>,
    tx: Sender<Input>,
    status: SharedStatus,
    clock: Clock,
}

/// Starts the thread that fetches missing blobs. It ends with the process.
///
/// # Errors
///
/// Fails if no thread can be started.
pub(crate) fn start_repair(
    blobs: &Arc<Blobs>,
    settings: &Settings,
    links: &Links,
    tx: Sender<Input>,
    status: SharedStatus,
) -> anyhow::Result<()> {
    let others = settings.voters.iter();
    let repair = Repair {
        blobs: Arc::clone(blobs),
        links: links.clone(),
        others: others
            .filter(|&name| *name != settings.instance)
            .cloned()
            .collect(),
        tx,
        status,
        clock: Clock::start(),
    };
    thread::Builder::new()
        .name("replica-blobs".to_owned())
        .spawn(move || repair.run())
        .context("cannot start the blob thread")?;
    Ok(())
}

impl Repair {
    fn run(&self) {
        let mut whole = None;
        let mut dead = BTreeSet::new();
        let mut compact_at = COMPACTION_PERIOD;
        let mut pass_at = Millis::ZERO;
        loop {
            thread::sleep(PERIOD_JOINING.duration());
            let now = self.clock.now();
            if self.status.get().votes && now < pass_at {
                continue;
            }
            pass_at = now + PERIOD;
            let (reply, rx) = mpsc::channel();
            if self.tx.send(Input::LiveBlobs(reply)).is_err() {
                return;
            }
            let Ok(live) = rx.recv() else {
                continue;
            };
            if whole != Some(live.upto) && self.fetch_missing(&live) {
                whole = Some(live.upto);
                let upto = live.upto;
                // The driver ends only with the process.
                let _ = self.tx.send(Input::BlobsWhole { upto });
            }
            if self.clock.now() >= compact_at {
                compact_at = self.clock.now() + COMPACTION_PERIOD;
                let live = live.blobs.into_iter().collect();
                match self.blobs.compact(&live, &dead) {
                    Ok(found) => dead = found,
                    Err(error) => log::error!("blobs cannot be removed: {error}"),
                }
            }
        }
    }

    /// Fetches what this replica lacks and returns whether it has everything now.
    fn fetch_missing(&self, live: &LiveBlobs) -> bool {
        let missing = live.blobs.iter().filter(|id| self.blobs.lacks(id));
        let mut whole = true;
        for id in missing {
            whole &= self.fetch(id);
        }
        whole
    }

    fn fetch(&self, id: &BlobId) -> bool {
        for name in &self.others {
            if let Some(data) = fetch_blob(&self.links, name, id)
                && BlobId::of(&data) == *id
            {
                return self.blobs.put(&[data]).is_ok();
            }
        }
        log::warn!("no replica that answers holds a blob that this one lacks");
        false
    }
}
