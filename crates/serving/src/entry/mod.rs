//! HTTP servers for callers, targets and operators.

mod authentication;
mod batch;
mod control;
mod exchange;
mod front;
mod head_timeout;
mod http_server;
mod online;
mod quota;
mod response;
mod shares;
mod stream;
mod unread;

pub(crate) use control::serve as serve_control;
pub(crate) use front::serve as serve_callers;
pub(crate) use http_server::Connections;
pub(crate) use shares::EntryShares;

use std::sync::Arc;

use http::{
    Method,
    StatusCode, //
};

use crate::cx::Cx;

/// Serves the readiness probe of the platform's balancer: `GET /ready` succeeds while this instance
/// accepts callers.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn serve_readiness(
    cx: &Arc<Cx>,
    address: std::net::SocketAddr,
    connections: &Arc<Connections>,
) -> anyhow::Result<()> {
    let cx = Arc::clone(cx);
    let limits = || http_server::DEFAULT_LIMITS;
    http_server::listen(address, connections, limits, move |req| {
        let matches_route = req.method() == Method::GET && req.uri().path() == "/ready";
        let ready = cx.table().is_some() && !cx.is_stopping();
        let status = match (matches_route, ready) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { response::empty(status) }
    })
    .await
}

/// Serves the metrics of this process at `GET /metrics`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
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
        let matches_route = req.method() == Method::GET && req.uri().path() == "/metrics";
        let response = if matches_route {
            response::text(StatusCode::OK, metrics())
        } else {
            response::empty(StatusCode::NOT_FOUND)
        };
        async move { response }
    })
    .await
}
