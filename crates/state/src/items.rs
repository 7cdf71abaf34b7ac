//! Sets of items of one chunk.

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::value;

use crate::DecodeError;

/// The most items that a chunk may hold.
pub const MAX_CHUNK_ITEMS: u16 = 4096;

const WORD_BITS: u16 = u64::BITS as u16;
const WORD_BYTES: usize = size_of::<u64>();

/// A set of item numbers of one chunk, each below [`MAX_CHUNK_ITEMS`].
///
/// Words of zeros at the end are never kept, so that equal sets are equal values.
#[value]
#[derive(Default, Hash, Serialize, Deserialize)]
#[serde(try_from = "WireItemSet", into = "WireItemSet")]
pub struct ItemSet {
    words: Vec<u64>,
}

impl ItemSet {
    /// The empty set.
    pub const fn new() -> Self {
        Self { words: Vec::new() }
    }

    /// Every item below `count`.
    pub fn full(count: u16) -> Self {
        (0..count).collect()
    }

    /// Adds an item; tells whether it was absent.
    ///
    /// # Panics
    ///
    /// If the item is not below [`MAX_CHUNK_ITEMS`].
    pub fn insert(&mut self, item: u16) -> bool {
        assert!(
            item < MAX_CHUNK_ITEMS,
            "item {item} is above the limit of a chunk"
        );
        let (word, bit) = position(item);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let absent = self.words[word] & bit == 0;
        self.words[word] |= bit;
        absent
    }

    /// Removes an item; tells whether it was present.
    pub fn remove(&mut self, item: u16) -> bool {
        let present = self.contains(item);
        if present {
            let (word, bit) = position(item);
            self.words[word] &= !bit;
            self.trim();
        }
        present
    }

    /// Whether the item is in the set.
    pub fn contains(&self, item: u16) -> bool {
        let (word, bit) = position(item);
        self.words.get(word).is_some_and(|w| w & bit != 0)
    }

    /// Adds every item of another set.
    pub fn extend_from(&mut self, other: &Self) {
        if self.words.len() < other.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        for (word, more) in self.words.iter_mut().zip(&other.words) {
            *word |= more;
        }
    }

    /// Removes every item of another set.
    pub fn remove_from(&mut self, other: &Self) {
        for (word, less) in self.words.iter_mut().zip(&other.words) {
            *word &= !less;
        }
        self.trim();
    }

    /// How many items there are.
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// The largest item.
    pub fn last(&self) -> Option<u16> {
        let top = self.words.last()?;
        let base = (self.words.len() as u16 - 1) * WORD_BITS;
        Some(base + WORD_BITS - 1 - top.leading_zeros() as u16)
    }

    /// The items, in ascending order.
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

fn position(item: u16) -> (usize, u64) {
    (usize::from(item / WORD_BITS), 1 << (item % WORD_BITS))
}

/// A set of items on the wire: a little-endian bitmap.
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
            return Err(DecodeError::Invalid("a set of items is too large"));
        }
        let word = |bytes: &[u8]| {
            let mut padded = [0; WORD_BYTES];
            padded[..bytes.len()].copy_from_slice(bytes);
            u64::from_le_bytes(padded)
        };
        let words = wire.bitmap.chunks(WORD_BYTES).map(word).collect();
        let mut set = Self { words };
        set.trim();
        Ok(set)
    }
}
