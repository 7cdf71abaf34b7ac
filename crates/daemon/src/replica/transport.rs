//! Messages between replicas over one stream a peer.

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

/// The messages that wait for one peer. More are dropped: the core sends again.
const WAITING: usize = 512;
/// The messages of one stream that the transport may hold.
const IN_STREAM: usize = 32;
/// The pause before a broken stream is opened again.
const PAUSE: Millis = Millis(100);

/// Streams to the other replicas, opened when there is something to send.
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

    /// Sends a message, or drops it if the peer is unknown or too far behind.
    pub(crate) fn send(&mut self, to: &InstanceName, frame: &Frame) {
        let packet = Packet {
            from: self.own.to_string(),
            message: frame.encode(),
        };
        if let Some(stream) = self.stream(to)
            && stream.try_send(packet).is_err()
        {
            log::debug!("a message to {to} was dropped");
        }
    }

    fn stream(&mut self, to: &InstanceName) -> Option<&Sender<Packet>> {
        if !self.streams.contains_key(to) {
            let channel = self.links.dedicated_channel(to)?;
            let (tx, rx) = mpsc::channel(WAITING);
            self.links.spawn(feed(to.clone(), channel, rx));
            self.streams.insert(to.clone(), tx);
        }
        self.streams.get(to)
    }
}

/// Keeps a stream to one peer open. What waits when it breaks is dropped, because it is out of
/// date by the time that the next one opens.
async fn feed(name: InstanceName, channel: Channel, mut rx: Receiver<Packet>) {
    let client = ConsensusClient::new(channel).max_encoding_message_size(MAX_MESSAGE_BYTES);
    loop {
        let (tx, stream) = mpsc::channel(IN_STREAM);
        let mut client = client.clone();
        tokio::select! {
            ended = client.deliver(ReceiverStream::new(stream)) => {
                if let Err(status) = ended {
                    log::debug!("the stream to {name} ended: {}", status.message());
                }
            }
            () = forward(&mut rx, tx) => return,
        }
        while rx.try_recv().is_ok() {}
        tokio::time::sleep(PAUSE.duration()).await;
    }
}

/// Forwards until the replica is gone, which is when the process ends.
async fn forward(rx: &mut Receiver<Packet>, tx: Sender<Packet>) {
    while let Some(packet) = rx.recv().await {
        if tx.send(packet).await.is_err() {
            // The stream is broken; the other branch of the caller's select ends.
            return std::future::pending().await;
        }
    }
}

/// Takes messages from other replicas in.
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
            return Err(Status::failed_precondition(
                "no replica is on this instance",
            ));
        };
        let mut stream = req.into_inner();
        while let Some(packet) = stream.message().await? {
            take_in(&tx, packet)?;
        }
        Ok(Response::new(Delivered {}))
    }
}

fn take_in(tx: &InputSender<Input>, packet: Packet) -> Result<(), Status> {
    let frame = Frame::decode(&packet.message)
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    let from = InstanceName(packet.from);
    tx.send(Input::Received { from, frame })
        .map_err(|_| Status::unavailable("the replica has ended"))
}
