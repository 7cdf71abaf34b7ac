//! The seam between the stores and the file system.

use std::{
    fmt,
    fs::{
        self,
        File,
        OpenOptions,
        TryLockError, //
    },
    io,
    os::unix::fs::FileExt,
    path::Path,
    sync::Arc, //
};

/// The operations on files that the stores need. [`Disk`] does them; a test wraps it to fail.
pub trait Storage: fmt::Debug + Send + Sync {
    /// Creates a folder and those above it, if they are missing.
    ///
    /// # Errors
    ///
    /// Fails as the file system does, here and in all other methods.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Creates an empty file for reading and writing. An existing one is emptied.
    fn create(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>>;

    /// Opens an existing file for reading and writing.
    fn open(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>>;

    /// The names of a folder's files, in no order.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Renames a file, replacing one of the new name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, file: &Path) -> io::Result<()>;

    /// Makes the names in a folder durable.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;

    /// Locks a file, which is created if it is missing, or returns `None` if it is locked.
    fn lock(&self, file: &Path) -> io::Result<Option<Box<dyn StorageLock>>>;
}

/// One open file.
pub trait StorageFile: fmt::Debug + Send + Sync {
    /// The length in bytes.
    ///
    /// # Errors
    ///
    /// Fails as the file system does, here and in all other methods.
    fn size(&self) -> io::Result<u64>;

    /// Fills `buf` from an offset.
    fn read_at(&self, buf: &mut [u8], offset: u64) -> io::Result<()>;

    /// Writes all of `buf` at an offset. A failure may leave a part of it.
    fn write_at(&self, buf: &[u8], offset: u64) -> io::Result<()>;

    /// Cuts the file to a length.
    fn truncate(&self, len: u64) -> io::Result<()>;

    /// Makes the content and the length durable.
    fn sync(&self) -> io::Result<()>;
}

/// A lock that is held until it is dropped.
pub trait StorageLock: fmt::Debug + Send + Sync {}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

impl Storage for Disk {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    fn create(&self, file: &Path) -> io::Result<Arc<dyn StorageFile>> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
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
