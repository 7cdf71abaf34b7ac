//! Quotas of teams over many entries: the bound in every window, and requests refused in vain.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    net::{
        IpAddr,
        Ipv4Addr, //
    },
};

use rand::{
    Rng as _,
    SeedableRng as _,
    rngs::StdRng, //
};
use yuccaseam_base::{
    Millis,
    TeamName,
    cases, //
};
use yuccaseam_platform::{
    QuotaBounds,
    RequestQuota, //
};
use yuccaseam_serving::quota::{
    Connection,
    Denial,
    Ledger,
    Limit,
    Purse,
    QuotaAnswer,
    QuotaAsk,
    Take,
    Ticket, //
};

const STEP: Millis = Millis(5);
pub(crate) const BOUNDS: QuotaBounds = QuotaBounds {
    window: Millis(5_000),
    overage_permille: 100,
    slack_requests: 20,
};
/// Mean rates of the largest and the smallest team, in requests per 1,000 s.
pub(crate) const LARGEST: f64 = 120_000.0;
pub(crate) const SMALLEST: f64 = 600.0;
/// Silence after which an entry drops its connection.
const SILENCE: Millis = Millis(800);

struct Entry {
    purse: Purse,
    ip: IpAddr,
    /// Start of the entry's clock.
    clock: u64,
    delay: u64,
    frozen_until: Millis,
    /// Whether it reaches the leader.
    is_cut: bool,
    connection: Option<u64>,
    heard_at: Millis,
    asked_at: Millis,
    asks_due: bool,
    answers: VecDeque<(Millis, u64, QuotaAnswer)>,
    /// Ledger of the shares of others.
    ledger: Ledger,
    waiting: Vec<(usize, Ticket)>,
}

struct Team {
    name: TeamName,
    mean: f64,
    quota: RequestQuota,
    due: f64,
    runs: Vec<Millis>,
    refused: u64,
    unanswered: u64,
    /// Level of a bucket that sees all requests at once, and how many of them it admits.
    ideal: f64,
    owed: u64,
}

struct World {
    now: Millis,
    rng: StdRng,
    entries: Vec<Entry>,
    teams: Vec<Team>,
    leader: Option<Ledger>,
    version: u64,
    connections: u64,
    asks: VecDeque<(Millis, u64, usize, QuotaAsk)>,
    /// Delays of messages are up to this.
    late: u64,
    messages: u64,
}

pub(crate) fn quota_of(mean: f64) -> RequestQuota {
    let rate = mean * 1.6;
    RequestQuota {
        requests_per_1000s: rate as u64,
        burst: ((rate / 1_000.0) as u64).max(1),
    }
}

/// Demand comes in waves.
fn wave(now: Millis) -> f64 {
    if now.0 % 5_200 < 3_000 { 0.38 } else { 1.85 }
}

