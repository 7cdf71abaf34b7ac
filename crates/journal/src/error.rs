//! What can go wrong with durable state.

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

/// How an operator brings back a replica whose disk is damaged.
const REPAIR: &str = "keep the folder for inspection, start the daemon with an empty data folder, \
     and replace this member so that it rejoins as a learner";

/// A failure of durable state.
#[derive(Debug)]
pub enum JournalError {
    /// Another process holds the lock of the data folder.
    Locked {
        /// The data folder.
        folder: PathBuf,
    },
    /// Bytes that were synced cannot be read back as they were written.
    Corrupt {
        /// The damaged file, or the folder where a file is missing.
        file: PathBuf,
        /// The offset of the damaged record, in bytes.
        offset: u64,
        /// What was found.
        what: &'static str,
    },
    /// The disk is full. Nothing of the refused write remains, and later writes are allowed.
    Full {
        /// The file that could not grow.
        file: PathBuf,
    },
    /// An earlier write or sync failed: the store refuses writes until it is opened again.
    Failed,
    /// A sync failed: what was written since the sync before may or may not be durable.
    Sync {
        /// The file that was synced.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Any other failure of the operating system.
    Io {
        /// The file or folder.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A record is larger than a segment allows.
    TooLarge {
        /// The size of the record in bytes.
        len: usize,
    },
    /// Entries were appended that do not follow the last one.
    NotContiguous {
        /// The index that the first entry should have had.
        expected: u64,
        /// The index that it had.
        found: u64,
    },
    /// The entries were dropped after a snapshot, or not yet appended.
    OutOfRange {
        /// The index that was asked for.
        index: u64,
    },
    /// Received bytes are not those of the snapshot that was announced.
    WrongSnapshot,
}

impl JournalError {
    /// Wraps an error of the operating system that concerns one file.
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

    /// What a caller is told whose write failed this way.
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
            Self::Failed => f.write_str("writes are refused since an earlier one failed"),
            Self::Sync { file, source } => {
                write!(f, "syncing {} failed: {source}", file.display())
            }
            Self::Io { file, source } => write!(f, "{}: {source}", file.display()),
            Self::TooLarge { len } => write!(f, "a record of {len} bytes is too large"),
            Self::NotContiguous { expected, found } => {
                write!(f, "entry {found} was appended in place of {expected}")
            }
            Self::OutOfRange { index } => write!(f, "entry {index} is not in the log"),
            Self::WrongSnapshot => f.write_str("received bytes are not those of the snapshot"),
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
