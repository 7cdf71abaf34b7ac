//! Pools that tasks share, and data that holds its room.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
};

use bytes::{
    Buf as _,
    Bytes, //
};
use http_body::Body;
use http_body_util::BodyExt as _;
use tokio::{
    sync::Notify,
    time::timeout, //
};
use yuccaseam_base::{
    Clock,
    Millis, //
};

use super::{
    Decision,
    Pool,
    PoolLimits,
    RoomId,
    SMALL_BYTES, //
};

/// How often those who wait look for holders that have become slow.
const CHECK_INTERVAL: Millis = Millis(100);
/// Least buffer for data, in bytes.
const MIN_BUFFER_BYTES: usize = 4_096;

/// What data may take, and how long it may wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadLimits {
    /// Largest data, in bytes.
    pub(crate) max_bytes: usize,
    /// Memory for each byte while the data is handled: 1 unless it is decoded.
    pub(crate) bytes_per_byte: u64,
    /// Longest wait for room at a time.
    pub(crate) max_wait: Millis,
}

/// Why data was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// Larger than the limit.
    TooLarge,
    /// Broken off or malformed.
    Broken,
    /// No room came in time.
    NoRoom,
    /// It came too slowly while others needed room.
    TooSlow,
}

impl ReadError {
    /// Stable name for logs and metrics.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::Broken => "broken",
            Self::NoRoom => "no_room",
            Self::TooSlow => "too_slow",
        }
    }
}

/// Pool that tasks share.
pub(crate) struct SharedPool {
    clock: Clock,
    /// Stable name for logs and metrics.
    name: &'static str,
    state: Mutex<State>,
}

struct State {
    pool: Pool,
    holders: HashMap<RoomId, Arc<Notify>>,
}

impl SharedPool {
    pub(crate) fn new(clock: Clock, name: &'static str, limits: PoolLimits) -> Self {
        let state = State {
            pool: Pool::new(limits),
            holders: HashMap::new(),
        };
        Self {
            clock,
            name,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Whether someone waits for room.
    pub(crate) fn is_short(&self) -> bool {
        self.lock().pool.is_short()
    }

    /// Drops holders whose data comes too slowly.
    pub(crate) fn evict_slow(&self) {
        let mut state = self.lock();
        let told = state.pool.evict_slow(self.clock.now());
        state.tell(&told);
    }

    /// Lets those whose turn it is go on.
    fn advance(&self) {
        let mut state = self.lock();
        let told = state.pool.advance(self.clock.now());
        state.tell(&told);
        let held = state.pool.held();
        metrics::gauge!("yuccaseam_intake_bytes", "pool" => self.name).set(held as f64);
    }

    fn open(self: &Arc<Self>) -> Room {
        let mut state = self.lock();
        let id = state.pool.open(self.clock.now());
        let told = Arc::new(Notify::new());
        state.holders.insert(id, Arc::clone(&told));
        Room {
            pool: Arc::clone(self),
            id,
            told,
        }
    }

    /// Reads data into one buffer, which holds its room until it is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the data is too large, ends early, or gets no room.
    pub(crate) async fn read<B>(
        self: &Arc<Self>,
        mut body: B,
        limits: ReadLimits,
    ) -> Result<Bytes, ReadError>
    where
        B: Body + Unpin,
    {
        let announced = body.size_hint().exact();
        if announced.is_some_and(|length| length > limits.max_bytes as u64) {
            return Err(ReadError::TooLarge);
        }
        let most = announced.map_or(limits.max_bytes, |length| length as usize);
        let room = self.open();
        let mut data = Vec::new();
        if announced.is_some() {
            room.reserve(most, most, limits).await?;
        }
        loop {
            let frame = tokio::select! {
                biased;
                () = room.evicted() => return Err(ReadError::TooSlow),
                frame = body.frame() => frame,
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Err(ReadError::Broken),
                None => break,
            };
            let Ok(mut piece) = frame.into_data() else {
                continue;
            };
            let length = data.len() + piece.remaining();
            if length > limits.max_bytes {
                return Err(ReadError::TooLarge);
            }
            if length > data.capacity() {
                let grown = length.max(2 * data.capacity()).max(MIN_BUFFER_BYTES);
                let grown = grown.min(most.max(length));
                if announced.is_none() {
                    room.reserve(grown, most, limits).await?;
                }
                data.reserve_exact(grown - data.len());
            }
            room.record_progress(piece.remaining());
            while piece.has_remaining() {
                let part = piece.chunk();
                data.extend_from_slice(part);
                let length = part.len();
                piece.advance(length);
            }
        }
        if data.is_empty() {
            return Ok(Bytes::new());
        }
        room.complete(data.capacity() as u64 * limits.bytes_per_byte);
        Ok(Bytes::from_owner(HeldData { data, _room: room }))
    }
}

impl State {
    fn tell(&self, ids: &[RoomId]) {
        for told in ids.iter().filter_map(|id| self.holders.get(id)) {
            told.notify_one();
        }
    }
}

struct HeldData {
    data: Vec<u8>,
    _room: Room,
}

impl AsRef<[u8]> for HeldData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// What one holder has of a pool. Dropping it gives it back.
struct Room {
    pool: Arc<SharedPool>,
    id: RoomId,
    told: Arc<Notify>,
}

impl Room {
    /// Reserves room for a buffer, or for as much as the data may reach if that is not small.
    async fn reserve(
        &self,
        bytes: usize,
        most: usize,
        limits: ReadLimits,
    ) -> Result<(), ReadError> {
        let small = bytes as u64 * limits.bytes_per_byte;
        let wanted = if small <= SMALL_BYTES {
            small
        } else {
            most as u64 * limits.bytes_per_byte
        };
        let clock = self.pool.clock;
        let until = clock.now() + limits.max_wait;
        loop {
            let decision = self.pool.lock().pool.ask(self.id, wanted, clock.now());
            match decision {
                Decision::Granted => return Ok(()),
                Decision::Evicted => return Err(ReadError::NoRoom),
                Decision::Waits => {}
            }
            self.pool.advance();
            let left = until - clock.now();
            if left == Millis::ZERO {
                return Err(ReadError::NoRoom);
            }
            // On wake-up and on time-out alike, the loop asks again.
            let wait = left.min(CHECK_INTERVAL).duration();
            let _ = timeout(wait, self.told.notified()).await;
        }
    }

    /// Ends when the holder must leave.
    async fn evicted(&self) {
        loop {
            self.told.notified().await;
            let decision = self.pool.lock().pool.ask(self.id, 0, Millis::ZERO);
            if decision == Decision::Evicted {
                return;
            }
        }
    }

    fn record_progress(&self, bytes: usize) {
        let mut state = self.pool.lock();
        state.pool.record_progress(self.id, bytes as u64);
    }

    fn complete(&self, bytes: u64) {
        self.pool.lock().pool.complete(self.id, bytes);
        self.pool.advance();
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        state.pool.leave(self.id);
        state.holders.remove(&self.id);
        drop(state);
        self.pool.advance();
    }
}