impl World {
    fn new(entries: usize, teams: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let entries = (0..entries).map(|number| Entry {
            purse: Purse::new(rng.random()),
            ip: IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + number as u32)),
            clock: rng.random_range(0..20_000),
            delay: if number % 2 == 0 { 1 } else { 20 },
            frozen_until: Millis::ZERO,
            is_cut: false,
            connection: None,
            heard_at: Millis::ZERO,
            asked_at: Millis::ZERO,
            asks_due: false,
            answers: VecDeque::new(),
            ledger: Ledger::deputy(),
            waiting: Vec::new(),
        });
        let entries = entries.collect();
        let teams = (0..teams).map(|number| {
            let mean = (LARGEST / (1.0 + number as f64).powf(1.2)).max(SMALLEST);
            let quota = quota_of(mean);
            Team {
                name: TeamName(format!("team-{number}")),
                mean,
                quota,
                due: 0.0,
                runs: Vec::new(),
                refused: 0,
                unanswered: 0,
                ideal: quota.burst as f64,
                owed: 0,
            }
        });
        let mut world = Self {
            now: Millis(1_000),
            rng,
            entries,
            teams: teams.collect(),
            leader: None,
            version: 0,
            connections: 0,
            asks: VecDeque::new(),
            late: 0,
            messages: 0,
        };
        world.elect();
        world.run(Millis(3_000), |_, _| 0.0);
        world
    }

    fn limits(&self) -> HashMap<TeamName, Limit> {
        let teams = self.teams.iter();
        teams
            .map(|team| (team.name.clone(), Limit::new(team.quota, BOUNDS)))
            .collect()
    }

    fn apply_quotas(&mut self) {
        self.version += 1;
        let (version, limits) = (self.version, self.limits());
        if let Some(leader) = &mut self.leader {
            leader.set_limits(version, limits);
        }
    }

    /// Lets another instance lead, with a clock of its own.
    fn elect(&mut self) {
        self.lose_leader();
        self.leader = Some(Ledger::new(self.now));
        self.apply_quotas();
    }

    fn lose_leader(&mut self) {
        self.leader = None;
        self.asks.clear();
        for entry in &mut self.entries {
            if entry.connection.take().is_some() {
                let now = self.now + Millis(entry.clock);
                entry.purse.set_connection(Connection::Ended, now);
            }
        }
    }

    fn run<D>(&mut self, duration: Millis, demand: D)
    where
        D: Fn(usize, Millis) -> f64,
    {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.answer_asks();
            self.send_requests(&demand);
            for number in 0..self.entries.len() {
                self.step(number);
            }
        }
    }

    fn answer_asks(&mut self) {
        while let Some((_, connection, number, ask)) =
            self.asks.pop_front_if(|(at, ..)| *at <= self.now)
        {
            let entry = &mut self.entries[number];
            let Some(leader) = &mut self.leader else {
                continue;
            };
            if entry.is_cut || entry.connection != Some(connection) {
                continue;
            }
            let answer = leader.answer(entry.ip, &ask, self.now);
            let late = self.rng.random_range(0..=self.late);
            let at = self.now + Millis(entry.delay + late);
            entry.answers.push_back((at, connection, answer));
            self.messages += 2;
        }
    }

    fn send_requests<D>(&mut self, demand: &D)
    where
        D: Fn(usize, Millis) -> f64,
    {
        for number in 0..self.teams.len() {
            let team = &mut self.teams[number];
            let rate = team.quota.requests_per_1000s as f64 / 1e6;
            team.ideal = (team.ideal + rate * STEP.0 as f64).min(team.quota.burst as f64);
            team.due -= team.mean / 1e6 * demand(number, self.now) * STEP.0 as f64;
            while team.due < 0.0 {
                let draw: f64 = self.rng.random();
                team.due -= (1.0 - draw).ln();
                if team.ideal >= 1.0 {
                    team.ideal -= 1.0;
                    team.owed += 1;
                }
                // The first entries get up to four times as much as the last ones.
                let place = self.rng.random::<f64>().powf(1.5);
                let entry = (place * self.entries.len() as f64) as usize;
                self.entries[entry]
                    .waiting
                    .push((number, Ticket::default()));
            }
        }
    }

    fn step(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if self.now < entry.frozen_until {
            return;
        }
        let now = self.now + Millis(entry.clock);
        if entry.connection.is_some() && self.now >= entry.heard_at + SILENCE {
            entry.connection = None;
            entry.purse.set_connection(Connection::Silent, now);
        }
        if entry.connection.is_none() && !entry.is_cut && self.leader.is_some() {
            self.connections += 1;
            entry.connection = Some(self.connections);
            entry.purse.set_connection(Connection::Open, now);
        }
        if !entry.is_cut && self.leader.is_some() {
            entry.heard_at = self.now;
        }
        while let Some((_, connection, answer)) =
            entry.answers.pop_front_if(|(at, ..)| *at <= self.now)
        {
            if entry.connection == Some(connection) {
                entry.purse.apply(&answer, now);
            }
        }
        for (team, mut ticket) in std::mem::take(&mut entry.waiting) {
            let team_state = &mut self.teams[team];
            let limit = Limit::new(team_state.quota, BOUNDS);
            match entry.purse.take(&team_state.name, &limit, &mut ticket, now) {
                Take::Granted(_) => team_state.runs.push(self.now),
                Take::Wait(_) => entry.waiting.push((team, ticket)),
                Take::Denied(Denial::OverQuota, _) => team_state.refused += 1,
                Take::Denied(Denial::NoAnswer, _) => team_state.unanswered += 1,
            }
            entry.asks_due |= entry.purse.wants_to_ask(&team_state.name);
        }
        self.ask_deputy(number, now);
        let entry = &mut self.entries[number];
        let is_due = entry.asks_due || self.now >= entry.asked_at + Millis(400);
        if let Some(connection) = entry.connection
            && is_due
            && let Some(ask) = entry.purse.next_ask(now)
        {
            entry.asked_at = self.now;
            entry.asks_due = false;
            let late = self.rng.random_range(0..=self.late);
            let at = self.now + Millis(entry.delay + late);
            if self.leader.is_some() {
                self.asks.push_back((at, connection, number, ask));
            }
        }
    }

    /// An absent entry asks the first entry of its group, which answers at once.
    fn ask_deputy(&mut self, number: usize, now: Millis) {
        let entry = &self.entries[number];
        if !entry.purse.is_absent(now) {
            return;
        }
        let is_cut = entry.is_cut;
        let mut group = (number % 2..self.entries.len()).step_by(2);
        let is_up = |other: &usize| {
            let other = &self.entries[*other];
            other.is_cut == is_cut && self.now >= other.frozen_until
        };
        let deputy = group.find(is_up).expect("the entry itself is up");
        let deputy_now = self.now + Millis(self.entries[deputy].clock);
        let ip = entry.ip;
        if deputy == number && !entry.ledger.hears_others(ip, deputy_now) {
            return;
        }
        let entry = &mut self.entries[number];
        entry.purse.set_connection(Connection::Deputy, now);
        if let Some(ask) = entry.purse.next_ask(now) {
            let limits = self.limits();
            let ledger = &mut self.entries[deputy].ledger;
            if ledger.version() != Some(self.version) {
                ledger.set_limits(self.version, limits);
            }
            let answer = ledger.answer(ip, &ask, deputy_now);
            self.entries[number].purse.apply(&answer, now);
        }
    }

    /// Largest number of a team's runs in a window, from `since` on, with what is allowed.
    fn assert_bounds(&self, since: Millis) {
        for team in &self.teams {
            let runs: Vec<_> = team.runs.iter().filter(|run| **run >= since).collect();
            let allowed = Limit::max_in_window(team.quota, BOUNDS);
            let mut first = 0;
            for (last, at) in runs.iter().enumerate() {
                while **at >= *runs[first] + BOUNDS.window {
                    first += 1;
                }
                let count = (last - first + 1) as u64;
                assert!(
                    count <= allowed,
                    "{}: {count} of {allowed} at {at}",
                    team.name
                );
            }
        }
    }

    /// Share of the requests owed that were refused in vain, in permille.
    fn refused_in_vain(&self) -> u64 {
        let owed: u64 = self.teams.iter().map(|team| team.owed).sum();
        let missing = self.teams.iter().map(|team| {
            let served = team.runs.len() as u64;
            team.owed
                .saturating_sub(served)
                .min(team.refused + team.unanswered)
        });
        missing.sum::<u64>() * 1_000 / owed.max(1)
    }

    fn cut<F>(&mut self, is_cut: F)
    where
        F: Fn(usize) -> bool,
    {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            entry.is_cut = is_cut(number);
        }
    }
}

