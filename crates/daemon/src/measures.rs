//! Names of the metrics, and the functions that count.
//!
//! `docs/operations/metrics.md` explains each. A name stands here once, so that the page and the
//! code can be compared.

use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

use metrics::{
    counter,
    gauge,
    histogram, //
};
use yuccaseam_base::{
    Millis,
    Reason,
    Verdict, //
};
use yuccaseam_batch::Counts;

/// Requests that were refused or failed, by reason and verdict.
const REFUSALS: &str = "yuccaseam_refusals_total";
/// Calls to a target that were sent again, by the reason of the failure before.
const RETRIES: &str = "yuccaseam_retries_total";
/// Requests that got their whole answer, by kind.
const ANSWERS: &str = "yuccaseam_answers_total";
/// Time from a request's arrival to the first token, in seconds.
const FIRST_TOKEN: &str = "yuccaseam_first_token_seconds";
/// Time between two tokens of one stream, in seconds.
const BETWEEN_TOKENS: &str = "yuccaseam_between_tokens_seconds";
/// Time that a request waited for its permit, in seconds.
const QUEUE_WAIT: &str = "yuccaseam_queue_wait_seconds";
/// The revision of the configuration that this instance runs.
const REVISION: &str = "yuccaseam_configuration_revision";
/// Requests of callers that are running here.
const RUNNING: &str = "yuccaseam_running_requests";

/// Batch items by what became of a run, at the targets that this instance owns.
const BATCH_ITEMS: &str = "yuccaseam_batch_items_total";

fn seconds(span: Millis) -> f64 {
    span.duration().as_secs_f64()
}

/// Counts a refusal.
pub(crate) fn count_refusal(reason: Reason, verdict: Verdict) {
    counter!(REFUSALS, "reason" => reason.code(), "verdict" => verdict.code()).increment(1);
}

/// Counts a call that is sent again.
pub(crate) fn count_retry(reason: Reason) {
    counter!(RETRIES, "reason" => reason.code()).increment(1);
}

/// Counts a whole answer.
pub(crate) fn count_answer(kind: &'static str) {
    counter!(ANSWERS, "kind" => kind).increment(1);
}

/// Records the time to the first token.
pub(crate) fn record_first_token(span: Millis) {
    histogram!(FIRST_TOKEN).record(seconds(span));
}

/// Records the time between two tokens.
pub(crate) fn record_between_tokens(span: Millis) {
    histogram!(BETWEEN_TOKENS).record(seconds(span));
}

/// Records the wait for a permit.
pub(crate) fn record_queue_wait(span: Millis) {
    histogram!(QUEUE_WAIT).record(seconds(span));
}

/// Sets the revision that runs here.
pub(crate) fn set_revision(revision: u64) {
    gauge!(REVISION).set(revision as f64);
}

/// Counts what became of batch items since the last time.
pub(crate) fn count_batch(before: &Counts, now: &Counts) {
    let count = |outcome: &'static str, before: u64, now: u64| {
        counter!(BATCH_ITEMS, "outcome" => outcome).increment(now - before);
    };
    count("done", before.done, now.done);
    count("failed", before.failed, now.failed);
    count("retried", before.retried, now.retried);
    count("paused", before.paused, now.paused);
    count("dropped", before.dropped, now.dropped);
}

/// The number of running requests, which a planned stop waits for.
static RUNNING_NOW: AtomicUsize = AtomicUsize::new(0);

/// Counts one running request while it lives.
pub(crate) struct Running(());

impl Running {
    /// Counts a request as running.
    pub(crate) fn start() -> Self {
        let before = RUNNING_NOW.fetch_add(1, Ordering::SeqCst);
        gauge!(RUNNING).set((before + 1) as f64);
        Self(())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let before = RUNNING_NOW.fetch_sub(1, Ordering::SeqCst);
        gauge!(RUNNING).set((before - 1) as f64);
    }
}

/// The number of running requests.
pub(crate) fn running() -> usize {
    RUNNING_NOW.load(Ordering::SeqCst)
}
