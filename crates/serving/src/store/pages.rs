//! Reads of the results of batch jobs.

use yuccaseam_base::Millis;
use yuccaseam_platform::{
    ItemOutcome,
    ListedResult,
    ResultPage, //
};

use crate::{
    link::{
        Answer,
        PageRequest, //
    },
    state::{
        Finish,
        Job,
        State, //
    },
};

use super::Replica;

/// The most text in one page, in bytes. The platform's callers take 1 MB with its framing.
const PAGE_BYTES: usize = 900_000;

/// Reads results, waiting for the next one if there is none yet. `None` if this instance cannot be
/// sure to lead.
pub(super) async fn read(replica: &Replica, request: &PageRequest, wait: Millis) -> Option<Answer> {
    let until = tokio::time::Instant::now() + wait.duration();
    loop {
        let changed = replica.changed();
        if !replica.holds_lease() && !replica.confirm().await {
            return None;
        }
        let (answer, is_final) = replica.read(|state| page(state, request));
        if is_final || tokio::time::timeout_at(until, changed).await.is_err() {
            return Some(answer);
        }
    }
}

/// The answer as of now, and whether waiting can make no difference to its reader.
fn page(state: &State, request: &PageRequest) -> (Answer, bool) {
    let Some(job) = state.job(&request.job) else {
        return (Answer::NotFound, true);
    };
    let page = page_of(job, request.after);
    let is_final = !page.results.is_empty() || job.is_settled();
    (Answer::Page(page.encode()), is_final)
}

fn page_of(job: &Job, after: usize) -> ResultPage {
    let mut bytes = 0;
    let mut results = Vec::new();
    for listed in job.results().iter().skip(after) {
        let result = ListedResult {
            item: job.items()[listed.item as usize].id.clone(),
            outcome: match listed.finish {
                Finish::Completed(_) => ItemOutcome::Completed,
                Finish::Errored => ItemOutcome::Errored,
            },
            text: match &listed.finish {
                Finish::Completed(text) => text.clone(),
                Finish::Errored => String::new(),
            },
        };
        bytes += result.text.len();
        if bytes > PAGE_BYTES && !results.is_empty() {
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
