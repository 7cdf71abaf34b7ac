//! A TCP relay that can cut, delay and slow what passes, without closing a connection.

use std::{
    collections::HashMap,
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        },
        mpsc, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};
use tiny_http::Server;
use yuccaseam_base::{
    Millis,
    record, //
};

use crate::http;

/// How many bytes travel as one piece.
const PIECE_BYTES: usize = 16 * 1024;

/// How many pieces of a connection are on their way at most.
const PIECES_IN_FLIGHT: usize = 64;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// How a relay treats one direction.
#[record]
#[derive(Copy, Default)]
#[serde(default)]
pub struct Shape {
    /// Nothing passes. What was sent is held and passes once the cut is healed.
    pub cut: bool,
    /// How long each piece is under way.
    pub delay: Millis,
    /// How many bytes a second pass, over all connections. Zero is no bound.
    pub bytes_per_second: u64,
}

/// Both directions of a relay.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Shapes {
    /// From those who connect to the upstream.
    pub forward: Shape,
    /// From the upstream to those who connected.
    pub backward: Shape,
}

/// A relay from one listening address to one upstream address.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    stopped: AtomicBool,
    forward: Direction,
    backward: Direction,
    connections: Mutex<HashMap<u16, TcpStream>>,
}

#[derive(Debug, Default)]
struct Direction {
    state: Mutex<DirectionState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct DirectionState {
    shape: Shape,
    busy_until: Option<Instant>,
}

impl Relay {
    /// Starts a relay.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn start(listen: &str, upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let relay = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let shared = Arc::clone(&relay.shared);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if shared.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&shared);
                thread::spawn(move || connect(&shared, client, upstream));
            }
        });
        Ok(relay)
    }

    /// Takes no more connections, so that another relay can listen in its place.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        // The listener wakes up by this connection. If none opens, it is gone already.
        drop(TcpStream::connect(self.address));
    }

    /// The address that the relay listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how both directions are treated from now on.
    pub fn set(&self, shapes: Shapes) {
        self.shared.forward.set(shapes.forward);
        self.shared.backward.set(shapes.backward);
    }

    /// Serves `POST /shapes`, by which another process sets how both directions are treated.
    /// Returns the address that it listens on.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn serve_control(&self, listen: &str) -> anyhow::Result<String> {
        let server = Server::http(listen).map_err(|err| anyhow::anyhow!("listen: {err}"))?;
        let address = server.server_addr().to_string();
        let relay = self.clone();
        http::serve(server, move |mut req| match http::read_json(&mut req) {
            Ok(shapes) => {
                relay.set(shapes);
                http::respond_json(req, 200, &shapes);
            }
            Err(err) => http::respond_error(req, 400, &err.to_string()),
        });
        Ok(address)
    }

    /// Closes the connection that has this local port towards the upstream.
    pub(crate) fn close(&self, port: u16) {
        let connections = self.shared.connections.lock().expect("no panic in relay");
        if let Some(client) = connections.get(&port) {
            // The client may have closed it already.
            let _ = client.shutdown(Shutdown::Both);
        }
    }
}

impl Direction {
    fn set(&self, shape: Shape) {
        let mut state = self.state.lock().expect("no panic in relay");
        state.shape = shape;
        self.changed.notify_all();
    }

    /// Waits while the direction is cut.
    fn wait_until_open(&self) {
        let state = self.state.lock().expect("no panic in relay");
        let cut = |state: &mut DirectionState| state.shape.cut;
        let _guard = self.changed.wait_while(state, cut);
    }

    /// When a piece that is sent now arrives.
    fn arrival(&self, bytes: usize) -> Instant {
        let mut state = self.state.lock().expect("no panic in relay");
        let now = Instant::now();
        let shape = state.shape;
        let mut sent = now;
        let nanos = bytes as u64 * NANOS_PER_SECOND;
        if let Some(nanos) = nanos.checked_div(shape.bytes_per_second) {
            let start = state.busy_until.map_or(now, |busy| busy.max(now));
            sent = start + Duration::from_nanos(nanos);
            state.busy_until = Some(sent);
        }
        sent + shape.delay.duration()
    }
}

fn connect(shared: &Arc<Shared>, client: TcpStream, upstream: SocketAddr) {
    let Ok(server) = TcpStream::connect(upstream) else {
        return;
    };
    let port = server.local_addr().map_or(0, |address| address.port());
    let (Ok(client_rx), Ok(client_kept), Ok(server_rx)) =
        (client.try_clone(), client.try_clone(), server.try_clone())
    else {
        return;
    };
    let mut connections = shared.connections.lock().expect("no panic in relay");
    connections.insert(port, client_kept);
    drop(connections);
    let back = Arc::clone(shared);
    let backward = thread::spawn(move || pump(&back.backward, server_rx, client));
    pump(&shared.forward, client_rx, server);
    // A pump ends when its connection does; neither panics.
    let _ = backward.join();
    let mut connections = shared.connections.lock().expect("no panic in relay");
    connections.remove(&port);
}

/// Carries one direction of one connection until its end, then passes the end on.
fn pump(direction: &Direction, mut from: TcpStream, mut to: TcpStream) {
    let _ = to.set_nodelay(true);
    let (tx, rx) = mpsc::sync_channel::<(Instant, Vec<u8>)>(PIECES_IN_FLIGHT);
    thread::scope(|scope| {
        scope.spawn(move || {
            let mut buf = vec![0; PIECE_BYTES];
            while let Ok(len @ 1..) = from.read(&mut buf) {
                let piece = buf[..len].to_vec();
                if tx.send((direction.arrival(len), piece)).is_err() {
                    break;
                }
            }
        });
        for (arrival, piece) in rx {
            thread::sleep(arrival.saturating_duration_since(Instant::now()));
            direction.wait_until_open();
            if to.write_all(&piece).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                break;
            }
        }
        direction.wait_until_open();
        // The other side may have closed it already.
        let _ = to.shutdown(Shutdown::Write);
    });
}
