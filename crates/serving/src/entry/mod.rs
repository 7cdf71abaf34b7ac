//! The instances that callers, targets and operators connect to.

mod answer;
mod batch;
mod control;
mod front;
mod head_timeout;
mod http_server;
mod online;
mod stream;

pub(crate) use control::serve as serve_control;
pub(crate) use front::serve as serve_callers;
pub(crate) use http_server::Connections;

use std::sync::Arc;

use http::{
    Method,
    StatusCode, //
};

use crate::cx::Cx;

/// Answers the balancer's questions whether this instance takes callers.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub(crate) async fn serve_readiness(
    cx: &Arc<Cx>,
    address: std::net::SocketAddr,
    connections: &Arc<Connections>,
) -> anyhow::Result<()> {
    let cx = Arc::clone(cx);
    let limits = || http_server::DEFAULT_LIMITS;
    http_server::listen(address, connections, limits, move |req| {
        let known = req.method() == Method::GET && req.uri().path() == "/ready";
        let ready = cx.table().is_some() && !cx.is_stopping();
        let status = match (known, ready) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { answer::empty(status) }
    })
    .await
}

/// Serves the metrics of this process.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub(crate) async fn serve_metrics<M>(
    address: std::net::SocketAddr,
    connections: &Arc<Connections>,
    metrics: M,
) -> anyhow::Result<()>
where
    M: Fn() -> String + Send + Sync + 'static,
{
    let limits = || http_server::DEFAULT_LIMITS;
    http_server::listen(address, connections, limits, move |req| {
        let known = req.method() == Method::GET && req.uri().path() == "/metrics";
        let answer = if known {
            answer::text(StatusCode::OK, metrics())
        } else {
            answer::empty(StatusCode::NOT_FOUND)
        };
        async move { answer }
    })
    .await
}