/// All teams send eight times their mean.
fn flood(_: usize, _: Millis) -> f64 {
    8.0
}

fn waves(_: usize, now: Millis) -> f64 {
    wave(now)
}

/// Waves, and two teams send five to eight times their usual.
fn hot_teams(team: usize, now: Millis) -> f64 {
    match team {
        0 => 5.0 * wave(now),
        7 => 8.0 * wave(now),
        _ => wave(now),
    }
}

/// One fault under a flood: every window stays within the bound.
fn stays_within_bound(entries: usize, teams: usize, fault: fn(&mut World)) {
    for seed in 0..3 {
        let mut world = World::new(entries, teams, seed);
        world.run(Millis(3_000), flood);
        fault(&mut world);
        world.run(Millis(6_000), flood);
        world.assert_bounds(Millis::ZERO);
    }
}

fn no_fault(_: &mut World) {}

fn leader_is_killed(world: &mut World) {
    world.lose_leader();
    world.run(Millis(1_200), flood);
    world.elect();
}

fn leaders_follow_at_once(world: &mut World) {
    for _ in 0..2 {
        world.elect();
        world.run(Millis(1_500), flood);
    }
}

fn leader_is_lost_for_long(world: &mut World) {
    world.lose_leader();
    world.run(Millis(7_000), flood);
    world.elect();
}

fn entries_freeze(world: &mut World) {
    let until = world.now + Millis(3_000);
    for entry in world.entries.iter_mut().step_by(3) {
        entry.frozen_until = until;
    }
    world.run(Millis(4_000), flood);
}

fn domain_is_cut_off(world: &mut World) {
    world.cut(|number| number % 3 == 0);
    world.run(Millis(8_000), flood);
    world.cut(|_| false);
}

/// A leader that is lost is replaced on the side of half of the entries.
fn split(world: &mut World) {
    world.cut(|number| number % 2 == 0);
    world.lose_leader();
    world.run(Millis(1_000), flood);
    world.elect();
    world.run(Millis(8_000), flood);
    world.cut(|_| false);
}

