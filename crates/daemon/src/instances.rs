//! Reports the state of this instance and queries that of others.

use yuccaseam_base::{
    InstanceName,
    Millis, //
};
use yuccaseam_wire::store::{
    IdentifyReply,
    IdentifyRequest,
    store_client::StoreClient, //
};

use crate::{
    context::Context,
    telemetry, //
};

/// Time-out of a query to another instance.
const QUERY_TIMEOUT: Millis = Millis(1_000);

/// Returns the identity and the state of this instance.
pub(crate) fn identify(cx: &Context) -> IdentifyReply {
    IdentifyReply {
        instance: cx.settings.instance.to_string(),
        incarnation: cx.store.owner().incarnation,
        revision: cx.store.configuration().revision,
        confirmation_age_ms: cx.health.confirmation_age().map(|age| age.0),
        unready: cx.health.unready_reason().map(str::to_owned),
        region: cx.settings.region.to_string(),
        failure_domain: cx.settings.failure_domain.to_string(),
        running_requests: u32::try_from(telemetry::running_requests()).unwrap_or(u32::MAX),
    }
}

/// Queries another instance. Returns `None` if it does not reply in time.
pub(crate) fn query(cx: &Context, name: &InstanceName) -> Option<IdentifyReply> {
    query_all(cx, std::slice::from_ref(name)).pop().flatten()
}

/// Queries several instances concurrently. The replies are in the order of the names.
pub(crate) fn query_all(cx: &Context, names: &[InstanceName]) -> Vec<Option<IdentifyReply>> {
    let calls: Vec<_> = names.iter().map(|name| start_query(cx, name)).collect();
    calls
        .into_iter()
        .map(|call| cx.links.block_on(call?).ok().flatten())
        .collect()
}

fn start_query(
    cx: &Context,
    name: &InstanceName,
) -> Option<tokio::task::JoinHandle<Option<IdentifyReply>>> {
    let mut client = StoreClient::new(cx.links.channel(name)?);
    Some(cx.links.spawn_with_handle(async move {
        let call = client.identify(IdentifyRequest {});
        let reply = tokio::time::timeout(QUERY_TIMEOUT.duration(), call).await;
        reply.ok()?.ok().map(tonic::Response::into_inner)
    }))
}
