//! Paged reads of the results of batch jobs.

use yuccaseam_base::{
    Millis,
    TeamName, //
};
use yuccaseam_platform::{
    ItemOutcome,
    ListedResult,
    ResultPage, //
};

use crate::{
    link::{
        HubReply,
        PageRequest, //
    },
    state::{
        Job,
        State, //
    },
};

use super::Replica;

/// Maximum text in one page. The platform's callers accept 1 MB, with framing.
const MAX_PAGE_BYTES: usize = 900_000;

/// Reads a page of results, and waits up to `wait` for a result if there is none. `None` if
/// leadership cannot be confirmed.
pub(super) async fn read(
    replica: &Replica,
    request: &PageRequest,
    team: Option<&TeamName>,
    wait: Millis,
) -> Option<HubReply> {
    let deadline = tokio::time::Instant::now() + wait.duration();
    loop {
        let changed = replica.changed();
        if !replica.holds_lease() && !replica.read_barrier().await {
            return None;
        }
        let (reply, is_final) = replica.read(|state| page(state, request, team));
        if is_final || tokio::time::timeout_at(deadline, changed).await.is_err() {
            return Some(reply);
        }
    }
}

/// Current reply, and whether it is final: a wait would not change it for the reader.
fn page(state: &State, request: &PageRequest, team: Option<&TeamName>) -> (HubReply, bool) {
    let Some(job) = state.job_for(&request.job, team) else {
        return (HubReply::NotFound, true);
    };
    let page = page_of(job, request.after);
    let is_final = !page.results.is_empty() || job.is_settled();
    (HubReply::Page(page.encode()), is_final)
}

fn page_of(job: &Job, after: usize) -> ResultPage {
    let mut bytes = 0;
    let mut results = Vec::new();
    for listed in job.results().iter().skip(after) {
        let text = listed.finish.text();
        let result = ListedResult {
            item: job.items()[listed.item as usize].id.clone(),
            outcome: match text {
                Some(_) => ItemOutcome::Completed,
                None => ItemOutcome::Errored,
            },
            text: text.unwrap_or_default().into_owned(),
        };
        bytes += result.text.len();
        if bytes > MAX_PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push(result);
    }
    ResultPage {
        total: job.items().len(),
        next: after + results.len(),
        results,
    }
}
