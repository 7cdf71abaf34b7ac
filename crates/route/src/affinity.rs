//! Targets that may have a prompt prefix in their cache.
//!
//! The index is built from the entry's own decisions and from cache events, which arrive late and
//! can be missing, so its content is only a hint.

use std::{
    collections::HashMap,
    mem, //
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::candidate::Target;

/// Number of tokens, or of words standing in for tokens, in one block of a prefix.
pub const BLOCK_TOKENS: usize = 64;

/// Maximum number of targets recorded for one prefix.
const MAX_HOLDERS: usize = 3;

/// Returns the hashes of a prompt's prefixes, one for each complete block, shortest first. Prompts
/// with a common prefix have its hashes in common.
///
/// # Examples
///
/// ```
/// use yuccaseam_route::{BLOCK_TOKENS, prefix_chain};
///
/// let shared = vec![7; BLOCK_TOKENS];
/// let longer = vec![7; 2 * BLOCK_TOKENS + 1];
/// assert_eq!(prefix_chain(&shared)[..], prefix_chain(&longer)[..1]);
/// assert_eq!(prefix_chain(&longer).len(), 2);
/// ```
pub fn prefix_chain(tokens: &[u32]) -> Vec<u64> {
    let mut hash = 0;
    let blocks = tokens.chunks_exact(BLOCK_TOKENS);
    let chain = blocks.map(|block| {
        let bytes: Vec<u8> = block.iter().flat_map(|token| token.to_le_bytes()).collect();
        hash = xxh3_64_with_seed(&bytes, hash);
        hash
    });
    chain.collect()
}

/// Targets that may have one prefix cached, most recent first.
#[derive(Clone, Copy, Debug, Default)]
struct Holders([Option<Target>; MAX_HOLDERS]);

impl Holders {
    fn add(&mut self, target: Target) {
        if let Some(index) = self.0.iter().position(|holder| *holder == Some(target)) {
            self.0[..=index].rotate_right(1);
            return;
        }
        self.0.rotate_right(1);
        self.0[0] = Some(target);
    }

    fn remove(&mut self, target: Target) {
        for holder in &mut self.0 {
            if *holder == Some(target) {
                *holder = None;
            }
        }
    }
}

/// Bounded index from prefixes to the targets that may have them cached. It has two generations:
/// when the newer one is full, the older one is dropped. This approximates least-recently-used
/// eviction without a list in order of use.
#[derive(Clone, Debug)]
pub(crate) struct PrefixIndex {
    generation_capacity: usize,
    newer: HashMap<u64, Holders>,
    older: HashMap<u64, Holders>,
}

impl PrefixIndex {
    pub(crate) fn new(generation_capacity: usize) -> Self {
        Self {
            generation_capacity: generation_capacity.max(2) / 2,
            newer: HashMap::new(),
            older: HashMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    pub(crate) fn add(&mut self, prefix: u64, target: Target) {
        if self.newer.len() >= self.generation_capacity && !self.newer.contains_key(&prefix) {
            self.older = mem::take(&mut self.newer);
        }
        let holders = self.older.remove(&prefix).unwrap_or_default();
        self.newer.entry(prefix).or_insert(holders).add(target);
    }

    pub(crate) fn remove(&mut self, prefix: u64, target: Target) {
        for generation in [&mut self.newer, &mut self.older] {
            if let Some(holders) = generation.get_mut(&prefix) {
                holders.remove(target);
            }
        }
    }

    /// Removes a target whose cache is empty or that no longer exists.
    pub(crate) fn remove_target(&mut self, target: Target) {
        for generation in [&mut self.newer, &mut self.older] {
            generation
                .values_mut()
                .for_each(|holders| holders.remove(target));
        }
    }

    /// Returns the targets that may have prefixes of a prompt cached, each with the share of the
    /// chain that is cached, longest prefix first.
    pub(crate) fn holders(&self, chain: &[u64]) -> Vec<(Target, f64)> {
        let mut holders: Vec<(Target, f64)> = Vec::new();
        for (index, prefix) in chain.iter().enumerate().rev() {
            let share = (index + 1) as f64 / chain.len() as f64;
            for target in self.get(*prefix).0.into_iter().flatten() {
                if holders.iter().all(|(holder, _)| *holder != target) {
                    holders.push((target, share));
                }
            }
            if holders.len() >= MAX_HOLDERS {
                break;
            }
        }
        holders
    }

    fn get(&self, prefix: u64) -> Holders {
        let holders = self.newer.get(&prefix).or_else(|| self.older.get(&prefix));
        holders.copied().unwrap_or_default()
    }
}
