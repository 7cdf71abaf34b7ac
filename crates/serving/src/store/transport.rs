//! Sends messages between stores, over one stream to each other store.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::Arc, //
};

use tokio::sync::mpsc::{
    self,
    Receiver,
    Sender, //
};
use tokio_stream::wrappers::ReceiverStream;
use yuccaseam_base::{
    InstanceName,
    Millis,
    record, //
};
use yuccaseam_quorum::WireEnvelope;
use yuccaseam_wire::consensus::{
    Packet,
    consensus_client::ConsensusClient, //
};

use crate::{
    cx::Cx,
    link::pause, //
};

/// Capacity of the queue of messages to one store. Overflow is dropped: the core resends.
const QUEUE_CAPACITY: usize = 512;
/// Capacity of the queue between the sending task and its stream.
const STREAM_CAPACITY: usize = 32;
/// Pause before a failed stream is reopened.
const RECONNECT_BACKOFF: Millis = Millis(100);

/// Identity of a store, and the store that it agrees may bootstrap the group.
#[record]
pub(super) struct Hello {
    pub(super) disk: u64,
    pub(super) domain: yuccaseam_base::FailureDomain,
    pub(super) has_group: bool,
    pub(super) founder: Option<InstanceName>,
}

/// A message between stores.
#[record]
pub(super) enum Frame {
    /// A message of the replicated log.
    Quorum(WireEnvelope),
    /// The identity of the sender.
    Hello(Hello),
}

/// Streams to other stores, opened on the first message.
pub(super) struct Transport {
    cx: Arc<Cx>,
    streams: HashMap<IpAddr, Sender<Packet>>,
}

impl Transport {
    pub(super) fn new(cx: Arc<Cx>) -> Self {
        let streams = HashMap::new();
        Self { cx, streams }
    }

    /// Drops the stream to a store that has restarted: the old connection may hang for seconds. The
    /// next message opens a new one.
    pub(super) fn reset_stream(&mut self, to: &InstanceName) {
        if let Some(ip) = self.cx.address_book().ip(to) {
            self.streams.remove(&ip);
        }
    }

    /// Queues a message, or drops it if the address of the store is unknown or its queue is full.
    pub(super) fn send(&mut self, to: &InstanceName, frame: &Frame) {
        let Some(ip) = self.cx.address_book().ip(to) else {
            return;
        };
        let packet = Packet {
            from: self.cx.settings.instance.to_string(),
            message: postcard::to_stdvec(frame).expect("plain data encodes"),
        };
        let cx = &self.cx;
        let stream = self.streams.entry(ip).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(run_stream(Arc::clone(cx), ip, rx));
            tx
        });
        if stream.try_send(packet).is_err() {
            log::debug!(peer:% = to; "replication message dropped");
        }
    }
}

/// Keeps a stream to one store open. When it fails, queued messages are dropped, because they are
/// out of date by the time the next stream opens.
async fn run_stream(cx: Arc<Cx>, ip: IpAddr, mut rx: Receiver<Packet>) {
    loop {
        let mut client = ConsensusClient::new(cx.links.dedicated_channel(ip))
            .max_encoding_message_size(crate::link::MAX_MESSAGE_BYTES);
        let (tx, stream) = mpsc::channel(STREAM_CAPACITY);
        tokio::select! {
            ended = client.deliver(ReceiverStream::new(stream)) => {
                if let Err(status) = ended {
                    log::debug!(peer:% = ip, status:% = status; "replication stream ended");
                }
            }
            () = forward(&mut rx, tx) => return,
        }
        while rx.try_recv().is_ok() {}
        pause(RECONNECT_BACKOFF).await;
    }
}

/// Forwards packets to the stream. Returns once the replica is gone, at the exit of the process;
/// never, if the stream fails.
async fn forward(rx: &mut Receiver<Packet>, tx: Sender<Packet>) {
    while let Some(packet) = rx.recv().await {
        if tx.send(packet).await.is_err() {
            return std::future::pending().await;
        }
    }
}
