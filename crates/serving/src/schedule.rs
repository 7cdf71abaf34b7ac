//! Schedules batch items on targets and preempts them for callers.
//!
//! Callers come first: items take the slots that callers leave free, less a reserve for callers
//! that arrive before the next scheduling step. A preempted run is paused and resumes at the event
//! where it stopped, so preemption costs little. An item whose deadline is near takes a reserved
//! slot and is preempted last.

use std::collections::BTreeMap;

use yuccaseam_base::{
    Millis,
    key,
    value, //
};

use crate::{
    targets::TargetKey,
    team_turns::{
        TeamNumber,
        take_turns, //
    },
    waves::{
        ItemRoom,
        Outlook,
        SlotUse, //
    },
};

/// Slots of a target that items leave free when they start, for callers that arrive before the
/// runner receives their load.
const RESERVED_SLOTS: u32 = 2;
/// Slots that a pressing item leaves free when it starts.
const PRESSING_RESERVED_SLOTS: u32 = 1;
/// An item is pressing if its job is due within this time: about three times its run.
const PRESSING_WINDOW: Millis = Millis(13_000);
/// Slots of a target that preemption frees once callers have taken the reserve.
const PREEMPTION_RESERVED_SLOTS: u32 = 1;
/// Part of a target's slots that is held back at most, as a divisor: a target with few slots has none to spare,
/// and preemption frees its slots for callers.
const MAX_RESERVED_DIVISOR: u32 = 4;
/// Time for which a new leader starts no items: entries take up to this long to detect the new
/// leader and report their load.
const START_DELAY: Millis = Millis(600);
/// An item is nearly done if it is expected to run no longer than this. Its slot becomes free as soon as that
/// of a preempted one is used.
const NEARLY_DONE_WINDOW: Millis = Millis(300);
/// An item is urgent if its job is due within this time: about twice its run.
const URGENT_WINDOW: Millis = Millis(9_000);

/// Run of an item assumed until one is complete.
const ASSUMED_RUN: Millis = Millis(4_500);
/// Weight of one item in the average run, as a divisor.
const RUN_SAMPLE_DIVISOR: u64 = 8;

/// An item of a job, by position.
#[key]
pub struct ItemKey {
    /// Number that the runner gave the job.
    pub job: u64,
    /// Position of the item in its job.
    pub item: u32,
}

/// An item waiting for a slot.
#[value]
#[derive(Copy)]
pub struct WaitingItem {
    /// Key of the item.
    pub key: ItemKey,
    /// Time at which the results of its job are due.
    pub due_at: Millis,
    /// Whether it has partial output. It needs less time then than one that has none.
    pub started: bool,
    /// Time that it is expected to run still.
    pub remaining: Millis,
    /// Whether all targets have refused it.
    pub is_refused: bool,
    /// Team of its job, if any.
    pub team: Option<TeamNumber>,
}

/// An item that is running.
#[value]
#[derive(Copy)]
pub struct RunningItem {
    /// Key of the item.
    pub key: ItemKey,
    /// Target that runs it.
    pub target: TargetKey,
    /// Time at which the results of its job are due.
    pub due_at: Millis,
    /// Time that it is expected to run still.
    pub remaining: Millis,
    /// Team of its job, if any.
    pub team: Option<TeamNumber>,
}

/// Capacity of a target for items.
#[value]
#[derive(Copy)]
pub struct TargetCapacity {
    /// Key of the target's start.
    pub target: TargetKey,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Requests of callers in progress at the target.
    pub online: u32,
    /// Whether items may start there. False for a target that is draining or failed recently.
    pub accepts: bool,
}

/// How long items run, as a moving average.
#[derive(Debug)]
pub struct ItemTimes {
    mean: Millis,
}

impl Default for ItemTimes {
    fn default() -> Self {
        Self { mean: ASSUMED_RUN }
    }
}

impl ItemTimes {
    /// Records an item that is complete, with the time that its runs took together.
    pub fn record(&mut self, ran: Millis) {
        let sum = self.mean * (RUN_SAMPLE_DIVISOR - 1) + ran;
        self.mean = Millis(sum.0.div_ceil(RUN_SAMPLE_DIVISOR));
    }

    /// Expected time that an item still runs after `ran` under this leader. An item that has output of an
    /// earlier leader only may be nearly complete: nothing is known of its time.
    pub fn remaining(&self, ran: Millis, has_output: bool) -> Millis {
        if has_output && ran == Millis::ZERO {
            Millis::ZERO
        } else {
            self.mean - ran
        }
    }
}

