//! The data folder: its lock and the identity of its disk.

use std::{
    fmt,
    fs,
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc, //
};

use yuccaseam_base::key;

use crate::{
    error::JournalError,
    storage::{
        Disk,
        Storage,
        StorageLock, //
    }, //
};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
const IDENTITY_TEMPORARY_FILE: &str = "identity.tmp";

/// Length of the identity file: the identity and its CRC-32.
const IDENTITY_BYTES: usize = 20;

/// Random identity of a disk, assigned when its data folder is created.
///
/// A member that restarts with a different identity has lost its disk. It must not vote, as it has
/// also lost its earlier votes.
#[key]
pub struct DiskIdentity(pub u128);

impl fmt::Display for DiskIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A locked data folder.
#[derive(Debug)]
pub struct DataFolder {
    storage: Arc<dyn Storage>,
    path: PathBuf,
    identity: DiskIdentity,
    created: bool,
    _lock: Box<dyn StorageLock>,
}

impl DataFolder {
    /// Opens or creates the data folder at a path in the file system.
    ///
    /// # Errors
    ///
    /// [`JournalError::Locked`] if another process holds the lock; [`JournalError::Corrupt`] if the
    /// identity is invalid, or is missing although there is data.
    pub fn open<P>(path: P) -> Result<Self, JournalError>
    where
        P: AsRef<Path>,
    {
        Self::open_in(Arc::new(Disk), path)
    }

    /// Opens or creates the data folder at a path in `storage`.
    ///
    /// # Errors
    ///
    /// See [`DataFolder::open`].
    pub fn open_in<P>(storage: Arc<dyn Storage>, path: P) -> Result<Self, JournalError>
    where
        P: AsRef<Path>,
    {
        let path = absolute(path.as_ref())?;
        create_durably(&*storage, &path)?;
        let lock_file = path.join(LOCK_FILE);
        let lock = storage
            .lock(&lock_file)
            .map_err(|e| JournalError::io(&lock_file, e))?
            .ok_or_else(|| JournalError::Locked {
                folder: path.clone(),
            })?;
        let found = read_identity(&*storage, &path)?;
        let created = found.is_none();
        let identity = match found {
            Some(identity) => identity,
            None => write_identity(&*storage, &path)?,
        };
        // An earlier process may have terminated between writing the identity and this sync.
        storage
            .sync_folder(&path)
            .map_err(|e| JournalError::sync(&path, e))?;
        Ok(Self {
            storage,
            path,
            identity,
            created,
            _lock: lock,
        })
    }

    /// Identity of the disk.
    pub fn identity(&self) -> DiskIdentity {
        self.identity
    }

    /// Whether this open created the identity, so that the disk has no earlier state.
    pub fn was_empty(&self) -> bool {
        self.created
    }

    /// Absolute path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn storage(&self) -> Arc<dyn Storage> {
        Arc::clone(&self.storage)
    }

    /// Opens or creates a subfolder.
    pub(crate) fn subfolder(&self, name: &str) -> Result<PathBuf, JournalError> {
        let path = self.path.join(name);
        create_durably(&*self.storage, &path)?;
        Ok(path)
    }
}

fn absolute(path: &Path) -> Result<PathBuf, JournalError> {
    std::path::absolute(path).map_err(|e| JournalError::io(path, e))
}

/// Creates a folder and its parents, and syncs the parent of each.
fn create_durably(storage: &dyn Storage, path: &Path) -> Result<(), JournalError> {
    if path.is_dir() {
        return Ok(());
    }
    let io = |e| JournalError::io(path, e);
    if let Some(parent) = path.parent() {
        create_durably(storage, parent)?;
    }
    storage.create_folder(path).map_err(io)?;
    match path.parent() {
        Some(parent) => storage.sync_folder(parent).map_err(io),
        None => Ok(()),
    }
}

fn read_identity(
    storage: &dyn Storage,
    folder: &Path,
) -> Result<Option<DiskIdentity>, JournalError> {
    let path = folder.join(IDENTITY_FILE);
    let io = |e| JournalError::io(&path, e);
    if !path.exists() {
        return refuse_data_without_identity(folder);
    }
    let file = storage.open(&path).map_err(io)?;
    let mut buf = [0; IDENTITY_BYTES];
    if file.size().map_err(io)? != IDENTITY_BYTES as u64 {
        return Err(JournalError::corrupt(
            &path,
            0,
            "identity file has the wrong length",
        ));
    }
    file.read_at(&mut buf, 0).map_err(io)?;
    let (number, crc) = buf.split_at(16);
    if crc32fast::hash(number).to_le_bytes() != crc {
        return Err(JournalError::corrupt(
            &path,
            0,
            "identity checksum mismatch",
        ));
    }
    let number = number.try_into().expect("the split is at 16 bytes");
    Ok(Some(DiskIdentity(u128::from_le_bytes(number))))
}

/// Fails if there is data without an identity. The identity is durable before any store creates its
/// subfolder, so a folder without either is new.
fn refuse_data_without_identity(folder: &Path) -> Result<Option<DiskIdentity>, JournalError> {
    let entries = fs::read_dir(folder).map_err(|e| JournalError::io(folder, e))?;
    for entry in entries {
        let entry = entry.map_err(|e| JournalError::io(folder, e))?;
        if entry.path().is_dir() {
            return Err(JournalError::corrupt(
                &folder.join(IDENTITY_FILE),
                0,
                "identity file is missing but data exists",
            ));
        }
    }
    Ok(None)
}

fn write_identity(storage: &dyn Storage, folder: &Path) -> Result<DiskIdentity, JournalError> {
    let temporary = folder.join(IDENTITY_TEMPORARY_FILE);
    let path = folder.join(IDENTITY_FILE);
    let io = |e| JournalError::io(&path, e);
    let identity = DiskIdentity(rand::random());
    let number = identity.0.to_le_bytes();
    let mut buf = number.to_vec();
    buf.extend(crc32fast::hash(&number).to_le_bytes());
    let file = storage.create(&temporary).map_err(io)?;
    file.write_at(&buf, 0).map_err(io)?;
    file.sync().map_err(io)?;
    storage.rename(&temporary, &path).map_err(io)?;
    Ok(identity)
}