fn links_are_slow(world: &mut World) {
    world.late = 400;
    world.run(Millis(5_000), flood);
    world.late = 0;
}

fn domain_flaps(world: &mut World) {
    for _ in 0..5 {
        world.cut(|number| number % 3 == 0);
        world.run(Millis(1_600), flood);
        world.cut(|_| false);
        world.run(Millis(300), flood);
    }
}

cases! { stays_within_bound:
    bound_of_10_entries(10, 20, no_fault);
    bound_of_50_entries(50, 76, no_fault);
    bound_after_leader_is_killed(50, 76, leader_is_killed);
    bound_while_leaders_follow_at_once(50, 76, leaders_follow_at_once);
    bound_while_no_leader_leads(50, 76, leader_is_lost_for_long);
    bound_after_entries_wake(50, 76, entries_freeze);
    bound_while_domain_is_cut_off(50, 76, domain_is_cut_off);
    bound_in_split(50, 76, split);
    bound_in_split_of_10_entries(10, 20, split);
    bound_with_slow_links(50, 76, links_are_slow);
    bound_while_domain_flaps(50, 76, domain_flaps);
}

#[test]
fn bound_in_split_of_320_entries() {
    let mut world = World::new(320, 200, 1);
    world.run(Millis(1_000), flood);
    split(&mut world);
    world.run(Millis(2_000), flood);
    world.assert_bounds(Millis::ZERO);
}

/// Demand within the quota, in waves and beside hot teams: fewer than 1 in 100 requests that are owed are
/// refused.
fn serves_what_is_owed(entries: usize, teams: usize, demand: fn(usize, Millis) -> f64) {
    let mut world = World::new(entries, teams, 5);
    world.run(Millis(15_000), demand);
    world.assert_bounds(Millis::ZERO);
    let permille = world.refused_in_vain();
    assert!(permille < 10, "{permille} of 1,000 refused in vain");
}

cases! { serves_what_is_owed:
    waves_at_10_entries(10, 20, waves);
    waves_at_50_entries(50, 76, waves);
    waves_at_320_entries(320, 400, waves);
    hot_teams_at_10_entries(10, 20, hot_teams);
    hot_teams_at_50_entries(50, 76, hot_teams);
    hot_teams_at_320_entries(320, 400, hot_teams);
}

#[test]
fn lowered_quota_binds_and_raised_quota_is_used() {
    let mut world = World::new(50, 76, 1);
    world.run(Millis(4_000), flood);
    for team in &mut world.teams {
        team.quota.requests_per_1000s /= 2;
        team.quota.burst = (team.quota.burst / 2).max(1);
    }
    world.apply_quotas();
    let since = world.now + BOUNDS.window;
    world.run(Millis(12_000), flood);
    world.assert_bounds(since);
    let before = world.teams[0].runs.len();
    world.teams[0].quota = quota_of(LARGEST);
    world.apply_quotas();
    world.run(Millis(5_000), flood);
    let served = world.teams[0].runs.len() - before;
    assert!(served >= 900, "{served} of 960 and a burst");
}

/// A fault under waves: at least so many of 1,000 requests that are owed meanwhile are served.
fn serves_through(fault: fn(&mut World), min_permille: u64) {
    let mut world = World::new(50, 76, 3);
    world.run(Millis(5_200), waves);
    let counts = |world: &World| {
        let teams = world.teams.iter();
        teams.fold((0, 0), |(served, owed), team| {
            (served + team.runs.len() as u64, owed + team.owed)
        })
    };
    let before = counts(&world);
    fault(&mut world);
    let after = counts(&world);
    world.assert_bounds(Millis::ZERO);
    let permille = (after.0 - before.0) * 1_000 / (after.1 - before.1);
    assert!(permille >= min_permille, "{permille} of 1,000");
}

fn killed_leader_in_waves(world: &mut World) {
    world.lose_leader();
    world.run(Millis(1_200), waves);
    world.elect();
    world.run(Millis(1_400), waves);
}

fn transfer_in_waves(world: &mut World) {
    world.run(Millis(3_000), waves);
    world.lose_leader();
    world.run(Millis(150), waves);
    world.elect();
    world.run(Millis(2_000), waves);
}

fn cut_domain_in_waves(world: &mut World) {
    world.cut(|number| number % 3 == 0);
    world.run(Millis(10_400), waves);
}

cases! { serves_through:
    killed_leader_costs_few_requests(killed_leader_in_waves, 800);
    transfer_of_leadership_costs_no_requests(transfer_in_waves, 980);
    cut_off_domain_spends_its_share(cut_domain_in_waves, 800);
}
