//! Seams for fault tests of the real programs: what a test cannot do to a process from outside.
//!
//! Each is an environment variable that is unset in service. The platform passes none on.
//!
//! | variable | effect |
//! |---|---|
//! | `YUCCASEAM_TEST_RELAY_PORT` | connections to other instances go to this port of theirs, where a relay listens |
//! | `YUCCASEAM_TEST_CLOCK` | a file with an offset in ms that is added to the time of day |
//! | `YUCCASEAM_TEST_DISK` | a file with `full` (writes are refused) or `stall` (syncs hang) while that lasts |

use std::{
    env, fs, io,
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
    thread,
    time::Duration,
};

use yuccaseam_base::Millis;
use yuccaseam_journal::{
    Disk,
    Storage,
    StorageFile,
    StorageLock, //
};

/// How often a stalled disk looks whether it still is.
const STALL_LOOK: Duration = Duration::from_millis(10);

/// The seams of this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seams {
    pub(crate) relay_port: Option<u16>,
    clock: Option<PathBuf>,
    disk: Option<PathBuf>,
}

impl Seams {
    /// The seams that the environment names.
    pub(crate) fn from_env() -> Self {
        let path = |name| env::var_os(name).map(PathBuf::from);
        let port = env::var("YUCCASEAM_TEST_RELAY_PORT").ok();
        Self {
            relay_port: port.and_then(|port| port.parse().ok()),
            clock: path("YUCCASEAM_TEST_CLOCK"),
            disk: path("YUCCASEAM_TEST_DISK"),
        }
    }

    /// The time of day, which may jump.
    pub(crate) fn unix_now(&self) -> Millis {
        let now = Millis::unix_now();
        let Some(path) = &self.clock else {
            return now;
        };
        // The test writes the file while it is read: no number is no offset.
        let offset = fs::read_to_string(path).unwrap_or_default();
        let offset = offset.trim().parse::<i64>().unwrap_or_default();
        Millis(now.0.saturating_add_signed(offset))
    }

    /// The storage of the data folder.
    pub(crate) fn storage(&self) -> Arc<dyn Storage> {
        match &self.disk {
            None => Arc::new(Disk),
            Some(path) => Arc::new(FaultyDisk(Condition(path.as_path().into()))),
        }
    }
}

/// How a disk behaves at present.
#[derive(Clone, Debug)]
struct Condition(Arc<Path>);

impl Condition {
    /// A file that is missing or being written is no condition.
    fn is(&self, condition: &str) -> bool {
        fs::read_to_string(&self.0).is_ok_and(|text| text.trim() == condition)
    }

    /// Fails while the disk is full.
    fn check_room(&self) -> io::Result<()> {
        if self.is("full") {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// Waits while the disk is stalled.
    fn wait(&self) {
        while self.is("stall") {
            thread::sleep(STALL_LOOK);
        }
    }
}

#[derive(Debug)]
struct FaultyDisk(Condition);

impl FaultyDisk {
    fn file(&self, inner: Arc<dyn StorageFile>) -> Arc<dyn StorageFile> {
        let condition = self.0.clone();
        Arc::new(FaultyFile { inner, condition })
    }
}

impl Storage for FaultyDisk {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        Disk.create_folder(folder)
    }

    fn create(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>> {
        self.0.check_room()?;
        Disk.create(file).map(|inner| self.file(inner))
    }

    fn open(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>> {
        Disk.open(file).map(|inner| self.file(inner))
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        Disk.list(folder)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        Disk.rename(from, to)
    }

    fn remove(&self, file: &Path) -> io::Result<()> {
        Disk.remove(file)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.0.wait();
        Disk.sync_folder(folder)
    }

    fn lock(&self, file: &Path) -> io::Result<Option<Box<dyn StorageLock>>> {
        Disk.lock(file)
    }
}

#[derive(Debug)]
struct FaultyFile {
    inner: Arc<dyn StorageFile>,
    condition: Condition,
}

impl StorageFile for FaultyFile {
    fn size(&self) -> io::Result<u64> {
        self.inner.size()
    }

    fn read_at(&self, buf: &mut [u8], offset: u64) -> io::Result<()> {
        self.inner.read_at(buf, offset)
    }

    fn write_at(&self, buf: &[u8], offset: u64) -> io::Result<()> {
        self.condition.check_room()?;
        self.inner.write_at(buf, offset)
    }

    fn truncate(&self, len: u64) -> io::Result<()> {
        self.inner.truncate(len)
    }

    fn sync(&self) -> io::Result<()> {
        self.condition.wait();
        self.inner.sync()
    }
}
