//! Errors of the durable state.

use std::{
    error,
    fmt,
    io,
    path::{
        Path,
        PathBuf, //
    }, //
};

use yuccaseam_base::{
    Reason,
    Refusal, //
};

/// Instructions for an operator to restore a replica with a damaged disk.
const REPAIR: &str = "keep the folder for inspection, start the daemon with an empty data folder, \
     and replace this member so that it rejoins as a learner";

/// An error of the durable state.
#[derive(Debug)]
pub enum JournalError {
    /// Another process holds the lock of the data folder.
    Locked {
        /// The data folder.
        folder: PathBuf,
    },
    /// Synced bytes are missing or differ from what was written.
    Corrupt {
        /// The damaged file, or the folder where a file is missing.
        file: PathBuf,
        /// Offset of the damaged record in bytes.
        offset: u64,
        /// Description of the damage.
        what: &'static str,
    },
    /// The disk is full. The write was rolled back completely, and later writes are allowed.
    Full {
        /// The file that could not grow.
        file: PathBuf,
    },
    /// An earlier write or sync failed. The store refuses writes until it is reopened.
    Failed,
    /// A sync failed. Data written since the previous sync may or may not be durable.
    Sync {
        /// The file that was synced.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Any other I/O error.
    Io {
        /// The file or folder.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A record exceeds the limits of a segment.
    TooLarge {
        /// Size of the record in bytes.
        len: usize,
    },
    /// Appended entries are not contiguous with the last one.
    NotContiguous {
        /// Expected index.
        expected: u64,
        /// Index of the appended entry.
        found: u64,
    },
    /// The entry was dropped after a snapshot, or has not been appended yet.
    OutOfRange {
        /// The requested index.
        index: u64,
    },
    /// Received data does not match the expected snapshot metadata.
    WrongSnapshot,
}

impl JournalError {
    /// Wraps an I/O error on one file.
    pub(crate) fn io(file: &Path, source: io::Error) -> Self {
        let file = file.to_owned();
        if is_full(&source) {
            return Self::Full { file };
        }
        Self::Io { file, source }
    }

    pub(crate) fn sync(file: &Path, source: io::Error) -> Self {
        Self::Sync {
            file: file.to_owned(),
            source,
        }
    }

    pub(crate) fn corrupt(file: &Path, offset: u64, what: &'static str) -> Self {
        Self::Corrupt {
            file: file.to_owned(),
            offset,
            what,
        }
    }

    /// Converts the error to the refusal that is returned to the caller of the failed write.
    pub fn refusal(&self) -> Refusal {
        let detail = self.to_string();
        match self {
            Self::Sync { .. } => Refusal::may_have_run(Reason::DiskFull, detail),
            Self::Full { .. } | Self::Failed | Self::Io { .. } => {
                Refusal::not_run(Reason::DiskFull, detail)
            }
            Self::TooLarge { .. } => Refusal::not_run(Reason::BodyTooLarge, detail),
            _ => Refusal::not_run(Reason::Internal, detail),
        }
    }
}

fn is_full(source: &io::Error) -> bool {
    matches!(
        source.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
    )
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked { folder } => write!(
                f,
                "data folder {} is locked by another process",
                folder.display()
            ),
            Self::Corrupt { file, offset, what } => write!(
                f,
                "{} is damaged at offset {offset}: {what}; to repair, {REPAIR}",
                file.display()
            ),
            Self::Full { file } => write!(f, "no space to write {}", file.display()),
            Self::Failed => {
                f.write_str("store refuses writes because an earlier write or sync failed")
            }
            Self::Sync { file, source } => {
                write!(f, "syncing {} failed: {source}", file.display())
            }
            Self::Io { file, source } => write!(f, "{}: {source}", file.display()),
            Self::TooLarge { len } => write!(f, "record of {len} bytes exceeds the segment limit"),
            Self::NotContiguous { expected, found } => {
                write!(f, "appended entry has index {found}, expected {expected}")
            }
            Self::OutOfRange { index } => write!(f, "entry {index} is not in the log"),
            Self::WrongSnapshot => {
                f.write_str("received data does not match the expected snapshot")
            }
        }
    }
}

impl error::Error for JournalError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Sync { source, .. } | Self::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}
