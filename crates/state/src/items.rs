//! Sets of item numbers.

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::value;

use crate::DecodeError;

/// Largest number of items in a chunk.
pub const MAX_CHUNK_ITEMS: u16 = 4096;

const WORD_BITS: u16 = u64::BITS as u16;
const WORD_BYTES: usize = size_of::<u64>();

/// A set of item numbers of one chunk, each below [`MAX_CHUNK_ITEMS`].
///
/// Trailing zero words are removed, so that equal sets compare equal.
#[value]
#[derive(Default, Hash, Serialize, Deserialize)]
#[serde(try_from = "WireItemSet", into = "WireItemSet")]
pub struct ItemSet {
    words: Vec<u64>,
}

impl ItemSet {
    /// Creates an empty set.
    pub const fn new() -> Self {
        Self { words: Vec::new() }
    }

    /// Creates the set of all items below `count`.
    pub fn full(count: u16) -> Self {
        (0..count).collect()
    }

    /// Adds an item and returns whether it was absent.
    ///
    /// # Panics
    ///
    /// Panics if the item is not below [`MAX_CHUNK_ITEMS`].
    pub fn insert(&mut self, item: u16) -> bool {
        assert!(
            item < MAX_CHUNK_ITEMS,
            "item {item} is not below the chunk limit of {MAX_CHUNK_ITEMS}"
        );
        let (word, bit) = word_and_bit(item);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let absent = self.words[word] & bit == 0;
        self.words[word] |= bit;
        absent
    }

    /// Removes an item and returns whether it was present.
    pub fn remove(&mut self, item: u16) -> bool {
        let present = self.contains(item);
        if present {
            let (word, bit) = word_and_bit(item);
            self.words[word] &= !bit;
            self.trim();
        }
        present
    }

    /// Returns whether the item is in the set.
    pub fn contains(&self, item: u16) -> bool {
        let (word, bit) = word_and_bit(item);
        self.words.get(word).is_some_and(|w| w & bit != 0)
    }

    /// Adds every item of `other`.
    pub fn union_with(&mut self, other: &Self) {
        if self.words.len() < other.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        for (word, added) in self.words.iter_mut().zip(&other.words) {
            *word |= added;
        }
    }

    /// Removes every item of `other`.
    pub fn difference_with(&mut self, other: &Self) {
        for (word, removed) in self.words.iter_mut().zip(&other.words) {
            *word &= !removed;
        }
        self.trim();
    }

    /// Returns the number of items.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Returns the largest item.
    pub fn last(&self) -> Option<u16> {
        let last_word = self.words.last()?;
        let base = (self.words.len() as u16 - 1) * WORD_BITS;
        Some(base + WORD_BITS - 1 - last_word.leading_zeros() as u16)
    }

    /// Iterates over the items in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u16> {
        let count = self.words.len() as u16 * WORD_BITS;
        (0..count).filter(|&item| self.contains(item))
    }

    fn trim(&mut self) {
        while self.words.last() == Some(&0) {
            self.words.pop();
        }
    }
}

impl FromIterator<u16> for ItemSet {
    fn from_iter<I>(items: I) -> Self
    where
        I: IntoIterator<Item = u16>,
    {
        let mut set = Self::new();
        for item in items {
            set.insert(item);
        }
        set
    }
}

fn word_and_bit(item: u16) -> (usize, u64) {
    (usize::from(item / WORD_BITS), 1 << (item % WORD_BITS))
}

/// Encoded form of [`ItemSet`]: a little-endian bitmap.
#[derive(Serialize, Deserialize)]
struct WireItemSet {
    bitmap: Vec<u8>,
}

impl From<ItemSet> for WireItemSet {
    fn from(set: ItemSet) -> Self {
        let mut bitmap: Vec<u8> = set
            .words
            .iter()
            .flat_map(|word| word.to_le_bytes())
            .collect();
        while bitmap.last() == Some(&0) {
            bitmap.pop();
        }
        Self { bitmap }
    }
}

impl TryFrom<WireItemSet> for ItemSet {
    type Error = DecodeError;

    fn try_from(wire: WireItemSet) -> Result<Self, DecodeError> {
        if wire.bitmap.len() * 8 > usize::from(MAX_CHUNK_ITEMS) {
            return Err(DecodeError::Invalid("item set exceeds 4096 bits"));
        }
        let to_word = |bytes: &[u8]| {
            let mut padded = [0; WORD_BYTES];
            padded[..bytes.len()].copy_from_slice(bytes);
            u64::from_le_bytes(padded)
        };
        let words = wire.bitmap.chunks(WORD_BYTES).map(to_word).collect();
        let mut set = Self { words };
        set.trim();
        Ok(set)
    }
}
