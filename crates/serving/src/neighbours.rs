//! What neighbouring entries tell each other of every request, by datagram.
//!
//! Datagrams may be lost: each names absolute counts, and a complete report follows twice a second.

use std::{
    net::{
        IpAddr,
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
};

use anyhow::Context as _;
use yuccaseam_base::Millis;

use crate::{
    balance::NeighbourReport,
    cx::Cx,
    link::{
        decode,
        encode,
        pause, //
    },
    targets::TargetKey,
};

/// How often everything is told again.
const COMPLETE: Millis = Millis(500);
/// The largest datagram, in bytes.
const DATAGRAM: usize = 8_192;
/// Counts in one complete report, so that it fits a datagram.
const MAX_COUNTS: usize = 500;

/// The way to the neighbours.
pub(crate) struct Neighbours {
    port: u16,
    started_at: Millis,
    number: AtomicU64,
    socket: OnceLock<UdpSocket>,
    peers: Mutex<Vec<IpAddr>>,
}

impl Neighbours {
    pub(crate) fn new(port: u16, started_at: Millis) -> Self {
        Self {
            port,
            started_at,
            number: AtomicU64::new(0),
            socket: OnceLock::new(),
            peers: Mutex::default(),
        }
    }

    /// Sets who the neighbours are.
    pub(crate) fn set(&self, ips: Vec<IpAddr>) {
        *self.peers.lock().expect("no thread panics with the lock") = ips;
    }

    /// Who the neighbours are.
    pub(crate) fn ips(&self) -> Vec<IpAddr> {
        let peers = self.peers.lock().expect("no thread panics with the lock");
        peers.clone()
    }

    /// Tells the neighbours what is under way at a target.
    pub(crate) fn tell(&self, cx: &Cx, key: TargetKey) {
        let counts = vec![(key, cx.balancer().own(key))];
        self.send(NeighbourReport {
            counts,
            ..self.report()
        });
    }

    /// Tells the neighbours that a request failed at a target.
    pub(crate) fn tell_failed(&self, key: TargetKey) {
        self.send(NeighbourReport {
            failed: Some(key),
            ..self.report()
        });
    }

    /// A report that says nothing.
    fn report(&self) -> NeighbourReport {
        NeighbourReport {
            started_at: self.started_at.0,
            number: self.number.fetch_add(1, Ordering::Relaxed) + 1,
            complete: false,
            counts: Vec::new(),
            failed: None,
        }
    }

    fn send(&self, report: NeighbourReport) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let data = encode(&report);
        let peers = self.peers.lock().expect("no thread panics with the lock");
        for ip in peers.iter() {
            // A datagram that is lost here is made up for by the next complete report.
            let _ = socket.send_to(&data, SocketAddr::new(*ip, self.port));
        }
    }
}

/// Starts to tell neighbours and to listen to them.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub(crate) fn start(cx: &Arc<Cx>, address: SocketAddr) -> anyhow::Result<()> {
    let socket = UdpSocket::bind(address)
        .with_context(|| format!("cannot listen for datagrams on {address}"))?;
    socket.set_nonblocking(true)?;
    let listener = tokio::net::UdpSocket::from_std(socket.try_clone()?)?;
    // It is started once.
    let _ = cx.neighbours.socket.set(socket);
    tokio::spawn(listen(Arc::clone(cx), listener));
    tokio::spawn(repeat(Arc::clone(cx)));
    Ok(())
}

async fn listen(cx: Arc<Cx>, listener: tokio::net::UdpSocket) {
    let mut buf = vec![0; DATAGRAM];
    loop {
        let (len, from) = match listener.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(error:% = error; "cannot receive datagrams");
                pause(COMPLETE).await;
                continue;
            }
        };
        match decode::<NeighbourReport>(&buf[..len]) {
            Ok(report) => {
                let now = cx.clock.now();
                cx.balancer().on_neighbour(from.ip(), report, now);
                cx.room.notify_waiters();
            }
            Err(error) => log::warn!(peer:% = from, error:% = error; "a datagram is malformed"),
        }
    }
}

async fn repeat(cx: Arc<Cx>) {
    loop {
        pause(COMPLETE).await;
        let now = cx.clock.now();
        let mut counts = {
            let mut balancer = cx.balancer();
            balancer.expire(now);
            balancer.report()
        };
        counts.truncate(MAX_COUNTS);
        cx.neighbours.send(NeighbourReport {
            complete: true,
            counts,
            ..cx.neighbours.report()
        });
    }
}
