//! Fair shares: some teams send 5 to 8 times their usual while demand comes in waves, 0.38 of the mean for
//! 3 s and 1.85 of it for 2.2 s. The others send their usual, which fits in every wave.
//!
//! Arrivals, slots and messages advance in steps on a simulated clock. The time that messages take is part
//! of it: a report and a list are under way for 25 ms each.

use std::collections::VecDeque;

use rand::{
    Rng as _,
    SeedableRng as _,
    rngs::StdRng, //
};
use yuccaseam_base::{
    Millis,
    TargetName,
    TeamName,
    cases, //
};
use yuccaseam_serving::{
    admission::{
        Decision,
        ServiceTimes,
        SlotRequest,
        decide,
        retry_after, //
    },
    balance::{
        Availability,
        Choice,
        Load, //
    },
    shares::{
        DemandMeter,
        Flow,
        FlowDemand,
        SHARES_INTERVAL,
        SHARES_LIFETIME,
        ServiceCapacity,
        ServiceDemand,
        ServiceShares,
        ShareGuard,
        ShareManager,
        Standing,
        WaiterId,
        WaitingLine,
        allocate,
        decide_beyond_share,
        has_turn, //
    },
    targets::TargetKey,
};

const STEP: Millis = Millis(5);
const LINK: Millis = Millis(25);
const OBJECTIVE: Millis = Millis(300);
const TIMEOUT: Millis = Millis(5_000);
const FIRST_EVENT: Millis = Millis(70);
const RUN: std::ops::Range<u64> = 600..900;
const TARGET_SLOTS: u32 = 8;
const END: Millis = Millis(20_800);
/// Period of the waves, and the part of it with little demand.
const WAVE: (Millis, Millis) = (Millis(5_200), Millis(3_000));
const HOT: std::ops::Range<u64> = 3_000..13_000;
/// Demand of all teams in the mean, as part of the slots.
const MEAN_FILL: f64 = 0.4;
/// Value of a response to a second attempt, and of a late one.
const SECOND: f64 = 0.575;
const LATE: f64 = 0.15;

struct Request {
    team: usize,
    entry: usize,
    arrived_at: Millis,
    /// When the entry decides on it next.
    decide_at: Millis,
    is_retry: bool,
    standing: Standing,
    waiter: Option<WaiterId>,
}

#[derive(Default)]
struct Entry {
    meter: DemandMeter,
    guard: ShareGuard,
    line: WaitingLine,
}

#[derive(Clone, Copy, Default)]
struct Tally {
    owed: f64,
    served: f64,
    worth: f64,
}

struct Play {
    /// Whether the leader shares the slots.
    shares: bool,
    hot: Vec<(usize, f64)>,
    flows: Vec<Flow>,
    /// Part of the demand by team.
    sizes: Vec<f64>,
    entries: Vec<Entry>,
    manager: ShareManager,
    slots: usize,
    running: Vec<Millis>,
    waiting: Vec<Request>,
    returns: Vec<(Millis, Request)>,
    reports: VecDeque<(Millis, usize, Vec<ServiceDemand>)>,
    lists: VecDeque<(Millis, Vec<ServiceShares>)>,
    tallies: Vec<Tally>,
    rng: StdRng,
}

fn flow(team: usize) -> Flow {
    Flow {
        priority: 0,
        team: TeamName(format!("team-{team}")),
    }
}

impl Play {
    /// Teams of very unequal sizes; the largest sends a quarter of all.
    fn new(entries: usize, hot: &[(usize, f64)], shares: bool) -> Self {
        let teams = 76.min(entries * 3 / 2);
        let sizes: Vec<_> = (0..teams)
            .map(|team| 1.0 / f64::powf((team + 1) as f64, 1.1))
            .collect();
        let total: f64 = sizes.iter().sum();
        Self {
            shares,
            hot: hot.to_vec(),
            flows: (0..teams).map(flow).collect(),
            sizes: sizes.into_iter().map(|size| size / total).collect(),
            entries: (0..entries).map(|_| Entry::default()).collect(),
            manager: ShareManager::default(),
            slots: entries * 8,
            running: Vec::new(),
            waiting: Vec::new(),
            returns: Vec::new(),
            reports: VecDeque::new(),
            lists: VecDeque::new(),
            tallies: vec![Tally::default(); teams],
            rng: StdRng::seed_from_u64(40),
        }
    }

