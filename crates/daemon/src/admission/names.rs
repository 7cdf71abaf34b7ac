//! Names as small keys.

use std::{
    collections::HashMap,
    hash::Hash, //
};

use yuccaseam_base::{
    EntityKey,
    PrimaryMap, //
};

/// Gives each name a key, which stays its key for the life of the process.
#[derive(Debug)]
pub(crate) struct Names<N, K> {
    keys: HashMap<N, K>,
    names: PrimaryMap<K, N>,
}

impl<N, K> Names<N, K>
where
    N: Clone + Eq + Hash,
    K: EntityKey,
{
    /// The key of a name.
    pub(crate) fn key(&mut self, name: &N) -> K {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = self.names.push(name.clone());
        self.keys.insert(name.clone(), key);
        key
    }

    /// The key of a name, or that of `other` if the name is new and there are `limit` names. Names
    /// that callers make up then share a key and cost no memory.
    pub(crate) fn key_within(&mut self, name: &N, limit: usize, other: &N) -> K {
        if self.keys.contains_key(name) || self.names.len() < limit {
            self.key(name)
        } else {
            self.key(other)
        }
    }

    /// The name of a key of this collection.
    pub(crate) fn name(&self, key: K) -> &N {
        &self.names[key]
    }
}

impl<N, K> Default for Names<N, K>
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
