//! Blobs of this replica, and repair of missing ones.
//!
//! A blob is written to a majority before the command that refers to it is proposed, so some
//! replicas may lack it and fetch it from the others. A learner replaces a lost disk only once it
//! holds every blob. Otherwise the next lost disk could hold the only copy of one.

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

/// Interval between repair passes of a voter.
const REPAIR_INTERVAL: Millis = Millis::from_secs(30);
/// Interval between repair passes while this replica is not a voter. It is short because promotion
/// requires a complete pass.
const JOINING_REPAIR_INTERVAL: Millis = Millis(500);

/// Interval between passes that remove unreferenced blobs. It is longer than a caller may take
/// between storing a blob and proposing the command that refers to it.
const COMPACTION_INTERVAL: Millis = Millis::from_secs(600);

/// The blobs of this replica.
pub(crate) struct Blobs {
    store: Mutex<BlobStore>,
    /// Holds the lock of the data folder until the process exits.
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

    /// Stores and syncs blobs.
    pub(crate) fn put(&self, blobs: &[Vec<u8>]) -> Result<(), Refusal> {
        let mut store = self.lock();
        for blob in blobs {
            store.put(blob).map_err(|error| error.refusal())?;
        }
        store.sync().map_err(|error| error.refusal())
    }

    /// Reads a blob. A corrupt one is removed from the index and counts as missing.
    pub(crate) fn get(&self, id: &BlobId) -> Result<Option<Vec<u8>>, Refusal> {
        let id = yuccaseam_journal::BlobId(id.0);
        let mut store = self.lock();
        match store.get(&id) {
            Err(error @ JournalError::Corrupt { .. }) => {
                log::error!("corrupt blob dropped, to be fetched from another replica: {error}");
                store.remove(&id).map_err(|error| error.refusal())?;
                Ok(None)
            }
            result => result.map_err(|error| Refusal::not_run(Reason::Internal, error.to_string())),
        }
    }

    /// Removes blobs that are unreferenced in both this pass and the previous one, and returns the
    /// blobs that are unreferenced now.
    fn compact(
        &self,
        live: &BTreeSet<BlobId>,
        unreferenced_before: &BTreeSet<BlobId>,
    ) -> Result<BTreeSet<BlobId>, JournalError> {
        let mut store = self.lock();
        let ids = store.ids()?.into_iter().map(|id| BlobId(id.0));
        let unreferenced = ids.filter(|id| !live.contains(id)).collect();
        let done = store.compact(|id| {
            let id = BlobId(id.0);
            live.contains(&id) || !unreferenced_before.contains(&id)
        })?;
        if done.removed > 0 {
            log::info!(
                "{} blobs removed, {} bytes freed",
                done.removed,
                done.freed_bytes
            );
        }
        Ok(unreferenced)
    }

    fn is_missing(&self, id: &BlobId) -> bool {
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

/// Starts the thread that fetches missing blobs, which runs until the process exits.
///
/// # Errors
///
/// Fails if the thread cannot be started.
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
        let mut complete_upto = None;
        let mut unreferenced = BTreeSet::new();
        let mut compact_at = COMPACTION_INTERVAL;
        let mut pass_at = Millis::ZERO;
        loop {
            thread::sleep(JOINING_REPAIR_INTERVAL.duration());
            let now = self.clock.now();
            if self.status.get().votes && now < pass_at {
                continue;
            }
            pass_at = now + REPAIR_INTERVAL;
            let (reply, rx) = mpsc::channel();
            if self.tx.send(Input::LiveBlobs(reply)).is_err() {
                return;
            }
            let Ok(live) = rx.recv() else {
                continue;
            };
            if complete_upto != Some(live.upto) && self.fetch_missing(&live) {
                complete_upto = Some(live.upto);
                let upto = live.upto;
                // The driver runs until the process exits.
                let _ = self.tx.send(Input::BlobsComplete { upto });
            }
            if self.clock.now() >= compact_at {
                compact_at = self.clock.now() + COMPACTION_INTERVAL;
                let live = live.blobs.into_iter().collect();
                match self.blobs.compact(&live, &unreferenced) {
                    Ok(found) => unreferenced = found,
                    Err(error) => log::error!("cannot remove unreferenced blobs: {error}"),
                }
            }
        }
    }

    /// Fetches the missing blobs and returns whether all live blobs are present now.
    fn fetch_missing(&self, live: &LiveBlobs) -> bool {
        let missing = live.blobs.iter().filter(|id| self.blobs.is_missing(id));
        let mut is_complete = true;
        for id in missing {
            is_complete &= self.fetch(id);
        }
        is_complete
    }

    fn fetch(&self, id: &BlobId) -> bool {
        for name in &self.others {
            if let Some(data) = fetch_blob(&self.links, name, id)
                && BlobId::of(&data) == *id
            {
                return self.blobs.put(&[data]).is_ok();
            }
        }
        log::warn!("no reachable replica holds a blob that is missing here");
        false
    }
}
