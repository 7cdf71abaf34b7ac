//! The gRPC services for other instances.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::Arc, //
};

use anyhow::Context as _;
use tokio::{
    net::TcpListener,
    sync::mpsc, //
};
use tokio_stream::{
    StreamExt as _,
    wrappers::{
        ReceiverStream,
        TcpListenerStream, //
    },
};
use tonic::{
    Request,
    Response,
    Status,
    Streaming,
    transport::Server, //
};
use yuccaseam_base::Millis;
use yuccaseam_wire::{
    consensus::{
        Delivered, Packet,
        consensus_server::{
            Consensus,
            ConsensusServer, //
        },
    },
    hub::{
        Parcel,
        hub_server::{
            Hub,
            HubServer, //
        },
    },
};

use super::{
    FollowerMessage, HubReply, HubRequest, LeaderFrame,
    client::{
        MAX_MESSAGE_BYTES,
        WINDOW_BYTES, //
    },
    message::{
        decode,
        encode, //
    },
};

/// Capacity of the queue of messages to one follower. A follower that falls further behind is
/// disconnected and reconnects.
const FOLLOWER_QUEUE_CAPACITY: usize = 256;
/// How often a connection is probed, and the time limit for the answer.
const KEEPALIVE_INTERVAL: Millis = Millis(1_000);

/// Handles the calls of other instances.
#[tonic::async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles a request.
    async fn handle(&self, request: HubRequest) -> HubReply;

    /// Adds a follower and returns its number.
    ///
    /// # Errors
    ///
    /// Fails if this instance does not lead, with the leader if it is known.
    fn follow(&self, tx: mpsc::Sender<LeaderFrame>) -> Result<u64, Option<IpAddr>>;

    /// Handles a message of a follower.
    fn on_message(&self, follower: u64, message: FollowerMessage);

    /// Removes a follower that has disconnected.
    fn unfollow(&self, follower: u64);

    /// Handles a message of the replicated log.
    fn on_packet(&self, from: String, message: Vec<u8>);
}

struct Service<H>(Arc<H>);

/// Serves other instances until the process ends.
///
/// # Errors
///
/// Fails if the listener cannot be bound to `address`.
pub(crate) async fn serve<H>(address: SocketAddr, handler: Arc<H>) -> anyhow::Result<()>
where
    H: Handler,
{
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen for instances on {address}"))?;
    let hub = HubServer::new(Service(Arc::clone(&handler)))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let consensus =
        ConsensusServer::new(Service(handler)).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpListenerStream::new(listener).map(|stream| {
        let stream = stream?;
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(stream)
    });
    let server = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL.duration()))
        .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL.duration()))
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .add_service(hub)
        .add_service(consensus)
        .serve_with_incoming(incoming);
    tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!(error:% = error; "gRPC server for instances failed");
            std::process::exit(1);
        }
    });
    Ok(())
}

#[tonic::async_trait]
impl<H> Hub for Service<H>
where
    H: Handler,
{
    async fn ask(&self, req: Request<Parcel>) -> Result<Response<Parcel>, Status> {
        let request = decode(&req.get_ref().message)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let reply = self.0.handle(request).await;
        let message = encode(&reply);
        Ok(Response::new(Parcel { message }))
    }

    type FollowStream = std::pin::Pin<
        Box<dyn tokio_stream::Stream<Item = Result<Parcel, Status>> + Send + 'static>,
    >;

    async fn follow(
        &self,
        req: Request<Streaming<Parcel>>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let (tx, rx) = mpsc::channel(FOLLOWER_QUEUE_CAPACITY);
        let follower = self.0.follow(tx.clone()).map_err(|leader| {
            let leader = leader.map(|ip| ip.to_string());
            Status::failed_precondition(leader.unwrap_or_default())
        })?;
        let handler = Arc::clone(&self.0);
        let mut incoming = req.into_inner();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    message = incoming.message() => match message {
                        Ok(Some(parcel)) => match decode(&parcel.message) {
                            Ok(message) => handler.on_message(follower, message),
                            Err(error) => {
                                log::warn!(error:% = error; "malformed message from a follower");
                            }
                        },
                        Ok(None) | Err(_) => break,
                    },
                    () = tx.closed() => break,
                }
            }
            handler.unfollow(follower);
        });
        let outgoing = ReceiverStream::new(rx).map(|frame: LeaderFrame| {
            Ok(Parcel {
                message: frame.0.to_vec(),
            })
        });
        Ok(Response::new(Box::pin(outgoing)))
    }
}

#[tonic::async_trait]
impl<H> Consensus for Service<H>
where
    H: Handler,
{
    async fn deliver(
        &self,
        req: Request<Streaming<Packet>>,
    ) -> Result<Response<Delivered>, Status> {
        let mut stream = req.into_inner();
        while let Some(packet) = stream.message().await? {
            self.0.on_packet(packet.from, packet.message);
        }
        Ok(Response::new(Delivered {}))
    }
}
