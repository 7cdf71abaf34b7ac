//! Arenas indexed by small typed keys.

use std::{
    marker::PhantomData,
    ops::{Index, IndexMut},
};

/// Small `Copy` key of a [`PrimaryMap`], implemented by [`entity_key!`](crate::entity_key).
pub trait EntityKey: Copy + Eq {
    /// Returns the key of the entry at this index.
    fn from_index(index: usize) -> Self;

    /// Returns the index of this key's entry.
    fn index(self) -> usize;
}

/// Declares a key type that wraps a `u32`, so that the compiler rejects a key of another arena.
///
/// # Examples
///
/// ```
/// use yuccaseam_base::{PrimaryMap, entity_key};
///
/// entity_key! {
///     /// A seat in a room.
///     pub struct Seat;
/// }
///
/// let mut seats: PrimaryMap<Seat, &str> = PrimaryMap::new();
/// let first = seats.push("window");
/// assert_eq!(seats[first], "window");
/// ```
#[macro_export]
macro_rules! entity_key {
    ($(#[$meta:meta])* $vis:vis struct $name:ident;) => {
        $(#[$meta])*
        #[$crate::key]
        $vis struct $name(u32);

        impl $crate::EntityKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds fewer than 2^32 entries"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

/// Arena that owns its entries and only grows, so that a key stays valid for the arena's lifetime.
#[derive(Clone, Debug)]
pub struct PrimaryMap<K, V> {
    entries: Vec<V>,
    key: PhantomData<K>,
}

impl<K, V> PrimaryMap<K, V>
where
    K: EntityKey,
{
    /// Creates an empty arena.
    pub const fn new() -> Self {
        Self {
            entries: Vec::new(),
            key: PhantomData,
        }
    }

    /// Adds an entry and returns its key.
    pub fn push(&mut self, value: V) -> K {
        let key = K::from_index(self.entries.len());
        self.entries.push(value);
        key
    }

    /// Returns the entry of a key, or `None` if the key is out of range.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(key.index())
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over all keys and entries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(index, value)| (K::from_index(index), value))
    }

    /// Iterates over all keys and mutable entries, oldest first.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.entries
            .iter_mut()
            .enumerate()
            .map(|(index, value)| (K::from_index(index), value))
    }
}

impl<K, V> Default for PrimaryMap<K, V>
where
    K: EntityKey,
{
    fn default() -> Self {
        Self::new()
    }
}

impl<K, V> Index<K> for PrimaryMap<K, V>
where
    K: EntityKey,
{
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.entries[key.index()]
    }
}

impl<K, V> IndexMut<K> for PrimaryMap<K, V>
where
    K: EntityKey,
{
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.entries[key.index()]
    }
}
