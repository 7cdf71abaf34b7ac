//! Daemons that may own targets, by location.

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

/// Daemons that may own targets, by location. Rebuilt at each change of an instance, and read by
/// each request.
pub(super) struct Proximity(RwLock<CandidatesByLocation>);

#[derive(Default)]
struct CandidatesByLocation {
    by_domain: BTreeMap<(Region, FailureDomain), Arc<Vec<InstanceName>>>,
    by_region: BTreeMap<Region, Arc<Vec<InstanceName>>>,
    all: Arc<Vec<InstanceName>>,
    by_address: BTreeMap<String, InstanceName>,
}

impl Proximity {
    /// Creates the view of a daemon that knows only itself.
    pub(super) fn new(own_record: InstanceRecord) -> Self {
        Self(RwLock::new(CandidatesByLocation::of(
            [&own_record].into_iter(),
        )))
    }

    pub(super) fn update<'a, I>(&self, instances: I)
    where
        I: Iterator<Item = &'a InstanceRecord>,
    {
        let candidates = CandidatesByLocation::of(instances);
        *self.0.write().expect("no thread panics with the lock") = candidates;
    }

    /// The candidates in the target's failure domain, or else in its region, or else all.
    pub(super) fn owners(&self, target: Option<&Announcement>) -> Arc<Vec<InstanceName>> {
        let candidates = self.0.read().expect("no thread panics with the lock");
        let nearest = target.and_then(|target| {
            let location = (target.region.clone(), target.failure_domain.clone());
            let in_domain = candidates.by_domain.get(&location);
            in_domain.or_else(|| candidates.by_region.get(&target.region))
        });
        Arc::clone(nearest.unwrap_or(&candidates.all))
    }

    pub(super) fn name_at(&self, address: &str) -> Option<InstanceName> {
        let candidates = self.0.read().expect("no thread panics with the lock");
        candidates.by_address.get(address).cloned()
    }
}

impl CandidatesByLocation {
    fn of<'a, I>(instances: I) -> Self
    where
        I: Iterator<Item = &'a InstanceRecord>,
    {
        let mut candidates = Self::default();
        for record in instances {
            let name = &record.name;
            candidates
                .by_address
                .insert(record.address.clone(), name.clone());
            if !record.can_own() {
                continue;
            }
            let location = (record.region.clone(), record.domain.clone());
            add(candidates.by_domain.entry(location).or_default(), name);
            add(
                candidates
                    .by_region
                    .entry(record.region.clone())
                    .or_default(),
                name,
            );
            add(&mut candidates.all, name);
        }
        candidates
    }
}

fn add(list: &mut Arc<Vec<InstanceName>>, name: &InstanceName) {
    Arc::make_mut(list).push(name.clone());
}
