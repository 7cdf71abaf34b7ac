//! Measures how entries distribute requests over targets with delayed load reports, and the hit
//! rate of prompt prefixes.
//!
//! `cargo run --release -p yuccaseam-route --example routing_experiment -- [SEED] [SECONDS]` prints
//! one line of JSON for each policy and number of entries, all with the same arrivals.

mod fleet;
mod policy;

use std::env;

use serde_json::json;

use crate::{
    fleet::{
        Fleet,
        Load, //
    },
    policy::Policy,
};

const ENTRIES: [usize; 3] = [9, 40, 150];

fn main() {
    let mut args = env::args().skip(1);
    let mut number = |default| {
        args.next()
            .map_or(default, |arg| arg.parse().expect("a number"))
    };
    let seed = number(1);
    let seconds = number(120);
    for entries in ENTRIES {
        for policy in Policy::ALL {
            let load = Load {
                seed,
                length: seconds * 1_000,
                entries,
            };
            let figures = Fleet::run(load, policy);
            let wait = |q| figures.first.value_at_quantile(q);
            let line = json!({
                "policy": policy.name(),
                "entries": entries,
                "n": figures.first.len(),
                "first_token_ms": {"p50": wait(0.5), "p95": wait(0.95), "p99": wait(0.99)},
                "queued_share": share(figures.queued, figures.first.len()),
                "prefix_hit_share": share(figures.blocks_hit, figures.blocks),
            });
            println!("{line}");
        }
    }
}

fn share(part: u64, whole: u64) -> f64 {
    (part as f64 / whole as f64 * 1_000.0).round() / 1_000.0
}
