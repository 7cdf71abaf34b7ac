//! Measures what quotas cost the leader: `cargo run --release -p yuccaseam-serving --example quota_cost`.
//!
//! Requests of teams of unequal size arrive at random entries. The decisions of entries and leader are made as
//! they are in service; messages are encoded, but not sent.

use std::{
    collections::HashMap,
    fs,
    net::{
        IpAddr,
        Ipv4Addr, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use yuccaseam_base::{
    Millis,
    TeamName, //
};
use yuccaseam_platform::{
    QuotaBounds,
    RequestQuota, //
};
use yuccaseam_serving::quota::{
    Connection,
    HEARTBEAT_INTERVAL,
    Ledger,
    Limit,
    Purse,
    Take,
    Ticket, //
};

/// Time in which an entry gathers requests.
const STEP: Millis = Millis(5);
const SECONDS: u64 = 20;
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Millis(5_000),
    overage_permille: 100,
    slack_requests: 20,
};

fn memory_kb() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Requests per 1,000 s of a team.
fn rate(team: usize) -> u64 {
    (190_000 / (team as u64 + 1)).max(1_000)
}

fn measure(entries: usize, teams: usize) {
    let before = memory_kb();
    let names: Vec<_> = (0..teams)
        .map(|team| TeamName(format!("team-{team:04}")))
        .collect();
    let limits: HashMap<_, _> = names
        .iter()
        .enumerate()
        .map(|(team, name)| {
            let quota = RequestQuota {
                requests_per_1000s: rate(team) * 8 / 5,
                burst: (rate(team) * 8 / 5_000).max(1),
            };
            (name.clone(), Limit::new(quota, BOUNDS))
        })
        .collect();
    let mut leader = Ledger::new(Millis::ZERO);
    leader.set_limits(1, limits.clone());
    let mut purses: Vec<_> = (0..entries as u64).map(Purse::new).collect();
    for purse in &mut purses {
        purse.set_connection(Connection::Open, Millis::ZERO);
    }
    let mut asked_at = vec![Millis::ZERO; entries];
    let mut due = vec![0.0; teams];
    let (mut requests, mut questions, mut bytes_in, mut bytes_out) = (0_u64, 0_u64, 0, 0);
    let mut leader_time = Duration::ZERO;
    let mut now = Millis(5_000);
    let end = now + Millis::from_secs(SECONDS);
    while now < end {
        now += STEP;
        for team in 0..teams {
            due[team] += rate(team) as f64 / 1e6 * STEP.0 as f64;
            while due[team] >= 1.0 {
                due[team] -= 1.0;
                requests += 1;
                let entry = rand::random_range(0..entries);
                let (name, limit) = (&names[team], &limits[&names[team]]);
                let take = purses[entry].take(name, limit, &mut Ticket::default(), now);
                if matches!(take, Take::Wait(_)) || purses[entry].wants_to_ask(name) {
                    asked_at[entry] = Millis::ZERO;
                }
            }
        }
        for (entry, purse) in purses.iter_mut().enumerate() {
            if now < asked_at[entry] + HEARTBEAT_INTERVAL {
                continue;
            }
            let Some(ask) = purse.next_ask(now) else {
                continue;
            };
            asked_at[entry] = now;
            let ip = IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + entry as u32));
            let question = postcard::to_stdvec(&ask).expect("plain data encodes");
            let start = Instant::now();
            let answer = leader.answer(ip, &ask, now);
            let encoded = postcard::to_stdvec(&answer).expect("plain data encodes");
            leader_time += start.elapsed();
            purse.apply(&answer, now);
            questions += 1;
            bytes_in += question.len();
            bytes_out += encoded.len();
        }
    }
    let grown = memory_kb().zip(before).map(|(now, before)| now - before);
    println!(
        "entries {entries} teams {teams}: requests/s {} questions/s {} bytes/s in {} out {} \
         leader ms/s {:.2} buckets {} memory of all KB {grown:?}",
        requests / SECONDS,
        questions / SECONDS,
        bytes_in as u64 / SECONDS,
        bytes_out as u64 / SECONDS,
        leader_time.as_secs_f64() * 1_000.0 / SECONDS as f64,
        leader.buckets(),
    );
}

fn main() {
    for (entries, teams) in [(52, 76), (320, 76), (320, 990)] {
        measure(entries, teams);
    }
}
