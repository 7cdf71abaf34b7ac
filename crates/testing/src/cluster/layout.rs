//! Where the daemons are, and the flags that tell them so.

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
};

use crate::network::Network;

use super::process::Process;

/// Where an instance or a target is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it has a disk; only daemons do.
    pub disk: bool,
}

/// One daemon, which may run or not.
#[derive(Debug)]
pub struct Daemon {
    /// Its instance's name.
    pub name: String,
    /// Where it is.
    pub place: Place,
    /// Its address for callers.
    pub http: SocketAddr,
    /// Its address for the other daemons.
    pub peer: SocketAddr,
    /// Addresses by which it reaches other daemons where they aren't their own, such as relays.
    pub detours: Vec<(String, SocketAddr)>,
    /// Its process, while it runs.
    pub process: Option<Process>,
    data: Option<PathBuf>,
}

impl Place {
    /// A place without a disk.
    pub fn new(region: &str, failure_domain: &str) -> Self {
        Self {
            region: region.to_owned(),
            failure_domain: failure_domain.to_owned(),
            disk: false,
        }
    }

    /// The same place with a disk.
    #[must_use]
    pub fn with_disk(mut self) -> Self {
        self.disk = true;
        self
    }
}

impl Daemon {
    /// Kills the process with no warning.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't run.
    pub fn kill(&mut self) {
        self.process.take().expect("the daemon runs").kill();
    }

    /// Its data folder, if it has a disk.
    pub fn data(&self) -> Option<&Path> {
        self.data.as_deref()
    }
}

/// One daemon for each place, not yet running.
pub(crate) fn daemons(places: &[Place], dir: &Path, network: &Network) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for (index, place) in places.iter().enumerate() {
        let name = format!("{}-{}", place.failure_domain, index + 1);
        daemons.push(Daemon {
            data: place.disk.then(|| dir.join(format!("{name}.data"))),
            name,
            place: place.clone(),
            http: network.next_address(),
            peer: network.next_address(),
            detours: Vec::new(),
            process: None,
        });
    }
    daemons
}

/// The flags of one daemon.
pub(crate) fn daemon_args(daemons: &[Daemon], index: usize) -> Vec<String> {
    let daemon = &daemons[index];
    let mut args = Vec::new();
    let mut flag = |name: &str, value: &str| {
        args.push(name.to_owned());
        args.push(value.to_owned());
    };
    flag("--instance", &daemon.name);
    flag("--region", &daemon.place.region);
    flag("--failure-domain", &daemon.place.failure_domain);
    flag("--http", &daemon.http.to_string());
    flag("--peer", &daemon.peer.to_string());
    flag("--peers", &peer_list(daemons, daemon));
    flag("--voters", &voter_list(daemons));
    if let Some(data) = &daemon.data {
        flag("--data", &data.display().to_string());
    }
    args
}

/// The daemons that a target at a place announces itself to: those of its failure domain, then
/// those of its region.
pub(crate) fn announce_list(daemons: &[Daemon], place: &Place) -> String {
    let mut near: Vec<_> = daemons
        .iter()
        .filter(|daemon| daemon.place.region == place.region)
        .collect();
    near.sort_by_key(|daemon| daemon.place.failure_domain != place.failure_domain);
    let addresses: Vec<_> = near.iter().map(|daemon| daemon.http.to_string()).collect();
    addresses.join(",")
}

fn peer_list(daemons: &[Daemon], own: &Daemon) -> String {
    let mut peers = Vec::new();
    for daemon in daemons.iter().filter(|daemon| daemon.name != own.name) {
        let detour = own.detours.iter().find(|(name, _)| *name == daemon.name);
        let address = detour.map_or(daemon.peer, |(_, address)| *address);
        peers.push(format!("{}={address}", daemon.name));
    }
    peers.join(",")
}

fn voter_list(daemons: &[Daemon]) -> String {
    let voters = daemons.iter().filter(|daemon| daemon.place.disk);
    let names: Vec<_> = voters.map(|daemon| daemon.name.as_str()).collect();
    names.join(",")
}
