//! Compares modes of admission at a target, and measures the trade-off of the balance setting.
//!
//! `cargo run --release -p yuccaseam-admit --example admission_experiment -- [SEED] [SECONDS]`
//! prints one line of JSON per run. All runs with the same seed have the same online arrivals.

mod engine;
mod load;
mod report;
mod world;

use std::env;

use yuccaseam_admit::{
    Balance,
    Settings, //
};

use crate::{
    engine::Cost,
    load::{
        Load,
        TARGETS, //
    },
    report::BatchOnly,
    world::{
        Mode,
        Scenario,
        run,
        settings, //
    },
};

const BALANCES: [u8; 6] = [0, 20, 40, 60, 80, 100];

/// Engines whose step time is dominated by reading the weights; engines whose step time grows
/// steeply with the number of streams; and engines that, when full, exceed the bound between tokens
/// whenever they process a prompt.
const COSTS: [Cost; 3] = [
    Cost {
        name: "flat",
        base: 20_000,
        per_stream: 300,
        per_prompt_token: 18,
    },
    Cost {
        name: "steep",
        base: 10_000,
        per_stream: 600,
        per_prompt_token: 18,
    },
    Cost {
        name: "tight",
        base: 12_000,
        per_stream: 700,
        per_prompt_token: 20,
    },
];

fn main() {
    let mut args = env::args().skip(1);
    let seed = args
        .next()
        .map_or(1, |arg| arg.parse().expect("SEED is a number"));
    let seconds: u64 = args
        .next()
        .map_or(200, |arg| arg.parse().expect("SECONDS is a number"));
    let length = seconds * 1_000_000;
    let arrivals = load::arrivals(Load {
        seed,
        length,
        quiet_rate: 3.0,
        burst_rate: 7.0,
    });
    for cost in COSTS {
        let scenario = Scenario {
            cost,
            arrivals: arrivals.clone(),
            length,
        };
        let batch_only = run_batch_only(&scenario);
        compare_modes(&scenario, &batch_only);
        balance_curve(&scenario, &batch_only);
    }
}

/// Measures the engines with batch alone in every slot, without a bound between tokens.
fn run_batch_only(scenario: &Scenario) -> BatchOnly {
    let unbounded = Settings {
        step_bound_micros: u32::MAX,
        ..settings(Balance::THROUGHPUT)
    };
    let alone = Scenario {
        arrivals: Vec::new(),
        ..*scenario
    };
    let figures = run(Mode::Permits, Some(unbounded), &alone);
    BatchOnly {
        cost: scenario.cost,
        batch_tokens: figures.batch_tokens as f64,
        engine_micros: (scenario.length * TARGETS as u64) as f64,
    }
}

fn compare_modes(scenario: &Scenario, batch_only: &BatchOnly) {
    let baseline = run(Mode::Permits, None, scenario);
    let modes = [
        Mode::RoundRobin,
        Mode::Alone,
        Mode::OwnerPath,
        Mode::Permits,
    ];
    for mode in modes {
        let off = run(mode, None, scenario);
        off.print(&format!("{mode:?} batch off"), &baseline, batch_only);
        let on = run(mode, Some(settings(Balance::percent(50))), scenario);
        on.print(&format!("{mode:?} batch on"), &off, batch_only);
    }
}

fn balance_curve(scenario: &Scenario, batch_only: &BatchOnly) {
    let off = run(Mode::Permits, None, scenario);
    for percent in BALANCES {
        let cfg = settings(Balance::percent(percent));
        let on = run(Mode::Permits, Some(cfg), scenario);
        on.print(&format!("balance {percent}"), &off, batch_only);
    }
}