    /// Arrivals of a team in one step, in the mean.
    fn rate(&self, team: usize, now: Millis) -> f64 {
        let is_trough = now.0 % WAVE.0.0 < WAVE.1.0;
        let wave = if is_trough { 0.38 } else { 1.85 };
        let hot = self.hot.iter().find(|(hot, _)| *hot == team);
        let times = hot.map_or(1.0, |(_, times)| *times);
        let times = if HOT.contains(&now.0) { times } else { 1.0 };
        let run = (RUN.start + RUN.end) as f64 / 2.0;
        self.slots as f64 * MEAN_FILL / run * STEP.0 as f64 * wave * times * self.sizes[team]
    }

    fn best(&self) -> Choice {
        let targets = self.slots / TARGET_SLOTS as usize;
        let free_slots = (self.slots - self.running.len()).div_ceil(targets) as u32;
        Choice {
            key: TargetKey(1),
            name: TargetName::from("engine"),
            address: ([10, 0, 0, 1], 8_000).into(),
            slots: TARGET_SLOTS,
            availability: if free_slots > 0 {
                Availability::Free
            } else {
                Availability::Full
            },
            load: Load {
                online: TARGET_SLOTS - free_slots,
                batch: 0,
            },
            free_slots,
            queued: 1,
            same_region: true,
            loads_age: Millis::ZERO,
            pace: None,
        }
    }

    fn arrive(&mut self, team: usize, is_retry: bool, now: Millis) {
        let entry = self.rng.random_range(0..self.entries.len());
        let Entry { meter, guard, .. } = &mut self.entries[entry];
        let flow = &self.flows[team];
        let run = Millis((RUN.start + RUN.end) / 2);
        let standing = if is_retry && guard.take_return("llm", flow, now) {
            Standing::Beyond
        } else {
            meter.record("llm", flow, run, now);
            guard.admit("llm", flow, self.rng.random(), now)
        };
        self.waiting.push(Request {
            team,
            entry,
            arrived_at: now,
            decide_at: now,
            is_retry,
            standing,
            waiter: None,
        });
    }

