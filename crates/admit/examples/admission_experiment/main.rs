//! Measures who should admit work at a target, and what the balance setting trades.
//!
//! `cargo run --release -p yuccaseam-admit --example admission_experiment -- [SEED] [SECONDS]`
//! prints one line of JSON for each run. All runs of one seed have the same online arrivals.

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
    engine::Micros,
    load::{
        Arrival,
        Load,
        TARGETS, //
    },
    report::Full,
    world::{
        Mode,
        run,
        settings, //
    },
};

const BALANCES: [u8; 6] = [0, 20, 40, 60, 80, 100];

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
    let full = batch_only(length);
    compare_modes(&arrivals, length, &full);
    balance_curve(&arrivals, length, &full);
}

/// What the engines give when batch alone fills every slot, whatever the time between tokens.
fn batch_only(length: Micros) -> Full {
    let unbounded = Settings {
        step_bound_micros: u32::MAX,
        ..settings(Balance::THROUGHPUT)
    };
    let figures = run(Mode::Permits, Some(unbounded), &[], length);
    Full {
        batch_tokens: figures.batch_tokens as f64,
        engine_micros: (length * TARGETS as u64) as f64,
    }
}

fn compare_modes(arrivals: &[Arrival], length: Micros, full: &Full) {
    let baseline = run(Mode::Permits, None, arrivals, length);
    for mode in [
        Mode::RoundRobin,
        Mode::Alone,
        Mode::OwnerPath,
        Mode::Permits,
    ] {
        let off = run(mode, None, arrivals, length);
        off.print(&format!("{mode:?} batch off"), &baseline, full);
        let on = run(mode, Some(settings(Balance::percent(50))), arrivals, length);
        on.print(&format!("{mode:?} batch on"), &off, full);
    }
}

fn balance_curve(arrivals: &[Arrival], length: Micros, full: &Full) {
    let off = run(Mode::Permits, None, arrivals, length);
    for percent in BALANCES {
        let on = run(
            Mode::Permits,
            Some(settings(Balance::percent(percent))),
            arrivals,
            length,
        );
        on.print(&format!("balance {percent}"), &off, full);
    }
}
