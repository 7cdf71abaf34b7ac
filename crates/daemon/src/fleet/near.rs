//! Which daemons may own targets at which place.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        RwLock, //
    },
};

use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    Region, //
};
use yuccaseam_fleet::InstanceRecord;

use super::Announcement;

/// Daemons that may own targets, by place. It is made anew with each change of an instance, and
/// read with each request.
pub(super) struct Near(RwLock<Places>);

#[derive(Default)]
struct Places {
    by_domain: BTreeMap<(Region, FailureDomain), Arc<Vec<InstanceName>>>,
    by_region: BTreeMap<Region, Arc<Vec<InstanceName>>>,
    all: Arc<Vec<InstanceName>>,
    by_address: BTreeMap<String, InstanceName>,
}

impl Near {
    /// At the start a daemon knows itself.
    pub(super) fn new(me: InstanceRecord) -> Self {
        Self(RwLock::new(Places::of([&me].into_iter())))
    }

    pub(super) fn update<'a, I>(&self, instances: I)
    where
        I: Iterator<Item = &'a InstanceRecord>,
    {
        let places = Places::of(instances);
        *self.0.write().expect("no thread panics with the lock") = places;
    }

    /// Those of the target's failure domain, or else of its region, or else all.
    pub(super) fn owners(&self, target: Option<&Announcement>) -> Arc<Vec<InstanceName>> {
        let places = self.0.read().expect("no thread panics with the lock");
        let near = target.and_then(|target| {
            let place = (target.region.clone(), target.failure_domain.clone());
            let in_domain = places.by_domain.get(&place);
            in_domain.or_else(|| places.by_region.get(&target.region))
        });
        Arc::clone(near.unwrap_or(&places.all))
    }

    pub(super) fn name_at(&self, address: &str) -> Option<InstanceName> {
        let places = self.0.read().expect("no thread panics with the lock");
        places.by_address.get(address).cloned()
    }
}

impl Places {
    fn of<'a, I>(instances: I) -> Self
    where
        I: Iterator<Item = &'a InstanceRecord>,
    {
        let mut places = Self::default();
        for record in instances {
            let name = &record.name;
            places
                .by_address
                .insert(record.address.clone(), name.clone());
            if !record.can_own() {
                continue;
            }
            let place = (record.region.clone(), record.domain.clone());
            add(places.by_domain.entry(place).or_default(), name);
            add(
                places.by_region.entry(record.region.clone()).or_default(),
                name,
            );
            add(&mut places.all, name);
        }
        places
    }
}

fn add(list: &mut Arc<Vec<InstanceName>>, name: &InstanceName) {
    Arc::make_mut(list).push(name.clone());
}
