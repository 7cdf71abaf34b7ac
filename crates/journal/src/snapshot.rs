//! Snapshots of a state machine.
//!
//! A snapshot is written to a temporary file, synced and renamed, so that a file with a final name
//! is complete. It contains the data and a trailer with the position, the length and the SHA-256 of
//! the data.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    }, //
};

use sha2::{
    Digest,
    Sha256, //
};
use yuccaseam_base::key;

use crate::{
    error::JournalError,
    folder::DataFolder,
    log::{
        Log,
        Position, //
    },
    snapshot_file::{
        encode_trailer,
        verify, //
    },
    snapshot_transfer::SnapshotReceiver,
    storage::{
        Storage,
        StorageFile, //
    }, //
};

const FOLDER: &str = "snapshots";
const SUFFIX: &str = ".snap";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Identity of a snapshot: two with the same value have the same data.
#[key]
pub struct SnapshotMeta {
    /// Position of the last entry that the snapshot covers.
    pub position: Position,
    /// Length of the data in bytes.
    pub len: u64,
    /// SHA-256 of the data.
    pub digest: [u8; 32],
}

/// The snapshots of a data folder.
#[derive(Debug)]
pub struct Snapshots {
    storage: Arc<dyn Storage>,
    folder: PathBuf,
    latest: Option<SnapshotMeta>,
    damaged: Vec<PathBuf>,
    next_temporary: AtomicU64,
}

impl Snapshots {
    /// Finds the newest valid snapshot and removes incomplete ones.
    ///
    /// # Errors
    ///
    /// [`JournalError::Corrupt`] if there are snapshots and none is valid.
    pub fn open(folder: &DataFolder) -> Result<Self, JournalError> {
        let storage = folder.storage();
        let folder = folder.subfolder(FOLDER)?;
        let mut snapshots = Self {
            storage,
            folder,
            latest: None,
            damaged: Vec::new(),
            next_temporary: AtomicU64::new(0),
        };
        snapshots.remove_temporaries()?;
        snapshots.find_latest()?;
        Ok(snapshots)
    }

    /// Metadata of the newest snapshot.
    pub fn latest(&self) -> Option<SnapshotMeta> {
        self.latest
    }

    /// Paths of damaged snapshots found at open that are newer than the one in use.
    pub fn damaged(&self) -> &[PathBuf] {
        &self.damaged
    }

    /// Checks that the newest snapshot covers all entries dropped from the log.
    ///
    /// # Errors
    ///
    /// [`JournalError::Corrupt`] if there is a gap between the snapshot and the log.
    pub fn check_covers(&self, log: &Log) -> Result<(), JournalError> {
        let covered = self.latest.map_or(0, |meta| meta.position.index);
        if log.start().index > covered {
            let what = "no valid snapshot covers the start of the log";
            return Err(JournalError::corrupt(&self.folder, 0, what));
        }
        Ok(())
    }

    /// Opens the newest snapshot for reading. The reader remains valid when a newer snapshot
    /// replaces it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn reader(&self) -> Result<Option<SnapshotReader>, JournalError> {
        let Some(meta) = self.latest else {
            return Ok(None);
        };
        let path = self.path(meta.position);
        let file = self
            .storage
            .open(&path)
            .map_err(|e| JournalError::io(&path, e))?;
        Ok(Some(SnapshotReader { meta, path, file }))
    }

    /// Starts a snapshot of the state machine at a position.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn writer(&self, position: Position) -> Result<SnapshotWriter, JournalError> {
        let number = self.next_temporary.fetch_add(1, Ordering::Relaxed);
        let name = format!("{}-{number}{TEMPORARY_SUFFIX}", file_stem(position));
        let path = self.folder.join(name);
        let file = self
            .storage
            .create(&path)
            .map_err(|e| JournalError::io(&path, e))?;
        Ok(SnapshotWriter {
            temporary: TemporaryFile {
                storage: Arc::clone(&self.storage),
                path,
                renamed: false,
            },
            file,
            position,
            len: 0,
            hasher: Sha256::new(),
        })
    }

    /// Starts receiving a snapshot from another replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn receiver(&self, meta: SnapshotMeta) -> Result<SnapshotReceiver, JournalError> {
        let writer = self.writer(meta.position)?;
        Ok(SnapshotReceiver::new(meta, writer))
    }

    /// Durably installs a sealed snapshot as the newest one and removes older ones. Discards it if
    /// it is not newer. Returns the newest snapshot's metadata.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn install(&mut self, mut sealed: SealedSnapshot) -> Result<SnapshotMeta, JournalError> {
        if let Some(latest) = self.latest
            && latest.position.index >= sealed.meta.position.index
        {
            return Ok(latest);
        }
        let path = self.path(sealed.meta.position);
        self.storage
            .rename(&sealed.temporary.path, &path)
            .map_err(|e| JournalError::io(&path, e))?;
        sealed.temporary.renamed = true;
        self.sync_folder()?;
        self.latest = Some(sealed.meta);
        self.remove_older(sealed.meta.position)?;
        Ok(sealed.meta)
    }

    fn path(&self, position: Position) -> PathBuf {
        self.folder.join(format!("{}{SUFFIX}", file_stem(position)))
    }

    fn names(&self) -> Result<Vec<String>, JournalError> {
        self.storage
            .list(&self.folder)
            .map_err(|e| JournalError::io(&self.folder, e))
    }

    fn remove(&self, name: &str) -> Result<(), JournalError> {
        let path = self.folder.join(name);
        self.storage
            .remove(&path)
            .map_err(|e| JournalError::io(&path, e))
    }

    fn remove_temporaries(&self) -> Result<(), JournalError> {
        for name in self.names()? {
            if name.ends_with(TEMPORARY_SUFFIX) {
                self.remove(&name)?;
            }
        }
        // An earlier process may have terminated between a rename and its sync.
        self.sync_folder()
    }

    fn sync_folder(&self) -> Result<(), JournalError> {
        self.storage
            .sync_folder(&self.folder)
            .map_err(|e| JournalError::sync(&self.folder, e))
    }

    fn remove_older(&self, than: Position) -> Result<(), JournalError> {
        for name in self.names()? {
            if position_of(&name).is_some_and(|position| position < than) {
                self.remove(&name)?;
            }
        }
        Ok(())
    }

    fn find_latest(&mut self) -> Result<(), JournalError> {
        let names = self.names()?;
        let mut positions: Vec<_> = names.iter().filter_map(|name| position_of(name)).collect();
        positions.sort_unstable();
        for &position in positions.iter().rev() {
            let path = self.path(position);
            match verify(&*self.storage, &path, position)? {
                Some(meta) => {
                    self.latest = Some(meta);
                    return Ok(());
                }
                None => self.damaged.push(path),
            }
        }
        match self.damaged.first() {
            Some(path) => Err(JournalError::corrupt(path, 0, "no valid snapshot found")),
            None => Ok(()),
        }
    }
}

