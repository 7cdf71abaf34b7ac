//! Turns of teams among batch items.

use std::collections::BTreeMap;

use yuccaseam_base::Millis;
use yuccaseam_serving::{
    schedule::{
        ItemKey,
        RunningItem,
        TargetCapacity,
        WaitingItem,
        plan, //
    },
    targets::TargetKey,
    team_turns::{
        ALIKE_WINDOW,
        TeamNumber,
        take_turns, //
    },
};

const RED: Option<TeamNumber> = Some(TeamNumber(0));
const BLUE: Option<TeamNumber> = Some(TeamNumber(1));

/// The order of items given as team and due time, by their positions.
fn order(
    items: &[(Option<TeamNumber>, u64)],
    running: &[(Option<TeamNumber>, usize)],
) -> Vec<usize> {
    let running: BTreeMap<_, _> = running.iter().copied().collect();
    let queue = (0..items.len()).collect();
    take_turns(queue, &running, |item: &usize| {
        (items[*item].0, Millis(items[*item].1))
    })
}

#[test]
fn teams_whose_items_are_due_alike_alternate() {
    let items = [(RED, 10), (RED, 20), (RED, 30), (BLUE, 40), (BLUE, 50)];
    assert_eq!(order(&items, &[]), [0, 3, 1, 4, 2]);
}

/// Slots become free one by one: what already runs decides whose turn it is.
#[test]
fn team_with_fewer_running_items_goes_first() {
    let items = [(RED, 10), (RED, 20), (BLUE, 40)];
    assert_eq!(order(&items, &[(RED, 20), (BLUE, 1)]), [2, 0, 1]);
}

#[test]
fn item_due_much_earlier_goes_first() {
    let later = 11 + ALIKE_WINDOW.0;
    let items = [(RED, 10), (RED, 10), (BLUE, later), (BLUE, later)];
    assert_eq!(order(&items, &[(RED, 9)]), [0, 1, 2, 3]);
}

#[test]
fn order_does_not_change_without_teams() {
    let items = [(None, 10), (None, 10), (None, 900), (None, 90_000)];
    assert_eq!(order(&items, &[(None, 3)]), [0, 1, 2, 3]);
}

/// How long an item runs.
const RUN: Millis = Millis(4_500);
const TARGETS: u64 = 3;
const SLOTS: u32 = 8;

/// Plays the items of both teams, given as team, arrival and due time, on a few targets until `until`. Returns
/// how many items of each team were complete when they were due.
fn on_time(items: &[(Option<TeamNumber>, Millis, Millis)], until: Millis) -> [usize; 2] {
    let mut started = BTreeMap::<u32, (Millis, TargetKey)>::new();
    let mut on_time = [0; 2];
    for now in (0..until.0).step_by(100).map(Millis) {
        let is_done = |number: &u32| started.get(number).is_some_and(|run| now >= run.0 + RUN);
        let numbered = (0..)
            .zip(items)
            .filter(|(number, item)| item.1 <= now && !is_done(number));
        let (mut waiting, mut running) = (Vec::new(), Vec::new());
        for (number, &(team, _, due_at)) in numbered {
            let key = ItemKey {
                job: 1,
                item: number,
            };
            match started.get(&number) {
                Some(&(since, target)) => running.push(RunningItem {
                    key,
                    target,
                    due_at,
                    remaining: RUN - (now - since),
                    team,
                }),
                None => waiting.push(WaitingItem {
                    key,
                    due_at,
                    started: false,
                    remaining: RUN,
                    is_refused: false,
                    team,
                }),
            }
        }
        let capacities: Vec<_> = (1..=TARGETS)
            .map(|target| TargetCapacity {
                target: TargetKey(target),
                slots: SLOTS,
                online: 0,
                accepts: true,
            })
            .collect();
        for (key, target) in plan(&waiting, &running, &capacities, None, |_, _| false, now).start {
            started.insert(key.item, (now, target));
            let (team, _, due_at) = items[key.item as usize];
            if now + RUN <= due_at {
                on_time[usize::from(team == BLUE)] += 1;
            }
        }
    }
    on_time
}

/// Load: a team submits a thousand items, and another one a few a second later.
#[test]
fn few_items_of_one_team_are_on_time_beside_a_thousand_of_another() {
    let due = |at: Millis| at + Millis(18_000);
    let red = (RED, Millis(0), due(Millis(0)));
    let blue = (BLUE, Millis(1_000), due(Millis(1_000)));
    let mut items = vec![red; 1_000];
    items.extend([blue; 8]);
    let [red, blue] = on_time(&items, Millis(20_000));
    assert_eq!(blue, 8, "{red} of the other team");
    // All but the slots of the few, and those held back for callers.
    assert!(red >= 50, "{red}");
}

/// Load: a team submits without a pause, so that some item of it is always due first.
#[test]
fn few_items_are_on_time_beside_a_team_that_never_pauses() {
    let due = |at: Millis| at + Millis(9_000);
    let mut items: Vec<_> = (0..200)
        .flat_map(|step| {
            let at = Millis(step * 100);
            [(RED, at, due(at)); 5]
        })
        .collect();
    let at = Millis(8_000);
    items.extend([(BLUE, at, due(at)); 6]);
    items.sort_by_key(|item| item.1);
    assert_eq!(on_time(&items, Millis(20_000))[1], 6);
}
