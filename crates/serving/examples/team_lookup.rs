//! Measures what teams cost an entry: the time to build the directory of a manifest, its memory, and the time to
//! find the team of a key.
//!
//! `cargo run --release -p yuccaseam-serving --example team_lookup`

use std::{
    fs,
    hint::black_box,
    time::Instant, //
};

use yuccaseam_platform::{
    ApiKey,
    Manifest, //
};
use yuccaseam_serving::{
    routes::RouteTable,
    state::StoredManifest, //
};

const TEAMS: usize = 990;
const KEYS: usize = 4;
/// Changes of the manifest a day.
const CHANGES: u32 = 8_900;
const TABLES: usize = 50;
const LOOKUPS: u32 = 1_000_000;
const SECONDS_A_DAY: f64 = 86_400.0;

fn key(team: usize, number: usize) -> String {
    format!(
        "{:020x}",
        (team as u64 * 8 + number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    )
}

fn manifest() -> String {
    let teams = (0..TEAMS).map(|team| {
        let keys: Vec<_> = (0..KEYS)
            .map(|number| format!("\"{}\"", key(team, number)))
            .collect();
        format!(
            r#"{{"name":"team-{team}","api_keys":[{}],"priority":1,"rate_per_s":179,"burst":179}}"#,
            keys.join(",")
        )
    });
    let teams: Vec<_> = teams.collect();
    let route = r#"{"name":"r","host":"h.example","path_prefix":"/p/","type":"safe","timeout_ms":5000,"service":"s"}"#;
    format!(
        r#"{{"version":1,"routes":[{route}],"services":[{{"name":"s"}}],"tenants":[{}]}}"#,
        teams.join(",")
    )
}

/// Resident memory of this process, in KB.
fn memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size = line.and_then(|line| line.split_whitespace().next());
    size.and_then(|size| size.parse().ok()).unwrap_or(0)
}

fn build(stored: &StoredManifest) -> anyhow::Result<RouteTable> {
    Ok(RouteTable::new(Manifest::decode(&stored.unpack()?)?)?)
}

fn main() -> anyhow::Result<()> {
    let text = manifest();
    let stored = StoredManifest::pack(1, text.as_bytes());
    drop(build(&stored)?);
    let (before, started) = (memory_kb(), Instant::now());
    let tables: Result<Vec<_>, _> = (0..TABLES).map(|_| build(&stored)).collect();
    let tables = tables?;
    let took = started.elapsed() / TABLES as u32;
    let size = (memory_kb() - before) / TABLES as u64;
    let share = took.as_secs_f64() * f64::from(CHANGES) / SECONDS_A_DAY * 100.0;
    println!(
        "{TEAMS} teams with {KEYS} keys: {} KB as sent, {} KB packed",
        text.len() / 1_000,
        stored.packed_len() / 1_000
    );
    println!(
        "unpack, decode and build: {} us, at {CHANGES} changes a day {share:.4}% of a core",
        took.as_micros()
    );
    println!("memory of a table: {size} KB");
    let keys: Vec<ApiKey> = (0..TEAMS)
        .map(|team| key(team, team % KEYS).as_str().into())
        .collect();
    let teams = tables[0].teams().expect("the manifest has teams");
    let started = Instant::now();
    for number in 0..LOOKUPS {
        black_box(teams.find(black_box(&keys[number as usize * 7 % TEAMS])));
    }
    println!("look-up: {} ns", (started.elapsed() / LOOKUPS).as_nanos());
    Ok(())
}