/// Scheduling decisions for the runner.
#[value]
#[derive(Default)]
pub struct Plan {
    /// Runs to pause.
    pub pause: Vec<ItemKey>,
    /// Items to start, with their targets.
    pub start: Vec<(ItemKey, TargetKey)>,
}

/// Whether a new leader has the entries' loads, so that items may start.
pub fn are_loads_known(leading_for: Millis) -> bool {
    leading_for >= START_DELAY
}

/// Plans the next scheduling step. `outlook` tells what to expect of callers, if they come in waves.
/// `refuses` states whether a target has refused an item and is not to be tried again yet.
pub fn plan<F>(
    waiting: &[WaitingItem],
    running: &[RunningItem],
    capacities: &[TargetCapacity],
    outlook: Option<Outlook>,
    refuses: F,
    now: Millis,
) -> Plan
where
    F: Fn(ItemKey, TargetKey) -> bool,
{
    let mut plan = Plan::default();
    let mut runs_by_target = BTreeMap::<TargetKey, Vec<&RunningItem>>::new();
    for run in running {
        runs_by_target.entry(run.target).or_default().push(run);
    }
    let mut free = Vec::new();
    let mut has_runs = false;
    let mut slot_use = SlotUse::default();
    for capacity in capacities {
        let runs = runs_by_target.remove(&capacity.target).unwrap_or_default();
        let continuing = pause_excess_runs(capacity, runs, now, &mut plan.pause);
        has_runs |= continuing > 0;
        let taken = capacity.online + continuing;
        if capacity.accepts {
            slot_use.slots += capacity.slots;
            slot_use.reserved += PREEMPTION_RESERVED_SLOTS.min(max_reserved(capacity.slots));
            slot_use.callers += capacity.online;
            slot_use.items += continuing;
        }
        if capacity.accepts && taken < capacity.slots {
            free.push(FreeSlots {
                free: capacity.slots - taken,
                target: capacity.target,
                max_reserved: max_reserved(capacity.slots),
            });
        }
    }
    let slots = ItemSlots {
        free,
        has_runs,
        waves: outlook.map(|outlook| (outlook, ItemRoom::beside(outlook.peak, &slot_use))),
    };
    let queue = queue_of(waiting, running, now);
    assign_slots(&queue, slots, refuses, now, &mut plan.start);
    plan
}

/// Slots that items may take.
struct ItemSlots {
    /// Free slots of each target.
    free: Vec<FreeSlots>,
    /// Whether items run already.
    has_runs: bool,
    /// What to expect of callers that come in waves, and the room that their peak leaves.
    waves: Option<(Outlook, ItemRoom)>,
}

impl ItemSlots {
    /// Takes a slot that leaves `reserved` others free, at the target with the most free slots that
    /// `refuses` does not exclude.
    fn take<F>(&mut self, reserved: u32, refuses: F) -> Option<TargetKey>
    where
        F: Fn(TargetKey) -> bool,
    {
        self.free.sort_unstable_by(|a, b| b.cmp(a));
        let mut usable = self
            .free
            .iter_mut()
            .filter(|slots| slots.has_room(reserved));
        let slots = usable.find(|slots| !refuses(slots.target))?;
        slots.free -= 1;
        let target = slots.target;
        self.free.retain(|slots| slots.free > 0);
        Some(target)
    }

    /// Whether an item may start now. One that can wait starts only if it keeps its slot through the next
    /// wave, or little of a trough is lost.
    fn admits(&mut self, item: &WaitingItem, now: Millis) -> bool {
        match &mut self.waves {
            Some((outlook, room)) if can_wait(item, now) => {
                room.take() || outlook.admits(item.remaining)
            }
            _ => true,
        }
    }
}

/// Free slots of a target.
#[value]
#[derive(Copy, PartialOrd, Ord)]
struct FreeSlots {
    free: u32,
    target: TargetKey,
    /// Slots that may be held back at most.
    max_reserved: u32,
}

impl FreeSlots {
    /// Whether an item may start that leaves `reserved` slots free.
    fn has_room(&self, reserved: u32) -> bool {
        self.free > reserved.min(self.max_reserved)
    }
}

/// Slots of a target that may be held back at most.
fn max_reserved(slots: u32) -> u32 {
    slots / MAX_RESERVED_DIVISOR
}

