//! Order in which a leader proposes the membership changes that are open to it.
//!
//! A change can be refused for as long as its reason lasts: a learner that does not respond, or a voter without which
//! no quorum would remain. Invariant: between two proposals of one change, every other change that has been open since
//! the first of them is proposed. No change therefore waits for the reason of another one to end.

use std::mem;

use crate::{
    Change,
    ChangeError, //
};

/// Number of changes that are remembered. More than a group with its lost disks has open at a time.
const MAX_REMEMBERED: usize = 128;

/// A change that was proposed.
#[derive(Debug)]
struct Proposed {
    change: Change,
    /// Number of the proposal, in the order of proposals.
    number: u64,
    /// Reasons of refusals so far.
    refusals: Vec<mem::Discriminant<ChangeError>>,
}

/// Chooses among the open changes the one that was proposed least recently.
#[derive(Debug, Default)]
pub struct ChangeRotation {
    proposed: Vec<Proposed>,
    last_number: u64,
}

impl ChangeRotation {
    /// Returns the change to propose next, and remembers it as proposed. `open` lists the open changes, the most
    /// urgent one first. Changes that were never proposed come before those that were.
    pub fn next<I>(&mut self, open: I) -> Option<Change>
    where
        I: IntoIterator<Item = Change>,
    {
        // Of equal keys, the first is the minimum.
        let change = open
            .into_iter()
            .min_by_key(|change| self.find(change).map(|proposed| proposed.number))?;
        self.last_number += 1;
        let number = self.last_number;
        match self.find_mut(&change) {
            Some(proposed) => proposed.number = number,
            None => self.remember(change.clone(), number),
        }
        Some(change)
    }

    /// Whether a change was refused, and not forgotten since.
    pub fn was_refused(&self, change: &Change) -> bool {
        self.find(change)
            .is_some_and(|proposed| !proposed.refusals.is_empty())
    }

    /// Records that a proposed change was refused. Returns whether it was not refused for this reason before.
    pub fn record_refusal(&mut self, change: &Change, error: &ChangeError) -> bool {
        let reason = mem::discriminant(error);
        let Some(proposed) = self.find_mut(change) else {
            return true;
        };
        let is_new = !proposed.refusals.contains(&reason);
        if is_new {
            proposed.refusals.push(reason);
        }
        is_new
    }

    /// Forgets all proposals, as at the end of a leadership.
    pub fn clear(&mut self) {
        self.proposed.clear();
    }

    fn remember(&mut self, change: Change, number: u64) {
        if self.proposed.len() >= MAX_REMEMBERED {
            let oldest = (0..self.proposed.len()).min_by_key(|&at| self.proposed[at].number);
            oldest.map(|at| self.proposed.swap_remove(at));
        }
        self.proposed.push(Proposed {
            change,
            number,
            refusals: Vec::new(),
        });
    }

    fn find(&self, change: &Change) -> Option<&Proposed> {
        self.proposed
            .iter()
            .find(|proposed| proposed.change == *change)
    }

    fn find_mut(&mut self, change: &Change) -> Option<&mut Proposed> {
        self.proposed
            .iter_mut()
            .find(|proposed| proposed.change == *change)
    }
}
