//! Targets of uneven speed: some work at 0.55 of the usual time and others at 1.2, and 15% of them take
//! 2.5 times as long for 600 ms at a time. Demand comes in waves of 0.38 of the mean for 3 s and 1.85 for
//! 2.2 s. Entries decide alone, from counts that are exact for their own failure domain and 40 ms old for
//! others, and from the pace that targets report with each answer.
//!
//! The result is compared with an ideal assignment that knows every target's true state: each request goes
//! to the target at which it is complete first.

use std::{
    collections::{
        BTreeSet,
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
    rngs::StdRng,
    seq::index, //
};
use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_serving::{
    admission::ServiceTimes,
    balance::{
        Balancer,
        Load,
        NeighbourReport,
        Placement, //
    },
    pace::PaceCost,
    targets::TargetKey,
};

use super::support::{
    balancer,
    target, //
};

const STEP: u64 = 5;
const LOADS_INTERVAL: u64 = 40;
const SLOTS: usize = 8;
/// Time within which an answer is to be complete.
const OBJECTIVE: u64 = 260;
/// Work of a request at a target that works as usual, in ms.
const WORK: f64 = 210.0;
/// When the crest of the wave begins and ends.
const CREST_FROM: u64 = 3_000;
const END: u64 = 5_200;
/// Mean demand in parts of what the targets can do.
const MEAN_DEMAND: f64 = 0.12;
const MOMENT: u64 = 600;
const DOMAINS: usize = 4;

/// How requests are placed.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Ideal,
    ByCounts,
    ByPace,
}

/// What a target reports instead of its pace.
#[derive(Clone, Copy)]
struct Lie {
    engine: usize,
    pace: f64,
    reported: u32,
}

struct Request {
    entry: usize,
    arrived_at: u64,
    left: f64,
}

#[derive(Default)]
struct Engine {
    lasting: f64,
    /// Whether it is slow in this moment and in the next one.
    is_slow: [bool; 2],
    running: Vec<Request>,
    queue: VecDeque<Request>,
}

impl Engine {
    fn pace(&self) -> f64 {
        self.pace_in(0)
    }

    fn pace_in(&self, moment: usize) -> f64 {
        self.lasting * if self.is_slow[moment] { 2.5 } else { 1.0 }
    }

    /// True time until one more request would be complete, if this moment lasts for `left` ms.
    fn completion(&self, left: f64) -> f64 {
        let work: f64 = self.queue.iter().map(|req| req.left).sum();
        let running: f64 = self.running.iter().map(|req| req.left).sum();
        let wait = if self.running.len() < SLOTS {
            0.0
        } else {
            (work + running) / SLOTS as f64
        };
        let took = (wait + WORK) * self.pace();
        if took <= left {
            return took;
        }
        left + (wait + WORK - left / self.pace()) * self.pace_in(1)
    }
}

struct Fleet {
    policy: Policy,
    entries: Vec<Balancer>,
    times: Vec<ServiceTimes>,
    reports: Vec<u64>,
    engines: Vec<Engine>,
    keys: Vec<TargetKey>,
    counts: Vec<Vec<u32>>,
    changed: Vec<BTreeSet<usize>>,
    /// Paces that entries tell their neighbours after this step.
    news: Vec<(usize, usize, u32)>,
    lie: Option<Lie>,
    sent: Vec<u32>,
    rng: StdRng,
    /// Draws the targets that are slow for a moment, the same ones under each policy.
    moments: StdRng,
}

fn domain(number: usize) -> &'static str {
    ["a1", "a2", "b1", "b2"][number % DOMAINS]
}

fn ip(entry: usize) -> IpAddr {
    let number = (entry as u32).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 1, number[2], number[3]))
}

/// Times of a service that has served for a while.
fn times_of_earlier_answers() -> ServiceTimes {
    let mut times = ServiceTimes::assumed(Millis(OBJECTIVE));
    for pace in [120, 55, 120, 300, 120, 55, 120, 137] {
        let took = Millis((WORK * f64::from(pace) / 100.0) as u64);
        times.record_pace(pace, took, took);
    }
    times
}