/// Reader of a snapshot.
#[derive(Debug)]
pub struct SnapshotReader {
    meta: SnapshotMeta,
    path: PathBuf,
    file: Arc<dyn StorageFile>,
}

impl SnapshotReader {
    /// Metadata of the snapshot.
    pub fn meta(&self) -> SnapshotMeta {
        self.meta
    }

    /// Reads up to `len` bytes of the data from an offset: fewer at the end, none beyond it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, JournalError> {
        let left = self.meta.len.saturating_sub(offset);
        let mut buf = vec![0; left.min(len as u64) as usize];
        self.file
            .read_at(&mut buf, offset)
            .map_err(|e| JournalError::io(&self.path, e))?;
        Ok(buf)
    }

    /// Reads all of the data.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn read_all(&self) -> Result<Vec<u8>, JournalError> {
        let len = usize::try_from(self.meta.len).map_err(|_| JournalError::WrongSnapshot)?;
        self.read(0, len)
    }
}

/// Writer of a snapshot.
#[derive(Debug)]
pub struct SnapshotWriter {
    temporary: TemporaryFile,
    file: Arc<dyn StorageFile>,
    position: Position,
    len: u64,
    hasher: Sha256,
}

impl SnapshotWriter {
    /// Appends to the data.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn write(&mut self, buf: &[u8]) -> Result<(), JournalError> {
        self.file
            .write_at(buf, self.len)
            .map_err(|e| JournalError::io(&self.temporary.path, e))?;
        self.len += buf.len() as u64;
        self.hasher.update(buf);
        Ok(())
    }

    /// Number of data bytes written.
    pub(crate) fn len(&self) -> u64 {
        self.len
    }

    /// Writes the trailer and syncs the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn seal(self) -> Result<SealedSnapshot, JournalError> {
        let meta = SnapshotMeta {
            position: self.position,
            len: self.len,
            digest: self.hasher.finalize().into(),
        };
        let path = &self.temporary.path;
        self.file
            .write_at(&encode_trailer(&meta), self.len)
            .map_err(|e| JournalError::io(path, e))?;
        self.file.sync().map_err(|e| JournalError::sync(path, e))?;
        Ok(SealedSnapshot {
            temporary: self.temporary,
            meta,
        })
    }
}

/// A complete, synced snapshot for [`Snapshots::install`].
#[derive(Debug)]
pub struct SealedSnapshot {
    temporary: TemporaryFile,
    meta: SnapshotMeta,
}

impl SealedSnapshot {
    /// Metadata of the snapshot.
    pub fn meta(&self) -> SnapshotMeta {
        self.meta
    }
}

/// A temporary file that is removed on drop unless it was renamed.
#[derive(Debug)]
struct TemporaryFile {
    storage: Arc<dyn Storage>,
    path: PathBuf,
    renamed: bool,
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        if !self.renamed {
            // If this fails, the next open removes the file.
            let _ = self.storage.remove(&self.path);
        }
    }
}

fn file_stem(position: Position) -> String {
    format!("{:016x}-{:016x}", position.index, position.term)
}

fn position_of(name: &str) -> Option<Position> {
    let (index, term) = name.strip_suffix(SUFFIX)?.split_once('-')?;
    Some(Position {
        index: u64::from_str_radix(index, 16).ok()?,
        term: u64::from_str_radix(term, 16).ok()?,
    })
}
