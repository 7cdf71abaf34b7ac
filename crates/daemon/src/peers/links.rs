//! Channels to the other daemons.

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

/// How long a connection to a daemon may take to open.
const CONNECT: Millis = Millis(500);
/// How often an open connection is probed. A silent cut shows as missing answers.
const KEEPALIVE: Millis = Millis(2_000);
/// How long a probe waits for its answer.
const KEEPALIVE_ANSWER: Millis = Millis(1_500);

/// How long a channel stays open that nobody asks for. Longer than any call between daemons.
const IDLE: Millis = Millis(15_000);

/// One channel a daemon. A channel connects when it is first used and again after each failure.
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
    open: Mutex<Option<Open>>,
}

/// A channel and when it was last asked for.
struct Open {
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
            .connect_timeout(CONNECT.duration())
            .http2_keep_alive_interval(KEEPALIVE.duration())
            .keep_alive_timeout(KEEPALIVE_ANSWER.duration())
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
        let _inside = self.runtime.enter();
        endpoint.connect_lazy()
    }

    /// A connection of its own to a daemon, for messages that must not wait behind large ones.
    pub(crate) fn own_channel(&self, name: &InstanceName) -> Option<Channel> {
        let peers = self.peers.read().expect("no thread panics with the lock");
        peers.get(name).map(|peer| self.connect(&peer.endpoint))
    }

    /// The channel to a daemon.
    pub(crate) fn channel(&self, name: &InstanceName) -> Option<Channel> {
        let peers = self.peers.read().expect("no thread panics with the lock");
        let peer = peers.get(name)?;
        let mut open = peer.open.lock().expect("no thread panics with the lock");
        let open = open.get_or_insert_with(|| Open {
            channel: self.connect(&peer.endpoint),
            used_at: Millis::ZERO,
        });
        open.used_at = self.clock.now();
        Some(open.channel.clone())
    }

    /// Drops channels that were not asked for lately. Membership probes every daemon in turn, and
    /// open connections to all of them would take more memory than the rest of the daemon.
    pub(crate) fn drop_idle(&self) {
        let now = self.clock.now();
        let peers = self.peers.read().expect("no thread panics with the lock");
        for peer in peers.values() {
            let mut open = peer.open.lock().expect("no thread panics with the lock");
            open.take_if(|open| open.used_at + IDLE < now);
        }
    }

    /// The names of all other daemons.
    pub(crate) fn names(&self) -> Vec<InstanceName> {
        let peers = self.peers.read().expect("no thread panics with the lock");
        peers.keys().cloned().collect()
    }

    /// Waits for a call to another daemon on a thread outside the runtime.
    pub(crate) fn wait<F>(&self, call: F) -> F::Output
    where
        F: Future,
    {
        self.runtime.block_on(call)
    }

    /// Starts a call to another daemon, to wait for its result later.
    pub(crate) fn start<F>(&self, call: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.runtime.spawn(call)
    }

    /// Starts a call to another daemon whose result nobody waits for.
    pub(crate) fn spawn<F>(&self, call: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.runtime.spawn(call);
    }
}