impl Fleet {
    fn new(policy: Policy, entries: usize, engines: usize, lie: Option<Lie>) -> Self {
        let records: Vec<_> = (0..engines)
            .map(|number| target(number as u16, domain(number)))
            .collect();
        let mut balancers: Vec<_> = (0..entries)
            .map(|number| balancer(domain(number)))
            .collect();
        for balancer in &mut balancers {
            records
                .iter()
                .for_each(|record| balancer.set_target(record));
        }
        let engine = |number: usize| Engine {
            // One in four is fast, in each failure domain.
            lasting: if (number / DOMAINS).is_multiple_of(4) {
                0.55
            } else {
                1.2
            },
            ..Engine::default()
        };
        Self {
            policy,
            entries: balancers,
            times: vec![times_of_earlier_answers(); entries],
            reports: vec![0; entries],
            engines: (0..engines).map(engine).collect(),
            keys: records.iter().map(|record| record.key()).collect(),
            counts: vec![vec![0; engines]; entries],
            changed: vec![BTreeSet::new(); entries],
            news: Vec::new(),
            lie,
            sent: vec![0; engines],
            rng: StdRng::seed_from_u64(23),
            moments: StdRng::seed_from_u64(29),
        }
    }

    fn lie_of(&self, engine: usize) -> Option<Lie> {
        self.lie.filter(|lie| lie.engine == engine)
    }

    /// Ends a moment.
    fn change_paces(&mut self) {
        let count = self.engines.len();
        let slow = index::sample(&mut self.moments, count, (count * 15).div_ceil(100));
        for engine in &mut self.engines {
            engine.is_slow = [engine.is_slow[1], false];
        }
        for number in slow {
            self.engines[number].is_slow[1] = true;
        }
        if let Some(lie) = self.lie {
            let engine = &mut self.engines[lie.engine];
            engine.is_slow = [false; 2];
            engine.lasting = lie.pace;
        }
    }

    fn place(&mut self, entry: usize, now: u64) {
        let engine = match self.policy {
            Policy::Ideal => {
                let left = (MOMENT - now % MOMENT) as f64;
                let completion = |engine: &usize| self.engines[*engine].completion(left);
                let engines = 0..self.engines.len();
                engines
                    .min_by(|a, b| completion(a).total_cmp(&completion(b)))
                    .expect("an engine")
            }
            Policy::ByCounts | Policy::ByPace => {
                let pace = if self.policy == Policy::ByPace {
                    PaceCost::new(self.times[entry].by_pace(), Millis(OBJECTIVE))
                } else {
                    PaceCost::default()
                };
                let placement = Placement {
                    service: "llm",
                    tried: &[],
                    draw: self.rng.random(),
                    pace,
                };
                let choice = self.entries[entry].place(&placement, Millis(now));
                let key = choice.expect("a target").key;
                self.keys
                    .iter()
                    .position(|other| *other == key)
                    .expect("known")
            }
        };
        self.sent[engine] += 1;
        self.entries[entry].begin_request(self.keys[engine]);
        self.counts[entry][engine] += 1;
        self.changed[entry].insert(engine);
        self.engines[engine].queue.push_back(Request {
            entry,
            arrived_at: now,
            left: WORK,
        });
    }

    /// Advances the engines, and returns the number of answers on time.
    fn run_engines(&mut self, now: u64) -> f64 {
        let mut on_time = 0.0;
        for number in 0..self.engines.len() {
            let engine = &mut self.engines[number];
            let done = STEP as f64 / engine.pace();
            engine.running.iter_mut().for_each(|req| req.left -= done);
            let ended: Vec<_> = engine
                .running
                .extract_if(.., |req| req.left <= 0.0)
                .collect();
            while engine.running.len() < SLOTS
                && let Some(req) = engine.queue.pop_front()
            {
                engine.running.push(req);
            }
            let reported = (engine.pace() * 100.0) as u32;
            let reported = self.lie_of(number).map_or(reported, |lie| lie.reported);
            for req in ended {
                let took = now - req.arrived_at;
                on_time += f64::from(u8::from(took <= OBJECTIVE));
                self.answer(req.entry, number, Millis(took), reported, Millis(now));
            }
        }
        on_time
    }

    /// An entry receives the answer of an engine, as the product does.
    fn answer(&mut self, entry: usize, engine: usize, took: Millis, reported: u32, now: Millis) {
        let key = self.keys[engine];
        let balancer = &mut self.entries[entry];
        balancer.end_request(key);
        self.counts[entry][engine] -= 1;
        self.changed[entry].insert(engine);
        if balancer.record_pace(key, reported, now) {
            self.news.push((entry, engine, reported));
        }
        let times = &mut self.times[entry];
        let cost = PaceCost::new(times.by_pace(), Millis(OBJECTIVE));
        if let Some(pace) = balancer.expected_pace(key, &cost, now) {
            times.record_pace(pace, took, took);
        }
        balancer.record_measured_pace(key, times.by_pace().measured_pace(took));
    }

