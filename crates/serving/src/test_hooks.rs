//! Test hooks that inject faults into real processes which a test cannot cause from outside.
//!
//! Each hook is an environment variable that is unset in production: the platform passes none of
//! them on.
//!
//! | variable | effect |
//! |---|---|
//! | `YUCCASEAM_TEST_RELAY_PORT` | port for connections to other instances, on which a test relay listens |
//! | `YUCCASEAM_TEST_CLOCK` | file with an offset in ms that is added to the wall-clock time |
//! | `YUCCASEAM_TEST_DISK` | file that holds `full` while writes fail, or `stall` while syncs block |

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

/// Interval between checks whether a stalled disk has recovered.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Test hooks of this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct TestHooks {
    pub(crate) relay_port: Option<u16>,
    clock: Option<PathBuf>,
    disk: Option<PathBuf>,
}

impl TestHooks {
    /// Reads the hooks from the environment.
    pub(crate) fn from_env() -> Self {
        let path = |name| env::var_os(name).map(PathBuf::from);
        let port = env::var("YUCCASEAM_TEST_RELAY_PORT").ok();
        Self {
            relay_port: port.and_then(|port| port.parse().ok()),
            clock: path("YUCCASEAM_TEST_CLOCK"),
            disk: path("YUCCASEAM_TEST_DISK"),
        }
    }

    /// Wall-clock time, which may jump.
    pub(crate) fn unix_now(&self) -> Millis {
        let now = Millis::unix_now();
        let Some(path) = &self.clock else {
            return now;
        };
        // The test may be writing the file: an offset that does not parse counts as none.
        let offset = fs::read_to_string(path).unwrap_or_default();
        let offset = offset.trim().parse::<i64>().unwrap_or_default();
        Millis(now.0.saturating_add_signed(offset))
    }

    /// Storage for the data folder.
    pub(crate) fn storage(&self) -> Arc<dyn Storage> {
        match &self.disk {
            None => Arc::new(Disk),
            Some(path) => Arc::new(FaultyDisk(DiskFault(path.as_path().into()))),
        }
    }
}

/// Injected disk fault, read from a file at each check.
#[derive(Clone, Debug)]
struct DiskFault(Arc<Path>);

impl DiskFault {
    /// Whether the fault is active. A file that is missing or being written means no fault.
    fn is_active(&self, fault: &str) -> bool {
        fs::read_to_string(&self.0).is_ok_and(|text| text.trim() == fault)
    }

    /// Fails while the injected fault is a full disk.
    fn check_space(&self) -> io::Result<()> {
        if self.is_active("full") {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// Blocks while the injected fault is a stalled disk.
    fn wait_while_stalled(&self) {
        while self.is_active("stall") {
            thread::sleep(STALL_POLL_INTERVAL);
        }
    }
}

#[derive(Debug)]
struct FaultyDisk(DiskFault);

impl FaultyDisk {
    fn file(&self, inner: Arc<dyn StorageFile>) -> Arc<dyn StorageFile> {
        let fault = self.0.clone();
        Arc::new(FaultyFile { inner, fault })
    }
}

impl Storage for FaultyDisk {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        Disk.create_folder(folder)
    }

    fn create(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>> {
        self.0.check_space()?;
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
        self.0.wait_while_stalled();
        Disk.sync_folder(folder)
    }

    fn lock(&self, file: &Path) -> io::Result<Option<Box<dyn StorageLock>>> {
        Disk.lock(file)
    }
}

#[derive(Debug)]
struct FaultyFile {
    inner: Arc<dyn StorageFile>,
    fault: DiskFault,
}

impl StorageFile for FaultyFile {
    fn size(&self) -> io::Result<u64> {
        self.inner.size()
    }

    fn read_at(&self, buf: &mut [u8], offset: u64) -> io::Result<()> {
        self.inner.read_at(buf, offset)
    }

    fn write_at(&self, buf: &[u8], offset: u64) -> io::Result<()> {
        self.fault.check_space()?;
        self.inner.write_at(buf, offset)
    }

    fn truncate(&self, len: u64) -> io::Result<()> {
        self.inner.truncate(len)
    }

    fn sync(&self) -> io::Result<()> {
        self.fault.wait_while_stalled();
        self.inner.sync()
    }
}
