//! Turns of teams among batch items that are due alike.
//!
//! The load that it answers: a team submits a thousand items at once, and another one a few that are due soon
//! after. By due time alone, the few would wait until the thousand have started or are late.
//!
//! # Invariants
//!
//! - An item due more than [`ALIKE_WINDOW`] before another one goes before it.
//! - Among items due alike, the team with the fewest running and placed items goes next.
//! - With one team, or without teams, the order does not change.

use std::collections::BTreeMap;

use yuccaseam_base::{
    Millis,
    key, //
};

/// Items are due alike if they are due within this time of the first of them: about one run of an item, in
/// which each slot becomes free once.
pub const ALIKE_WINDOW: Millis = Millis(4_500);

/// Number that the scheduler gave a team.
#[key]
pub struct TeamNumber(pub u32);

/// Reorders a queue in which the items due first come first. `running` are the items of each team that run, and
/// `of` returns the team of an item and when it is due. Items without a team count as those of one team.
pub fn take_turns<T, F>(
    queue: Vec<T>,
    running: &BTreeMap<Option<TeamNumber>, usize>,
    of: F,
) -> Vec<T>
where
    F: Fn(&T) -> (Option<TeamNumber>, Millis),
{
    let mut ordered = Vec::with_capacity(queue.len());
    let mut placed = running.clone();
    let mut rest = queue.into_iter().peekable();
    while let Some(first) = rest.peek() {
        let alike_until = of(first).1 + ALIKE_WINDOW;
        let mut alike = Vec::new();
        while let Some(item) = rest.next_if(|item| of(item).1 <= alike_until) {
            let turn = placed.entry(of(&item).0).or_default();
            alike.push((*turn, item));
            *turn += 1;
        }
        // Stable: within one turn, the items due first come first.
        alike.sort_by_key(|(turn, _)| *turn);
        ordered.extend(alike.into_iter().map(|(_, item)| item));
    }
    ordered
}
