//! Targets that write their answers as bytes, without an HTTP library that would complete them.

use std::{
    io::{
        self,
        BufRead,
        BufReader,
        Read as _,
        Write as _, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::runtime::{
    Handle,
    Runtime, //
};
use yuccaseam_testing::platform::{
    PlatformSystem,
    PlatformTarget, //
};

use super::{
    PATIENCE,
    World, //
};

/// Time between the last bytes of an answer and the reset of its connection, so that the entry reads
/// them first.
const BEFORE_RESET: Duration = Duration::from_millis(30);

/// Failure domains, each with one target.
const DOMAINS: [&str; 3] = ["a1", "a2", "b1"];

/// How a target ends an answer.
#[derive(Clone, Copy)]
pub(super) enum End {
    /// The answer states its own end, and the connection is kept.
    Framed,
    /// The target closes its half of the connection and goes on to read.
    Close,
    /// The target resets the connection.
    Reset,
}

/// An answer, head and body.
pub(super) struct Answer {
    pub(super) bytes: String,
    pub(super) end: End,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub(super) struct RawRun {
    pub(super) id: String,
    pub(super) path: String,
    /// The event that it was asked to go on after.
    pub(super) after: Option<usize>,
    /// How many runs of the request there were before, at any target.
    pub(super) earlier: usize,
}

#[derive(Default)]
struct Log {
    runs: Vec<RawRun>,
    /// Requests that arrived on a connection on which an answer had ended by a close.
    after_close: Vec<String>,
}

/// A system whose targets answer by a function.
pub(super) struct RawWorld {
    pub(super) world: World,
    log: Arc<Mutex<Log>>,
}

impl RawWorld {
    /// How often a request ran.
    pub(super) fn runs_of(&self, id: &str) -> usize {
        let log = lock(&self.log);
        log.runs.iter().filter(|run| run.id == id).count()
    }

    /// The events that the runs of a request were asked to go on after.
    pub(super) fn resumed_after(&self, id: &str) -> Vec<usize> {
        let log = lock(&self.log);
        let runs = log.runs.iter().filter(|run| run.id == id);
        runs.filter_map(|run| run.after).collect()
    }

    /// Requests that arrived on a connection on which an answer had ended by a close.
    pub(super) fn sent_after_close(&self) -> Vec<String> {
        lock(&self.log).after_close.clone()
    }
}

/// Runs a test against a system with three targets that answer by a function.
pub(super) fn with_raw_targets<F, T>(answer: fn(&RawRun) -> Answer, test: F)
where
    F: FnOnce(RawWorld) -> T,
    T: Future<Output = ()>,
{
    let runtime = Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let system = PlatformSystem::start(3, 3);
        let log = Arc::new(Mutex::new(Log::default()));
        let mut targets = Vec::new();
        for domain in DOMAINS {
            let place = |_| Ok((serve(answer, &log)?, ()));
            let name = target_name(domain);
            let control = system.control();
            let target = PlatformTarget::start_behind(&name, "llm", domain, 8, control, place);
            let (target, ()) = target.await.expect("a target starts");
            targets.push(target);
        }
        assert!(system.put_manifest(1).await, "a manifest is accepted");
        assert!(system.wait_until_serving().await, "every entry serves");
        wait_until_known(&system).await;
        let world = World { system, targets };
        test(RawWorld { world, log }).await;
    });
}

fn target_name(domain: &str) -> String {
    format!("raw-{domain}")
}

/// Waits until every entry knows every target, so that a request can be repeated elsewhere.
async fn wait_until_known(system: &PlatformSystem) {
    let until = Instant::now() + PATIENCE;
    loop {
        let unknown = system.entries.iter().find_map(|entry| {
            let log = entry.log();
            let names = DOMAINS.map(target_name);
            let unknown = names.into_iter().find(|name| {
                let mut lines = log.lines();
                !lines.any(|line| line.contains("target changed") && line.contains(name.as_str()))
            });
            unknown.map(|name| format!("{} does not know {name}", entry.name))
        });
        let Some(unknown) = unknown else {
            return;
        };
        assert!(Instant::now() < until, "{unknown}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Serves every connection on a thread of its own.
fn serve(answer: fn(&RawRun) -> Answer, log: &Arc<Mutex<Log>>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let log = Arc::clone(log);
    let handle = Handle::current();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (log, handle) = (Arc::clone(&log), handle.clone());
            // The entry may close the connection at any time.
            thread::spawn(move || drop(serve_connection(stream, answer, &log, &handle)));
        }
    });
    Ok(address)
}

fn serve_connection(
    mut stream: TcpStream,
    answer: fn(&RawRun) -> Answer,
    log: &Mutex<Log>,
    handle: &Handle,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut is_closed = false;
    while let Some((run, body_bytes)) = read_head(&mut reader)? {
        let read_late = bytes_read_late(&run.path);
        if !run.path.ends_with("/unread") && read_late.is_none() {
            io::copy(&mut reader.by_ref().take(body_bytes), &mut io::sink())?;
        }
        if is_closed {
            lock(log).after_close.push(run.id);
            continue;
        }
        let answer = answer(&record(log, run));
        stream.write_all(answer.bytes.as_bytes())?;
        if let Some(bytes) = read_late {
            let bytes = match answer.end {
                End::Framed => body_bytes,
                End::Close | End::Reset => bytes,
            };
            io::copy(&mut reader.by_ref().take(bytes), &mut io::sink())?;
            match answer.end {
                End::Framed => continue,
                // What the entry still sends is answered with a reset.
                End::Close => return stream.shutdown(Shutdown::Both),
                End::Reset => return reset(stream, handle),
            }
        }
        match answer.end {
            End::Framed => {}
            End::Close => {
                stream.shutdown(Shutdown::Write)?;
                is_closed = true;
            }
            End::Reset => {
                thread::sleep(BEFORE_RESET);
                return reset(stream, handle);
            }
        }
    }
    Ok(())
}

/// Bytes of the body that a target reads only after it has answered, before it ends the connection: the
/// number at the end of a path after `/late-`. All of the body, if the connection is kept.
fn bytes_read_late(path: &str) -> Option<u64> {
    path.rsplit_once("/late-")?.1.parse().ok()
}

/// Adds a run to the log, with the number of earlier ones.
fn record(log: &Mutex<Log>, mut run: RawRun) -> RawRun {
    let mut log = lock(log);
    run.earlier = log.runs.iter().filter(|other| other.id == run.id).count();
    log.runs.push(run.clone());
    run
}

/// Lets the connection end with a reset once its last handle is dropped.
fn reset(stream: TcpStream, handle: &Handle) -> io::Result<()> {
    let _entered = handle.enter();
    stream.set_nonblocking(true)?;
    tokio::net::TcpStream::from_std(stream)?.set_zero_linger()
}

/// Reads the head of a request, and returns it with the length of its body; `None` if the connection
/// ends.
fn read_head<R>(reader: &mut R) -> io::Result<Option<(RawRun, u64)>>
where
    R: BufRead,
{
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let (mut id, mut after, mut body_bytes) = (String::new(), None, 0);
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => id = value.to_owned(),
            "last-event-id" => after = value.parse().ok(),
            "content-length" => body_bytes = value.parse().unwrap_or_default(),
            _ => {}
        }
    }
    let run = RawRun {
        id,
        path,
        after,
        earlier: 0,
    };
    Ok(Some((run, body_bytes)))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}
