//! Owner selection for targets by rendezvous hashing.

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

/// Daemon that can own targets.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    hash: u64,
    instance: Instance,
}

/// Daemons that can own targets, indexed by location.
#[derive(Debug, Default)]
pub(crate) struct OwnerCandidates {
    by_domain: HashMap<(Region, FailureDomain), Vec<Candidate>>,
    by_region: HashMap<Region, Vec<Candidate>>,
    all: Vec<Candidate>,
}

impl OwnerCandidates {
    /// Collects the daemons of a table that can own targets.
    pub(crate) fn from_members(members: &Members) -> Self {
        let mut candidates = Self::default();
        for (instance, member) in members.iter() {
            let record = &member.record;
            if !record.can_own() {
                continue;
            }
            let candidate = Candidate {
                hash: member.hash,
                instance,
            };
            let location = (record.region.clone(), record.domain.clone());
            let region = record.region.clone();
            candidates
                .by_domain
                .entry(location)
                .or_default()
                .push(candidate);
            candidates
                .by_region
                .entry(region)
                .or_default()
                .push(candidate);
            candidates.all.push(candidate);
        }
        candidates
    }

    /// Selects the owner of a target: the daemon with the highest weight in the target's failure
    /// domain, else in its region, else anywhere. A daemon that joins or leaves moves only the
    /// targets that it gains or loses.
    pub(crate) fn choose(&self, target: &Announcement, hash: u64) -> Option<Instance> {
        let location = (target.region.clone(), target.domain.clone());
        let nearest = self
            .by_domain
            .get(&location)
            .or_else(|| self.by_region.get(&target.region));
        let candidates = nearest.unwrap_or(&self.all);
        let heaviest = candidates
            .iter()
            .max_by_key(|candidate| (weight(candidate.hash, hash), candidate.hash));
        heaviest.map(|candidate| candidate.instance)
    }
}

fn weight(instance: u64, target: u64) -> u64 {
    xxh3_64_with_seed(&target.to_le_bytes(), instance)
}
