//! The replica of an instance with a data folder.

use std::{
    path::Path,
    sync::Mutex, //
};

use anyhow::Context as _;
use yuccaseam_base::{
    Reason,
    Refusal, //
};
use yuccaseam_journal::{
    BlobStore,
    DataFolder,
    Entry,
    JournalError,
    Log,
    LogOptions, //
};
use yuccaseam_state::{
    Answer,
    BlobId,
    Command,
    LogIndex,
    Outcome,
    Query,
    State, //
};

use crate::store::remote::Replied;

/// A group of one voter: the log, the state and the blobs of one data folder.
pub(crate) struct Replica {
    inner: Mutex<Inner>,
    blobs: Mutex<BlobStore>,
}

struct Inner {
    log: Log,
    state: State,
}

/// The term of a group that has only ever had one voter.
const TERM: u64 = 1;

/// How many bytes of entries are read at a time.
const READ_BYTES: usize = 1 << 20;

impl Replica {
    /// Opens a data folder and applies its log.
    ///
    /// # Errors
    ///
    /// Fails if the folder is locked, damaged or not accessible.
    pub(crate) fn open(path: &Path) -> anyhow::Result<Self> {
        let folder = DataFolder::open(path)
            .with_context(|| format!("cannot open the data folder {}", path.display()))?;
        let log = Log::open(&folder, LogOptions::default()).context("cannot open the log")?;
        let blobs = BlobStore::open(&folder).context("cannot open the blobs")?;
        let mut inner = Inner {
            log,
            state: State::new(),
        };
        inner.replay()?;
        Ok(Self {
            inner: Mutex::new(inner),
            blobs: Mutex::new(blobs),
        })
    }

    pub(crate) fn propose(&self, command: &Command) -> Replied<Outcome> {
        let mut inner = self.inner.lock().expect("no thread panics with the lock");
        match inner.commit(command) {
            Ok(outcome) => Replied::Answer(outcome),
            Err(error) => Replied::Refused(error.refusal()),
        }
    }

    pub(crate) fn query(&self, query: &Query) -> Replied<Answer> {
        let inner = self.inner.lock().expect("no thread panics with the lock");
        Replied::Answer(inner.state.answer(query))
    }

    pub(crate) fn put_blobs(&self, blobs: &[Vec<u8>]) -> Result<(), Refusal> {
        let mut store = self.blobs.lock().expect("no thread panics with the lock");
        for blob in blobs {
            store.put(blob).map_err(|error| error.refusal())?;
        }
        store.sync().map_err(|error| error.refusal())
    }

    pub(crate) fn get_blob(&self, id: &BlobId) -> Result<Option<Vec<u8>>, Refusal> {
        let store = self.blobs.lock().expect("no thread panics with the lock");
        store
            .get(&yuccaseam_journal::BlobId(id.0))
            .map_err(|error| Refusal::not_run(Reason::Internal, error.to_string()))
    }
}

impl Inner {
    fn replay(&mut self) -> anyhow::Result<()> {
        let mut next = self.log.start().index + 1;
        let end = self.log.last().index + 1;
        while next < end {
            for entry in self.log.entries(next..end, READ_BYTES)? {
                next = entry.index + 1;
                let command = Command::decode(&entry.payload)
                    .with_context(|| format!("log entry {} is not a command", entry.index))?;
                self.state.apply(LogIndex(entry.index), &command);
            }
        }
        Ok(())
    }

    fn commit(&mut self, command: &Command) -> Result<Outcome, JournalError> {
        let index = self.log.last().index + 1;
        self.log.append(&[Entry {
            index,
            term: TERM,
            payload: command.encode(),
        }])?;
        self.log.sync()?;
        Ok(self.state.apply(LogIndex(index), command))
    }
}
