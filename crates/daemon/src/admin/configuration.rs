//! Reading and changing the configuration.

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

/// The most changes that one answer lists.
const HISTORY_PAGE: u32 = 1_000;

/// A change as an operator sends it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    /// Identifies the change: sending it again has no second effect.
    request: String,
    /// The revision that it is based on.
    expected: u64,
    author: String,
    changes: Vec<ConfigurationChange>,
}

/// Answers with the configuration that a quorum confirms.
pub(crate) fn show(cx: &Context, out: Responder) {
    match cx.store.query(cx, &Query::Configuration) {
        Ok(QueryResult::Configuration(configuration)) => out.json(200, &json!(configuration)),
        Ok(other) => out.refuse(&unexpected(&other)),
        Err(refusal) => out.refuse(&refusal),
    }
}

/// Answers with the exceptions in force, for the payers to read.
pub(crate) fn exceptions(cx: &Context, out: Responder) {
    match cx.store.query(cx, &Query::Configuration) {
        Ok(QueryResult::Configuration(configuration)) => {
            let list: Vec<_> = configuration.exceptions.values().collect();
            out.json(200, &json!({ "exceptions": list }));
        }
        Ok(other) => out.refuse(&unexpected(&other)),
        Err(refusal) => out.refuse(&refusal),
    }
}

/// Answers with the accepted changes after the revision in the parameter `after`.
pub(crate) fn history(cx: &Context, call: &Call, out: Responder) {
    let after = call.param("after").and_then(|text| text.parse().ok());
    let query = Query::ConfigurationHistory {
        after: after.unwrap_or(0),
        limit: HISTORY_PAGE,
    };
    match cx.store.query(cx, &query) {
        Ok(QueryResult::ConfigurationHistory(history)) => {
            out.json(200, &json!({ "history": history }));
        }
        Ok(other) => out.refuse(&unexpected(&other)),
        Err(refusal) => out.refuse(&refusal),
    }
}

/// Changes the configuration if it stands at the expected revision.
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
        Ok(Outcome::Configuration(outcome)) => answer_change(cx, outcome, out),
        Ok(other) => out.refuse(&unexpected(&other)),
        Err(refusal) => out.refuse(&refusal),
    }
}

fn answer_change(cx: &Context, outcome: ConfigurationOutcome, out: Responder) {
    match outcome {
        ConfigurationOutcome::Accepted { revision } => {
            // The operator's next request to this instance meets the new configuration.
            if let Err(error) = cx.store.refresh_configuration(cx) {
                log::warn!("revision {revision} is accepted and not yet in force here: {error:#}");
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

/// The refusal of an answer of another kind than was asked for.
pub(crate) fn unexpected<T>(answer: &T) -> Refusal
where
    T: std::fmt::Debug,
{
    Refusal::may_have_run(Reason::Internal, format!("unexpected answer {answer:?}"))
}
