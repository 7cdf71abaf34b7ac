//! The RPC service through which entries call owners of targets.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use tonic::{
    Request,
    Response,
    Status, //
};
use yuccaseam_admit::PermitId;
use yuccaseam_base::{
    Millis,
    Refusal,
    TargetName, //
};
use yuccaseam_wire::admission::{
    AcquireReply,
    AcquireRequest,
    Refused,
    ReportReply,
    ReportRequest,
    TargetLoad,
    acquire_reply,
    admission_server::Admission, //
};

use super::owner::{
    OwnerAdmission,
    PermitRequest, //
};
use crate::context::Context;

/// The RPC service through which entries call this daemon as an owner of targets.
pub(crate) struct AdmissionService {
    cx: Arc<Context>,
}

impl AdmissionService {
    pub(crate) fn new(cx: Arc<Context>) -> Self {
        Self { cx }
    }
}

/// Withdraws a permit request when it is dropped without a reply. The future of a call is dropped
/// when its entry stops waiting.
struct WithdrawOnDrop<'a> {
    owner: &'a OwnerAdmission,
    target: &'a TargetName,
    permit: PermitId,
    replied: bool,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if !self.replied {
            self.owner.withdraw(self.target, self.permit);
        }
    }
}

#[tonic::async_trait]
impl Admission for AdmissionService {
    async fn acquire(
        &self,
        req: Request<AcquireRequest>,
    ) -> Result<Response<AcquireReply>, Status> {
        let req = PermitRequest::from(req.into_inner());
        let owner = &self.cx.admission.owner;
        let pending = match owner.request_permit(&self.cx, &req) {
            Ok(pending) => pending,
            Err(refusal) => return Ok(Response::new(to_acquire_reply(Err(refusal), 0))),
        };
        let mut withdraw = WithdrawOnDrop {
            owner,
            target: &req.target,
            permit: pending.permit,
            replied: false,
        };
        let outcome = pending.reply.await;
        let outcome = outcome.map_err(|_| Status::unavailable("the target was removed"))?;
        withdraw.replied = true;
        Ok(Response::new(to_acquire_reply(
            outcome.result,
            outcome.busy,
        )))
    }

    async fn report(&self, req: Request<ReportRequest>) -> Result<Response<ReportReply>, Status> {
        let reply = apply_report(&self.cx, &req.into_inner());
        Ok(Response::new(reply))
    }
}

/// Applies a report of an entry, which may be this one. The reply holds the load of the targets
/// that the report names.
pub(super) fn apply_report(cx: &Context, req: &ReportRequest) -> ReportReply {
    let owner = &cx.admission.owner;
    let mut reported_targets = Vec::new();
    for finished in &req.finished {
        let target = TargetName(finished.target.clone());
        owner.finish(&target, PermitId(finished.permit));
        reported_targets.push(target);
    }
    let mut held: HashMap<TargetName, Vec<PermitId>> = HashMap::new();
    for permit in &req.held {
        let target = held.entry(TargetName(permit.target.clone())).or_default();
        target.push(PermitId(permit.permit));
    }
    if req.renewal {
        owner.renew(cx, &req.instance, &held);
    }
    reported_targets.extend(held.into_keys());
    reported_targets.sort_unstable();
    reported_targets.dedup();
    let load = |target: TargetName| {
        let busy = owner.busy(&target)?;
        let target = target.0;
        Some(TargetLoad { target, busy })
    };
    let loads = reported_targets.into_iter().filter_map(load).collect();
    ReportReply { loads }
}

impl From<AcquireRequest> for PermitRequest {
    fn from(req: AcquireRequest) -> Self {
        Self {
            instance: req.instance,
            target: TargetName(req.target),
            class: req.class,
            team: req.team,
            prompt_tokens: req.prompt_tokens,
            answer_tokens: req.answer_tokens,
            wait: Millis(req.wait_ms),
        }
    }
}

fn to_acquire_reply(result: Result<PermitId, Refusal>, busy: u32) -> AcquireReply {
    let result = match result {
        Ok(permit) => acquire_reply::Result::Permit(permit.0),
        Err(refusal) => acquire_reply::Result::Refused(Refused {
            reason: refusal.reason.code().to_owned(),
            detail: refusal.detail,
            retry_after_ms: refusal.retry_after.map(|after| after.0),
        }),
    };
    AcquireReply {
        result: Some(result),
        busy,
    }
}
