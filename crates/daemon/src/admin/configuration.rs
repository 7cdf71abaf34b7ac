//! Handlers that read and change the configuration.

use serde::Deserialize;
use serde_json::json;
use yuccaseam_base::{
    Reason,
    Refusal, //
};
use yuccaseam_state::{
    ConfigurationChange,
    ConfigurationOutcome,
    Outcome,
    Query,
    QueryResult,
    SetConfiguration, //
};

use crate::{
    context::Context,
    http::{
        Call,
        Responder, //
    },
};

/// Maximum number of changes in one response.
const HISTORY_PAGE_CHANGES: u32 = 1_000;

/// Body of a request to change the configuration.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    /// Identifies the change, so that a retry has no second effect.
    request: String,
    /// Revision that the change is based on.
    expected: u64,
    author: String,
    changes: Vec<ConfigurationChange>,
}

/// Responds with the configuration, confirmed by a quorum.
pub(crate) fn show(cx: &Context, out: Responder) {
    match cx.store.query(cx, &Query::Configuration) {
        Ok(QueryResult::Configuration(configuration)) => out.json(200, &json!(configuration)),
        Ok(other) => out.refuse(&unexpected_result(&other)),
        Err(refusal) => out.refuse(&refusal),
    }
}

/// Responds with the exceptions in force, for review by those who pay for them.
pub(crate) fn exceptions(cx: &Context, out: Responder) {
    match cx.store.query(cx, &Query::Configuration) {
        Ok(QueryResult::Configuration(configuration)) => {
            let list: Vec<_> = configuration.exceptions.values().collect();
            out.json(200, &json!({ "exceptions": list }));
        }
        Ok(other) => out.refuse(&unexpected_result(&other)),
        Err(refusal) => out.refuse(&refusal),
    }
}

/// Responds with the accepted changes after the revision in the parameter `after`.
pub(crate) fn history(cx: &Context, call: &Call, out: Responder) {
    let after = call.param("after").and_then(|text| text.parse().ok());
    let query = Query::ConfigurationHistory {
        after: after.unwrap_or(0),
        limit: HISTORY_PAGE_CHANGES,
    };
    match cx.store.query(cx, &query) {
        Ok(QueryResult::ConfigurationHistory(history)) => {
            out.json(200, &json!({ "history": history }));
        }
        Ok(other) => out.refuse(&unexpected_result(&other)),
        Err(refusal) => out.refuse(&refusal),
    }
}

/// Changes the configuration if its revision is the expected one.
pub(crate) fn change(cx: &Context, call: &Call, out: Responder) {
    let body: ChangeBody = match call.json() {
        Ok(body) => body,
        Err(refusal) => return out.refuse(&refusal),
    };
    if body.request.is_empty() || body.author.is_empty() {
        let detail = "the fields `request` and `author` must not be empty";
        return out.refuse(&Refusal::not_run(Reason::BadRequest, detail));
    }
    let set = SetConfiguration {
        request: body.request,
        expected_revision: body.expected,
        author: body.author,
        changes: body.changes,
    };
    match cx.store.propose(cx, set) {
        Ok(Outcome::Configuration(outcome)) => respond_to_change(cx, outcome, out),
        Ok(other) => out.refuse(&unexpected_result(&other)),
        Err(refusal) => out.refuse(&refusal),
    }
}

fn respond_to_change(cx: &Context, outcome: ConfigurationOutcome, out: Responder) {
    match outcome {
        ConfigurationOutcome::Accepted { revision } => {
            // The operator's next request to this instance sees the new configuration.
            if let Err(error) = cx.store.refresh_configuration(cx) {
                log::warn!("revision {revision} accepted but not yet in force here: {error:#}");
            }
            out.json(200, &json!({ "revision": revision }));
        }
        ConfigurationOutcome::Conflict {
            revision,
            author,
            at,
        } => {
            let detail = format!(
                "revision {revision} stands, made by {author} at Unix time {} ms: read it and \
                 base the change on it",
                at.0
            );
            out.refuse(&Refusal::not_run(Reason::RevisionConflict, detail));
        }
        ConfigurationOutcome::Invalid { problems } => {
            let list: Vec<_> = problems.iter().map(ToString::to_string).collect();
            out.refuse(&Refusal::not_run(Reason::BadRequest, list.join("; ")));
        }
    }
}

/// Refusal for a result whose variant does not match the query or the operation.
pub(crate) fn unexpected_result<T>(result: &T) -> Refusal
where
    T: std::fmt::Debug,
{
    Refusal::may_have_run(Reason::Internal, format!("unexpected result {result:?}"))
}
