//! Drives daemons, or targets directly, with online and batch work, and reports the figures.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use anyhow::Context as _;
use serde::Serialize;
use yuccaseam_testing::{
    Caller,
    Figures,
    LoadPhase,
    Report,
    Schedule,
    Steady,
    SteadyReport,
    run_online, //
};

#[derive(Debug, Serialize)]
struct Run {
    seed: u64,
    phases: BTreeMap<String, Report>,
    batch: Option<SteadyReport>,
}

fn main() -> anyhow::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// The addresses to send online requests to, in turn, separated by commas.
        required --to addresses: String
        /// The seed of the arrivals.
        optional --seed seed: u64
        /// The model to ask.
        optional --model model: String
        /// Online requests a second in quiet phases.
        optional --quiet-rate rate: f64
        /// Online requests a second in bursts.
        optional --burst-rate rate: f64
        /// How long each quiet phase and each burst lasts, in seconds.
        optional --phase-secs secs: u64
        /// How many quiet phases and bursts there are of each.
        optional --rounds rounds: usize
        /// The longest answer in tokens.
        optional --tokens tokens: u32
        /// Batch callers for each address of --batch-to. Zero runs no batch.
        optional --batch-callers callers: usize
        /// The targets to send batch items to directly. Default: --to.
        optional --batch-to addresses: String
        /// The length of a batch answer in tokens.
        optional --batch-tokens tokens: u32
        /// The file of the JSON report. Default: standard output.
        optional --out file: PathBuf
    };
    let model = flags.model.unwrap_or_else(|| "lagging-llm".to_owned());
    let callers = callers(&flags.to)?;
    let length = Duration::from_secs(flags.phase_secs.unwrap_or(10));
    let mut phases = Vec::new();
    for round in 1..=flags.rounds.unwrap_or(1) {
        let mut phase = |name: &str, rate| {
            let name = format!("{name}-{round}");
            phases.push(LoadPhase { name, length, rate });
        };
        phase("quiet", flags.quiet_rate.unwrap_or(10.0));
        phase("burst", flags.burst_rate.unwrap_or(60.0));
    }
    let schedule = Schedule {
        seed: flags.seed.unwrap_or(1),
        phases,
        tokens: flags.tokens.unwrap_or(64),
    };
    let batch_to = match &flags.batch_to {
        Some(addresses) => self::callers(addresses)?,
        None => callers.clone(),
    };
    let each = flags.batch_callers.unwrap_or(0);
    let batch_tokens = flags.batch_tokens.unwrap_or(64);
    let steady = (each > 0).then(|| Steady::start(&batch_to, each, &model, batch_tokens));
    let figures = run_online(&schedule, &callers, &model);
    let run = Run {
        seed: schedule.seed,
        phases: by_name(&schedule, &figures),
        batch: steady.map(Steady::stop),
    };
    let report = serde_json::to_string_pretty(&run)?;
    match flags.out {
        Some(file) => std::fs::write(file, report)?,
        None => println!("{report}"),
    }
    Ok(())
}

fn callers(addresses: &str) -> anyhow::Result<Vec<Caller>> {
    let mut callers = Vec::new();
    for address in addresses.split(',') {
        let parsed: SocketAddr = address.parse().with_context(|| address.to_owned())?;
        callers.push(Caller::new(parsed));
    }
    Ok(callers)
}

fn by_name(schedule: &Schedule, figures: &[Figures]) -> BTreeMap<String, Report> {
    let phases = schedule.phases.iter();
    phases
        .zip(figures)
        .map(|(phase, figures)| (phase.name.clone(), figures.report()))
        .collect()
}