    fn exchange(&mut self, now: Millis) {
        if self.shares && now.0.is_multiple_of(SHARES_INTERVAL.0) {
            for (number, entry) in self.entries.iter_mut().enumerate() {
                let demands = entry.meter.report(now);
                self.reports.push_back((now + LINK, number, demands));
            }
            let capacity = ServiceCapacity {
                service: "llm".to_owned(),
                slots: self.slots as u32,
            };
            let sizes = &self.sizes;
            let list = self.manager.update(
                &[capacity],
                |team| {
                    let index = team.as_str()["team-".len()..].parse::<usize>();
                    sizes[index.expect("numbered")]
                },
                now,
            );
            self.lists.push_back((now + LINK, list));
        }
        while self.reports.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, entry, demands) = self.reports.pop_front().expect("not empty");
            self.manager.report(entry as u64, demands, now);
        }
        while self.lists.front().is_some_and(|(at, _)| *at <= now) {
            let (_, list) = self.lists.pop_front().expect("not empty");
            for entry in &mut self.entries {
                entry.guard.apply(&list, now);
            }
        }
    }

    /// Decides on a request. Returns it if it is to wait.
    fn offer(&mut self, mut request: Request, now: Millis) -> Option<Request> {
        let flow = self.flows[request.team].clone();
        let best = self.best();
        let slot_request = SlotRequest {
            waited: now - request.arrived_at,
            objective: OBJECTIVE,
            timeout: TIMEOUT,
            caller_timeout: if request.is_retry {
                Millis(4_000)
            } else {
                TIMEOUT
            },
        };
        let decision = match request.standing {
            Standing::Within => {
                let times = ServiceTimes::assumed(OBJECTIVE);
                decide(&slot_request, Some(&best), &times, false)
            }
            Standing::Beyond => decide_beyond_share(&slot_request, Some(&best)),
        };
        let Entry { line, guard, .. } = &mut self.entries[request.entry];
        let ahead = match request.waiter {
            Some(id) => line.ahead_of(id),
            None => line.ahead_of_new(&flow, request.standing),
        };
        let is_over = slot_request.waited >= slot_request.max_wait();
        match decision {
            Decision::Send if has_turn(ahead, &best) => {
                let run = self.rng.random_range(RUN);
                self.running.push(now + Millis(run));
                let tally = &mut self.tallies[request.team];
                tally.served += 1.0;
                tally.worth += if slot_request.waited + FIRST_EVENT > OBJECTIVE {
                    LATE
                } else if request.is_retry {
                    SECOND
                } else {
                    1.0
                };
            }
            Decision::Send | Decision::Wait if !is_over => {
                let weight = self.sizes[request.team];
                let standing = request.standing;
                let join = || line.join(&flow, standing, weight);
                request.waiter = Some(request.waiter.unwrap_or_else(join));
                request.decide_at = now + slot_request.recheck_delay(self.rng.random());
                return Some(request);
            }
            _ if !request.is_retry => {
                let at = now + retry_after(self.rng.random());
                if let Some(id) = request.waiter.take() {
                    line.leave(id);
                }
                if request.standing == Standing::Beyond {
                    guard.expect_return("llm", &flow, now);
                }
                self.returns.push((at, request));
                return None;
            }
            _ => {}
        }
        if let Some(id) = request.waiter {
            self.entries[request.entry].line.leave(id);
        }
        None
    }

    fn play(mut self) -> Self {
        let mut now = Millis::ZERO;
        while now < END + Millis(4_000) {
            self.running.retain(|ends_at| *ends_at > now);
            self.exchange(now);
            let due: Vec<_> = self.returns.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, request) in due {
                self.arrive(request.team, true, now);
            }
            for team in 0..self.flows.len() {
                let mut rate = if now < END { self.rate(team, now) } else { 0.0 };
                while rate > 0.0 {
                    if self.rng.random_bool(rate.min(1.0)) {
                        self.tallies[team].owed += 1.0;
                        self.arrive(team, false, now);
                    }
                    rate -= 1.0;
                }
            }
            for request in std::mem::take(&mut self.waiting) {
                if request.decide_at > now {
                    self.waiting.push(request);
                    continue;
                }
                if let Some(request) = self.offer(request, now) {
                    self.waiting.push(request);
                }
            }
            now += STEP;
        }
        self
    }

    fn is_hot(&self, team: usize) -> bool {
        self.hot.iter().any(|(hot, _)| *hot == team)
    }

    /// Worth of the worst tenth of the teams that send their usual.
    fn worst_tenth(&self) -> f64 {
        let mut usual: Vec<_> = (0..self.flows.len())
            .filter(|team| !self.is_hot(*team) && self.tallies[*team].owed > 0.0)
            .map(|team| self.tallies[team])
            .collect();
        usual.sort_by(|a, b| (a.worth / a.owed).total_cmp(&(b.worth / b.owed)));
        usual.truncate(usual.len().div_ceil(10));
        sum(&usual).worth / sum(&usual).owed
    }
}

fn sum(tallies: &[Tally]) -> Tally {
    tallies.iter().fold(Tally::default(), |sum, tally| Tally {
        owed: sum.owed + tally.owed,
        served: sum.served + tally.served,
        worth: sum.worth + tally.worth,
    })
}

/// With the slots shared, the worst tenth of the teams that send their usual stays within 0.1 of full
/// service, no team is served less than a quarter as often as all, and the slots stay as full as without.
fn a_hot_team_pays_for_itself(entries: usize, hot: &[(usize, f64)]) {
    let with = Play::new(entries, hot, true).play();
    let without = Play::new(entries, hot, false).play();
    let (all, all_without) = (sum(&with.tallies), sum(&without.tallies));
    println!(
        "{entries} entries, {hot:?}: worst tenth {:.3} (without {:.3}), served {:.3} ({:.3}), worth {:.3} ({:.3})",
        with.worst_tenth(),
        without.worst_tenth(),
        all.served / all.owed,
        all_without.served / all_without.owed,
        all.worth / all.owed,
        all_without.worth / all_without.owed,
    );
    assert!(with.worst_tenth() >= 0.9);
    assert!(
        without.worst_tenth() < 0.9,
        "the load is too light to show anything"
    );
    assert!(all.served >= 0.95 * all_without.served);
    let mean = all.served / all.owed;
    let least = with.tallies.iter().filter(|tally| tally.owed > 0.0);
    let least = least.map(|tally| tally.served / tally.owed);
    assert!(least.fold(1.0, f64::min) >= mean / 4.0);
}

