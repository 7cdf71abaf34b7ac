//! Room for the data of many connections: who gets it, who waits, and who is dropped.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use yuccaseam_base::Millis;

use super::PoolLimits;

/// Largest data that needs no turn, in bytes.
pub const SMALL_BYTES: u64 = 64 << 10;
/// Time that data may pause while others need room: many round trips between regions.
pub const MAX_PAUSE: Millis = Millis(500);
/// Rate below which data is slow, in bytes per ms: far below that of any link between instances.
const MIN_BYTES_PER_MS: u64 = 64;

/// Identifies what one connection holds of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoomId(u64);

/// Answer to a holder that needs more room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The room is held.
    Granted,
    /// Nothing has changed; ask again when a holder has left or was granted room.
    Waits,
    /// The holder must leave.
    Evicted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Arriving,
    /// In the queue, with this much wanted.
    Waiting(u64),
    Complete,
    Evicted,
}

#[derive(Clone, Debug)]
struct Holder {
    held: u64,
    is_large: bool,
    phase: Phase,
    /// Start of the time in which `arrived` bytes have come.
    since: Millis,
    arrived: u64,
}

impl Holder {
    fn is_slow(&self, now: Millis) -> bool {
        let allowed = MAX_PAUSE + Millis(self.arrived / MIN_BYTES_PER_MS);
        self.phase == Phase::Arriving && now >= self.since + allowed
    }
}

/// Room in bytes and its holders.
#[derive(Clone, Debug)]
pub struct Pool {
    limits: PoolLimits,
    /// Room of all holders, and of those with large data.
    held: u64,
    held_large: u64,
    holders: BTreeMap<RoomId, Holder>,
    /// Holders that wait for room for large data, first come first served.
    queue: VecDeque<RoomId>,
    /// Holders that were dropped and have not been told.
    dropped: Vec<RoomId>,
    next_id: u64,
}

impl Pool {
    /// A pool that nobody holds anything of.
    pub fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            held: 0,
            held_large: 0,
            holders: BTreeMap::new(),
            queue: VecDeque::new(),
            dropped: Vec::new(),
            next_id: 0,
        }
    }

    /// Bytes that are held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Whether someone waits for room.
    pub fn is_short(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Adds a holder of nothing.
    pub fn open(&mut self, now: Millis) -> RoomId {
        let id = RoomId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            held: 0,
            is_large: false,
            phase: Phase::Arriving,
            since: now,
            arrived: 0,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Records bytes that have arrived.
    pub fn record_progress(&mut self, id: RoomId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.arrived += bytes;
        }
    }

    /// Asks for room, in all. Room for large data is granted in turn, and must be asked for up to the
    /// largest size that the data may reach, so that whoever has it can finish.
    pub fn ask(&mut self, id: RoomId, bytes: u64, now: Millis) -> Decision {
        let Some(holder) = self.holders.get(&id) else {
            return Decision::Evicted;
        };
        if holder.phase == Phase::Evicted {
            return Decision::Evicted;
        }
        if bytes <= holder.held {
            return Decision::Granted;
        }
        if bytes <= SMALL_BYTES {
            self.ask_small(id, bytes, now)
        } else {
            self.ask_large(id, bytes.min(self.limits.large()))
        }
    }

    fn ask_small(&mut self, id: RoomId, bytes: u64, now: Millis) -> Decision {
        let more = bytes - self.holders[&id].held;
        if self.held + more <= self.limits.capacity {
            self.hold(id, bytes, false);
            return Decision::Granted;
        }
        if !self.limits.drops_slow {
            return Decision::Waits;
        }
        let slow = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_slow(now));
        let slow = slow.max_by_key(|(_, holder)| holder.held);
        let waiting = self
            .holders
            .iter()
            .filter(|(_, holder)| matches!(holder.phase, Phase::Waiting(_)) && holder.held > 0);
        let waiting = waiting.max_by_key(|(_, holder)| holder.held);
        if let Some((victim, _)) = slow.or(waiting) {
            let victim = *victim;
            self.evict(victim);
            self.dropped.push(victim);
        }
        Decision::Waits
    }

    fn ask_large(&mut self, id: RoomId, bytes: u64) -> Decision {
        let holder = self.holders.get_mut(&id).expect("the holder is known");
        if holder.is_large && bytes <= holder.held {
            return Decision::Granted;
        }
        if !matches!(holder.phase, Phase::Waiting(_)) {
            self.queue.push_back(id);
        }
        holder.phase = Phase::Waiting(bytes);
        Decision::Waits
    }

    /// Grants room to those whose turn it is, or drops slow holders of the room that they wait for. Returns
    /// who is to be told.
    pub fn advance(&mut self, now: Millis) -> Vec<RoomId> {
        let mut told = std::mem::take(&mut self.dropped);
        while let Some(id) = self.queue.front().copied() {
            let Some(Phase::Waiting(bytes)) = self.holders.get(&id).map(|holder| holder.phase)
            else {
                self.queue.pop_front();
                continue;
            };
            let own = self.holders[&id].held;
            let own_large = if self.holders[&id].is_large { own } else { 0 };
            let fits_large = self.held_large - own_large + bytes <= self.limits.large();
            if fits_large && self.held - own + bytes <= self.limits.capacity {
                self.queue.pop_front();
                self.hold(id, bytes, true);
                let holder = self.holders.get_mut(&id).expect("the holder is known");
                (holder.phase, holder.since, holder.arrived) = (Phase::Arriving, now, 0);
                told.push(id);
                continue;
            }
            told.extend(self.evict_slow(now));
            break;
        }
        told
    }

    /// Drops all slow holders.
    pub fn evict_slow(&mut self, now: Millis) -> Vec<RoomId> {
        if !self.limits.drops_slow {
            return Vec::new();
        }
        let slow = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_slow(now));
        let slow: Vec<_> = slow.map(|(id, _)| *id).collect();
        for id in &slow {
            self.evict(*id);
        }
        slow
    }

    /// Records that all data has arrived, and that this much room is held for it until the holder leaves.
    pub fn complete(&mut self, id: RoomId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.phase = Phase::Complete;
        if bytes < holder.held {
            let is_large = holder.is_large;
            self.hold(id, bytes, is_large);
        }
    }

    /// Removes a holder.
    pub fn leave(&mut self, id: RoomId) {
        self.hold(id, 0, false);
        self.holders.remove(&id);
        self.queue.retain(|queued| *queued != id);
    }

    fn evict(&mut self, id: RoomId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.phase = Phase::Evicted;
        }
        self.queue.retain(|queued| *queued != id);
    }

    fn hold(&mut self, id: RoomId, bytes: u64, is_large: bool) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        self.held = self.held - holder.held + bytes;
        if holder.is_large {
            self.held_large -= holder.held;
        }
        if is_large {
            self.held_large += bytes;
        }
        (holder.held, holder.is_large) = (bytes, is_large);
    }
}
