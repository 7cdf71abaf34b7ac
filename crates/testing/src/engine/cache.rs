//! A prefix cache in limited memory, and its late events with gaps.

use std::collections::{
    HashMap,
    VecDeque, //
};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use yuccaseam_base::{
    Clock,
    Millis, //
};

/// How many tokens one block of the cache holds.
const BLOCK_TOKENS: usize = 16;

/// How many events are kept for readers.
const EVENTS_KEPT: usize = 4_096;

/// A block entered or left the cache.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    /// Grows by one with each event; a lost event leaves a gap.
    pub(crate) seq: u64,
    /// `stored` or `evicted`.
    pub(crate) kind: &'static str,
    /// The hash of the prompt from its start to the block's end.
    pub(crate) block: u64,
    #[serde(skip)]
    at: Millis,
}

/// The blocks that are cached, least recently used first out.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    event_lag: Millis,
    lose_every: u64,
    clock: Clock,
    used: HashMap<u64, u64>,
    uses: u64,
    events: VecDeque<CacheEvent>,
    next_seq: u64,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks. Events show up after `event_lag`; one in `lose_every`
    /// never does, unless that is zero.
    pub(crate) fn new(capacity: usize, event_lag: Millis, lose_every: u64) -> Self {
        Self {
            capacity,
            event_lag,
            lose_every,
            clock: Clock::start(),
            used: HashMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_seq: 1,
        }
    }

    /// How many tokens of a prompt are cached from its start. Caches the rest of its blocks.
    pub(crate) fn lookup(&mut self, prompt: &str) -> usize {
        let mut cached = 0;
        let mut prefix_is_cached = true;
        for block in blocks(prompt) {
            prefix_is_cached &= self.used.contains_key(&block);
            if prefix_is_cached {
                cached += BLOCK_TOKENS;
            }
            self.touch(block);
        }
        cached
    }

    /// The events from number `since` on that are due.
    pub(crate) fn events_since(&self, since: u64) -> Vec<CacheEvent> {
        let due = self.clock.now() - self.event_lag;
        let wanted = |event: &&CacheEvent| event.seq >= since && event.at <= due;
        self.events.iter().filter(wanted).cloned().collect()
    }

    fn touch(&mut self, block: u64) {
        self.uses += 1;
        if self.used.insert(block, self.uses).is_some() {
            return;
        }
        self.publish("stored", block);
        if self.used.len() > self.capacity {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let oldest = self.used.iter().min_by_key(|(_, used)| **used);
        if let Some((&block, _)) = oldest {
            self.used.remove(&block);
            self.publish("evicted", block);
        }
    }

    fn publish(&mut self, kind: &'static str, block: u64) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.lose_every != 0 && seq.is_multiple_of(self.lose_every) {
            return;
        }
        if self.events.len() == EVENTS_KEPT {
            self.events.pop_front();
        }
        let at = self.clock.now();
        self.events.push_back(CacheEvent {
            seq,
            kind,
            block,
            at,
        });
    }
}

/// The hash of each whole block of a prompt, over the text from the prompt's start.
fn blocks(prompt: &str) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut prefix = String::new();
    for (index, word) in prompt.split_whitespace().enumerate() {
        prefix.push_str(word);
        prefix.push(' ');
        if (index + 1).is_multiple_of(BLOCK_TOKENS) {
            hashes.push(xxh3_64(prefix.as_bytes()));
        }
    }
    hashes
}
