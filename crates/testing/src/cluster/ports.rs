//! Loopback ports for the daemons, which have to know each other's before they start.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    process,
    sync::atomic::{
        AtomicU16,
        Ordering, //
    },
};

/// The first port. Ports below the range from which the kernel takes outgoing ones stay free
/// while a daemon is down.
const FIRST: u16 = 10_000;

/// How many ports there are to choose from.
const COUNT: u16 = 20_000;

/// By how many ports the processes that choose at the same time are apart.
const STRIDE: u32 = 199;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A loopback address that nobody listens on.
pub(crate) fn free_address() -> SocketAddr {
    let offset = process::id() * STRIDE % u32::from(COUNT);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = (offset + u32::from(step)) % u32::from(COUNT);
        let port = FIRST + u16::try_from(port).expect("bounded by COUNT");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
