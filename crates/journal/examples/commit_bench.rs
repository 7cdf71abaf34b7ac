//! Benchmark of commit throughput and latency with real syncs, and of recovery time.
//!
//! Run `cargo run --release -p yuccaseam-journal --example commit_bench -- FOLDER`. Each figure is
//! one JSON line. FOLDER must be on the disk to measure; without it a temporary folder is used.

use std::{
    env,
    fs,
    path::{
        Path,
        PathBuf, //
    },
    sync::mpsc::{
        self,
        Receiver,
        SyncSender, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use hdrhistogram::Histogram;
use serde_json::json;
use yuccaseam_journal::{
    BlobStore,
    DataFolder,
    Entry,
    Log,
    LogOptions,
    Position, //
};

const WRITER_COUNTS: [usize; 4] = [1, 8, 64, 512];
const HISTORY_LENGTHS: [u64; 3] = [1_000, 10_000, 100_000];
const RUN_DURATION: Duration = Duration::from_secs(3);
const PAYLOAD_BYTES: usize = 256;

/// Number of changes between two snapshots in the recovery benchmark.
const SNAPSHOT_INTERVAL: u64 = 1_000;

/// A write that waits until it is durable.
struct Write {
    done: SyncSender<()>,
}

/// Sync policy of the thread that owns the log.
#[derive(Clone, Copy)]
enum Sync {
    /// One sync for all pending writes.
    Group,
    /// One sync per write.
    Each,
}

impl Sync {
    fn name(self) -> &'static str {
        match self {
            Self::Group => "group",
            Self::Each => "each",
        }
    }
}

fn main() {
    let folder = env::args().nth(1).map(PathBuf::from);
    let folder = folder.unwrap_or_else(|| env::temp_dir().join("yuccaseam-commit-bench"));
    for writers in WRITER_COUNTS {
        let each = commits(&folder, writers, Sync::Each);
        let group = commits(&folder, writers, Sync::Group);
        let ratio = group / each;
        println!(
            "{}",
            json!({"name": "group_over_each", "n": writers, "value": ratio, "unit": "1"})
        );
    }
    for changes in HISTORY_LENGTHS {
        recovery(&folder, changes, false);
        recovery(&folder, changes, true);
        blob_recovery(&folder, changes);
    }
    fs::remove_dir_all(&folder).expect("the folder can be removed");
}

fn open(folder: &Path) -> Log {
    let folder = DataFolder::open(folder).expect("the folder opens");
    Log::open(&folder, LogOptions::default()).expect("the log opens")
}

fn emptied(folder: &Path) -> &Path {
    // The folder may not exist yet.
    let _ = fs::remove_dir_all(folder);
    folder
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        payload: vec![index as u8; PAYLOAD_BYTES],
    }
}

