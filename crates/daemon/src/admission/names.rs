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
