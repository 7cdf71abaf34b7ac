//! Measures memory use and latency of the state machine as it grows, as one JSON line per point.
//!
//! Run with `cargo run --release -p yuccaseam-state --example state_slopes`.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    time::Instant,
};

use serde::Serialize;
use yuccaseam_base::Millis;
use yuccaseam_state::{
    BlobId,
    CallOutcome,
    ChunkSpec,
    ClaimKey,
    Command,
    CompleteItems,
    ConfigurationChange,
    CreateJob,
    Fingerprint,
    FinishKey,
    ItemSet,
    JobId,
    KeyClaim,
    KeyId,
    Lease,
    LeaseChunks,
    LeaseRef,
    LogIndex,
    Operation,
    Outcome,
    OwnerId,
    ResponseBody,
    SetConfiguration,
    Setting,
    State,
    StoredResponse,
    Team,
    Work, //
};

const CHUNK_ITEMS: u16 = 256;
const TEAMS: u64 = 990;
const MODEL: &str = "lagging-llm";

static IN_USE: AtomicUsize = AtomicUsize::new(0);

/// Allocator that counts the bytes in use.
struct Counting;

// SAFETY: Every call is forwarded to the system allocator with its arguments unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// A measured point.
#[derive(Serialize)]
struct Point {
    /// What is counted.
    of: &'static str,
    /// Number of entries.
    count: u64,
    /// Memory used by the state, in bytes.
    memory_bytes: usize,
    /// Size of a snapshot, in bytes.
    snapshot_bytes: usize,
    /// Time to encode a snapshot, in microseconds.
    snapshot_us: u128,
    /// Time to restore the snapshot, in microseconds.
    restore_us: u128,
    /// Mean time of one command, in nanoseconds.
    apply_ns: u128,
    /// Mean size of one encoded command, in bytes.
    command_bytes: usize,
}

/// A growing state with the cost of its commands.
struct Run {
    state: State,
    index: u64,
    memory_before: usize,
    spent_ns: u128,
    encoded_bytes: usize,
    commands: u64,
}

impl Run {
    fn new() -> Self {
        let memory_before = IN_USE.load(Ordering::Relaxed);
        Self {
            state: State::new(),
            index: 0,
            memory_before,
            spent_ns: 0,
            encoded_bytes: 0,
            commands: 0,
        }
    }

    fn apply<T>(&mut self, operation: T) -> Outcome
    where
        T: Into<Operation>,
    {
        self.index += 1;
        let command = Command::new(Millis(1_000_000_000 + self.index), operation);
        self.encoded_bytes += command.encode().len();
        self.commands += 1;
        let start = Instant::now();
        let outcome = self.state.apply(LogIndex(self.index), &command);
        self.spent_ns += start.elapsed().as_nanos();
        outcome
    }

    fn report(&mut self, of: &'static str, count: u64) {
        let memory_bytes = IN_USE.load(Ordering::Relaxed) - self.memory_before;
        let start = Instant::now();
        let snapshot = self.state.snapshot();
        let snapshot_us = start.elapsed().as_micros();
        let start = Instant::now();
        let restored = State::restore(&snapshot);
        let restore_us = start.elapsed().as_micros();
        assert!(restored.is_ok(), "a state can restore its own snapshot");
        let commands = self.commands.max(1);
        let point = Point {
            of,
            count,
            memory_bytes,
            snapshot_bytes: snapshot.len(),
            snapshot_us,
            restore_us,
            apply_ns: self.spent_ns / u128::from(commands),
            command_bytes: self.encoded_bytes / commands as usize,
        };
        println!(
            "{}",
            serde_json::to_string(&point).expect("a point serializes to JSON")
        );
        self.spent_ns = 0;
        self.encoded_bytes = 0;
        self.commands = 0;
    }
}

fn blob(number: u64) -> BlobId {
    BlobId::of(&number.to_le_bytes())
}

fn job(number: u64, items: u64) -> CreateJob {
    let team = format!("team-{}", number % TEAMS);
    let chunks = items.div_ceil(u64::from(CHUNK_ITEMS));
    let spec = |chunk| ChunkSpec {
        payload: blob(number << 32 | chunk),
        items: CHUNK_ITEMS,
    };
    CreateJob {
        job: JobId::of_key(&team, &number.to_string()),
        fingerprint: Fingerprint::of(&number.to_le_bytes()),
        team,
        class: "batch".to_owned(),
        work: Work::Model(MODEL.to_owned()),
        idempotent: true,
        deadline: Millis(2_000_000_000 + number),
        chunks: (0..chunks).map(spec).collect(),
    }
}

