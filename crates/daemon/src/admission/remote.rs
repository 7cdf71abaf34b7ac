//! Permit requests to other daemons, with probes that detect an unreachable one.

use std::time::Duration;

use tonic::transport::Channel;
use yuccaseam_admit::PermitId;
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};
use yuccaseam_wire::admission::{
    AcquireReply,
    AcquireRequest,
    Refused,
    ReportRequest,
    acquire_reply,
    admission_client::AdmissionClient, //
};

use super::target::PermitReply;

/// Time without a reply after which an owner is probed. A queued request stays queued as long as
/// the probes succeed.
const PROBE_INTERVAL: Millis = Millis(150);
/// Time-out of a probe.
const PROBE_TIMEOUT: Millis = Millis(200);

/// The owner did not reply, and no byte was sent to a target. Holds the cause.
#[derive(Debug)]
pub(crate) struct Unreachable(pub(crate) String);

/// Requests a permit from an owner and waits for the reply.
///
/// # Errors
///
/// Fails if the call fails, or if the owner replies neither to it nor to a probe.
pub(crate) async fn acquire(
    channel: Channel,
    req: AcquireRequest,
) -> Result<PermitReply, Unreachable> {
    let mut client = AdmissionClient::new(channel.clone());
    let call = client.acquire(req);
    tokio::pin!(call);
    loop {
        match tokio::time::timeout(PROBE_INTERVAL.duration(), &mut call).await {
            Ok(Ok(reply)) => return Ok(PermitReply::from(reply.into_inner())),
            Ok(Err(status)) => return Err(Unreachable(status.to_string())),
            Err(_) => probe(channel.clone(), PROBE_TIMEOUT.duration()).await?,
        }
    }
}

/// Checks that a daemon replies.
///
/// # Errors
///
/// Fails if it does not reply within the time-out.
pub(crate) async fn probe(channel: Channel, timeout: Duration) -> Result<(), Unreachable> {
    let mut client = AdmissionClient::new(channel);
    let probe = client.report(ReportRequest::default());
    match tokio::time::timeout(timeout, probe).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(status)) => Err(Unreachable(status.to_string())),
        Err(_) => Err(Unreachable(format!(
            "no reply to a probe within {timeout:?}"
        ))),
    }
}

impl From<AcquireReply> for PermitReply {
    fn from(reply: AcquireReply) -> Self {
        let result = match reply.result {
            Some(acquire_reply::Result::Permit(permit)) => Ok(PermitId(permit)),
            Some(acquire_reply::Result::Refused(refused)) => Err(refusal_of(refused)),
            None => Err(Refusal::not_run(
                Reason::Internal,
                "the owner's reply holds no result",
            )),
        };
        Self {
            result,
            busy: reply.busy,
        }
    }
}

fn refusal_of(refused: Refused) -> Refusal {
    let code = |reason: &&Reason| reason.code() == refused.reason;
    let reason = Reason::ALL.iter().find(code);
    let refusal = Refusal::not_run(*reason.unwrap_or(&Reason::Internal), refused.detail);
    match refused.retry_after_ms {
        Some(after) => refusal.with_retry_after(Millis(after)),
        None => refusal,
    }
}
