//! Benchmarks the replicated log with daemon processes on loopback and real disk syncs.
//!
//! `cargo run --release -p yuccaseam-daemon --example commits -- [SECONDS]` prints:
//! - the baseline of one sync per write on the same disk;
//! - commits per second and latencies for 1, 8, 64 and 512 writers on 1, 3 and 5 voters;
//! - the CPU time of idle voters;
//! - the time from the kill of a leader to the next commit;
//! - the time from a restart to the first commit after many changes.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use anyhow::{
    Context,
    bail, //
};
use hdrhistogram::Histogram;
use tokio::runtime::Runtime;
use tonic::transport::{
    Channel,
    Endpoint, //
};
use yuccaseam_base::Millis;
use yuccaseam_journal::{
    DataFolder,
    Entry,
    Log,
    LogOptions, //
};
use yuccaseam_state::{
    ClaimKey,
    Command,
    Fingerprint,
    KeyId,
    OwnerId, //
};
use yuccaseam_testing::{
    Cluster,
    Place, //
};
use yuccaseam_wire::store::{
    ProposeRequest,
    propose_reply,
    store_client::StoreClient, //
};

/// Default duration of each measurement, in seconds.
const DEFAULT_SECONDS: u64 = 3;
/// Leader kills in the failover measurement.
const KILLS: usize = 10;
/// Pause after every replica failed to commit a proposal.
const RETRY_BACKOFF: Duration = Duration::from_millis(5);
/// Limit for one proposal while searching for the leader.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Unit of the CPU times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

static NEXT_KEY: AtomicU64 = AtomicU64::new(0);

fn main() -> anyhow::Result<()> {
    let seconds = std::env::args().nth(1).map(|text| text.parse());
    let duration = Duration::from_secs(seconds.transpose()?.unwrap_or(DEFAULT_SECONDS));
    let runtime = Runtime::new()?;
    println!(
        "baseline, one sync a write: {:.0} commits/s",
        measure_baseline(duration)?
    );
    for voters in [1, 3, 5] {
        let cluster = start_cluster(voters);
        for writers in [1, 8, 64, 512] {
            let point = runtime.block_on(measure_commits(&cluster, writers, duration))?;
            println!(
                "{voters} voters, {writers:>3} writers: {:>6.0} commits/s, p50 {:.2} ms, p99 {:.2} ms",
                point.rate, point.p50, point.p99
            );
        }
    }
    measure_idle()?;
    measure_failover(&runtime)?;
    for changes in [1_000, 10_000, 100_000] {
        measure_recovery(&runtime, changes)?;
    }
    Ok(())
}

fn start_cluster(voters: usize) -> Cluster {
    let place = Place::new("morava", "brno-a").with_disk();
    let mut cluster = Cluster::start(&vec![place; voters], &["--log-level", "warn"]);
    cluster.wait_until_ready();
    wait_for_voters(&cluster, voters);
    cluster
}

fn wait_for_voters(cluster: &Cluster, voters: usize) {
    yuccaseam_testing::wait_until("all members are voters", || {
        let members = cluster.caller(0).get("/admin/v1/members");
        let members = members.and_then(|members| members["members"].as_array().cloned());
        members.is_some_and(|members| {
            members.len() == voters && members.iter().all(|member| member["role"] == "voter")
        })
    });
}

/// Measures the rate of appends to a local log, in commits per second, with a sync after each.
fn measure_baseline(duration: Duration) -> anyhow::Result<f64> {
    let dir = tempfile::tempdir()?;
    let folder = DataFolder::open(dir.path())?;
    let mut log = Log::open(&folder, LogOptions::default())?;
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < duration {
        count += 1;
        log.append(&[Entry {
            index: count,
            term: 1,
            payload: unique_claim(),
        }])?;
        log.sync()?;
    }
    Ok(count as f64 / start.elapsed().as_secs_f64())
}

/// Encodes a claim of a unique key.
fn unique_claim() -> Vec<u8> {
    let number = NEXT_KEY.fetch_add(1, Ordering::Relaxed);
    let key = number.to_string();
    let claim = ClaimKey {
        key: KeyId::of("team", "order-desk", &key),
        fingerprint: Fingerprint::of(key.as_bytes()),
        owner: OwnerId {
            instance: "bench".into(),
            incarnation: 1,
        },
        request: number,
    };
    Command::new(Millis::unix_now(), claim).encode()
}

struct Point {
    rate: f64,
    p50: f64,
    p99: f64,
}

async fn measure_commits(
    cluster: &Cluster,
    writers: usize,
    duration: Duration,
) -> anyhow::Result<Point> {
    let clients = connect(cluster)?;
    let leader = Arc::new(AtomicU64::new(find_leader(&clients).await? as u64));
    let clients = Arc::new(clients);
    let start = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..writers {
        let clients = Arc::clone(&clients);
        let leader = Arc::clone(&leader);
        tasks.push(tokio::spawn(async move {
            let mut latencies = Vec::new();
            while start.elapsed() < duration {
                let index = leader.load(Ordering::Relaxed) as usize;
                let proposed_at = Instant::now();
                if propose(&clients[index], unique_claim()).await? {
                    latencies.push(proposed_at.elapsed());
                }
            }
            anyhow::Ok(latencies)
        }));
    }
    let mut latencies = Histogram::<u64>::new(3)?;
    for task in tasks {
        for latency in task.await?? {
            latencies.record(u64::try_from(latency.as_micros())?)?;
        }
    }
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    Ok(Point {
        rate: latencies.len() as f64 / start.elapsed().as_secs_f64(),
        p50: ms(0.5),
        p99: ms(0.99),
    })
}

