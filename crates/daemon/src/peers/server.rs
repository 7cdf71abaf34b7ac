//! gRPC server for the calls of other daemons.

use std::sync::Arc;

use anyhow::Context as _;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio_stream::{
    StreamExt as _,
    wrappers::TcpListenerStream, //
};
use tonic::{
    Request,
    Response,
    Status,
    transport::Server, //
};
use yuccaseam_wire::{
    admission::admission_server::AdmissionServer,
    consensus::consensus_server::ConsensusServer,
    fleet::{
        Packet,
        fleet_server::{
            Fleet,
            FleetServer, //
        },
    },
    store::store_server::StoreServer,
};

use crate::{
    admission::AdmissionService, context::Context, replica::ConsensusService, store::StoreService,
};

/// Starts the server.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) fn serve(cx: &Arc<Context>) -> anyhow::Result<()> {
    let address = cx.settings.peer;
    let listener = cx
        .links
        .block_on(TcpListener::bind(address))
        .with_context(|| format!("cannot listen for daemons on {address}"))?;
    let fleet = FleetServer::new(FleetService { cx: Arc::clone(cx) });
    let admission = AdmissionServer::new(AdmissionService::new(Arc::clone(cx)));
    let store = StoreServer::new(StoreService::new(Arc::clone(cx)))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let consensus = ConsensusServer::new(ConsensusService::new(Arc::clone(cx)))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let serving = Server::builder()
        .add_service(fleet)
        .add_service(consensus)
        .add_service(admission)
        .add_service(store)
        .serve_with_incoming(TcpListenerStream::new(listener).map(disable_nagle));
    cx.links.spawn(async {
        if let Err(error) = serving.await {
            log::error!("server for other daemons failed: {error}");
            std::process::exit(1);
        }
    });
    log::info!("serving other daemons on {address}");
    Ok(())
}

/// Disables Nagle's algorithm, with which a small reply may wait for the peer's delayed
/// acknowledgement of 40 ms.
fn disable_nagle(stream: std::io::Result<TcpStream>) -> std::io::Result<TcpStream> {
    let stream = stream?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Maximum size of a message between daemons.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

struct FleetService {
    cx: Arc<Context>,
}

#[tonic::async_trait]
impl Fleet for FleetService {
    async fn exchange(&self, req: Request<Packet>) -> Result<Response<Packet>, Status> {
        self.cx.fleet.receive(&self.cx, &req.get_ref().message);
        let reply = Packet {
            from: self.cx.settings.instance.to_string(),
            message: Vec::new(),
        };
        Ok(Response::new(reply))
    }
}
