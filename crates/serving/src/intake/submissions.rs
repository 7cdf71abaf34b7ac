//! Jobs that the leader is replicating, for which it holds more than the state does.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

/// Bytes of the jobs in progress, and their limit.
#[derive(Debug)]
pub struct Submissions {
    limit: u64,
    bytes: AtomicU64,
}

impl Submissions {
    /// No job in progress.
    pub const fn new(limit: u64) -> Self {
        Self {
            limit,
            bytes: AtomicU64::new(0),
        }
    }

    /// Begins with a job of this many bytes, unless too much is in progress. One job is never too much.
    pub fn begin(self: &Arc<Self>, bytes: u64) -> Option<Submission> {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let submission = Submission {
            submissions: Arc::clone(self),
            bytes,
        };
        (before == 0 || before + bytes <= self.limit).then_some(submission)
    }
}

/// Job in progress until it is dropped.
#[derive(Debug)]
pub struct Submission {
    submissions: Arc<Submissions>,
    bytes: u64,
}

impl Drop for Submission {
    fn drop(&mut self) {
        let bytes = &self.submissions.bytes;
        bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