fn connect(cluster: &Cluster) -> anyhow::Result<Vec<StoreClient<Channel>>> {
    let daemons = cluster.daemons.iter();
    daemons
        .map(|daemon| {
            let endpoint = Endpoint::from_shared(format!("http://{}", daemon.peer))?;
            Ok(StoreClient::new(endpoint.tcp_nodelay(true).connect_lazy()))
        })
        .collect()
}

/// Proposes a command; returns false if the replica redirected to a leader instead of committing.
async fn propose(client: &StoreClient<Channel>, command: Vec<u8>) -> anyhow::Result<bool> {
    let reply = client.clone().propose(ProposeRequest { command }).await?;
    match reply
        .into_inner()
        .result
        .context("propose reply has no result")?
    {
        propose_reply::Result::Outcome(_) => Ok(true),
        propose_reply::Result::LeaderHint(_) => Ok(false),
        propose_reply::Result::Refused(refused) => bail!("proposal refused: {}", refused.detail),
        propose_reply::Result::Unknown(why) => bail!("outcome of the proposal unknown: {why}"),
    }
}

/// Proposes to each replica in turn until one commits, and returns its index.
async fn find_leader(clients: &[StoreClient<Channel>]) -> anyhow::Result<usize> {
    let deadline = Instant::now() + Duration::from_secs(60);
    while Instant::now() < deadline {
        for (index, client) in clients.iter().enumerate() {
            let proposal = tokio::time::timeout(PROPOSE_TIMEOUT, propose(client, unique_claim()));
            if let Ok(Ok(true)) = proposal.await {
                return Ok(index);
            }
        }
        tokio::time::sleep(RETRY_BACKOFF).await;
    }
    bail!("no replica committed a proposal within 60 s")
}

/// Measures the CPU time of daemons that serve no calls.
fn measure_idle() -> anyhow::Result<()> {
    const IDLE_DURATION: Duration = Duration::from_secs(10);
    let _cluster = start_cluster(3);
    let before = children_ticks()?;
    std::thread::sleep(IDLE_DURATION);
    let after = children_ticks()?;
    let shares = before.iter().zip(&after).map(|(before, after)| {
        let ticks = after.saturating_sub(*before) as f64;
        format!(
            "{:.2} %",
            ticks / TICKS_PER_SECOND / IDLE_DURATION.as_secs_f64() * 100.0
        )
    });
    let shares: Vec<_> = shares.collect();
    println!("3 idle voters, share of a core each: {}", shares.join(", "));
    Ok(())
}

/// CPU time of each child process in clock ticks, in order of process ID.
fn children_ticks() -> anyhow::Result<Vec<u64>> {
    let own = std::process::id();
    let mut children = Vec::new();
    for entry in std::fs::read_dir("/proc")? {
        // A process may exit during the scan.
        let Ok(stat) = std::fs::read_to_string(entry?.path().join("stat")) else {
            continue;
        };
        let Some((pid, rest)) = stat.split_once(' ') else {
            continue;
        };
        let fields: Vec<&str> = match rest.rsplit_once(") ") {
            Some((_, fields)) => fields.split(' ').collect(),
            None => continue,
        };
        // Fields after the name: state, parent, nine more, user time, system time.
        if fields[1].parse() == Ok(own) {
            let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
            children.push((pid.parse::<u32>()?, ticks));
        }
    }
    children.sort_unstable();
    Ok(children.into_iter().map(|(_, ticks)| ticks).collect())
}

/// Measures the time from the kill of a leader to the next commit.
fn measure_failover(runtime: &Runtime) -> anyhow::Result<()> {
    let mut cluster = start_cluster(3);
    let mut times = Vec::new();
    for _ in 0..KILLS {
        let clients = runtime.block_on(async { connect(&cluster) })?;
        let leader = runtime.block_on(find_leader(&clients))?;
        cluster.daemons[leader].kill();
        let killed = Instant::now();
        let mut others = clients;
        others.remove(leader);
        runtime.block_on(find_leader(&others))?;
        times.push(killed.elapsed().as_millis());
        cluster.start_daemon(leader);
        cluster.wait_until_ready();
    }
    times.sort_unstable();
    println!("failover in ms, {KILLS} kills, sorted: {times:?}");
    Ok(())
}

/// Measures the time from a restart to the first commit.
fn measure_recovery(runtime: &Runtime, changes: u64) -> anyhow::Result<()> {
    let mut cluster = start_cluster(1);
    runtime.block_on(propose_changes(&cluster, changes))?;
    cluster.daemons[0].kill();
    cluster.start_daemon(0);
    let started = Instant::now();
    let clients = runtime.block_on(async { connect(&cluster) })?;
    runtime.block_on(find_leader(&clients))?;
    println!(
        "recovery after {changes} changes: {} ms",
        started.elapsed().as_millis()
    );
    Ok(())
}

async fn propose_changes(cluster: &Cluster, changes: u64) -> anyhow::Result<()> {
    const WRITERS: u64 = 256;
    let clients = connect(cluster)?;
    let mut tasks = Vec::new();
    for _ in 0..WRITERS {
        let client = clients[0].clone();
        tasks.push(tokio::spawn(async move {
            for _ in 0..changes.div_ceil(WRITERS) {
                propose(&client, unique_claim()).await?;
            }
            anyhow::Ok(())
        }));
    }
    for task in tasks {
        task.await??;
    }
    Ok(())
}
