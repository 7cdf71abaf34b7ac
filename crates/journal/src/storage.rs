//! File system abstraction used by the stores.

use std::{
    fmt,
    fs::{
        self,
        DirBuilder,
        File,
        OpenOptions,
        TryLockError, //
    },
    io,
    os::unix::fs::{
        DirBuilderExt,
        FileExt,
        OpenOptionsExt, //
    },
    path::Path,
    sync::Arc, //
};

/// File system operations used by the stores. [`Disk`] implements them; tests wrap it to inject
/// faults.
pub trait Storage: fmt::Debug + Send + Sync {
    /// Creates a folder and its parents if they are missing.
    ///
    /// # Errors
    ///
    /// All methods return the error of the file system.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Creates a file for reading and writing. Truncates an existing one.
    fn create(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>>;

    /// Opens an existing file for reading and writing.
    fn open(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>>;

    /// Lists the names of a folder's files, in no particular order.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Renames a file, replacing an existing one.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, file: &Path) -> io::Result<()>;

    /// Makes the directory entries of a folder durable.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;

    /// Locks a file, creating it if missing. Returns `None` if another process holds the lock.
    fn lock(&self, file: &Path) -> io::Result<Option<Box<dyn StorageLock>>>;
}

/// An open file.
pub trait StorageFile: fmt::Debug + Send + Sync {
    /// Length in bytes.
    ///
    /// # Errors
    ///
    /// All methods return the error of the file system.
    fn size(&self) -> io::Result<u64>;

    /// Fills `buf` from an offset.
    fn read_at(&self, buf: &mut [u8], offset: u64) -> io::Result<()>;

    /// Writes all of `buf` at an offset. A failed write may be partial.
    fn write_at(&self, buf: &[u8], offset: u64) -> io::Result<()>;

    /// Truncates the file to a length.
    fn truncate(&self, len: u64) -> io::Result<()>;

    /// Makes content and length durable.
    fn sync(&self) -> io::Result<()>;
}

/// A lock that is held until it is dropped.
pub trait StorageLock: fmt::Debug + Send + Sync {}

/// Permissions of created files. Logs may hold secrets, such as API keys.
const FILE_MODE: u32 = 0o600;
/// Permissions of created folders.
const FOLDER_MODE: u32 = 0o700;

/// The file system of the operating system. What it creates is readable by its own user only.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

impl Storage for Disk {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        DirBuilder::new()
            .recursive(true)
            .mode(FOLDER_MODE)
            .create(folder)
    }

    fn create(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .mode(FILE_MODE)
            .open(file)?;
        Ok(Arc::new(file))
    }

    fn open(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>> {
        let file = OpenOptions::new().read(true).write(true).open(file)?;
        Ok(Arc::new(file))
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.push(entry.file_name().to_string_lossy().into_owned());
            }
        }
        Ok(names)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, file: &Path) -> io::Result<()> {
        fs::remove_file(file)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }

    fn lock(&self, file: &Path) -> io::Result<Option<Box<dyn StorageLock>>> {
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .mode(FILE_MODE)
            .open(file)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Box::new(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}

impl StorageLock for File {}

impl StorageFile for File {
    fn size(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, buf: &mut [u8], offset: u64) -> io::Result<()> {
        self.read_exact_at(buf, offset)
    }

    fn write_at(&self, buf: &[u8], offset: u64) -> io::Result<()> {
        self.write_all_at(buf, offset)
    }

    fn truncate(&self, len: u64) -> io::Result<()> {
        self.set_len(len)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