/// Measures the commits per second of concurrent writers, each with one write in flight.
fn commits(folder: &Path, writers: usize, sync: Sync) -> f64 {
    let log = open(emptied(folder));
    let (tx, rx) = mpsc::channel();
    let owner = thread::spawn(move || run_log(log, &rx, sync));
    let start = Instant::now();
    let threads: Vec<_> = (0..writers)
        .map(|_| {
            let tx = tx.clone();
            thread::spawn(move || write(&tx, start))
        })
        .collect();
    drop(tx);
    let mut latency = histogram();
    for thread in threads {
        latency
            .add(thread.join().expect("a writer ends"))
            .expect("same bounds");
    }
    let elapsed = start.elapsed().as_secs_f64();
    let syncs = owner.join().expect("the owner ends");
    let rate = latency.len() as f64 / elapsed;
    println!(
        "{}",
        json!({
            "name": "commits", "sync": sync.name(), "n": writers, "value": rate, "unit": "1/s",
            "p50_us": latency.value_at_quantile(0.5), "p99_us": latency.value_at_quantile(0.99),
            "syncs": syncs,
        })
    );
    rate
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

fn write(tx: &mpsc::Sender<Write>, start: Instant) -> Histogram<u64> {
    let mut latency = histogram();
    let (done, wait) = mpsc::sync_channel(1);
    while start.elapsed() < RUN_DURATION {
        let begin = Instant::now();
        let done = done.clone();
        tx.send(Write { done }).expect("the owner receives");
        wait.recv().expect("the owner confirms the write");
        latency.saturating_record(begin.elapsed().as_micros() as u64);
    }
    latency
}

/// Commits writes until all writers have ended. Returns the number of syncs.
fn run_log(mut log: Log, rx: &Receiver<Write>, sync: Sync) -> u64 {
    let mut syncs = 0;
    while let Ok(first) = rx.recv() {
        let mut batch = vec![first];
        if matches!(sync, Sync::Group) {
            batch.extend(rx.try_iter());
        }
        let next = log.last().index + 1;
        let entries: Vec<_> = (next..next + batch.len() as u64).map(entry).collect();
        log.append(&entries).expect("the disk has space");
        log.sync().expect("the disk syncs");
        syncs += 1;
        for write in batch {
            write.done.send(()).expect("the writer waits");
        }
    }
    syncs
}

/// Writes a log, with or without snapshots, and measures the time to open it.
fn recovery(folder: &Path, changes: u64, snapshots: bool) {
    let mut log = open(emptied(folder));
    for index in 1..=changes {
        log.append(&[entry(index)]).expect("the disk has space");
        if snapshots && index % SNAPSHOT_INTERVAL == 0 {
            let position = Position { index, term: 1 };
            log.drop_prefix(position).expect("the disk syncs");
        }
    }
    log.sync().expect("the disk syncs");
    let disk = log.disk_bytes();
    drop(log);
    let name = match snapshots {
        true => "recovery_with_snapshots",
        false => "recovery_whole_history",
    };
    report_recovery(name, changes, disk, || drop_later(open(folder)));
}

fn blob_recovery(folder: &Path, blobs: u64) {
    let open = || {
        let folder = DataFolder::open(folder).expect("the folder opens");
        BlobStore::open(&folder).expect("the blobs open")
    };
    emptied(folder);
    let mut store = open();
    for number in 0..blobs {
        let mut data = vec![0; 1024];
        data[..8].copy_from_slice(&number.to_le_bytes());
        store.put(&data).expect("the disk has space");
    }
    store.sync().expect("the disk syncs");
    let disk = store.disk_bytes();
    drop(store);
    report_recovery("recovery_blobs", blobs, disk, || drop_later(open()));
}

/// Boxes the store, so that it is dropped only after memory has been measured.
fn drop_later<T>(store: T) -> Box<dyn std::any::Any>
where
    T: 'static,
{
    Box::new(store)
}

fn report_recovery<F>(name: &str, changes: u64, disk: u64, open: F)
where
    F: FnOnce() -> Box<dyn std::any::Any>,
{
    let begin = Instant::now();
    let allocated = counting::allocated();
    let store = open();
    let value = begin.elapsed().as_secs_f64() * 1e3;
    let held = counting::allocated() - allocated;
    println!(
        "{}",
        json!({
            "name": name, "n": changes, "value": value, "unit": "ms",
            "memory_bytes": held, "disk_bytes": disk,
        })
    );
    drop(store);
}

/// Counts allocated bytes, since the resident size includes freed memory.
mod counting {
    use std::{
        alloc::{
            GlobalAlloc,
            Layout,
            System, //
        },
        sync::atomic::{
            AtomicI64,
            Ordering::Relaxed, //
        }, //
    };

    static ALLOCATED: AtomicI64 = AtomicI64::new(0);

    struct Counting;

    #[global_allocator]
    static ALLOCATOR: Counting = Counting;

    /// Number of bytes currently allocated.
    pub(super) fn allocated() -> i64 {
        ALLOCATED.load(Relaxed)
    }

    // SAFETY: All calls go to the system's allocator unchanged.
    unsafe impl GlobalAlloc for Counting {
        unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
            ALLOCATED.fetch_add(layout.size() as i64, Relaxed);
            // SAFETY: The caller upholds the contract of `GlobalAlloc::alloc`.
            unsafe { System.alloc(layout) }
        }

        unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
            ALLOCATED.fetch_sub(layout.size() as i64, Relaxed);
            // SAFETY: The caller upholds the contract of `GlobalAlloc::dealloc`.
            unsafe { System.dealloc(ptr, layout) }
        }
    }
}
