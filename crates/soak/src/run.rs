//! A single run: starts the system and its callers, injects the scheduled faults, and checks the
//! outcomes.

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
    sleep,
    sleep_until, //
};

use crate::{
    callers,
    cluster::Cluster,
    ledger::Ledger,
    prompts::DEADLY_PARTS,
    quarantine::{
        REACTION_TIME,
        reaction_deadline, //
    },
    schedule::schedule, //
};

/// Number of concurrent callers.
const CALLERS: usize = 6;

/// Configuration of a run.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Seed of the fault schedule.
    pub seed: u64,
    /// Duration of fault injection.
    pub length: Duration,
    /// Number of entries, in addition to three stores.
    pub entries: usize,
    /// Number of targets.
    pub targets: usize,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed of the fault schedule.
    pub seed: u64,
    /// Descriptions of violated guarantees.
    pub violations: Vec<String>,
    /// Number of occurrences of each event.
    pub counts: BTreeMap<&'static str, usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}:", self.seed)?;
        for (event, count) in &self.counts {
            write!(f, " {event} {count},")?;
        }
        writeln!(f, " violations {}", self.violations.len())?;
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}

/// Runs the system under the faults of one seed.
///
/// # Errors
///
/// Fails if the system does not start, or does not serve again after the faults have ended.
pub async fn run(cfg: Config) -> anyhow::Result<Report> {
    let ledger = Arc::new(Ledger::default());
    let cluster = Cluster::start(cfg.entries, cfg.targets, Arc::clone(&ledger));
    let cluster = Arc::new(cluster.await?);
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for caller in 0..CALLERS {
        let (cluster, ledger, stop) =
            (Arc::clone(&cluster), Arc::clone(&ledger), Arc::clone(&stop));
        clients.push(tokio::spawn(callers::send_requests(
            cluster, ledger, caller, stop,
        )));
    }
    let manifest_reader =
        callers::read_manifest(Arc::clone(&cluster), Arc::clone(&ledger), Arc::clone(&stop));
    clients.push(tokio::spawn(manifest_reader));
    let jobs = callers::submit_jobs(Arc::clone(&cluster), Arc::clone(&ledger), Arc::clone(&stop));
    let jobs = tokio::spawn(jobs);

    let started_at = Instant::now();
    let mut faults = Vec::new();
    for step in schedule(cfg.seed, cfg.length) {
        sleep_until(started_at + step.at).await;
        ledger.count_event("faults");
        let cluster = Arc::clone(&cluster);
        faults.push(tokio::spawn(async move {
            cluster.inject(step.fault, step.duration).await
        }));
    }
    for fault in faults {
        fault.await??;
    }
    cluster.heal().await?;
    wait_for_quarantine(&cluster).await;
    callers::check_sound_prompts(&cluster, &ledger).await;
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.await?;
    }
    let jobs = jobs.await?;
    callers::check_jobs(&cluster, &ledger, jobs).await;
    let runs = cluster.runs().await;
    ledger.check_runs(&runs);
    ledger.check_quarantine(&runs, &cluster.crashes().await);
    let (violations, counts) = ledger.violations_and_counts();
    if !violations.is_empty() {
        cluster.keep_logs(cfg.seed).await;
    }
    Ok(Report {
        seed: cfg.seed,
        violations,
        counts,
    })
}

/// Waits until the system must have reacted to each part that crashes targets, without a fault of an
/// instance. Prompts remain tainted.
async fn wait_for_quarantine(cluster: &Cluster) {
    sleep(REACTION_TIME).await;
    for part in DEADLY_PARTS {
        // Ends, because only the first few crashes under a part count.
        while let Some(deadline) = reaction_deadline(&cluster.crashes().await, part)
            && deadline > std::time::Instant::now()
        {
            sleep_until(deadline.into()).await;
        }
    }
}
