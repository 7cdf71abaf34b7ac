//! Entries and stores as processes, each on an address of its own of the loopback network.

use std::{
    collections::HashMap,
    fs,
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use http::Method;
use serde_json::json;
use tempfile::TempDir;

use crate::{
    Process, Relay, Shape, Shapes, Signal,
    cluster::program,
    network::Network,
    platform::{
        BATCH,
        HOST,
        ONCE,
        RESUMABLE,
        Reply,
        SAFE,
        send, //
    },
};

/// Failure domains of the system, in which instances take turns.
const DOMAINS: [&str; 3] = ["a1", "a2", "b1"];
/// The port on which instances listen for each other.
const PEER_PORT: u16 = 17_660;
/// Where the relays of the first instance listen at the others' addresses; those of the next one follow.
const RELAY_PORT: u16 = 17_700;
const CALLERS_PORT: u16 = 17_644;
const READY_PORT: u16 = 17_640;
const CONTROL_PORT: u16 = 17_646;
/// The least time between two lost disks: the platform counts a disk as lost until 4.9 s after its
/// return, and other faults may delay that.
const BETWEEN_WIPES: Duration = Duration::from_secs(15);
/// How long an operator waits for one answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// One process of the system.
pub struct Instance {
    /// Its name.
    pub name: String,
    ip: IpAddr,
    is_store: bool,
    /// Where it finds the relays before other instances, if there are any.
    relay_port: Option<u16>,
    settings: PathBuf,
    process: Option<Process>,
    log: PathBuf,
}

impl Instance {
    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Where targets and operators call.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    /// Where the readiness of an entry is probed.
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Where metrics are served.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEER_PORT + 1)
    }

    /// Whether the process runs, frozen or not.
    pub fn is_running(&mut self) -> bool {
        self.process.as_mut().is_some_and(Process::is_running)
    }

    /// Resident memory of the process, in KB; `None` if it does not run.
    pub fn memory_kb(&self) -> Option<u64> {
        let process = self.process.as_ref()?;
        let status = fs::read_to_string(format!("/proc/{}/status", process.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Number of open descriptors of the process; `None` if it does not run.
    pub fn descriptors(&self) -> Option<usize> {
        let process = self.process.as_ref()?;
        Some(
            fs::read_dir(format!("/proc/{}/fd", process.id()))
                .ok()?
                .count(),
        )
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let (clock, disk) = (self.seam("clock"), self.seam("disk"));
        let port = self.relay_port.map(|port| PathBuf::from(port.to_string()));
        let mut vars = vec![("YUCCASEAM_NODE_FILE", self.settings.as_path())];
        if let Some(port) = &port {
            vars.push(("YUCCASEAM_TEST_RELAY_PORT", port));
            vars.push(("YUCCASEAM_TEST_CLOCK", &clock));
            vars.push(("YUCCASEAM_TEST_DISK", &disk));
        }
        let process = Process::start_with(&program("yuccaseamd"), &[], &vars, &self.log);
        self.process = Some(process);
    }

    /// Starts the process unless it runs.
    pub fn start_if_down(&mut self) {
        if !self.is_running() {
            self.start();
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process = None;
    }

    fn seam(&self, name: &str) -> PathBuf {
        self.settings.with_extension(name)
    }

    /// Lets the time of day of the process jump by some ms.
    ///
    /// # Errors
    ///
    /// Fails if the seam's file cannot be written.
    pub fn step_clock(&self, by_ms: i64) -> std::io::Result<()> {
        fs::write(self.seam("clock"), by_ms.to_string())
    }

    /// Lets the disk be `full` or `stall`, or be sound again if it is neither.
    ///
    /// # Errors
    ///
    /// Fails if the seam's file cannot be written.
    pub fn set_disk(&self, condition: &str) -> std::io::Result<()> {
        fs::write(self.seam("disk"), condition)
    }

    /// Sends a signal, if the process runs.
    pub fn signal(&mut self, signal: Signal) {
        if let Some(process) = self.process.as_mut()
            && process.is_running()
        {
            process.signal(signal);
        }
    }

    /// The last lines that the process printed.
    pub fn log(&self) -> String {
        match fs::read(&self.log) {
            Ok(text) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("{}: {error}", self.log.display()),
        }
    }
}

/// Resources that the settings of a process name. Nothing enforces them.
#[derive(Clone, Copy, Debug)]
pub struct Resources {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Entries and stores as processes. All are killed when it is dropped.
pub struct PlatformSystem {
    /// The entries.
    pub entries: Vec<Instance>,
    /// The stores.
    pub stores: Vec<Instance>,
    /// The relays from one instance to another, by their numbers: stores come after entries.
    relays: HashMap<(usize, usize), Relay>,
    folder: TempDir,
    network: Network,
    wiped_at: Option<Instant>,
}

impl PlatformSystem {
    /// Starts a system on a loopback network of its own.
    ///
    /// # Panics
    ///
    /// If files cannot be written or processes not started.
    pub fn start(entries: usize, stores: usize) -> Self {
        Self::start_as(entries, stores, false, None)
    }

    /// Starts a system whose settings name the resources of each process.
    ///
    /// # Panics
    ///
    /// As [`PlatformSystem::start`].
    pub fn start_with(entries: usize, stores: usize, resources: Resources) -> Self {
        Self::start_as(entries, stores, false, Some(resources))
    }

    /// Starts a system whose instances reach each other through relays, and whose clocks and disks can
    /// be made to misbehave.
    ///
    /// # Panics
    ///
    /// As [`PlatformSystem::start`].
    pub fn start_behind_relays(entries: usize, stores: usize) -> Self {
        Self::start_as(entries, stores, true, None)
    }

    /// Starts a system behind relays in which the first store and the others do not reach each other, until
    /// [`PlatformSystem::heal_first_store`]. Entries reach all of them.
    ///
    /// # Panics
    ///
    /// As [`PlatformSystem::start`].
    pub fn start_with_first_store_cut_off(entries: usize, stores: usize) -> Self {
        let mut system = Self::prepare(entries, stores, true);
        system.shape_first_store(Shape {
            cut: true,
            ..Shape::default()
        });
        system.start_processes(None);
        system
    }

    /// Starts a system behind relays, without its last store, which [`Instance::start`] starts later.
    ///
    /// # Panics
    ///
    /// As [`PlatformSystem::start`].
    pub fn start_without_last_store(entries: usize, stores: usize) -> Self {
        let mut system = Self::prepare(entries, stores, true);
        system.start_processes(None);
        let last = system.stores.len() - 1;
        system.stores[last].kill();
        system.wipe(last);
        system
    }

    /// Lets the first store and the others reach each other.
    pub fn heal_first_store(&self) {
        self.shape_first_store(Shape::default());
    }

    fn shape_first_store(&self, shape: Shape) {
        let (first, end) = (self.entries.len(), self.entries.len() + self.stores.len());
        let shapes = Shapes {
            forward: shape,
            backward: shape,
        };
        for other in first + 1..end {
            self.relay(first, other).set(shapes);
            self.relay(other, first).set(shapes);
        }
    }

    fn start_as(
        entries: usize,
        stores: usize,
        with_relays: bool,
        resources: Option<Resources>,
    ) -> Self {
        let mut system = Self::prepare(entries, stores, with_relays);
        system.start_processes(resources);
        system
    }

    /// Prepares a system whose processes do not run yet.
    fn prepare(entries: usize, stores: usize, with_relays: bool) -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let network = Network::reserve();
        let ip = |at: usize| IpAddr::V4(network.ip(1 + at as u8));
        let instance = |at: usize, is_store: bool| {
            let kind = if is_store { "store" } else { "entry" };
            let name = format!("{kind}-{at}");
            let settings = folder.path().join(format!("{name}.json"));
            let log = folder.path().join(format!("{name}.log"));
            Instance {
                name,
                ip: ip(at),
                is_store,
                relay_port: with_relays.then_some(RELAY_PORT + at as u16),
                settings,
                process: None,
                log,
            }
        };
        let mut system = Self {
            entries: (0..entries).map(|at| instance(at, false)).collect(),
            stores: (0..stores).map(|at| instance(entries + at, true)).collect(),
            relays: HashMap::new(),
            folder,
            network,
            wiped_at: None,
        };
        if with_relays {
            system.start_relays(entries + stores);
        }
        system
    }

    fn start_processes(&mut self, resources: Option<Resources>) {
        let seeds: Vec<_> = self.entries.iter().take(3).map(Instance::control).collect();
        let instances = self.stores.iter_mut().chain(&mut self.entries);
        for (at, instance) in instances.enumerate() {
            write_settings(instance, DOMAINS[at % DOMAINS.len()], &seeds, resources);
            instance.start();
        }
    }

    fn start_relays(&mut self, instances: usize) {
        let ip = |at: usize| IpAddr::V4(self.network.ip(1 + at as u8));
        for from in 0..instances {
            for to in (0..instances).filter(|to| *to != from) {
                let listen = SocketAddr::new(ip(to), RELAY_PORT + from as u16);
                let upstream = SocketAddr::new(ip(to), PEER_PORT);
                let relay = Relay::start(&listen.to_string(), upstream);
                let relay = relay.expect("a relay can be started");
                self.relays.insert((from, to), relay);
            }
        }
    }

    /// The relay of what one instance sends to another.
    ///
    /// # Panics
    ///
    /// If the system has no relays, or no such instances.
    pub fn relay(&self, from: usize, to: usize) -> &Relay {
        &self.relays[&(from, to)]
    }

    /// The relays of what one instance sends to others, and of what these send to it.
    pub fn relays_of(&self, instance: usize) -> (Vec<Relay>, Vec<Relay>) {
        let all = self.relays.iter();
        let (mut from, mut to) = (Vec::new(), Vec::new());
        for ((source, target), relay) in all {
            if *source == instance {
                from.push(relay.clone());
            } else if *target == instance {
                to.push(relay.clone());
            }
        }
        (from, to)
    }

    /// Tells processes that start from now on that the system has started before.
    ///
    /// # Panics
    ///
    /// If a settings file cannot be written.
    pub fn end_first_start(&mut self) {
        for instance in self.stores.iter().chain(&self.entries) {
            let text = fs::read_to_string(&instance.settings).expect("settings can be read");
            let text = text.replace("\"bootstrap\":true", "\"bootstrap\":false");
            fs::write(&instance.settings, text).expect("settings can be written");
        }
    }

    /// Whether the group has had time to make up for the last disk that was lost.
    pub fn may_wipe(&self) -> bool {
        self.wiped_at.is_none_or(|at| at.elapsed() > BETWEEN_WIPES)
    }

    /// Empties the disk of a store that does not run.
    ///
    /// # Panics
    ///
    /// If the folder cannot be emptied.
    pub fn wipe(&mut self, store: usize) {
        self.wiped_at = Some(Instant::now());
        let data = self
            .folder
            .path()
            .join(format!("{}.data", self.stores[store].name));
        fs::remove_dir_all(&data).expect("the data folder can be removed");
        fs::create_dir(&data).expect("the data folder can be made");
    }

    /// Copies the logs of all processes to a folder.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be written.
    pub fn keep_logs(&self, folder: &Path) -> std::io::Result<()> {
        fs::create_dir_all(folder)?;
        for instance in self.stores.iter().chain(&self.entries) {
            fs::write(
                folder.join(format!("{}.log", instance.name)),
                instance.log(),
            )?;
        }
        Ok(())
    }

    /// Where targets announce themselves.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Instance::control).collect()
    }

    /// A manifest with one route of each kind.
    pub fn manifest(version: u64) -> String {
        let route = |name: &str, prefix: &str, kind: &str, attempts: u32, resumable: bool| {
            json!({
                "name": name, "host": HOST, "path_prefix": prefix, "type": kind,
                "timeout_ms": 5_000, "target_latency_ms": 300, "priority": 0, "service": "llm",
                "max_attempts": attempts, "resumable": resumable, "gap_target_ms": 250,
                "item_ttl_s": 60, "completion_target_ms": 18_000, "cap": 100_000,
            })
        };
        json!({
            "version": version,
            "routes": [
                route("once", ONCE, "streaming", 1, false),
                route("again", RESUMABLE, "streaming", 3, true),
                route("safe", SAFE, "safe", 3, false),
                route("batch", BATCH, "batch", 3, true),
            ],
            "services": [{ "name": "llm", "health_path": "/healthz", "max_connections": 250 }],
            "limits": { "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        })
        .to_string()
    }

    /// Sends a manifest to one entry. True if it acknowledges it.
    pub async fn put_manifest_at(to: SocketAddr, version: u64) -> bool {
        let body = Self::manifest(version);
        let headers = [("host", "control")];
        let sent = send(
            to,
            Method::POST,
            "/Config.Replace",
            &headers,
            &body,
            PATIENCE,
        );
        sent.await.is_ok_and(|reply| reply.status == 200)
    }

    /// The version of the manifest that an entry reads out, if it does.
    pub async fn read_version_at(to: SocketAddr) -> Option<u64> {
        let headers = [("host", "control")];
        let sent = send(to, Method::GET, "/Config.Get", &headers, "", PATIENCE).await;
        let reply = sent.ok().filter(Reply::is_whole_success)?;
        let read: serde_json::Value = serde_json::from_str(&reply.body).ok()?;
        read["version"].as_u64()
    }

    /// Sends a manifest to one entry after another until one acknowledges it.
    pub async fn put_manifest(&self, version: u64) -> bool {
        for _ in 0..10 {
            for to in self.control() {
                if Self::put_manifest_at(to, version).await {
                    return true;
                }
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        false
    }

    /// The answer of an entry to a request of a caller.
    ///
    /// # Errors
    ///
    /// Fails if no head of an answer came in time.
    pub async fn call(&self, entry: usize, id: &str, path: &str) -> std::io::Result<Reply> {
        let headers = [("host", HOST), ("request-id", id), ("deadline-ms", "5000")];
        let to = self.entries[entry].callers();
        send(to, Method::POST, path, &headers, "body", PATIENCE).await
    }

    /// Waits until every entry serves a request.
    pub async fn wait_until_serving(&self) -> bool {
        for entry in 0..self.entries.len() {
            let mut served = false;
            for turn in 0..100 {
                let id = format!("warm-{entry}-{turn}");
                let reply = self.call(entry, &id, &format!("{SAFE}1")).await;
                served = reply.is_ok_and(|reply| reply.status == 200);
                if served {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            if !served {
                return false;
            }
        }
        true
    }
}

impl Drop for PlatformSystem {
    fn drop(&mut self) {
        for relay in self.relays.values() {
            relay.stop();
        }
    }
}

fn write_settings(
    instance: &Instance,
    domain: &str,
    seeds: &[SocketAddr],
    resources: Option<Resources>,
) {
    let listen = if instance.is_store {
        json!({})
    } else {
        json!({
            "front": SocketAddr::new(instance.ip, CALLERS_PORT),
            "ready": SocketAddr::new(instance.ip, READY_PORT),
            "control": SocketAddr::new(instance.ip, CONTROL_PORT),
        })
    };
    let data = instance.settings.with_extension("data");
    fs::create_dir_all(&data).expect("a folder can be made");
    let mut settings = json!({
        "node_name": instance.name,
        "serves": if instance.is_store { ["storage"] } else { ["edge"] },
        "ip": instance.ip,
        "zone": domain,
        "region": &domain[..1],
        "zones": { "a1": "a", "a2": "a", "b1": "b" },
        "listen": listen,
        "port_range": [PEER_PORT, PEER_PORT + 15],
        "seeds": seeds,
        "bootstrap": true,
        "data_dir": instance.is_store.then_some(data),
        "heartbeat_ms": 300,
        "fault_tolerance": { "machines": 1 },
        "bounds": { "grace_s": 8, "drain_ms": 2_500, "config_apply_ms": 2_500, "status_ttl_s": 120 },
    });
    if let Some(resources) = resources {
        settings["limits"] =
            json!({ "memory_mb": resources.memory_mb, "max_fds": resources.descriptors });
    }
    fs::write(&instance.settings, settings.to_string()).expect("settings can be written");
}
