//! Where prefixes of prompts may be cached.
//!
//! What an entry knows comes from its own decisions and from cache events that arrive late and
//! with gaps, so that everything here is a hint.

use std::{
    collections::HashMap,
    mem, //
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::candidate::Target;

/// The tokens, or the words that stand for them, in one block of a prefix.
pub const BLOCK_TOKENS: usize = 64;

/// Targets remembered for one prefix.
const HOLDERS: usize = 3;

/// The hashes of a prompt's prefixes, one for each whole block, shortest first. Two prompts that
/// share a prefix share its hashes.
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

/// The targets that hold one prefix, newest first.
#[derive(Clone, Copy, Debug, Default)]
struct Holders([Option<Target>; HOLDERS]);

impl Holders {
    fn add(&mut self, target: Target) {
        if let Some(at) = self.0.iter().position(|held| *held == Some(target)) {
            self.0[..=at].rotate_right(1);
            return;
        }
        self.0.rotate_right(1);
        self.0[0] = Some(target);
    }

    fn remove(&mut self, target: Target) {
        for held in &mut self.0 {
            if *held == Some(target) {
                *held = None;
            }
        }
    }
}

/// A bounded memory of prefixes. It keeps two generations: when the newer one is full the older
/// one is dropped, so that what is used lately stays without a list in order of use.
#[derive(Clone, Debug)]
pub(crate) struct PrefixMemory {
    limit: usize,
    newer: HashMap<u64, Holders>,
    older: HashMap<u64, Holders>,
}

impl PrefixMemory {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(2) / 2,
            newer: HashMap::new(),
            older: HashMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    pub(crate) fn add(&mut self, prefix: u64, target: Target) {
        if self.newer.len() >= self.limit && !self.newer.contains_key(&prefix) {
            self.older = mem::take(&mut self.newer);
        }
        let known = self.older.remove(&prefix).unwrap_or_default();
        self.newer.entry(prefix).or_insert(known).add(target);
    }

    pub(crate) fn remove(&mut self, prefix: u64, target: Target) {
        for generation in [&mut self.newer, &mut self.older] {
            if let Some(holders) = generation.get_mut(&prefix) {
                holders.remove(target);
            }
        }
    }

    /// A target restarted, and its cache is empty.
    pub(crate) fn forget(&mut self, target: Target) {
        for generation in [&mut self.newer, &mut self.older] {
            generation
                .values_mut()
                .for_each(|holders| holders.remove(target));
        }
    }

    /// The targets that may hold prefixes of a prompt, each with the share of the chain that it
    /// holds. Longest prefixes come first.
    pub(crate) fn holders(&self, chain: &[u64]) -> Vec<(Target, f64)> {
        let mut found: Vec<(Target, f64)> = Vec::new();
        for (index, prefix) in chain.iter().enumerate().rev() {
            let share = (index + 1) as f64 / chain.len() as f64;
            for target in self.get(*prefix).0.into_iter().flatten() {
                if found.iter().all(|(known, _)| *known != target) {
                    found.push((target, share));
                }
            }
            if found.len() >= HOLDERS {
                break;
            }
        }
        found
    }

    fn get(&self, prefix: u64) -> Holders {
        let known = self.newer.get(&prefix).or_else(|| self.older.get(&prefix));
        known.copied().unwrap_or_default()
    }
}
