//! Daemons, engines and services as child processes on loopback, for tests and the quickstart.

mod layout;
mod link;
mod process;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
};

use tempfile::TempDir;

use crate::{
    caller::Caller,
    network::Network,
    record::{
        Entry,
        Record, //
    },
    wait::wait_until,
};

pub use layout::{Daemon, Place};
pub use link::{Cut, Link};
pub(crate) use process::program;
pub use process::{Process, Signal};

/// A fake engine or a copy of a fake service, as a process.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
    record: PathBuf,
}

/// A system of child processes in a temporary folder. Dropping it kills them.
#[derive(Debug)]
pub struct Cluster {
    /// The daemons, in the order of the places they were made from.
    pub daemons: Vec<Daemon>,
    /// The targets, by name.
    pub targets: BTreeMap<String, Target>,
    flags: Vec<String>,
    dir: TempDir,
    /// Holds the addresses of the daemons, whether they run or not.
    _network: Network,
}

impl Cluster {
    /// Starts one daemon at each place. Daemons at places with a disk are the first voters.
    /// `flags` are given to each daemon besides its own.
    ///
    /// # Panics
    ///
    /// Panics if a process can't be started.
    pub fn start(places: &[Place], flags: &[&str]) -> Self {
        let mut cluster = Self::new(places, flags);
        cluster.start_daemons();
        cluster
    }

    /// A cluster as [`Self::start`] makes it, in which no daemon runs yet.
    ///
    /// # Panics
    ///
    /// Panics if there can be no temporary folder.
    pub fn new(places: &[Place], flags: &[&str]) -> Self {
        let dir = TempDir::new().expect("a temporary folder");
        let network = Network::reserve();
        Self {
            daemons: layout::daemons(places, dir.path(), &network),
            targets: BTreeMap::new(),
            flags: flags.iter().map(|&flag| flag.to_owned()).collect(),
            dir,
            _network: network,
        }
    }

    /// Starts every daemon.
    ///
    /// # Panics
    ///
    /// Panics if a process can't be started.
    pub fn start_daemons(&mut self) {
        for index in 0..self.daemons.len() {
            self.start_daemon(index);
        }
    }

    /// Puts a relay on each way between daemons of different regions. Daemons that are started
    /// after this use them.
    ///
    /// # Panics
    ///
    /// Panics if a relay can't be started.
    pub fn join_regions_by_link(&mut self) -> Link {
        Link::between_regions(&mut self.daemons)
    }

    /// Starts a daemon that doesn't run, with the flags and the folder that it had before.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be started.
    pub fn start_daemon(&mut self, index: usize) {
        let mut args = layout::daemon_args(&self.daemons, index);
        args.extend(self.flags.iter().cloned());
        let daemon = &mut self.daemons[index];
        let program = process::program("yuccaseamd");
        let log = self.dir.path().join(format!("{}.log", daemon.name));
        daemon.process = Some(Process::start(&program, &args, &log));
    }

    /// Waits until every daemon that runs is ready and knows every target that runs.
    ///
    /// # Panics
    ///
    /// Panics if that takes more than a minute.
    pub fn wait_until_ready(&mut self) {
        let expected = self.targets.len() as u64;
        for daemon in &mut self.daemons {
            let Some(process) = &mut daemon.process else {
                continue;
            };
            let caller = Caller::new(daemon.http);
            wait_until(&format!("{} is ready", daemon.name), || {
                assert!(
                    process.is_running(),
                    "{} ended:\n{}",
                    daemon.name,
                    process.log()
                );
                let status = caller.get("/admin/v1/status");
                status.is_some_and(|status| {
                    status["ready"] == true && status["targets"].as_u64() >= Some(expected)
                })
            });
        }
    }

    /// A caller of one daemon.
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(self.daemons[index].http)
    }

    /// Starts a fake engine that announces itself to the daemons of its region.
    pub fn start_engine(&mut self, name: &str, place: &Place, flags: &[&str]) {
        self.start_target("fake_engine", name, place, flags);
    }

    /// Starts a copy of the fake service `order-desk`, as [`Self::start_engine`] does.
    pub fn start_service(&mut self, name: &str, place: &Place, flags: &[&str]) {
        self.start_target("fake_service", name, place, flags);
    }

    /// What every target ran, by their own records, in the order of time.
    ///
    /// # Panics
    ///
    /// Panics if a record can't be read.
    pub fn records(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for target in self.targets.values() {
            entries.extend(Record::read(&target.record).expect("a target has its record"));
        }
        entries.sort_by_key(|entry| entry.at);
        entries
    }

    /// The folder that holds the logs, the records and the data folders.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Keeps the folder after the processes are gone. Returns it.
    pub fn keep_dir(&mut self) -> &Path {
        self.dir.disable_cleanup(true);
        self.dir.path()
    }

    fn start_target(&mut self, program: &str, name: &str, place: &Place, flags: &[&str]) {
        let record = self.dir.path().join(format!("{name}.record"));
        let mut args: Vec<String> = Vec::new();
        let mut flag = |name: &str, value: &str| {
            args.push(name.to_owned());
            args.push(value.to_owned());
        };
        flag("--name", name);
        flag("--region", &place.region);
        flag("--failure-domain", &place.failure_domain);
        flag("--announce", &layout::announce_list(&self.daemons, place));
        flag("--record", &record.display().to_string());
        args.extend(flags.iter().map(|&flag| flag.to_owned()));
        let log = self.dir.path().join(format!("{name}.log"));
        let program = process::example(program);
        let mut process = Process::start(&program, &args, &log);
        let address = process.announced("listening");
        let target = Target {
            name: name.to_owned(),
            address,
            process,
            record,
        };
        self.targets.insert(name.to_owned(), target);
    }
}
