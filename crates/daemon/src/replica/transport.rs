//! Transport of messages between replicas, with one stream per peer.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        mpsc::Sender as InputSender, //
    }, //
};

use tokio::sync::mpsc::{
    self,
    Receiver,
    Sender, //
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{
    Request,
    Response,
    Status,
    Streaming,
    transport::Channel, //
};
use yuccaseam_base::{
    InstanceName,
    Millis, //
};
use yuccaseam_wire::consensus::{
    Delivered,
    Packet,
    consensus_client::ConsensusClient,
    consensus_server, //
};

use crate::{
    context::Context,
    peers::{
        Links,
        MAX_MESSAGE_BYTES, //
    }, //
};

use super::{
    Input,
    frame::Frame, //
};

/// Capacity of the send queue of one peer, in messages. Messages beyond it are dropped, since the
/// core resends them.
const SEND_QUEUE_CAPACITY: usize = 512;
/// Capacity of the buffer between a send queue and its stream, in messages.
const STREAM_BUFFER_CAPACITY: usize = 32;
/// Pause before a broken stream is reopened.
const RECONNECT_BACKOFF: Millis = Millis(100);

/// Streams to the other replicas, each opened for the first message.
pub(crate) struct Transport {
    own: InstanceName,
    links: Links,
    streams: BTreeMap<InstanceName, Sender<Packet>>,
}

impl Transport {
    pub(crate) fn new(own: InstanceName, links: Links) -> Self {
        Self {
            own,
            links,
            streams: BTreeMap::new(),
        }
    }

    /// Sends a message, or drops it if the peer is unknown or its queue is full.
    pub(crate) fn send(&mut self, to: &InstanceName, frame: &Frame) {
        let packet = Packet {
            from: self.own.to_string(),
            message: frame.encode(),
        };
        if let Some(stream) = self.stream(to)
            && stream.try_send(packet).is_err()
        {
            log::debug!("message to {to} dropped");
        }
    }

    fn stream(&mut self, to: &InstanceName) -> Option<&Sender<Packet>> {
        if !self.streams.contains_key(to) {
            let channel = self.links.dedicated_channel(to)?;
            let (tx, rx) = mpsc::channel(SEND_QUEUE_CAPACITY);
            self.links.spawn(run_stream(to.clone(), channel, rx));
            self.streams.insert(to.clone(), tx);
        }
        self.streams.get(to)
    }
}

/// Keeps a stream to one peer open. Messages queued when it breaks are dropped, because they are
/// stale by the time it is reopened.
async fn run_stream(name: InstanceName, channel: Channel, mut rx: Receiver<Packet>) {
    let client = ConsensusClient::new(channel).max_encoding_message_size(MAX_MESSAGE_BYTES);
    loop {
        let (tx, stream) = mpsc::channel(STREAM_BUFFER_CAPACITY);
        let mut client = client.clone();
        tokio::select! {
            ended = client.deliver(ReceiverStream::new(stream)) => {
                if let Err(status) = ended {
                    log::debug!("replication stream to {name} ended: {}", status.message());
                }
            }
            () = forward(&mut rx, tx) => return,
        }
        while rx.try_recv().is_ok() {}
        tokio::time::sleep(RECONNECT_BACKOFF.duration()).await;
    }
}

/// Forwards messages until the replica's sender is dropped at process exit.
async fn forward(rx: &mut Receiver<Packet>, tx: Sender<Packet>) {
    while let Some(packet) = rx.recv().await {
        if tx.send(packet).await.is_err() {
            // The stream is broken, so the other branch of the caller's `select!` completes.
            return std::future::pending().await;
        }
    }
}

/// RPC service that receives messages from other replicas.
pub(crate) struct ConsensusService {
    cx: Arc<Context>,
}

impl ConsensusService {
    pub(crate) fn new(cx: Arc<Context>) -> Self {
        Self { cx }
    }
}

#[tonic::async_trait]
impl consensus_server::Consensus for ConsensusService {
    async fn deliver(
        &self,
        req: Request<Streaming<Packet>>,
    ) -> Result<Response<Delivered>, Status> {
        let Some(tx) = self.cx.store.replica_inputs() else {
            return Err(Status::failed_precondition("this instance has no replica"));
        };
        let mut stream = req.into_inner();
        while let Some(packet) = stream.message().await? {
            receive(&tx, packet)?;
        }
        Ok(Response::new(Delivered {}))
    }
}

fn receive(tx: &InputSender<Input>, packet: Packet) -> Result<(), Status> {
    let frame = Frame::decode(&packet.message)
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    let from = InstanceName(packet.from);
    tx.send(Input::Received { from, frame })
        .map_err(|_| Status::unavailable("the replica has stopped"))
}
