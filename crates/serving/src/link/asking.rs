//! Questions to other instances.

use std::{
    collections::HashMap,
    fmt,
    net::IpAddr,
    sync::Mutex,
    time::Duration, //
};

use tokio::time::timeout;
use tonic::transport::{
    Channel,
    Endpoint, //
};
use yuccaseam_base::Millis;
use yuccaseam_wire::hub::{
    Parcel,
    hub_client::HubClient, //
};

use super::{
    Answer, Ask,
    message::{
        decode,
        encode, //
    },
};

/// How long a connection may take to open: several round trips between regions.
const CONNECT: Millis = Millis(300);
/// How often an open connection is probed.
const KEEPALIVE: Millis = Millis(1_000);
/// How long a probe waits for its answer.
const KEEPALIVE_ANSWER: Millis = Millis(1_000);
/// The largest message between instances, in bytes.
pub(crate) const MAX_MESSAGE: usize = 32 << 20;

/// Bytes under way in one direction of a connection: what the link between regions holds in a round trip
/// (60 Mbit/s, 40 ms). More would keep heartbeats and new connections waiting behind a snapshot.
pub(crate) const WINDOW: u32 = 300 << 10;

/// Why a question has no answer.
#[derive(Debug)]
pub(crate) enum AskError {
    /// Nobody listens there: the question was not heard.
    NotSent,
    /// The answer did not come. The question may have been heard.
    Lost,
}

impl fmt::Display for AskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("not reached"),
            Self::Lost => f.write_str("no answer"),
        }
    }
}

/// Connections to other instances, one each, opened when they are first used.
#[derive(Debug)]
pub(crate) struct Links {
    /// Where other instances listen, or a relay before them.
    port: u16,
    open: Mutex<HashMap<IpAddr, Channel>>,
}

impl Links {
    /// Connections to the port on which all instances listen for each other.
    pub(crate) fn new(port: u16) -> Self {
        Self {
            port,
            open: Mutex::default(),
        }
    }

    /// A connection of its own to an instance.
    pub(crate) fn own_channel(&self, ip: IpAddr) -> Channel {
        Endpoint::from_shared(format!("http://{ip}:{}", self.port))
            .expect("an address makes a valid URI")
            .connect_timeout(CONNECT.duration())
            .http2_keep_alive_interval(KEEPALIVE.duration())
            .keep_alive_timeout(KEEPALIVE_ANSWER.duration())
            .keep_alive_while_idle(true)
            .initial_stream_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .tcp_nodelay(true)
            .connect_lazy()
    }

    fn channel(&self, ip: IpAddr) -> Channel {
        let mut open = self.open.lock().expect("no thread panics with the lock");
        open.entry(ip)
            .or_insert_with(|| self.own_channel(ip))
            .clone()
    }

    fn drop_channel(&self, ip: IpAddr) {
        let mut open = self.open.lock().expect("no thread panics with the lock");
        open.remove(&ip);
    }

    /// Asks an instance.
    ///
    /// # Errors
    ///
    /// Says whether the question may have been heard.
    pub(crate) async fn ask(
        &self,
        ip: IpAddr,
        ask: &Ask,
        wait: Millis,
    ) -> Result<Answer, AskError> {
        let mut client = HubClient::new(self.channel(ip))
            .max_decoding_message_size(MAX_MESSAGE)
            .max_encoding_message_size(MAX_MESSAGE);
        let parcel = Parcel {
            message: encode(ask),
        };
        let answer = timeout(wait.duration(), client.ask(parcel)).await;
        match answer {
            Ok(Ok(answer)) => decode(&answer.get_ref().message).map_err(|error| {
                log::warn!(peer:% = ip, error:% = error; "an answer is malformed");
                AskError::Lost
            }),
            Ok(Err(status)) => {
                log::debug!(peer:% = ip, status:% = status; "a question failed");
                self.drop_channel(ip);
                if is_before_connect(&status) {
                    Err(AskError::NotSent)
                } else {
                    Err(AskError::Lost)
                }
            }
            Err(_) => {
                self.drop_channel(ip);
                Err(AskError::Lost)
            }
        }
    }
}

/// Whether a call failed before there was a connection.
fn is_before_connect(status: &tonic::Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return error.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = error.source();
    }
    false
}

/// A pause between two tries.
pub(crate) async fn pause(span: Millis) {
    tokio::time::sleep(Duration::from_millis(span.0)).await;
}