fn owner(number: u64) -> OwnerId {
    OwnerId {
        instance: format!("entry-{number}").as_str().into(),
        incarnation: 1,
    }
}

fn lease(run: &mut Run, owner: OwnerId, max: u16) -> Vec<Lease> {
    let request = LeaseChunks {
        owner,
        serves: vec![Work::Model(MODEL.to_owned())],
        max,
    };
    match run.apply(request) {
        Outcome::Leased(leases) => leases,
        other => panic!("no leases: {other:?}"),
    }
}

fn complete(lease: &Lease, result: u64) -> CompleteItems {
    CompleteItems {
        lease: LeaseRef {
            job: lease.job,
            chunk: lease.chunk,
            epoch: lease.epoch,
        },
        result: Some(blob(result)),
        done: ItemSet::full(lease.spec.items),
        failed: Vec::new(),
    }
}

/// Measures many waiting jobs of 100 chunks.
fn waiting_jobs() {
    let mut run = Run::new();
    let mut number = 0;
    for count in [100, 1_000, 9_000] {
        while number < count {
            run.apply(job(number, 100 * u64::from(CHUNK_ITEMS)));
            number += 1;
        }
        run.report("waiting jobs of 25,600 items", count);
    }
}

/// Measures one job of 660,000 items: waiting, leased, then done.
fn largest_job() {
    let mut run = Run::new();
    run.apply(job(1, 660_000));
    run.report("items of one job, waiting", 660_000);
    let mut leases = Vec::new();
    loop {
        let more = lease(&mut run, owner(leases.len() as u64 % 320), 8);
        if more.is_empty() {
            break;
        }
        leases.extend(more);
    }
    run.report(
        "items of one job, leased (with the list of leases)",
        660_000,
    );
    for (number, lease) in leases.iter().enumerate() {
        run.apply(complete(lease, number as u64));
    }
    drop(leases);
    run.report("items of one job, done", 660_000);
}

/// Measures leases while 990 teams wait.
fn leases_among_teams() {
    let mut run = Run::new();
    for number in 0..9_000 {
        run.apply(job(number, 10 * u64::from(CHUNK_ITEMS)));
    }
    run.report("jobs of 2,560 items by 990 teams", 9_000);
    for number in 0..10_000 {
        lease(&mut run, owner(number % 320), 1);
    }
    run.report("single leases among 990 teams", 10_000);
}

/// Measures idempotency keys with small responses.
fn keys() {
    let mut run = Run::new();
    let mut number = 0_u64;
    for count in [1_000, 10_000, 100_000] {
        while number < count {
            finish_one_key(&mut run, number);
            number += 1;
        }
        run.report("finished keys with 200 bytes", count);
    }
}

fn finish_one_key(run: &mut Run, number: u64) {
    let key = KeyId::of("clerks", "order-desk", &number.to_string());
    let claim = ClaimKey {
        key,
        fingerprint: Fingerprint::of(&number.to_le_bytes()),
        owner: owner(number % 320),
        request: number,
    };
    let Outcome::KeyClaim(KeyClaim::Claimed { claim }) = run.apply(claim) else {
        panic!("a fresh key is free");
    };
    let response = StoredResponse {
        status: 200,
        content_type: "application/json".to_owned(),
        body: ResponseBody::Inline(vec![0; 200]),
    };
    run.apply(FinishKey {
        key,
        claim,
        end: CallOutcome::Response(response),
    });
}

/// Measures configuration changes with the weights of 990 teams.
fn configuration_changes() {
    let mut run = Run::new();
    let team = |number| {
        ConfigurationChange::PutTeam(Team {
            name: format!("team-{number}"),
            weight: 2,
        })
    };
    change(&mut run, 0, (0..TEAMS).map(team).collect());
    let mut revision = 1;
    for count in [1_000, 10_000, 26_700] {
        while revision < count {
            let change_one = ConfigurationChange::SetDefault {
                setting: Setting::Balance,
                value: revision % 100,
            };
            change(&mut run, revision, vec![change_one]);
            revision += 1;
        }
        run.report("changes of configuration", count);
    }
}

fn change(run: &mut Run, revision: u64, changes: Vec<ConfigurationChange>) {
    run.apply(SetConfiguration {
        request: format!("request-{revision}"),
        expected_revision: revision,
        author: "Alena".to_owned(),
        changes,
    });
}

fn main() {
    waiting_jobs();
    largest_job();
    leases_among_teams();
    keys();
    configuration_changes();
}
