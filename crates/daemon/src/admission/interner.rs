//! Interning of names as small integer keys.

use std::{
    collections::HashMap,
    hash::Hash, //
};

use yuccaseam_base::{
    EntityKey,
    PrimaryMap, //
};

/// Maps each name to a key that stays valid for the life of the process.
#[derive(Debug)]
pub(crate) struct Interner<N, K> {
    keys: HashMap<N, K>,
    names: PrimaryMap<K, N>,
}

impl<N, K> Interner<N, K>
where
    N: Clone + Eq + Hash,
    K: EntityKey,
{
    /// Returns the key of a name, which is interned if it is new.
    pub(crate) fn intern(&mut self, name: &N) -> K {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = self.names.push(name.clone());
        self.keys.insert(name.clone(), key);
        key
    }

    /// Returns the key of a name, or that of `other` if the name is new and `limit` names are
    /// interned already. This bounds the memory for names that callers make up.
    pub(crate) fn intern_within(&mut self, name: &N, limit: usize, other: &N) -> K {
        if self.keys.contains_key(name) || self.names.len() < limit {
            self.intern(name)
        } else {
            self.intern(other)
        }
    }

    /// The name that was interned as `key`.
    pub(crate) fn name(&self, key: K) -> &N {
        &self.names[key]
    }
}

impl<N, K> Default for Interner<N, K>
where
    K: EntityKey,
{
    fn default() -> Self {
        Self {
            keys: HashMap::new(),
            names: PrimaryMap::new(),
        }
    }
}
