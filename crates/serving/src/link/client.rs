//! Calls to other instances.

use std::{
    collections::HashMap,
    fmt,
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::Mutex,
    time::Duration, //
};

use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::timeout, //
};
use tonic::transport::{
    Channel,
    Endpoint, //
};
use tower::service_fn;
use yuccaseam_base::Millis;
use yuccaseam_wire::hub::{
    Parcel,
    hub_client::HubClient, //
};

use super::{
    HubReply, HubRequest,
    message::{
        decode,
        encode, //
    },
};

/// Time limit to open a connection: several round trips between regions.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// How often an open connection is probed.
const KEEPALIVE_INTERVAL: Millis = Millis(1_000);
/// Time limit for the answer to a probe.
const KEEPALIVE_TIMEOUT: Millis = Millis(1_000);
/// Maximum size of a message between instances.
pub(crate) const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// HTTP/2 flow-control window: the bandwidth-delay product of the link between regions (60 Mbit/s,
/// 40 ms). A larger window would delay heartbeats and new connections behind a snapshot.
pub(crate) const WINDOW_BYTES: u32 = 300 << 10;

/// Why a call has no reply.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The connection was refused: the request was not received.
    NotSent,
    /// The connection broke. The request may have been received, but does not arrive later.
    Broken,
    /// No reply arrived. The request may have been received, or may still arrive.
    NoReply,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("connection refused"),
            Self::Broken => f.write_str("connection broke"),
            Self::NoReply => f.write_str("no reply"),
        }
    }
}

/// Shared connections to other instances, one per instance, opened on first use.
#[derive(Debug)]
pub(crate) struct Links {
    /// Port on which other instances, or a relay in front of them, listen.
    port: u16,
    open: Mutex<HashMap<IpAddr, Channel>>,
}

impl Links {
    /// Connections to `port` of every other instance.
    pub(crate) fn new(port: u16) -> Self {
        Self {
            port,
            open: Mutex::default(),
        }
    }

    /// Creates a connection to an instance that is not shared with other calls.
    pub(crate) fn dedicated_channel(&self, ip: IpAddr) -> Channel {
        self.endpoint(ip).connect_lazy()
    }

    fn endpoint(&self, ip: IpAddr) -> Endpoint {
        Endpoint::from_shared(format!("http://{ip}:{}", self.port))
            .expect("an address makes a valid URI")
            .connect_timeout(CONNECT_TIMEOUT.duration())
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL.duration())
            .keep_alive_timeout(KEEPALIVE_TIMEOUT.duration())
            .keep_alive_while_idle(true)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .tcp_nodelay(true)
    }

    fn channel(&self, ip: IpAddr) -> Channel {
        let mut open = self.open.lock().expect("no thread panics with the lock");
        let address = SocketAddr::new(ip, self.port);
        let channel = open.entry(ip).or_insert_with(|| {
            let connector = service_fn(move |_| connect_for_calls(address));
            self.endpoint(ip).connect_with_connector_lazy(connector)
        });
        channel.clone()
    }

    fn drop_channel(&self, ip: IpAddr) {
        let mut open = self.open.lock().expect("no thread panics with the lock");
        open.remove(&ip);
    }

    /// Calls an instance and waits up to `limit` for the reply.
    ///
    /// # Errors
    ///
    /// Distinguishes requests that were not received from those that may have been.
    pub(crate) async fn call(
        &self,
        ip: IpAddr,
        request: &HubRequest,
        limit: Millis,
    ) -> Result<HubReply, CallError> {
        let mut client = HubClient::new(self.channel(ip))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let parcel = Parcel {
            message: encode(request),
        };
        let reply = timeout(limit.duration(), client.ask(parcel)).await;
        match reply {
            Ok(Ok(reply)) => decode(&reply.get_ref().message).map_err(|error| {
                log::warn!(peer:% = ip, error:% = error; "malformed reply");
                CallError::NoReply
            }),
            Ok(Err(status)) => {
                log::debug!(peer:% = ip, status:% = status; "call failed");
                self.drop_channel(ip);
                if is_connection_refused(&status) {
                    Err(CallError::NotSent)
                } else {
                    Err(CallError::Broken)
                }
            }
            Err(_) => {
                self.drop_channel(ip);
                Err(CallError::NoReply)
            }
        }
    }
}

/// Opens a connection for calls. It is reset when it is given up: what the peer has not received by then, as during a
/// partition, must not arrive after the call was repeated.
async fn connect_for_calls(address: SocketAddr) -> io::Result<TokioIo<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.set_zero_linger()?;
    Ok(TokioIo::new(stream))
}

/// Whether a call failed because the connection was refused.
fn is_connection_refused(status: &tonic::Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return error.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = error.source();
    }
    false
}

/// Sleeps for a span of time.
pub(crate) async fn pause(span: Millis) {
    tokio::time::sleep(Duration::from_millis(span.0)).await;
}
