//! Which batch items run where, and which make way for callers.
//!
//! Callers come first: items take the slots that callers leave free, less a reserve for the callers
//! that arrive before the next look. A run that makes way is paused and goes on later at the event
//! where it stopped, so that making way costs little. An item whose time is running out takes a
//! slot of the reserve and makes way last.

use std::collections::BTreeMap;

use yuccaseam_base::{
    Millis,
    key,
    value, //
};

use crate::targets::TargetKey;

/// Slots of a target that items leave free when they start: callers that arrive before the runner
/// hears of them find these.
const RESERVE: u32 = 2;
/// The same for an item that is due soon.
const RESERVE_PRESSING: u32 = 1;
/// An item is pressing if less than this is left until its job is due: about three times its run.
const PRESSING: Millis = Millis(13_000);
/// Slots of a target that runs make free again once callers have taken the reserve.
const RESERVE_KEPT: u32 = 1;
/// How long a new leader starts no items: entries take up to this long to notice that another one
/// leads and to tell it what they have under way.
const LOADS_UNKNOWN: Millis = Millis(600);
/// An item is urgent if less than this is left until its job is due: about twice its run.
const URGENT: Millis = Millis(9_000);

/// An item of a job, by position.
#[key]
pub struct ItemKey {
    /// The job, as the runner numbers it.
    pub job: u64,
    /// Position of the item in its job.
    pub item: u32,
}

/// An item that waits for a slot.
#[value]
#[derive(Copy)]
pub struct Waiting {
    /// The item.
    pub key: ItemKey,
    /// When the results of its job are due.
    pub due_at: Millis,
    /// Whether it was begun before: it is done sooner than one that was not.
    pub begun: bool,
}

/// An item that runs.
#[value]
#[derive(Copy)]
pub struct Running {
    /// The item.
    pub key: ItemKey,
    /// Where it runs.
    pub target: TargetKey,
    /// When the results of its job are due.
    pub due_at: Millis,
}

/// A target that takes items.
#[value]
#[derive(Copy)]
pub struct Capacity {
    /// The target.
    pub target: TargetKey,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Requests of callers that are under way there.
    pub online: u32,
    /// Whether items may start there; a target that drains or failed of late takes none.
    pub accepts: bool,
}

/// What the runner is to do.
#[value]
#[derive(Default)]
pub struct Plan {
    /// Runs that make way.
    pub pause: Vec<ItemKey>,
    /// Items that start, and where.
    pub start: Vec<(ItemKey, TargetKey)>,
}

/// Whether a leader knows what callers have under way, so that items may start.
pub fn are_loads_known(leading_for: Millis) -> bool {
    leading_for >= LOADS_UNKNOWN
}

/// Plans the next step.
pub fn plan(
    waiting: &[Waiting],
    running: &[Running],
    capacities: &[Capacity],
    now: Millis,
) -> Plan {
    let mut plan = Plan::default();
    let mut at = BTreeMap::<TargetKey, Vec<&Running>>::new();
    for run in running {
        at.entry(run.target).or_default().push(run);
    }
    let mut free = Vec::new();
    for capacity in capacities {
        let runs = at.remove(&capacity.target).unwrap_or_default();
        let left = make_way(capacity, runs, now, &mut plan.pause);
        let taken = capacity.online + left;
        if capacity.accepts && taken < capacity.slots {
            free.push((capacity.slots - taken, capacity.target));
        }
    }
    start(waiting, free, now, &mut plan.start);
    plan
}

/// Pauses the runs that stand in the way of callers, the last due first, and returns how many stay.
fn make_way(
    capacity: &Capacity,
    mut runs: Vec<&Running>,
    now: Millis,
    pause: &mut Vec<ItemKey>,
) -> u32 {
    let free = capacity.slots.saturating_sub(capacity.online);
    let urgent = runs.iter().filter(|run| is_urgent(run.due_at, now)).count();
    let allowed = free.saturating_sub(RESERVE_KEPT) as usize;
    let allowed = allowed.max(urgent.min(free as usize));
    runs.sort_by_key(|run| (run.due_at <= now, run.due_at, run.key));
    let stay = runs.len().min(allowed);
    pause.extend(runs.drain(stay..).map(|run| run.key));
    u32::try_from(stay).unwrap_or(u32::MAX)
}

/// Slots of a target that an item leaves free when it starts: the fewer, the sooner it is due.
fn reserve(due_at: Millis, now: Millis) -> u32 {
    if is_urgent(due_at, now) {
        0
    } else if now < due_at && due_at <= now + PRESSING {
        RESERVE_PRESSING
    } else {
        RESERVE
    }
}

/// Whether an item can still be on time, if it runs now.
fn is_urgent(due_at: Millis, now: Millis) -> bool {
    now < due_at && due_at <= now + URGENT
}

/// Gives free slots to the items that are due first, the emptiest target first.
fn start(
    waiting: &[Waiting],
    mut free: Vec<(u32, TargetKey)>,
    now: Millis,
    starts: &mut Vec<(ItemKey, TargetKey)>,
) {
    let mut queue: Vec<_> = waiting.iter().collect();
    // What is late already is worth little more later: it waits for what can still be on time.
    queue.sort_by_key(|item| (item.due_at <= now, item.due_at, !item.begun, item.key));
    for item in queue {
        let reserve = reserve(item.due_at, now);
        free.sort_unstable_by(|a, b| b.cmp(a));
        let Some((slots, target)) = free.first_mut() else {
            return;
        };
        if *slots <= reserve {
            continue;
        }
        *slots -= 1;
        starts.push((item.key, *target));
        free.retain(|(slots, _)| *slots > 0);
    }
}