    /// Tells the entries of a failure domain what changed at the others of it since the last step.
    fn send_reports(&mut self, now: Millis) {
        let news = std::mem::take(&mut self.news);
        for entry in 0..self.entries.len() {
            let changed = std::mem::take(&mut self.changed[entry]);
            if changed.is_empty() {
                continue;
            }
            self.reports[entry] += 1;
            let counts = changed
                .into_iter()
                .map(|engine| (self.keys[engine], self.counts[entry][engine]));
            let report = NeighbourReport {
                started_at: 1,
                number: self.reports[entry],
                complete: false,
                counts: counts.collect(),
                failed: None,
            };
            for (number, other) in self.entries.iter_mut().enumerate() {
                if number != entry && domain(number) == domain(entry) {
                    other.receive_neighbour_report(ip(entry), report.clone(), now);
                }
            }
        }
        for (entry, engine, percent) in news {
            for (number, other) in self.entries.iter_mut().enumerate() {
                if number != entry && domain(number) == domain(entry) {
                    other.record_neighbour_pace(self.keys[engine], percent, now);
                }
            }
        }
    }

    /// Sends each entry the counts of the other failure domains.
    fn send_loads(&mut self, now: Millis) {
        for group in 0..DOMAINS.min(self.entries.len()) {
            let others = (0..self.entries.len()).filter(|entry| entry % DOMAINS != group);
            let others: Vec<_> = others.collect();
            let loads = (0..self.engines.len()).map(|engine| {
                let online = others.iter().map(|entry| self.counts[*entry][engine]).sum();
                (self.keys[engine], Load { online, batch: 0 })
            });
            let loads: Vec<_> = loads.collect();
            let entries = self.entries.iter_mut().skip(group).step_by(DOMAINS);
            for entry in entries {
                entry.apply_loads(&loads);
                entry.record_loads_received(now);
            }
        }
    }

    /// Plays a wave, and returns the share of answers on time.
    fn play(&mut self) -> f64 {
        let capacity: f64 = self
            .engines
            .iter()
            .map(|engine| SLOTS as f64 / (WORK * engine.lasting))
            .sum();
        let (mut due, mut owed, mut on_time) = (0.0, 0.0, 0.0);
        for now in (1..END + 2_000).step_by(STEP as usize) {
            if now % MOMENT < STEP {
                self.change_paces();
            }
            on_time += self.run_engines(now);
            if now % LOADS_INTERVAL < STEP {
                self.send_loads(Millis(now));
            }
            if now < END {
                let wave = if now < CREST_FROM { 0.38 } else { 1.85 };
                due += capacity * MEAN_DEMAND * wave * STEP as f64;
            }
            while due >= 1.0 {
                due -= 1.0;
                owed += 1.0;
                let entry = self.rng.random_range(0..self.entries.len());
                self.place(entry, now);
            }
            if self.policy != Policy::Ideal {
                self.send_reports(Millis(now));
            }
        }
        on_time / owed
    }
}

/// Placement by counts does not see that a target with few requests is slow.
///
/// The stated aim is 0.9 of the ideal.
fn pace_reaches_most_of_the_ideal(entries: usize, engines: usize) {
    let share = |policy| Fleet::new(policy, entries, engines, None).play();
    let ideal = share(Policy::Ideal);
    let by_counts = share(Policy::ByCounts) / ideal;
    let by_pace = share(Policy::ByPace) / ideal;
    println!("ideal {ideal:.3}, by counts {by_counts:.3} of it, by pace {by_pace:.3}");
    assert!(by_pace >= 0.9, "{by_pace:.3} of the ideal");
    // The load tells placement by pace from placement by counts.
    assert!(by_counts < 0.9, "{by_counts:.3} of the ideal by counts");
}

/// A target that works at a fifth of the usual speed reports that it is very fast. It gets no more than an
/// honest target of the usual speed.
#[test]
fn slow_target_that_claims_to_be_fast_gets_no_more_than_others() {
    let lie = Lie {
        engine: 1,
        pace: 5.0,
        reported: 10,
    };
    let mut fleet = Fleet::new(Policy::ByPace, 10, 16, Some(lie));
    fleet.play();
    let mean = fleet.sent.iter().sum::<u32>() / 16;
    assert!(fleet.sent[1] <= mean, "{:?}", fleet.sent);
}

/// A fast target reports that it is very slow. The others still answer as many requests on time as
/// without it.
#[test]
fn fast_target_that_claims_to_be_slow_does_no_harm() {
    let lie = Lie {
        engine: 1,
        pace: 0.55,
        reported: 1_000,
    };
    let share = Fleet::new(Policy::ByPace, 10, 16, Some(lie)).play();
    assert!(share >= 0.9, "{share:.3} on time");
}

cases! { pace_reaches_most_of_the_ideal:
    ten_entries_and_sixteen_engines(10, 16);
    fifty_entries_and_sixty_four_engines(50, 64);
    three_hundred_and_twenty_entries_and_thirty_two_engines(320, 32);
}
