//! Batch jobs: forwards callers' calls about jobs to the leader.

use http::{
    StatusCode,
    request::Parts, //
};
use yuccaseam_base::Millis;
use yuccaseam_platform::{
    BatchCall,
    Route,
    Submission,
    SubmittedItem,
    Team,
    headers, //
};

use crate::{
    cx::Cx,
    link::{
        self,
        HubRequest,
        PageRequest, //
    },
    state::{
        NewItem,
        NewJob, //
    },
};

use super::response::{
    HttpResponse,
    empty,
    json,
    refusal,
    text, //
};

/// Time-out of a call to the leader, from the arrival of the caller's request. The wait for results
/// that a reader requests counts against it.
const CALL_TIMEOUT: Millis = Millis(4_000);
/// Retry delay for callers while no leader is available.
const LEADER_RETRY_AFTER: Millis = Millis(700);
/// Retry delay for a job that exceeds the limit of waiting tokens, or the capacity of the stores.
const CAPACITY_RETRY_AFTER: Millis = Millis(2_000);

/// Submits a job to the leader.
pub(super) async fn submit(
    cx: &Cx,
    route: &Route,
    host: &str,
    head: &Parts,
    body: &[u8],
    team: Option<&Team>,
    arrived_at: Millis,
) -> HttpResponse {
    let Some(id) = headers::text(&head.headers, &headers::REQUEST_ID) else {
        return text(StatusCode::BAD_REQUEST, "batch job has no request id");
    };
    let submission = match Submission::decode(body) {
        Ok(submission) => submission,
        Err(error) => return text(StatusCode::BAD_REQUEST, error.0),
    };
    let items = submission.items.len();
    let job = NewJob {
        id: id.to_owned(),
        host: host.to_owned(),
        route: format!("{}{}", route.host, route.path_prefix),
        waiting_limit: route.max_waiting_tokens,
        max_attempts: route.max_attempts,
        submitted_at: cx.test_hooks.unix_now(),
        items: submission.items.into_iter().map(NewItem::from).collect(),
    };
    let reply = cx
        .call_leader(
            &on_behalf_of(team, HubRequest::Submit(job)),
            arrived_at + CALL_TIMEOUT,
        )
        .await;
    let outcome = outcome_code(reply.as_ref());
    let team_name = team.map(|team| team.name.as_str());
    let took = cx.clock.now() - arrived_at;
    log::info!(
        request = id, team = team_name, items, outcome, took_ms = took.0; "batch job submitted");
    match reply {
        Some(link::HubReply::Done) => empty(StatusCode::ACCEPTED),
        Some(link::HubReply::OverLimit) => {
            let mut response = refusal(
                "job exceeds the route's limit of waiting tokens",
                CAPACITY_RETRY_AFTER,
            );
            *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            response
        }
        Some(link::HubReply::NoCapacity) => {
            refusal("stores have no capacity for the job", CAPACITY_RETRY_AFTER)
        }
        Some(link::HubReply::NotFound) => {
            text(StatusCode::CONFLICT, "job id is used by another team")
        }
        other => failed_call_response(other),
    }
}

/// Request about a job, on behalf of the caller's team if there is one.
fn on_behalf_of(team: Option<&Team>, request: HubRequest) -> HubRequest {
    match team {
        Some(team) => HubRequest::ForTeam {
            team: team.name.clone(),
            request: Box::new(request),
        },
        None => request,
    }
}

impl From<SubmittedItem> for NewItem {
    fn from(item: SubmittedItem) -> Self {
        Self {
            id: item.id,
            path: item.path,
            headers: item.headers,
            body: item.body,
            tokens: item.tokens,
        }
    }
}

/// Handles a call about an accepted job.
pub(super) async fn call(
    cx: &Cx,
    call: BatchCall,
    head: &Parts,
    team: Option<&Team>,
    arrived_at: Millis,
) -> HttpResponse {
    let wait = headers::millis(&head.headers, &headers::WAIT).unwrap_or_default();
    let request = match call {
        BatchCall::Results { job, after } => HubRequest::Results(PageRequest {
            job,
            after,
            wait_ms: wait.0,
        }),
        BatchCall::ItemBody { job, item } => HubRequest::ItemBody { job, item },
        BatchCall::End { job } => HubRequest::EndJob(job),
    };
    let is_read = !matches!(request, HubRequest::EndJob(_));
    let request = on_behalf_of(team, request);
    match cx.call_leader(&request, arrived_at + CALL_TIMEOUT).await {
        Some(link::HubReply::Unknown) if is_read => {
            refusal("no quorum replied in time", LEADER_RETRY_AFTER)
        }
        Some(link::HubReply::Page(page)) => json(StatusCode::OK, page),
        Some(link::HubReply::Body(body)) => text(StatusCode::OK, body),
        Some(link::HubReply::Done) => empty(StatusCode::OK),
        Some(link::HubReply::NotFound) => text(StatusCode::NOT_FOUND, "no such job or item"),
        other => failed_call_response(other),
    }
}

fn failed_call_response(reply: Option<link::HubReply>) -> HttpResponse {
    match reply {
        Some(_) => text(StatusCode::GATEWAY_TIMEOUT, "no quorum replied in time"),
        None => refusal("no leader available", LEADER_RETRY_AFTER),
    }
}

fn outcome_code(reply: Option<&link::HubReply>) -> &'static str {
    match reply {
        Some(link::HubReply::Done) => "accepted",
        Some(link::HubReply::OverLimit) => "over_limit",
        Some(link::HubReply::NoCapacity) => "no_capacity",
        Some(link::HubReply::NotFound) => "other_team",
        Some(_) => "unknown",
        None => "no_leader",
    }
}