cases! { a_hot_team_pays_for_itself:
    the_largest_at_10_entries(10, &[(0, 7.5)]);
    the_largest_at_50_entries(50, &[(0, 7.5)]);
    the_largest_at_320_entries(320, &[(0, 7.5)]);
    two_at_50_entries(50, &[(1, 8.0), (2, 8.0)]);
    three_at_50_entries(50, &[(0, 5.0), (2, 6.0), (4, 8.0)]);
    three_at_320_entries(320, &[(0, 5.0), (2, 6.0), (4, 8.0)]);
}

fn demand(priority: u32, weight: f64, demand: f64) -> FlowDemand {
    FlowDemand {
        priority,
        weight,
        demand,
    }
}

fn shares_are(capacity: f64, flows: &[FlowDemand], expected: &[f64]) {
    let shares = allocate(capacity, flows);
    let is_close = |(share, expected): (&f64, &f64)| (share - expected).abs() < 0.01;
    assert!(
        shares.iter().zip(expected).all(is_close),
        "{shares:?}, expected {expected:?}"
    );
}

cases! { shares_are:
    all_demand_that_fits(10.0, &[demand(0, 1.0, 4.0), demand(5, 1.0, 6.0)], &[4.0, 6.0]);
    equal_for_equal_weights(10.0, &[demand(0, 1.0, 9.0), demand(0, 1.0, 8.0)], &[5.0, 5.0]);
    by_weight(12.0, &[demand(0, 3.0, 20.0), demand(0, 1.0, 20.0)], &[9.0, 3.0]);
    what_others_leave(10.0, &[demand(0, 1.0, 2.0), demand(0, 1.0, 30.0)], &[2.0, 8.0]);
    the_urgent_first_up_to_a_bound(
        10.0,
        &[demand(1, 1.0, 10.0), demand(0, 1.0, 10.0)],
        &[2.5, 7.5]
    );
    the_floor_where_urgent_teams_take_the_rest(
        10.0,
        &[demand(1, 1.0, 10.0), demand(0, 1.0, 10.0), demand(0, 1.0, 10.0), demand(0, 1.0, 10.0)],
        &[0.75, 3.083, 3.083, 3.083]
    );
    not_all_to_an_urgent_team_that_sends_eight_times_its_usual(
        100.0,
        &[demand(0, 28.0, 160.0), demand(1, 72.0, 58.0)],
        &[42.0, 58.0]
    );
    less_urgent_ones_get_what_is_left(10.0, &[demand(1, 1.0, 10.0), demand(0, 1.0, 5.0)], &[5.0, 5.0]);
}

fn reports_of(flow: &Flow, requests: u32, now: Millis) -> Vec<ServiceDemand> {
    let mut meter = DemandMeter::default();
    for age in (1..=5).cycle().take(requests as usize) {
        let arrived_at = now - SHARES_INTERVAL * age;
        meter.record("llm", flow, Millis(1_000), arrived_at);
    }
    meter.report(now)
}

fn llm(slots: u32) -> Vec<ServiceCapacity> {
    vec![ServiceCapacity {
        service: "llm".to_owned(),
        slots,
    }]
}

/// A hot team with 400 requests a second beside 60 teams with one: only the hot one is listed.
#[test]
fn a_team_with_one_request_is_never_beyond_its_share() {
    let now = Millis(2_000);
    let mut manager = ShareManager::default();
    for team in 1..=60 {
        manager.report(team as u64, reports_of(&flow(team), 1, now), now);
    }
    manager.report(0, reports_of(&flow(0), 400, now), now);
    let list = manager.update(&llm(100), |_| 1.0, now);
    let listed: Vec<_> = list.iter().flat_map(|shares| &shares.beyond).collect();
    assert_eq!(listed.len(), 1, "{listed:?}");
    assert_eq!(listed[0].0, flow(0));
}

/// Nothing is listed while all demand fits, however unequal it is.
#[test]
fn no_team_is_listed_while_all_demand_fits() {
    let now = Millis(2_000);
    let mut manager = ShareManager::default();
    manager.report(0, reports_of(&flow(0), 80, now), now);
    manager.report(1, reports_of(&flow(1), 1, now), now);
    assert!(manager.update(&llm(100), |_| 1.0, now).is_empty());
}

