//! Decides which loads the leader sends to its followers, and when.
//!
//! Entries that report to each other need only the loads of all others, which are the same for each of
//! them: the differences are computed once for such a group, not once for each entry.
//!
//! With many followers, what is sent each time grows with their number times that of the targets. Entries
//! mostly use the targets of their own failure domain. Those of the others are then sent less often, and
//! in steps.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::IpAddr,
};

use yuccaseam_base::{
    FailureDomain,
    Millis, //
};

use crate::{
    balance::Load,
    targets::TargetKey, //
};

/// Number of followers from which loads of other failure domains are sent less often.
const MANY_FOLLOWERS: usize = 64;
/// How often loads of other failure domains are sent to many followers.
const FAR_INTERVAL: Millis = Millis(200);
/// Steps in which loads of other failure domains are sent to many followers: a target that is nearly
/// full or empty shows as such.
const FAR_STEP: u32 = 2;

/// Followers that need the same loads: the addresses of the entries that report to each other. Empty
/// for followers that are no entries.
pub type LoadGroup = Vec<IpAddr>;

/// Loads as last sent to a group.
#[derive(Debug, Default)]
struct GroupState {
    sent: BTreeMap<TargetKey, Load>,
    far_sent_at: Millis,
}

/// Loads sent to the followers of a leader.
#[derive(Debug, Default)]
pub struct LoadFanout {
    groups: HashMap<LoadGroup, GroupState>,
}

/// What the leader knows of loads at one moment.
pub struct CurrentLoads<'a> {
    /// Load of each target, over all sources.
    pub all: &'a BTreeMap<TargetKey, Load>,
    /// Failure domain of each target.
    pub domains: &'a HashMap<TargetKey, FailureDomain>,
    /// Number of followers.
    pub followers: usize,
    /// Time at which these loads are known.
    pub now: Millis,
}

impl LoadFanout {
    /// Removes groups without followers.
    pub fn retain<F>(&mut self, mut is_in_use: F)
    where
        F: FnMut(&LoadGroup) -> bool,
    {
        self.groups.retain(|group, _| is_in_use(group));
    }

    /// Returns the loads that have changed for a group, and takes them as sent. `known` are the requests
    /// that its members tell each other; `domain` is theirs, if they are entries.
    pub fn changes<'a, K>(
        &mut self,
        group: &LoadGroup,
        known: K,
        domain: Option<&FailureDomain>,
        current: &CurrentLoads<'_>,
    ) -> Vec<(TargetKey, Load)>
    where
        K: IntoIterator<Item = &'a (TargetKey, u32)>,
    {
        let mut loads = current.all.clone();
        for (key, count) in known {
            if let Some(load) = loads.get_mut(key) {
                load.online = load.online.saturating_sub(*count);
            }
        }
        let state = self.groups.entry(group.clone()).or_default();
        let is_far = |key: &TargetKey| {
            current.followers >= MANY_FOLLOWERS
                && (domain.is_none() || current.domains.get(key) != domain)
        };
        let far_due = current.now >= state.far_sent_at + FAR_INTERVAL;
        if far_due {
            state.far_sent_at = current.now;
        }
        let mut changes = Vec::new();
        for key in state.sent.keys().filter(|key| !loads.contains_key(key)) {
            if far_due || !is_far(key) {
                changes.push((*key, Load::default()));
            }
        }
        for (key, load) in &loads {
            let sent = state.sent.get(key).copied();
            if sent == Some(*load) || (sent.is_none() && *load == Load::default()) {
                continue;
            }
            let is_far = is_far(key);
            if is_far && !far_due {
                continue;
            }
            let load = if is_far { in_steps(*load) } else { *load };
            if sent != Some(load) {
                changes.push((*key, load));
            }
        }
        for (key, load) in &changes {
            if *load == Load::default() {
                state.sent.remove(key);
            } else {
                state.sent.insert(*key, *load);
            }
        }
        changes
    }

    /// Returns all loads that the members of a group have been sent, for a follower that joins it.
    /// `left` is the group that it was in before, whose loads it still knows.
    pub fn joined(&self, group: &LoadGroup, left: Option<&LoadGroup>) -> Vec<(TargetKey, Load)> {
        let sent = self.groups.get(group).map(|state| &state.sent);
        let old = left.and_then(|left| self.groups.get(left));
        let mut loads: BTreeMap<_, _> = old
            .into_iter()
            .flat_map(|state| state.sent.keys())
            .map(|key| (*key, Load::default()))
            .collect();
        loads.extend(sent.into_iter().flatten().map(|(key, load)| (*key, *load)));
        loads.into_iter().collect()
    }
}

/// Rounds a load up to [`FAR_STEP`].
fn in_steps(load: Load) -> Load {
    Load {
        online: load.online.next_multiple_of(FAR_STEP),
        batch: load.batch.next_multiple_of(FAR_STEP),
    }
}
