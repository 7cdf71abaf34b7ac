//! Which daemon owns a target.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;
use yuccaseam_base::{
    FailureDomain,
    Region, //
};

use crate::{
    instance::Instance,
    members::Members,
    target::Announcement, //
};

/// A daemon that may own targets.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    hash: u64,
    instance: Instance,
}

/// The daemons that may own targets, by place.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    by_domain: HashMap<(Region, FailureDomain), Vec<Candidate>>,
    by_region: HashMap<Region, Vec<Candidate>>,
    all: Vec<Candidate>,
}

impl Owners {
    /// The live daemons of a table.
    pub(crate) fn of(members: &Members) -> Self {
        let mut owners = Self::default();
        for (instance, member) in members.iter() {
            let record = &member.record;
            if !record.may_own() {
                continue;
            }
            let candidate = Candidate {
                hash: member.hash,
                instance,
            };
            let place = (record.region.clone(), record.domain.clone());
            let region = record.region.clone();
            owners.by_domain.entry(place).or_default().push(candidate);
            owners.by_region.entry(region).or_default().push(candidate);
            owners.all.push(candidate);
        }
        owners
    }

    /// The owner of a target: the daemon with the highest weight in the target's failure domain,
    /// or else in its region, or else anywhere. A daemon that comes or goes moves only the targets
    /// that it gains or loses.
    pub(crate) fn choose(&self, target: &Announcement, hash: u64) -> Option<Instance> {
        let place = (target.region.clone(), target.domain.clone());
        let near = self
            .by_domain
            .get(&place)
            .or_else(|| self.by_region.get(&target.region));
        let candidates = near.unwrap_or(&self.all);
        let heaviest = candidates
            .iter()
            .max_by_key(|candidate| (weight(candidate.hash, hash), candidate.hash));
        heaviest.map(|candidate| candidate.instance)
    }
}

fn weight(instance: u64, target: u64) -> u64 {
    xxh3_64_with_seed(&target.to_le_bytes(), instance)
}
