//! Arenas that are indexed by small typed keys.

use std::{
    marker::PhantomData,
    ops::{Index, IndexMut},
};

/// A small `Copy` key into a [`PrimaryMap`]. [`entity_key!`](crate::entity_key) implements it.
pub trait EntityKey: Copy + Eq {
    /// The key of the entry at this index.
    fn from_index(index: usize) -> Self;

    /// The index of this key's entry.
    fn index(self) -> usize;
}

/// Declares a key type: a `u32` in a type of its own, so that the keys of two arenas cannot be
/// exchanged by mistake.
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

/// An arena that owns its entries and only grows: a key stays valid for the arena's life.
#[derive(Clone, Debug)]
pub struct PrimaryMap<K, V> {
    entries: Vec<V>,
    key: PhantomData<K>,
}

impl<K, V> PrimaryMap<K, V>
where
    K: EntityKey,
{
    /// An empty arena.
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

    /// The entry of a key, if the key is of this arena.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(key.index())
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Every key with its entry, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(index, value)| (K::from_index(index), value))
    }

    /// Every key with its entry for change, oldest first.
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
