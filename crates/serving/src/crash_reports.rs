//! Reports to the leader about crashes of targets, and trials of quarantined features.

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

/// A request whose connection broke before the end of its answer.
pub(crate) struct BrokenRequest {
    pub(crate) target: TargetKey,
    pub(crate) address: SocketAddr,
    /// Features of the request.
    pub(crate) features: Vec<Feature>,
    pub(crate) sent_at: Millis,
}

impl BrokenRequest {
    /// Records the request if its target crashed, and returns the report for the leader, if it is evidence. A
    /// target that still accepts connections only broke one.
    pub(crate) async fn into_report(self, cx: &Cx) -> Option<CrashReport> {
        let crashed_at = cx.clock.now();
        if self.features.is_empty() || cx.upstream.accepts_connections(self.address).await {
            return None;
        }
        let ran_for = crashed_at - self.sent_at;
        let mut guard = cx.feature_guard();
        let (report, culprits) =
            guard.record_crash(self.target, &self.features, ran_for, crashed_at);
        drop(guard);
        for feature in culprits {
            log::warn!(feature:% = feature; "feature quarantined at this instance");
        }
        let age = cx.clock.now() - crashed_at;
        report.map(|report| CrashReport { age, ..report })
    }
}

/// Records a request whose connection broke before the end of its answer, and reports it to the leader if its
/// target crashed.
pub(crate) fn record_broken(cx: &Arc<Cx>, request: BrokenRequest) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        if let Some(report) = request.into_report(&cx).await {
            report_crashes(&cx, vec![report]);
        }
    });
}

/// Records that a target has answered a request, and tells the leader if it watches a feature of the request.
pub(crate) fn prove(cx: &Arc<Cx>, features: &[Feature]) {
    let watched = cx.feature_guard().prove(features, cx.clock.now());
    if !watched.is_empty() {
        report_to_leader(cx, move |_| HubRequest::ProveFeatures(watched.clone()));
    }
}

/// Reports recent crashes to a leader that may be new.
pub(crate) fn report_recent_crashes(cx: &Arc<Cx>) {
    let reports = cx.feature_guard().recent_reports(cx.clock.now());
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
                log::warn!(reply:? = reply; "leader did not confirm a report on features");
                return;
            }
            pause(ATTEMPT_BACKOFF).await;
        }
    });
}

/// Asks the leader for the trial of a quarantined feature. False if it grants none in time.
pub(crate) async fn take_trial(cx: &Cx, feature: Feature) -> bool {
    let deadline = cx.clock.now() + TRIAL_TIMEOUT;
    let reply = cx
        .call_leader(&HubRequest::TryFeature(feature), deadline)
        .await;
    reply == Some(HubReply::Done)
}
