//! Load reports between neighbouring entries, sent as datagrams on every request.
//!
//! Datagrams may be lost: each carries absolute counts, and a complete report follows twice a
//! second. The pace of a target follows a report, where older entries ignore it; it is sent only if it is
//! not the one that the neighbours expect.

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
        DecodeError,
        decode,
        decode_prefix,
        encode,
        pause, //
    },
    targets::TargetKey,
};

/// Interval between complete reports.
const COMPLETE_REPORT_INTERVAL: Millis = Millis(500);
/// Largest datagram that can be received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8_192;
/// Largest number of counts in a complete report, so that it fits into a datagram.
const MAX_COUNTS: usize = 500;

/// Sender of load reports to the neighbours.
pub(crate) struct Neighbours {
    port: u16,
    started_at: Millis,
    sequence: AtomicU64,
    socket: OnceLock<UdpSocket>,
    peers: Mutex<Vec<IpAddr>>,
}

impl Neighbours {
    pub(crate) fn new(port: u16, started_at: Millis) -> Self {
        Self {
            port,
            started_at,
            sequence: AtomicU64::new(0),
            socket: OnceLock::new(),
            peers: Mutex::default(),
        }
    }

    /// Replaces the addresses of the neighbours.
    pub(crate) fn set_peers(&self, ips: Vec<IpAddr>) {
        *self.peers.lock().expect("no thread panics with the lock") = ips;
    }

    /// Addresses of the neighbours.
    pub(crate) fn peers(&self) -> Vec<IpAddr> {
        let peers = self.peers.lock().expect("no thread panics with the lock");
        peers.clone()
    }

    /// Publishes the number of requests that this entry runs at a target.
    pub(crate) fn publish_count(&self, cx: &Cx, key: TargetKey) {
        let counts = vec![(key, cx.balancer().local_requests(key))];
        self.send(NeighbourReport {
            counts,
            ..self.empty_report()
        });
    }

    /// Publishes that a request of this entry failed at a target.
    pub(crate) fn publish_failure(&self, key: TargetKey) {
        self.send(NeighbourReport {
            failed: Some(key),
            ..self.empty_report()
        });
    }

    /// Publishes the pace of a target, in percent of the usual time.
    pub(crate) fn publish_pace(&self, key: TargetKey, percent: u32) {
        self.send_data(&encode(&(self.empty_report(), vec![(key, percent)])));
    }

    /// Report with the next sequence number and no content.
    fn empty_report(&self) -> NeighbourReport {
        NeighbourReport {
            started_at: self.started_at.0,
            number: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            complete: false,
            counts: Vec::new(),
            failed: None,
        }
    }

    fn send(&self, report: NeighbourReport) {
        self.send_data(&encode(&report));
    }

    fn send_data(&self, data: &[u8]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let peers = self.peers.lock().expect("no thread panics with the lock");
        for ip in peers.iter() {
            // The next complete report makes up for a datagram that could not be sent.
            let _ = socket.send_to(data, SocketAddr::new(*ip, self.port));
        }
    }
}

/// Starts sending and receiving load reports.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) fn start(cx: &Arc<Cx>, address: SocketAddr) -> anyhow::Result<()> {
    let socket = UdpSocket::bind(address)
        .with_context(|| format!("cannot listen for datagrams on {address}"))?;
    socket.set_nonblocking(true)?;
    let receiver = tokio::net::UdpSocket::from_std(socket.try_clone()?)?;
    // Never set before: `start` runs once per process.
    let _ = cx.neighbours.socket.set(socket);
    tokio::spawn(receive_reports(Arc::clone(cx), receiver));
    tokio::spawn(publish_complete_reports(Arc::clone(cx)));
    Ok(())
}

/// Decodes a report, and the paces that follow it.
fn decode_datagram(data: &[u8]) -> Result<(NeighbourReport, Vec<(TargetKey, u32)>), DecodeError> {
    let (report, rest) = decode_prefix(data)?;
    let paces = if rest.is_empty() {
        Vec::new()
    } else {
        decode(rest)?
    };
    Ok((report, paces))
}

async fn receive_reports(cx: Arc<Cx>, receiver: tokio::net::UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match receiver.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(error:% = error; "cannot receive load reports");
                pause(COMPLETE_REPORT_INTERVAL).await;
                continue;
            }
        };
        match decode_datagram(&buf[..len]) {
            Ok((report, paces)) => {
                let now = cx.clock.now();
                let mut balancer = cx.balancer();
                balancer.receive_neighbour_report(from.ip(), report, now);
                for (key, percent) in paces {
                    balancer.record_neighbour_pace(key, percent, now);
                }
            }
            Err(error) => log::warn!(peer:% = from, error:% = error; "malformed load report"),
        }
    }
}

async fn publish_complete_reports(cx: Arc<Cx>) {
    loop {
        pause(COMPLETE_REPORT_INTERVAL).await;
        let now = cx.clock.now();
        let mut counts = {
            let mut balancer = cx.balancer();
            balancer.expire(now);
            balancer.load_report()
        };
        counts.truncate(MAX_COUNTS);
        cx.neighbours.send(NeighbourReport {
            complete: true,
            counts,
            ..cx.neighbours.empty_report()
        });
    }
}
