//! The service that other instances call.

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
    Answer, Ask, Down, Up,
    asking::{
        MAX_MESSAGE,
        WINDOW, //
    },
    message::{
        decode,
        encode, //
    },
};

/// Messages to one follower that may wait. A follower that falls further behind is cut off and
/// follows anew.
const WAITING: usize = 256;
/// How often a connection is probed.
const KEEPALIVE: Millis = Millis(1_000);

/// What an instance does with calls of others.
#[tonic::async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a question.
    async fn answer(&self, ask: Ask) -> Answer;

    /// Takes a follower in and returns its number, or the leader, if known, if this instance does not
    /// lead.
    fn follow(&self, tx: mpsc::Sender<Down>) -> Result<u64, Option<IpAddr>>;

    /// A follower said something.
    fn on_up(&self, follower: u64, up: Up);

    /// A follower is gone.
    fn unfollow(&self, follower: u64);

    /// A message of the replicated log arrived.
    fn on_packet(&self, from: String, message: Vec<u8>);
}

struct Service<H>(Arc<H>);

/// Listens for other instances until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub(crate) async fn serve<H>(address: SocketAddr, handler: Arc<H>) -> anyhow::Result<()>
where
    H: Handler,
{
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen for instances on {address}"))?;
    let hub = HubServer::new(Service(Arc::clone(&handler)))
        .max_decoding_message_size(MAX_MESSAGE)
        .max_encoding_message_size(MAX_MESSAGE);
    let consensus = ConsensusServer::new(Service(handler)).max_decoding_message_size(MAX_MESSAGE);
    let incoming = TcpListenerStream::new(listener).map(|stream| {
        let stream = stream?;
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(stream)
    });
    let serving = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE.duration()))
        .http2_keepalive_timeout(Some(KEEPALIVE.duration()))
        .initial_stream_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .add_service(hub)
        .add_service(consensus)
        .serve_with_incoming(incoming);
    tokio::spawn(async move {
        if let Err(error) = serving.await {
            log::error!(error:% = error; "the service for instances ended");
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
        let ask = decode(&req.get_ref().message)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let answer = self.0.answer(ask).await;
        let message = encode(&answer);
        Ok(Response::new(Parcel { message }))
    }

    type FollowStream = std::pin::Pin<
        Box<dyn tokio_stream::Stream<Item = Result<Parcel, Status>> + Send + 'static>,
    >;

    async fn follow(
        &self,
        req: Request<Streaming<Parcel>>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let (tx, rx) = mpsc::channel(WAITING);
        let follower = self.0.follow(tx.clone()).map_err(|leader| {
            let leader = leader.map(|ip| ip.to_string());
            Status::failed_precondition(leader.unwrap_or_default())
        })?;
        let handler = Arc::clone(&self.0);
        let mut ups = req.into_inner();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    up = ups.message() => match up {
                        Ok(Some(parcel)) => match decode(&parcel.message) {
                            Ok(up) => handler.on_up(follower, up),
                            Err(error) => {
                                log::warn!(error:% = error; "a message of a follower is malformed");
                            }
                        },
                        Ok(None) | Err(_) => break,
                    },
                    () = tx.closed() => break,
                }
            }
            handler.unfollow(follower);
        });
        let downs = ReceiverStream::new(rx).map(|down| {
            Ok(Parcel {
                message: encode(&down),
            })
        });
        Ok(Response::new(Box::pin(downs)))
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
