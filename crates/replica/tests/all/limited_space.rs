//! A file system with limited space, and a state machine without a state.

use std::{
    io,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
};

use yuccaseam_base::Machine;
use yuccaseam_journal::{
    Disk as FileSystem,
    Storage,
    StorageFile,
    StorageLock, //
};

/// Writes that are as good as no limit.
pub(crate) const NO_LIMIT: u64 = u64::MAX / 2;

/// A file system with space for a number of writes, which wait while a test holds the gate.
#[derive(Clone, Debug)]
pub(crate) struct LimitedSpace {
    writes_left: Arc<AtomicU64>,
    pub(crate) gate: Arc<Mutex<()>>,
}

impl LimitedSpace {
    pub(crate) fn new() -> Self {
        let writes_left = Arc::new(AtomicU64::new(NO_LIMIT));
        let gate = Arc::default();
        Self { writes_left, gate }
    }

    /// Lets this many further writes succeed.
    pub(crate) fn set(&self, writes: u64) {
        self.writes_left.store(writes, Ordering::Relaxed);
    }

    fn take(&self) -> io::Result<()> {
        let _open = self.gate.lock().expect("no test panics with the gate");
        let take = |left: u64| left.checked_sub(1);
        let taken = self
            .writes_left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken
            .map(drop)
            .map_err(|_| io::ErrorKind::StorageFull.into())
    }

    fn file(&self, inner: Arc<dyn StorageFile>) -> Arc<dyn StorageFile> {
        let space = self.clone();
        Arc::new(LimitedFile { inner, space })
    }
}

impl Storage for LimitedSpace {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        FileSystem.create_folder(folder)
    }

    fn create(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>> {
        self.take()?;
        FileSystem.create(file).map(|inner| self.file(inner))
    }

    fn open(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>> {
        FileSystem.open(file).map(|inner| self.file(inner))
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        FileSystem.list(folder)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        FileSystem.rename(from, to)
    }

    fn remove(&self, file: &Path) -> io::Result<()> {
        FileSystem.remove(file)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        FileSystem.sync_folder(folder)
    }

    fn lock(&self, file: &Path) -> io::Result<Option<Box<dyn StorageLock>>> {
        FileSystem.lock(file)
    }
}

#[derive(Debug)]
struct LimitedFile {
    inner: Arc<dyn StorageFile>,
    space: LimitedSpace,
}

impl StorageFile for LimitedFile {
    fn size(&self) -> io::Result<u64> {
        self.inner.size()
    }

    fn read_at(&self, buf: &mut [u8], offset: u64) -> io::Result<()> {
        self.inner.read_at(buf, offset)
    }

    fn write_at(&self, buf: &[u8], offset: u64) -> io::Result<()> {
        self.space.take()?;
        self.inner.write_at(buf, offset)
    }

    fn truncate(&self, len: u64) -> io::Result<()> {
        self.inner.truncate(len)
    }

    fn sync(&self) -> io::Result<()> {
        self.inner.sync()
    }
}

/// State of a replica that has none.
pub(crate) struct Nothing;

impl Machine for Nothing {
    type Error = io::Error;

    fn empty() -> Self {
        Self
    }

    fn snapshot(&self) -> Vec<u8> {
        vec![7; 1_000]
    }

    fn restore(_: &[u8]) -> io::Result<Self> {
        Ok(Self)
    }
}
