//! Metric names and the functions that record them.
//!
//! `docs/operations/metrics.md` explains each metric. Each name stands here only once, so that the
//! page can be compared with the code.

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

/// Requests that were refused or that failed, by reason and verdict.
const REFUSALS: &str = "yuccaseam_refusals_total";
/// Retried calls to a target, by the reason of the preceding failure.
const RETRIES: &str = "yuccaseam_retries_total";
/// Requests that received a complete response, by kind.
const RESPONSES: &str = "yuccaseam_answers_total";
/// Time from a request's arrival to the first token, in seconds.
const FIRST_TOKEN: &str = "yuccaseam_first_token_seconds";
/// Time between two tokens of one stream, in seconds.
const BETWEEN_TOKENS: &str = "yuccaseam_between_tokens_seconds";
/// Wait of a request for its permit, in seconds.
const QUEUE_WAIT: &str = "yuccaseam_queue_wait_seconds";
/// The revision of the configuration that this instance runs.
const REVISION: &str = "yuccaseam_configuration_revision";
/// Running requests of callers.
const RUNNING: &str = "yuccaseam_running_requests";

/// Runs of batch items by outcome, at the targets that this instance owns.
const BATCH_ITEMS: &str = "yuccaseam_batch_items_total";

fn seconds(span: Millis) -> f64 {
    span.duration().as_secs_f64()
}

/// Counts a request that was refused or failed.
pub(crate) fn count_refusal(reason: Reason, verdict: Verdict) {
    counter!(REFUSALS, "reason" => reason.code(), "verdict" => verdict.code()).increment(1);
}

/// Counts a retried call.
pub(crate) fn count_retry(reason: Reason) {
    counter!(RETRIES, "reason" => reason.code()).increment(1);
}

/// Counts a complete response.
pub(crate) fn count_response(kind: &'static str) {
    counter!(RESPONSES, "kind" => kind).increment(1);
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

/// Sets the revision of the configuration in force.
pub(crate) fn set_revision(revision: u64) {
    gauge!(REVISION).set(revision as f64);
}

/// Adds the outcomes of batch items between two readings of the counts.
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

/// Number of running requests. A planned stop waits until it is zero.
static RUNNING_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Guard that counts one running request until it is dropped.
pub(crate) struct RunningRequest(());

impl RunningRequest {
    /// Counts a request as running.
    pub(crate) fn start() -> Self {
        let before = RUNNING_COUNT.fetch_add(1, Ordering::SeqCst);
        gauge!(RUNNING).set((before + 1) as f64);
        Self(())
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let before = RUNNING_COUNT.fetch_sub(1, Ordering::SeqCst);
        gauge!(RUNNING).set((before - 1) as f64);
    }
}

/// Number of running requests.
pub(crate) fn running_requests() -> usize {
    RUNNING_COUNT.load(Ordering::SeqCst)
}
