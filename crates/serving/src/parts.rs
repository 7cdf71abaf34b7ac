//! Reports to the leader about prompt parts, and trials of quarantined ones.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use yuccaseam_base::Millis;

use crate::{
    cx::Cx,
    link::{
        HubReply,
        HubRequest,
        pause, //
    },
    quarantine::{
        CrashReport,
        Feature, //
    },
    targets::TargetKey,
};

/// How long a report to the leader is tried. A new leader is elected within that time.
const REPORT_TIMEOUT: Millis = Millis(3_000);
/// Time limit of one attempt. Short, since a report holds the age of a crash.
const ATTEMPT_TIMEOUT: Millis = Millis(500);
/// Pause between two attempts.
const ATTEMPT_BACKOFF: Millis = Millis(60);
/// How long a request waits for the grant of a trial.
const TRIAL_TIMEOUT: Millis = Millis(300);

/// A request whose connection broke before the first event.
pub(crate) struct BrokenRequest {
    pub(crate) target: TargetKey,
    pub(crate) address: SocketAddr,
    /// Shared parts of the prompt.
    pub(crate) parts: Vec<Feature>,
    pub(crate) sent_at: Millis,
}

impl BrokenRequest {
    /// Records the request if its target crashed, and returns the report for the leader, if it is evidence. A
    /// target that still accepts connections only broke one.
    pub(crate) async fn into_report(self, cx: &Cx) -> Option<CrashReport> {
        let crashed_at = cx.clock.now();
        if self.parts.is_empty() || cx.upstream.accepts_connections(self.address).await {
            return None;
        }
        let ran_for = crashed_at - self.sent_at;
        let mut guard = cx.part_guard();
        let (report, culprits) = guard.record_crash(self.target, &self.parts, ran_for, crashed_at);
        drop(guard);
        for part in culprits {
            log::warn!(part:% = part; "prompt part quarantined at this instance");
        }
        let age = cx.clock.now() - crashed_at;
        report.map(|report| CrashReport { age, ..report })
    }
}

/// Records a request whose connection broke before the first event, and reports it to the leader if its
/// target crashed.
pub(crate) fn record_broken(cx: &Arc<Cx>, request: BrokenRequest) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        if let Some(report) = request.into_report(&cx).await {
            report_crashes(&cx, vec![report]);
        }
    });
}

/// Records that a target has begun to answer a request, and tells the leader if it watches a part of the
/// prompt.
pub(crate) fn prove(cx: &Arc<Cx>, parts: &[Feature]) {
    let watched = cx.part_guard().prove(parts, cx.clock.now());
    if !watched.is_empty() {
        report_to_leader(cx, move |_| HubRequest::ProveParts(watched.clone()));
    }
}

/// Reports recent crashes to a leader that may be new.
pub(crate) fn report_recent_crashes(cx: &Arc<Cx>) {
    let reports = cx.part_guard().recent_reports(cx.clock.now());
    if !reports.is_empty() {
        report_crashes(cx, reports);
    }
}

/// Reports crashes to the leader, with their ages at the time of each attempt.
fn report_crashes(cx: &Arc<Cx>, reports: Vec<CrashReport>) {
    let created_at = cx.clock.now();
    report_to_leader(cx, move |now| {
        let reports = reports.iter().map(|report| CrashReport {
            age: report.age + (now - created_at),
            ..report.clone()
        });
        HubRequest::ReportCrashes(reports.collect())
    });
}

/// Calls the leader until it confirms, with a request that is built anew for each attempt.
fn report_to_leader<F>(cx: &Arc<Cx>, build: F)
where
    F: Fn(Millis) -> HubRequest + Send + 'static,
{
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        let deadline = cx.clock.now() + REPORT_TIMEOUT;
        loop {
            let now = cx.clock.now();
            let reply = cx.call_leader(&build(now), now + ATTEMPT_TIMEOUT).await;
            if reply == Some(HubReply::Done) {
                return;
            }
            if cx.clock.now() >= deadline {
                // Crashes are reported again to the next leader.
                log::warn!(reply:? = reply; "leader did not confirm a report on prompt parts");
                return;
            }
            pause(ATTEMPT_BACKOFF).await;
        }
    });
}

/// Asks the leader for the trial of a quarantined part. False if it grants none in time.
pub(crate) async fn take_trial(cx: &Cx, part: Feature) -> bool {
    let deadline = cx.clock.now() + TRIAL_TIMEOUT;
    let reply = cx.call_leader(&HubRequest::TryPart(part), deadline).await;
    reply == Some(HubReply::Done)
}
