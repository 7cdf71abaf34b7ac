//! Batch jobs: what callers send about them goes to the leader.

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
    headers, //
};

use crate::{
    cx::Cx,
    link::{
        self,
        Ask,
        PageRequest, //
    },
    state::{
        NewItem,
        NewJob, //
    },
};

use super::answer::{
    Answer,
    empty,
    json,
    refused,
    text, //
};

/// How long a call about a job may take, beyond the time that a reader lets it wait.
const CALL: Millis = Millis(4_000);
/// When a caller may find a leader again.
const LEADER_SOON: Millis = Millis(700);
/// When a job may fit that did not.
const ROOM_SOON: Millis = Millis(2_000);

/// Accepts a job.
pub(super) async fn submit(
    cx: &Cx,
    route: &Route,
    host: &str,
    head: &Parts,
    body: &[u8],
    arrived_at: Millis,
) -> Answer {
    let Some(id) = headers::text(&head.headers, &headers::REQUEST_ID) else {
        return text(StatusCode::BAD_REQUEST, "a job needs an id");
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
        waiting_limit: route.waiting_tokens,
        max_attempts: route.max_attempts,
        submitted_at: cx.seams.unix_now(),
        items: submission.items.into_iter().map(NewItem::from).collect(),
    };
    let answer = cx.ask_leader(&Ask::Submit(job), arrived_at + CALL).await;
    let outcome = outcome_code(answer.as_ref());
    log::info!(request = id, items, outcome, took_ms = (cx.clock.now() - arrived_at).0;
        "batch job submitted");
    match answer {
        Some(link::Answer::Done) => empty(StatusCode::ACCEPTED),
        Some(link::Answer::OverLimit) => {
            let mut answer = refused("too many tokens wait", ROOM_SOON);
            *answer.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            answer
        }
        other => unanswered(other),
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

/// Answers a call about a job that was accepted.
pub(super) async fn call(cx: &Cx, call: BatchCall, head: &Parts, arrived_at: Millis) -> Answer {
    let wait = headers::millis(&head.headers, &headers::WAIT).unwrap_or_default();
    let ask = match call {
        BatchCall::Results { job, after } => Ask::Results(PageRequest {
            job,
            after,
            wait_ms: wait.0,
        }),
        BatchCall::ItemBody { job, item } => Ask::ItemBody { job, item },
        BatchCall::End { job } => Ask::EndJob(job),
    };
    let is_read = !matches!(ask, Ask::EndJob(_));
    match cx.ask_leader(&ask, arrived_at + CALL).await {
        Some(link::Answer::Unknown) if is_read => {
            refused("no quorum answered in time", LEADER_SOON)
        }
        Some(link::Answer::Page(page)) => json(StatusCode::OK, page),
        Some(link::Answer::Body(body)) => text(StatusCode::OK, body),
        Some(link::Answer::Done) => empty(StatusCode::OK),
        Some(link::Answer::NotFound) => text(StatusCode::NOT_FOUND, "no such job or item"),
        other => unanswered(other),
    }
}

fn unanswered(answer: Option<link::Answer>) -> Answer {
    match answer {
        Some(_) => text(StatusCode::GATEWAY_TIMEOUT, "no quorum answered in time"),
        None => refused("no leader was found", LEADER_SOON),
    }
}

fn outcome_code(answer: Option<&link::Answer>) -> &'static str {
    match answer {
        Some(link::Answer::Done) => "accepted",
        Some(link::Answer::OverLimit) => "over_limit",
        Some(_) => "unknown",
        None => "no_leader",
    }
}
