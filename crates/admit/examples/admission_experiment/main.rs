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
    engine::Cost,
    load::{
        Load,
        TARGETS, //
    },
    report::Full,
    world::{
        Mode,
        Scene,
        run,
        settings, //
    },
};

const BALANCES: [u8; 6] = [0, 20, 40, 60, 80, 100];

/// Engines whose step is mostly the reading of the weights; engines whose step grows steeply with
/// the streams; and engines that, once full, are past the bound between tokens whenever they read
/// a prompt.
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
        let scene = Scene {
            cost,
            arrivals: arrivals.clone(),
            length,
        };
        let full = batch_only(&scene);
        compare_modes(&scene, &full);
        balance_curve(&scene, &full);
    }
}

/// What the engines give when batch alone fills every slot, whatever the time between tokens.
fn batch_only(scene: &Scene) -> Full {
    let unbounded = Settings {
        step_bound_micros: u32::MAX,
        ..settings(Balance::THROUGHPUT)
    };
    let alone = Scene {
        arrivals: Vec::new(),
        ..*scene
    };
    let figures = run(Mode::Permits, Some(unbounded), &alone);
    Full {
        cost: scene.cost,
        batch_tokens: figures.batch_tokens as f64,
        engine_micros: (scene.length * TARGETS as u64) as f64,
    }
}

fn compare_modes(scene: &Scene, full: &Full) {
    let baseline = run(Mode::Permits, None, scene);
    let modes = [
        Mode::RoundRobin,
        Mode::Alone,
        Mode::OwnerPath,
        Mode::Permits,
    ];
    for mode in modes {
        let off = run(mode, None, scene);
        off.print(&format!("{mode:?} batch off"), &baseline, full);
        let on = run(mode, Some(settings(Balance::percent(50))), scene);
        on.print(&format!("{mode:?} batch on"), &off, full);
    }
}

fn balance_curve(scene: &Scene, full: &Full) {
    let off = run(Mode::Permits, None, scene);
    for percent in BALANCES {
        let cfg = settings(Balance::percent(percent));
        let on = run(Mode::Permits, Some(cfg), scene);
        on.print(&format!("balance {percent}"), &off, full);
    }
}
