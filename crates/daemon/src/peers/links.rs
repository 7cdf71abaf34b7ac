//! `tonic` channels to the other daemons.

use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        RwLock, //
    },
};

use tokio::{
    runtime::Handle,
    task::JoinHandle, //
};
use tonic::transport::{
    Channel,
    Endpoint, //
};
use yuccaseam_base::{
    Clock,
    InstanceName,
    Millis, //
};

/// Time-out of opening a connection to a daemon.
const CONNECT_TIMEOUT: Millis = Millis(500);
/// How often an open connection is probed. A network cut that sends no reset shows as a missing
/// response.
const KEEPALIVE_INTERVAL: Millis = Millis(2_000);
/// Time-out of a keep-alive probe.
const KEEPALIVE_TIMEOUT: Millis = Millis(1_500);

/// How long an unused channel stays open. Longer than any call between daemons.
const IDLE_TIMEOUT: Millis = Millis(15_000);

/// Channels to the other daemons, one for each. A channel connects when it is first used, and
/// again after each failure.
///
/// Clones share the channels.
#[derive(Clone)]
pub(crate) struct Links {
    runtime: Handle,
    clock: Clock,
    peers: Arc<RwLock<BTreeMap<InstanceName, Peer>>>,
}

struct Peer {
    endpoint: Endpoint,
    open: Mutex<Option<OpenChannel>>,
}

/// A channel and the time of its last use.
struct OpenChannel {
    channel: Channel,
    used_at: Millis,
}

impl Links {
    pub(crate) fn new(
        runtime: Handle,
        clock: Clock,
        peers: &BTreeMap<InstanceName, SocketAddr>,
    ) -> Self {
        let links = Self {
            runtime,
            clock,
            peers: Arc::default(),
        };
        for (name, address) in peers {
            links.add(name.clone(), *address);
        }
        links
    }

    /// Adds a daemon, or replaces its address.
    pub(crate) fn add(&self, name: InstanceName, address: SocketAddr) {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .expect("a socket address makes a valid URI")
            .connect_timeout(CONNECT_TIMEOUT.duration())
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL.duration())
            .keep_alive_timeout(KEEPALIVE_TIMEOUT.duration())
            .tcp_nodelay(true);
        let peer = Peer {
            endpoint,
            open: Mutex::new(None),
        };
        self.peers
            .write()
            .expect("no thread panics with the lock")
            .insert(name, peer);
    }

    fn connect(&self, endpoint: &Endpoint) -> Channel {
        let _guard = self.runtime.enter();
        endpoint.connect_lazy()
    }

    /// Opens a separate channel to a daemon, for messages that must not queue behind large ones.
    pub(crate) fn dedicated_channel(&self, name: &InstanceName) -> Option<Channel> {
        let peers = self.peers.read().expect("no thread panics with the lock");
        peers.get(name).map(|peer| self.connect(&peer.endpoint))
    }

    /// Returns the shared channel to a daemon.
    pub(crate) fn channel(&self, name: &InstanceName) -> Option<Channel> {
        let peers = self.peers.read().expect("no thread panics with the lock");
        let peer = peers.get(name)?;
        let mut open = peer.open.lock().expect("no thread panics with the lock");
        let open = open.get_or_insert_with(|| OpenChannel {
            channel: self.connect(&peer.endpoint),
            used_at: Millis::ZERO,
        });
        open.used_at = self.clock.now();
        Some(open.channel.clone())
    }

    /// Drops channels that were not used within the idle time-out. Membership probes every daemon
    /// in turn, and open connections to all of them would take more memory than the rest of the
    /// daemon.
    pub(crate) fn drop_idle(&self) {
        let now = self.clock.now();
        let peers = self.peers.read().expect("no thread panics with the lock");
        for peer in peers.values() {
            let mut open = peer.open.lock().expect("no thread panics with the lock");
            open.take_if(|open| open.used_at + IDLE_TIMEOUT < now);
        }
    }

    /// Names of all other daemons.
    pub(crate) fn names(&self) -> Vec<InstanceName> {
        let peers = self.peers.read().expect("no thread panics with the lock");
        peers.keys().cloned().collect()
    }

    /// Blocks on a call to another daemon, from a thread outside the runtime.
    pub(crate) fn block_on<F>(&self, call: F) -> F::Output
    where
        F: Future,
    {
        self.runtime.block_on(call)
    }

    /// Spawns a call to another daemon whose result is awaited later.
    pub(crate) fn spawn_with_handle<F>(&self, call: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.runtime.spawn(call)
    }

    /// Spawns a call to another daemon whose result is not awaited.
    pub(crate) fn spawn<F>(&self, call: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.runtime.spawn(call);
    }
}
