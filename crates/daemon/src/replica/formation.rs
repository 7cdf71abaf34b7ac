//! When an empty disk may begin a new group.
//!
//! A disk without a group cannot tell a new system from its own loss. It therefore begins a group
//! only if it is the first of the configured voters and every other one has said that it belongs
//! to no group either. In every other case it waits until a leader adds it as a learner.

use std::collections::BTreeSet;

use yuccaseam_base::InstanceName;

/// What a replica without a group has heard from the other configured voters.
#[derive(Debug)]
pub(crate) struct Formation {
    others: BTreeSet<InstanceName>,
    is_first: bool,
    /// The others that said that they belong to no group.
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

    /// Notes what another replica said.
    pub(crate) fn on_hello(&mut self, name: &InstanceName, has_group: bool) {
        self.group_exists |= has_group;
        if !has_group && self.others.contains(name) {
            self.without_group.insert(name.clone());
        }
    }

    /// Whether this replica is to begin a group with itself as its only voter. The others join it.
    pub(crate) fn may_begin_group(&self) -> bool {
        self.is_first && !self.group_exists && self.without_group == self.others
    }
}
