//! Messages of the replicated log, over one stream to each other store.

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

/// Messages that wait for one store. More are dropped: the core sends again.
const WAITING: usize = 512;
/// Messages of one stream that the transport may hold.
const IN_STREAM: usize = 32;
/// The pause before a broken stream is opened again.
const PAUSE: Millis = Millis(100);

/// Who a store is, and what it would agree to.
#[record]
pub(super) struct Hello {
    pub(super) disk: u64,
    pub(super) domain: yuccaseam_base::FailureDomain,
    pub(super) has_group: bool,
    pub(super) founder: Option<InstanceName>,
}

/// One message between stores.
#[record]
pub(super) enum Frame {
    /// Of the replicated log.
    Quorum(WireEnvelope),
    /// Who the sender is.
    Hello(Hello),
}

/// Streams to other stores, opened when there is something to send.
pub(super) struct Transport {
    cx: Arc<Cx>,
    streams: HashMap<IpAddr, Sender<Packet>>,
}

impl Transport {
    pub(super) fn new(cx: Arc<Cx>) -> Self {
        let streams = HashMap::new();
        Self { cx, streams }
    }

    /// Opens a new stream to a store that has started again: an old connection may hang for seconds.
    pub(super) fn forget(&mut self, to: &InstanceName) {
        if let Some(ip) = self.cx.book().ip(to) {
            self.streams.remove(&ip);
        }
    }

    /// Sends a message, or drops it if the store is unknown or too far behind.
    pub(super) fn send(&mut self, to: &InstanceName, frame: &Frame) {
        let Some(ip) = self.cx.book().ip(to) else {
            return;
        };
        let packet = Packet {
            from: self.cx.settings.instance.to_string(),
            message: postcard::to_stdvec(frame).expect("plain data encodes"),
        };
        let cx = &self.cx;
        let stream = self.streams.entry(ip).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(WAITING);
            tokio::spawn(feed(Arc::clone(cx), ip, rx));
            tx
        });
        if stream.try_send(packet).is_err() {
            log::debug!(peer:% = to; "a message of the replicated log was dropped");
        }
    }
}

/// Keeps a stream to one store open. What waits when it breaks is dropped, because it is out of date
/// by the time that the next one opens.
async fn feed(cx: Arc<Cx>, ip: IpAddr, mut rx: Receiver<Packet>) {
    loop {
        let mut client = ConsensusClient::new(cx.links.own_channel(ip))
            .max_encoding_message_size(crate::link::MAX_MESSAGE);
        let (tx, stream) = mpsc::channel(IN_STREAM);
        tokio::select! {
            ended = client.deliver(ReceiverStream::new(stream)) => {
                if let Err(status) = ended {
                    log::debug!(peer:% = ip, status:% = status; "a stream of the log ended");
                }
            }
            () = forward(&mut rx, tx) => return,
        }
        while rx.try_recv().is_ok() {}
        pause(PAUSE).await;
    }
}

/// Forwards until the replica is gone, which is when the process ends.
async fn forward(rx: &mut Receiver<Packet>, tx: Sender<Packet>) {
    while let Some(packet) = rx.recv().await {
        if tx.send(packet).await.is_err() {
            return std::future::pending().await;
        }
    }
}
