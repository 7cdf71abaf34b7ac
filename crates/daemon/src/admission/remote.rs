//! Asking another daemon for a permit, without waiting on one that is gone.

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

use super::target::Answer;

/// How long an owner may say nothing before it is probed. A request that waits in a queue stays in
/// it as long as the probes are answered.
const PROBE_AFTER: Millis = Millis(150);
/// How long a probe waits for its answer.
const PROBE_BOUND: Millis = Millis(200);

/// The owner did not answer. No byte went to a target.
#[derive(Debug)]
pub(crate) struct Unreachable(pub(crate) String);

/// Asks an owner for a permit and waits for its answer.
///
/// # Errors
///
/// Fails if the owner answers neither the request nor a probe.
pub(crate) async fn acquire(channel: Channel, req: AcquireRequest) -> Result<Answer, Unreachable> {
    let mut client = AdmissionClient::new(channel.clone());
    let call = client.acquire(req);
    tokio::pin!(call);
    loop {
        match tokio::time::timeout(PROBE_AFTER.duration(), &mut call).await {
            Ok(Ok(reply)) => return Ok(Answer::from(reply.into_inner())),
            Ok(Err(status)) => return Err(Unreachable(status.to_string())),
            Err(_) => probe(channel.clone(), PROBE_BOUND.duration()).await?,
        }
    }
}

/// Asks a daemon whether it is there.
///
/// # Errors
///
/// Fails if it does not answer within the bound.
pub(crate) async fn probe(channel: Channel, bound: Duration) -> Result<(), Unreachable> {
    let mut client = AdmissionClient::new(channel);
    let probe = client.report(ReportRequest::default());
    match tokio::time::timeout(bound, probe).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(status)) => Err(Unreachable(status.to_string())),
        Err(_) => Err(Unreachable(format!("no answer to a probe in {bound:?}"))),
    }
}

impl From<AcquireReply> for Answer {
    fn from(reply: AcquireReply) -> Self {
        let result = match reply.result {
            Some(acquire_reply::Result::Permit(permit)) => Ok(PermitId(permit)),
            Some(acquire_reply::Result::Refused(refused)) => Err(refusal_of(refused)),
            None => Err(Refusal::not_run(
                Reason::Internal,
                "an empty answer of an owner",
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
