//! Measures the replicated log with daemons as processes on loopback and real syncs.
//!
//! `cargo run --release -p yuccaseam-daemon --example commits -- [SECONDS]` prints commits a
//! second and latencies for 1, 8, 64 and 512 writers on 1, 3 and 5 voters, the baseline of one
//! sync a write on the same disk, the processor time of idle voters, the time from the kill of a leader to the next commit, and the
//! time from a start to the first answer after many changes.

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

/// How long each point is measured unless the command line says otherwise.
const SECONDS: u64 = 3;
/// Kills of a leader.
const KILLS: usize = 10;
/// The pause before a proposal is tried at the next replica.
const PAUSE: Duration = Duration::from_millis(5);
/// How long one proposal of the failover measurement may take.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

static NEXT: AtomicU64 = AtomicU64::new(0);

fn main() -> anyhow::Result<()> {
    let seconds = std::env::args().nth(1).map(|text| text.parse());
    let length = Duration::from_secs(seconds.transpose()?.unwrap_or(SECONDS));
    let runtime = Runtime::new()?;
    println!(
        "baseline, one sync a write: {:.0} commits/s",
        baseline(length)?
    );
    for voters in [1, 3, 5] {
        let cluster = start(voters);
        for writers in [1, 8, 64, 512] {
            let point = runtime.block_on(measure(&cluster, writers, length))?;
            println!(
                "{voters} voters, {writers:>3} writers: {:>6.0} commits/s, p50 {:.2} ms, p99 {:.2} ms",
                point.rate, point.p50, point.p99
            );
        }
    }
    idle()?;
    failover(&runtime)?;
    for changes in [1_000, 10_000, 100_000] {
        recovery(&runtime, changes)?;
    }
    Ok(())
}

fn start(voters: usize) -> Cluster {
    let place = Place::new("morava", "brno-a").with_disk();
    let mut cluster = Cluster::start(&vec![place; voters], &["--log-level", "warn"]);
    cluster.wait_until_ready();
    wait_for_voters(&cluster, voters);
    cluster
}

fn wait_for_voters(cluster: &Cluster, voters: usize) {
    yuccaseam_testing::wait_until("all vote", || {
        let members = cluster.caller(0).get("/admin/v1/members");
        let members = members.and_then(|members| members["members"].as_array().cloned());
        members.is_some_and(|members| {
            members.len() == voters && members.iter().all(|member| member["role"] == "voter")
        })
    });
}

/// Appends and syncs one entry after another.
fn baseline(length: Duration) -> anyhow::Result<f64> {
    let dir = tempfile::tempdir()?;
    let folder = DataFolder::open(dir.path())?;
    let mut log = Log::open(&folder, LogOptions::default())?;
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < length {
        count += 1;
        log.append(&[Entry {
            index: count,
            term: 1,
            payload: command(),
        }])?;
        log.sync()?;
    }
    Ok(count as f64 / start.elapsed().as_secs_f64())
}

/// A claim of a key that nobody else claims.
fn command() -> Vec<u8> {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
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

async fn measure(cluster: &Cluster, writers: usize, length: Duration) -> anyhow::Result<Point> {
    let clients = connect(cluster)?;
    let leader = Arc::new(AtomicU64::new(find_leader(&clients).await? as u64));
    let clients = Arc::new(clients);
    let start = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..writers {
        let clients = Arc::clone(&clients);
        let leader = Arc::clone(&leader);
        tasks.push(tokio::spawn(async move {
            let mut times = Vec::new();
            while start.elapsed() < length {
                let at = leader.load(Ordering::Relaxed) as usize;
                let began = Instant::now();
                if propose(&clients[at], command()).await? {
                    times.push(began.elapsed());
                }
            }
            anyhow::Ok(times)
        }));
    }
    let mut times = Histogram::<u64>::new(3)?;
    for task in tasks {
        for time in task.await?? {
            times.record(u64::try_from(time.as_micros())?)?;
        }
    }
    let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
    Ok(Point {
        rate: times.len() as f64 / start.elapsed().as_secs_f64(),
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

/// Proposes a command and says whether it was committed here.
async fn propose(client: &StoreClient<Channel>, command: Vec<u8>) -> anyhow::Result<bool> {
    let reply = client.clone().propose(ProposeRequest { command }).await?;
    match reply.into_inner().result.context("an empty reply")? {
        propose_reply::Result::Outcome(_) => Ok(true),
        propose_reply::Result::LeaderHint(_) => Ok(false),
        propose_reply::Result::Refused(refused) => bail!("refused: {}", refused.detail),
        propose_reply::Result::Unknown(why) => bail!("unknown: {why}"),
    }
}

/// Asks one replica after another until one commits.
async fn find_leader(clients: &[StoreClient<Channel>]) -> anyhow::Result<usize> {
    let give_up = Instant::now() + Duration::from_secs(60);
    while Instant::now() < give_up {
        for (at, client) in clients.iter().enumerate() {
            let proposal = tokio::time::timeout(TIMEOUT, propose(client, command()));
            if let Ok(Ok(true)) = proposal.await {
                return Ok(at);
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    bail!("no replica commits")
}

/// The processor time of daemons that nobody calls.
fn idle() -> anyhow::Result<()> {
    const LENGTH: Duration = Duration::from_secs(10);
    let _cluster = start(3);
    let before = children_ticks()?;
    std::thread::sleep(LENGTH);
    let after = children_ticks()?;
    let shares = before.iter().zip(&after).map(|(before, after)| {
        let ticks = after.saturating_sub(*before) as f64;
        format!(
            "{:.2} %",
            ticks / TICKS_PER_SECOND / LENGTH.as_secs_f64() * 100.0
        )
    });
    let shares: Vec<_> = shares.collect();
    println!("3 idle voters, share of a core each: {}", shares.join(", "));
    Ok(())
}

/// The processor time of each child process, in clock ticks, by process identifier.
fn children_ticks() -> anyhow::Result<Vec<u64>> {
    let own = std::process::id();
    let mut children = Vec::new();
    for entry in std::fs::read_dir("/proc")? {
        // A process may end while it is looked at.
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
        // After the name: state, parent, ten more, user time, system time.
        if fields[1].parse() == Ok(own) {
            let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
            children.push((pid.parse::<u32>()?, ticks));
        }
    }
    children.sort_unstable();
    Ok(children.into_iter().map(|(_, ticks)| ticks).collect())
}

/// The time from the kill of a leader to the next commit.
fn failover(runtime: &Runtime) -> anyhow::Result<()> {
    let mut cluster = start(3);
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

/// The time from a start to the first commit, and the memory then.
fn recovery(runtime: &Runtime, changes: u64) -> anyhow::Result<()> {
    let mut cluster = start(1);
    runtime.block_on(fill(&cluster, changes))?;
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

async fn fill(cluster: &Cluster, changes: u64) -> anyhow::Result<()> {
    const WRITERS: u64 = 256;
    let clients = connect(cluster)?;
    let mut tasks = Vec::new();
    for _ in 0..WRITERS {
        let client = clients[0].clone();
        tasks.push(tokio::spawn(async move {
            for _ in 0..changes.div_ceil(WRITERS) {
                propose(&client, command()).await?;
            }
            anyhow::Ok(())
        }));
    }
    for task in tasks {
        task.await??;
    }
    Ok(())
}
