//! Loopback networks, each used by one system of processes at a time.
//!
//! Daemons have to know each other's addresses before they start, and keep them while they are down. An
//! address that is free when it is chosen may be taken by another test process before the daemon
//! listens there, so each system reserves a network of its own.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    process,
    sync::atomic::{
        AtomicU16,
        AtomicU32,
        Ordering, //
    },
};

/// Second byte of the first network. Lower ones are left to addresses that are written out.
const FIRST_SECOND_BYTE: u32 = 80;
/// Number of networks: 40 values of the second byte, 256 of the third.
const NETWORKS: u32 = 40 * 256;
/// Distance between the first candidates of two processes with successive ids.
const STRIDE: u32 = 199;
/// Host of the address whose listener reserves a network.
const GUARD_HOST: u8 = 254;
/// Port of that listener.
const GUARD_PORT: u16 = 9_999;
/// First port given out. Ports below the range from which the kernel takes those of outgoing
/// connections stay free.
const FIRST_PORT: u16 = 10_000;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A loopback network that no other test process uses while this exists.
#[derive(Debug)]
pub(crate) struct Network {
    prefix: [u8; 3],
    /// Holds the reservation.
    _guard: TcpListener,
    next_port: AtomicU16,
}

impl Network {
    /// Reserves a network.
    ///
    /// # Panics
    ///
    /// Panics if all networks are reserved.
    pub(crate) fn reserve() -> Self {
        let offset = process::id().wrapping_mul(STRIDE);
        for _ in 0..NETWORKS {
            let step = NEXT.fetch_add(1, Ordering::Relaxed);
            let number = offset.wrapping_add(step) % NETWORKS;
            let second = (FIRST_SECOND_BYTE + number / 256) as u8;
            let prefix = [127, second, (number % 256) as u8];
            let guard = SocketAddr::from((address(prefix, GUARD_HOST), GUARD_PORT));
            if let Ok(guard) = TcpListener::bind(guard) {
                return Self {
                    prefix,
                    _guard: guard,
                    next_port: AtomicU16::new(FIRST_PORT),
                };
            }
        }
        panic!("all loopback networks are reserved");
    }

    /// Address of a host.
    pub(crate) fn ip(&self, host: u8) -> Ipv4Addr {
        address(self.prefix, host)
    }

    /// An address of the first host that was not given out before.
    pub(crate) fn next_address(&self) -> SocketAddr {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        SocketAddr::from((self.ip(1), port))
    }
}

fn address([a, b, c]: [u8; 3], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(a, b, c, host)
}
