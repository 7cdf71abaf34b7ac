//! One run: a world, callers, a schedule of faults, and the checks at the end.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use tokio::time::{
    Instant,
    sleep_until, //
};

use crate::{
    callers,
    ledger::Ledger,
    schedule::schedule,
    world::World, //
};

/// Callers of one run.
const CALLERS: usize = 6;

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Makes the schedule.
    pub seed: u64,
    /// How long faults come.
    pub length: Duration,
    /// Entries beside three stores.
    pub entries: usize,
    /// Targets.
    pub targets: usize,
    /// Tells the loopback addresses of runs on one machine apart.
    pub network: u8,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed of its schedule.
    pub seed: u64,
    /// Promises that were seen broken.
    pub violations: Vec<String>,
    /// How often what happened.
    pub counts: BTreeMap<&'static str, usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}:", self.seed)?;
        for (what, count) in &self.counts {
            write!(f, " {what} {count},")?;
        }
        writeln!(f, " violations {}", self.violations.len())?;
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}

/// Runs one seed.
///
/// # Errors
///
/// Fails if the system does not start, or does not serve again after the faults.
pub async fn run(cfg: Config) -> anyhow::Result<Report> {
    let ledger = Arc::new(Ledger::default());
    let world = World::start(cfg.network, cfg.entries, cfg.targets, Arc::clone(&ledger));
    let world = Arc::new(world.await?);
    let stop = Arc::new(AtomicBool::new(false));
    let mut calling = Vec::new();
    for caller in 0..CALLERS {
        let (world, ledger, stop) = (Arc::clone(&world), Arc::clone(&ledger), Arc::clone(&stop));
        calling.push(tokio::spawn(callers::call(world, ledger, caller, stop)));
    }
    let reading =
        callers::read_manifest(Arc::clone(&world), Arc::clone(&ledger), Arc::clone(&stop));
    calling.push(tokio::spawn(reading));
    let jobs = callers::submit(Arc::clone(&world), Arc::clone(&ledger), Arc::clone(&stop));
    let jobs = tokio::spawn(jobs);

    let begin = Instant::now();
    let mut faults = Vec::new();
    for step in schedule(cfg.seed, cfg.length) {
        sleep_until(begin + step.at).await;
        ledger.count("faults");
        let world = Arc::clone(&world);
        faults.push(tokio::spawn(async move {
            world.inject(step.fault, step.lasts).await
        }));
    }
    for fault in faults {
        fault.await??;
    }
    world.heal().await?;
    stop.store(true, Ordering::Relaxed);
    for one in calling {
        one.await?;
    }
    let jobs = jobs.await?;
    callers::settle(&world, &ledger, jobs).await;
    ledger.check_runs(&world.runs().await);
    let (violations, counts) = ledger.finish();
    if !violations.is_empty() {
        world.keep_logs(cfg.seed).await;
    }
    Ok(Report {
        seed: cfg.seed,
        violations,
        counts,
    })
}
