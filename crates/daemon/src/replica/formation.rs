//! Bootstrap of a new group from empty disks.
//!
//! A replica with an empty disk cannot distinguish a new system from the loss of its own disk. It
//! therefore bootstraps a group only if it is the first configured voter and every other one has
//! reported that it belongs to no group. Otherwise it waits until a leader adds it as a learner.

use std::collections::BTreeSet;

use yuccaseam_base::InstanceName;

/// Reports of the other configured voters to a replica without a group.
#[derive(Debug)]
pub(crate) struct Formation {
    others: BTreeSet<InstanceName>,
    is_first: bool,
    /// Other voters that reported that they belong to no group.
    without_group: BTreeSet<InstanceName>,
    group_exists: bool,
}

impl Formation {
    pub(crate) fn new(own: &InstanceName, voters: &[InstanceName]) -> Self {
        let others = voters.iter().filter(|&name| name != own).cloned();
        Self {
            others: others.collect(),
            is_first: voters.first() == Some(own),
            without_group: BTreeSet::new(),
            group_exists: false,
        }
    }

    /// Records whether another replica belongs to a group.
    pub(crate) fn record_hello(&mut self, name: &InstanceName, has_group: bool) {
        self.group_exists |= has_group;
        if !has_group && self.others.contains(name) {
            self.without_group.insert(name.clone());
        }
    }

    /// Whether this replica can bootstrap a group with itself as the only voter. The other voters
    /// join later.
    pub(crate) fn can_bootstrap(&self) -> bool {
        self.is_first && !self.group_exists && self.without_group == self.others
    }
}
