//! The service that entries call at an owner.

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
    OwnerSide,
    PermitRequest, //
};
use crate::context::Context;

/// The service that entries call at an owner.
pub(crate) struct AdmissionService {
    cx: Arc<Context>,
}

impl AdmissionService {
    pub(crate) fn new(cx: Arc<Context>) -> Self {
        Self { cx }
    }
}

/// Withdraws a request whose entry stops waiting: the call's future is then dropped.
struct Withdraw<'a> {
    owner: &'a OwnerSide,
    target: &'a TargetName,
    permit: PermitId,
    answered: bool,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        if !self.answered {
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
        let ticket = match owner.ask(&self.cx, &req) {
            Ok(ticket) => ticket,
            Err(refusal) => return Ok(Response::new(reply(Err(refusal), 0))),
        };
        let mut withdraw = Withdraw {
            owner,
            target: &req.target,
            permit: ticket.permit,
            answered: false,
        };
        let answer = ticket.answer.await;
        let answer = answer.map_err(|_| Status::unavailable("the target is no longer owned"))?;
        withdraw.answered = true;
        Ok(Response::new(reply(answer.result, answer.busy)))
    }

    async fn report(&self, req: Request<ReportRequest>) -> Result<Response<ReportReply>, Status> {
        let reply = take_report(&self.cx, &req.into_inner());
        Ok(Response::new(reply))
    }
}

/// Takes a report of an entry, this one included, in.
pub(super) fn take_report(cx: &Context, req: &ReportRequest) -> ReportReply {
    let owner = &cx.admission.owner;
    let mut named = Vec::new();
    for finished in &req.finished {
        let target = TargetName(finished.target.clone());
        owner.finish(&target, PermitId(finished.permit));
        named.push(target);
    }
    let mut held: HashMap<TargetName, Vec<PermitId>> = HashMap::new();
    for permit in &req.held {
        let target = held.entry(TargetName(permit.target.clone())).or_default();
        target.push(PermitId(permit.permit));
    }
    if req.renewal {
        owner.renew(cx, &req.instance, &held);
    }
    named.extend(held.into_keys());
    named.sort_unstable();
    named.dedup();
    let load = |target: TargetName| {
        let busy = owner.busy(&target)?;
        let target = target.0;
        Some(TargetLoad { target, busy })
    };
    let loads = named.into_iter().filter_map(load).collect();
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

fn reply(result: Result<PermitId, Refusal>, busy: u32) -> AcquireReply {
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
