//! How the resources of a process are divided.

use yuccaseam_platform::ProcessLimits;

/// Memory of a process whose settings name none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 2 << 30;
/// Descriptors of a process whose settings name none.
const DEFAULT_DESCRIPTORS: u64 = 65_536;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the other descriptors that callers may hold, in percent. The rest is for targets and instances.
const CONNECTION_DESCRIPTORS_PERCENT: u64 = 75;
/// Parts of the memory, in percent.
const BODIES_PERCENT: u64 = 25;
const ANSWERS_PERCENT: u64 = 13;
const SUBMISSIONS_PERCENT: u64 = 8;
const CONNECTIONS_PERCENT: u64 = 25;
/// Memory of one connection: its tasks, its read buffer with a head in it, and the parsed head.
const CONNECTION_BYTES: u64 = 40 << 10;
/// Part of a pool that large data cannot take, as a divisor.
const SMALL_SHARE: u64 = 4;

/// Sizes of a [`super::Pool`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// All of its room, in bytes.
    pub capacity: u64,
    /// Part that is kept for small data, in bytes.
    pub kept_for_small: u64,
    /// Whether data that comes too slowly gives way to other data.
    pub drops_slow: bool,
}

impl PoolLimits {
    /// A pool of this many bytes.
    pub const fn new(capacity: u64) -> Self {
        Self {
            capacity,
            kept_for_small: capacity / SMALL_SHARE,
            drops_slow: true,
        }
    }

    /// The same pool, in which data may come as slowly as it likes.
    pub const fn patient(mut self) -> Self {
        self.drops_slow = false;
        self
    }

    /// Room for large data, in bytes.
    pub const fn large(self) -> u64 {
        self.capacity - self.kept_for_small
    }
}

/// What connections and their data may take of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Open connections of callers, targets and operators.
    pub connections: usize,
    /// Room for the bodies of their requests.
    pub bodies: PoolLimits,
    /// Room for answers that are passed on whole.
    pub answers: PoolLimits,
    /// Jobs that the leader replicates at the same time, in bytes.
    pub submissions: u64,
}

impl IntakeLimits {
    /// Divides the resources of a process.
    pub fn of(limits: ProcessLimits) -> Self {
        let memory = limits.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let descriptors = limits.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_descriptors = sockets * CONNECTION_DESCRIPTORS_PERCENT / 100;
        let by_memory = memory / 100 * CONNECTIONS_PERCENT / CONNECTION_BYTES;
        Self {
            connections: by_descriptors.min(by_memory).max(1) as usize,
            bodies: PoolLimits::new(memory / 100 * BODIES_PERCENT),
            submissions: memory / 100 * SUBMISSIONS_PERCENT,
            answers: PoolLimits::new(memory / 100 * ANSWERS_PERCENT).patient(),
        }
    }
}