fn hot_list() -> Vec<ServiceShares> {
    vec![ServiceShares {
        service: "llm".to_owned(),
        beyond: vec![(flow(0), 0)],
    }]
}

/// Without a renewal from the leader, an entry goes on as without shares.
#[test]
fn a_lost_leader_leaves_no_restriction() {
    let mut guard = ShareGuard::default();
    let now = Millis(5_000);
    guard.apply(&hot_list(), now);
    let last = now + SHARES_LIFETIME - Millis(1);
    assert_eq!(guard.admit("llm", &flow(0), 7, last), Standing::Beyond);
    assert_eq!(guard.admit("llm", &flow(1), 7, last), Standing::Within);
    let expired = now + SHARES_LIFETIME;
    assert_eq!(guard.admit("llm", &flow(0), 7, expired), Standing::Within);
}

/// The demand of an entry that falls silent fades, and with it the list that it caused.
#[test]
fn a_silent_entry_is_forgotten() {
    let mut manager = ShareManager::default();
    let now = Millis(2_000);
    manager.report(0, reports_of(&flow(0), 300, now), now);
    manager.report(1, reports_of(&flow(1), 50, now), now);
    assert!(!manager.update(&llm(100), |_| 1.0, now).is_empty());
    let later = now + Millis(30_000);
    manager.report(1, reports_of(&flow(1), 50, later), later);
    assert!(manager.update(&llm(100), |_| 1.0, later).is_empty());
}

/// A list restricts the part of the requests that does not fit, and a refused caller that returns is no new
/// demand. A caller that always allows little time is taken for neither.
#[test]
fn a_list_admits_the_part_that_fits() {
    let mut guard = ShareGuard::default();
    let now = Millis(5_000);
    let mut list = hot_list();
    list[0].beyond[0].1 = 250;
    guard.apply(&list, now);
    let within = (0..1_000).filter(|_| guard.admit("llm", &flow(0), 3, now) == Standing::Within);
    assert!(within.count().abs_diff(250) <= 1);
    assert!(!guard.take_return("llm", &flow(0), now));
    guard.expect_return("llm", &flow(0), now);
    assert!(guard.take_return("llm", &flow(0), now));
    assert!(!guard.take_return("llm", &flow(0), now));
}

fn beyond_share_is(free_slots: u32, is_retry: bool, expected: Decision) {
    let mut best = Play::new(1, &[], true).best();
    best.free_slots = free_slots;
    best.load.online = TARGET_SLOTS - free_slots;
    if free_slots == 0 {
        best.availability = Availability::Full;
    }
    let request = SlotRequest {
        waited: Millis::ZERO,
        objective: OBJECTIVE,
        timeout: TIMEOUT,
        caller_timeout: if is_retry { Millis(4_000) } else { TIMEOUT },
    };
    assert_eq!(decide_beyond_share(&request, Some(&best)), expected);
}

cases! { beyond_share_is:
    sent_where_slots_are_spare(2, false, Decision::Send);
    refused_at_once_at_the_last_slot(1, false, Decision::Refuse);
    refused_at_once_at_full_targets(0, false, Decision::Refuse);
    held_back_without_another_attempt(1, true, Decision::Wait);
}

/// Requests wait by standing, then priority, then in turn by team.
#[test]
fn the_line_is_in_fair_order() {
    let urgent = |team| Flow {
        priority: 0,
        ..flow(team)
    };
    let other = |team| Flow {
        priority: 1,
        ..flow(team)
    };
    let mut line = WaitingLine::default();
    let beyond = line.join(&urgent(0), Standing::Beyond, 1.0);
    let late = line.join(&other(0), Standing::Within, 1.0);
    let busy = [(); 3].map(|()| line.join(&urgent(1), Standing::Within, 1.0));
    let quiet = line.join(&urgent(2), Standing::Within, 1.0);
    assert_eq!(line.ahead_of(quiet), 1);
    assert_eq!(line.ahead_of(late), 4);
    assert_eq!(line.ahead_of(beyond), 5);
    assert_eq!(line.ahead_of_new(&urgent(3), Standing::Within), 2);
    let mut order = Vec::new();
    while let Some(first) = line.first() {
        line.leave(first);
        order.push(first);
    }
    assert_eq!(order, [busy[0], quiet, busy[1], busy[2], late, beyond]);
}
