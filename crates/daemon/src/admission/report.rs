//! Reports of an entry to the owners: permits returned and renewed, in batches.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use tonic::transport::Channel;
use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName, //
};
use yuccaseam_wire::admission::{
    Finished,
    Held,
    ReportRequest,
    admission_client::AdmissionClient, //
};

use super::entry::EntrySide;
use super::service;
use crate::context::Context;

/// How often permits are renewed. The owner takes them back after three seconds of silence.
const RENEW_EVERY: Millis = Millis(500);
/// How long a report waits for its answer.
const BOUND: Millis = Millis(400);
/// How long an owner is told of this entry after it was last asked.
const REMEMBER: Millis = Millis(30_000);

/// Reports for as long as the process lives.
pub(super) fn run(cx: &Arc<Context>) {
    let entry = &cx.admission.entry;
    let mut renewed_at = Millis::ZERO;
    loop {
        wait(entry);
        let now = cx.clock.now();
        let renewal = renewed_at + RENEW_EVERY <= now;
        if renewal {
            renewed_at = now;
        }
        for (owner, req) in reports(cx, renewal, now) {
            send(cx, owner, req);
        }
    }
}

/// Waits until a permit is returned, or for the next renewal.
fn wait(entry: &EntrySide) {
    let holdings = entry.holdings();
    let idle = |holdings: &mut super::entry::Holdings| holdings.finished.is_empty();
    let _guard = entry
        .returned
        .wait_timeout_while(holdings, RENEW_EVERY.duration(), idle);
}

/// What each owner must hear now. An owner hears of the permits that it gave and of those at the
/// targets that it owns by now.
fn reports(cx: &Context, renewal: bool, now: Millis) -> BTreeMap<InstanceName, ReportRequest> {
    let entry = &cx.admission.entry;
    let mut holdings = entry.holdings();
    let finished = std::mem::take(&mut holdings.finished);
    let mut reports: BTreeMap<InstanceName, ReportRequest> = BTreeMap::new();
    let new = || ReportRequest {
        instance: entry.instance.to_string(),
        renewal,
        ..ReportRequest::default()
    };
    for (permit, held) in finished {
        for owner in [entry.owner_of(cx, &held.target), held.owner] {
            let report = reports.entry(owner).or_insert_with(new);
            let target = held.target.to_string();
            let permit = permit.0;
            if !report.finished.iter().any(|other| other.permit == permit) {
                report.finished.push(Finished { permit, target });
            }
        }
    }
    if !renewal {
        return reports;
    }
    holdings.asked.retain(|_, asked| *asked + REMEMBER > now);
    for owner in holdings.asked.keys() {
        reports.entry(owner.clone()).or_insert_with(new);
    }
    for (permit, held) in &holdings.held {
        for owner in [entry.owner_of(cx, &held.target), held.owner.clone()] {
            let report = reports.entry(owner).or_insert_with(new);
            let target = held.target.to_string();
            let permit = permit.0;
            if !report.held.iter().any(|other| other.permit == permit) {
                report.held.push(Held { permit, target });
            }
        }
    }
    reports
}

fn send(cx: &Arc<Context>, owner: InstanceName, req: ReportRequest) {
    if owner == cx.settings.instance {
        service::take_report(cx, &req);
        return;
    }
    let Some(channel) = cx.links.channel(&owner) else {
        return;
    };
    let cx = Arc::clone(cx);
    let links = &cx.clone().links;
    links.spawn(async move { report_there(&cx, &owner, channel, req).await });
}

async fn report_there(cx: &Context, owner: &InstanceName, channel: Channel, req: ReportRequest) {
    let entry = &cx.admission.entry;
    let mut client = AdmissionClient::new(channel);
    let report = client.report(req);
    match tokio::time::timeout(BOUND.duration(), report).await {
        Ok(Ok(reply)) => {
            for load in reply.into_inner().loads {
                entry.report(&TargetName(load.target), load.busy);
            }
        }
        Ok(Err(_)) | Err(_) => entry.set_down(cx, owner),
    }
}
