//! Accepts HTTP connections and serves each request on its own thread.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread, //
};

use anyhow::anyhow;
use tiny_http::Request;

use crate::{
    context::Context,
    http::{
        Body,
        Call,
        Responder,
        routes, //
    },
    telemetry::RunningRequest,
};

/// Stack size of a thread that serves one request.
const STACK_BYTES: usize = 512 * 1024;

/// HTTP server that is bound to its address.
pub(crate) struct Server {
    inner: Arc<tiny_http::Server>,
}

impl Server {
    /// Binds the address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let inner = tiny_http::Server::http(address)
            .map_err(|error| anyhow!("cannot listen for HTTP on {address}: {error}"))?;
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Serves requests. An error of the accept loop ends the process, so that the platform
    /// restarts it.
    pub(crate) fn serve(&self, cx: &Arc<Context>) {
        loop {
            match self.inner.recv() {
                Ok(req) => spawn(cx, req),
                Err(error) => {
                    log::error!("HTTP accept loop failed: {error}");
                    std::process::exit(1);
                }
            }
        }
    }
}

fn spawn(cx: &Arc<Context>, req: Request) {
    let cx = Arc::clone(cx);
    let builder = thread::Builder::new()
        .name("http-request".to_owned())
        .stack_size(STACK_BYTES);
    // On failure the request is dropped, and `tiny_http` responds with status 500.
    if let Err(error) = builder.spawn(move || serve_one(&cx, req)) {
        log::error!("cannot start a thread for a request: {error}");
    }
}

fn serve_one(cx: &Context, mut req: Request) {
    // The request counts before its body is read, so that a planned stop waits for it.
    let _running = RunningRequest::start();
    let mut call = Call::from_head(&req, cx.clock.now());
    if !routes::streams_body(&call) {
        let body = Body::new(&mut req, cx.settings.body_limit).and_then(Body::read_all);
        match body {
            Ok(body) => call.body = body,
            Err(refusal) => return Responder::new(req, call.id).refuse(&refusal),
        }
    }
    let out = Responder::new(req, call.id.clone());
    routes::dispatch(cx, &call, out);
}
