//! Accepts HTTP connections and gives each request a thread.

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

/// Stack of a thread that serves one request, in bytes.
const STACK: usize = 512 * 1024;

/// The listening side of HTTP.
pub(crate) struct Server {
    inner: Arc<tiny_http::Server>,
}

impl Server {
    /// Binds the address.
    ///
    /// # Errors
    ///
    /// Returns the error of the address.
    pub(crate) fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let inner = tiny_http::Server::http(address)
            .map_err(|error| anyhow!("cannot listen for HTTP on {address}: {error}"))?;
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Serves requests until the accept loop ends, which is a fault: the process then exits, so
    /// that the platform starts it again.
    pub(crate) fn serve(&self, cx: &Arc<Context>) {
        loop {
            match self.inner.recv() {
                Ok(req) => spawn(cx, req),
                Err(error) => {
                    log::error!("the HTTP accept loop ended: {error}");
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
        .stack_size(STACK);
    // On failure the request is dropped, and `tiny_http` answers it with status 500.
    if let Err(error) = builder.spawn(move || serve_one(&cx, req)) {
        log::error!("no thread for a request: {error}");
    }
}

fn serve_one(cx: &Context, mut req: Request) {
    // Counted before the body is read, so that a planned stop waits for it.
    let _running = RunningRequest::start();
    let mut call = Call::of(&req, cx.clock.now());
    if !routes::reads_its_body(&call) {
        let body = Body::of(&mut req, cx.settings.body_limit).and_then(Body::read_whole);
        match body {
            Ok(body) => call.body = body,
            Err(refusal) => return Responder::new(req, call.id).refuse(&refusal),
        }
    }
    let out = Responder::new(req, call.id.clone());
    routes::dispatch(cx, &call, out);
}