/// Pauses runs that exceed the slots left by callers, the last due first but those that are nearly done last
/// of all, and returns the number of runs that continue.
fn pause_excess_runs(
    capacity: &TargetCapacity,
    mut runs: Vec<&RunningItem>,
    now: Millis,
    pause: &mut Vec<ItemKey>,
) -> u32 {
    let free = capacity.slots.saturating_sub(capacity.online);
    let is_nearly_done = |run: &RunningItem| run.remaining <= NEARLY_DONE_WINDOW;
    let urgent = runs
        .iter()
        .filter(|run| is_nearly_done(run) || is_urgent(run.due_at, run.remaining, now))
        .count();
    let reserved = PREEMPTION_RESERVED_SLOTS.min(max_reserved(capacity.slots));
    let max_runs = free.saturating_sub(reserved) as usize;
    let max_runs = max_runs.max(urgent.min(free as usize));
    runs.sort_by_key(|run| {
        let is_late = !can_be_on_time(run.due_at, run.remaining, now);
        (!is_nearly_done(run), is_late, run.due_at, run.key)
    });
    let kept = runs.len().min(max_runs);
    pause.extend(runs.drain(kept..).map(|run| run.key));
    u32::try_from(kept).unwrap_or(u32::MAX)
}

/// Slots that an item leaves free at its target when it starts: the sooner it is due, the fewer.
fn reserved_slots(item: &WaitingItem, now: Millis) -> u32 {
    if !can_be_on_time(item.due_at, item.remaining, now) {
        RESERVED_SLOTS
    } else if is_urgent(item.due_at, item.remaining, now) {
        0
    } else if item.due_at <= now + PRESSING_WINDOW {
        PRESSING_RESERVED_SLOTS
    } else {
        RESERVED_SLOTS
    }
}

/// Whether an item can be complete when it is due if it runs from now on.
fn can_be_on_time(due_at: Millis, remaining: Millis, now: Millis) -> bool {
    now < due_at && now + remaining <= due_at
}

/// Whether an item is due soon but can still be on time.
fn is_urgent(due_at: Millis, remaining: Millis, now: Millis) -> bool {
    can_be_on_time(due_at, remaining, now) && due_at <= now + URGENT_WINDOW
}

/// Whether an item is on time also if it starts a little later.
fn can_wait(item: &WaitingItem, now: Millis) -> bool {
    can_be_on_time(item.due_at, item.remaining, now) && !is_urgent(item.due_at, item.remaining, now)
}

/// Waiting items in the order in which they get slots: the first due first, and among those due alike the teams
/// in turn.
fn queue_of<'a>(
    waiting: &'a [WaitingItem],
    running: &[RunningItem],
    now: Millis,
) -> Vec<&'a WaitingItem> {
    let mut running_of_teams = BTreeMap::<_, usize>::new();
    for run in running {
        *running_of_teams.entry(run.team).or_default() += 1;
    }
    let is_late = |item: &WaitingItem| !can_be_on_time(item.due_at, item.remaining, now);
    let mut queue: Vec<_> = waiting.iter().collect();
    // Items that will be late in any case lose little by waiting longer, so they come after those that
    // can still be on time. If the items due first came first during overload, all would be late. Items that
    // no target takes must not hold back any other.
    queue.sort_by_key(|item| {
        (
            item.is_refused,
            is_late(item),
            item.due_at,
            !item.started,
            item.key,
        )
    });
    let classes = queue.chunk_by(|a, b| (a.is_refused, is_late(a)) == (b.is_refused, is_late(b)));
    let in_turn = classes.map(|class| {
        take_turns(class.to_vec(), &running_of_teams, |item| {
            (item.team, item.due_at)
        })
    });
    in_turn.flatten().collect()
}

/// Assigns free slots to items in the order of the queue, on the target with the most free slots that has not
/// refused the item. If nothing runs and nothing else starts, an item that is late uses the reserve: it must not
/// wait for as long as callers come.
fn assign_slots<F>(
    queue: &[&WaitingItem],
    mut slots: ItemSlots,
    refuses: F,
    now: Millis,
    starts: &mut Vec<(ItemKey, TargetKey)>,
) where
    F: Fn(ItemKey, TargetKey) -> bool,
{
    let is_late = |item: &WaitingItem| !can_be_on_time(item.due_at, item.remaining, now);
    for item in queue {
        if slots.free.is_empty() {
            return;
        }
        if !slots.admits(item, now) {
            continue;
        }
        let reserved = if is_late(item) && !slots.has_runs && starts.is_empty() {
            PREEMPTION_RESERVED_SLOTS
        } else {
            reserved_slots(item, now)
        };
        if let Some(target) = slots.take(reserved, |target| refuses(item.key, target)) {
            starts.push((item.key, target));
        }
    }
}
