//! Memory and descriptors that callers, targets and operators can take of a process.
//!
//! # Invariants
//!
//! - What is held for requests and for answers stays within its pool, whatever they announce or send.
//! - Large data gets room in turn, and only with as much as it may reach, so that who has room can finish.
//!   Small data needs no turn, and large data cannot take the part that is kept for it.
//! - Data is dropped before its end only while others need the room, and only if it has come more slowly
//!   than [`MAX_PAUSE`] and a rate far below any link's allow.
//! - A connection with a request is never closed for another one.

mod connections;
mod limits;
mod pool;
mod room;
mod slow_reader;
mod submissions;

pub use connections::{
    ConnectionId,
    ConnectionTable, //
};
pub use limits::{
    IntakeLimits,
    PoolLimits, //
};
pub use pool::{
    Decision,
    MAX_PAUSE,
    Pool,
    RoomId,
    SMALL_BYTES, //
};
pub(crate) use room::{
    ReadError,
    ReadLimits,
    SharedPool, //
};
pub use slow_reader::SlowReader;
pub use submissions::{
    Submission,
    Submissions, //
};

use std::sync::Arc;

use yuccaseam_base::Clock;
use yuccaseam_platform::ProcessLimits;

/// What the connections of a process share.
pub(crate) struct Intake {
    pub(crate) limits: IntakeLimits,
    /// Room for the bodies of requests.
    pub(crate) bodies: Arc<SharedPool>,
    /// Room for answers that are passed on whole.
    pub(crate) answers: Arc<SharedPool>,
    /// Jobs that this instance replicates as the leader.
    pub(crate) submissions: Arc<Submissions>,
}

impl Intake {
    pub(crate) fn new(clock: Clock, limits: ProcessLimits) -> Self {
        let limits = IntakeLimits::of(limits);
        Self {
            limits,
            submissions: Arc::new(Submissions::new(limits.submissions)),
            bodies: Arc::new(SharedPool::new(clock, "bodies", limits.bodies)),
            answers: Arc::new(SharedPool::new(clock, "answers", limits.answers)),
        }
    }
}
