//! Reports of an entry to the owners: returned and renewed permits, in batches.

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

use super::entry::EntryAdmission;
use super::service;
use crate::context::Context;

/// How often permits are renewed. The owner reclaims permits not renewed for three seconds.
const RENEWAL_INTERVAL: Millis = Millis(500);
/// Time-out of a report.
const REPORT_TIMEOUT: Millis = Millis(400);
/// How long an owner receives renewals after the last permit request to it.
const OWNER_RETENTION: Millis = Millis(30_000);

/// Sends reports for the life of the process.
pub(super) fn run(cx: &Arc<Context>) {
    let entry = &cx.admission.entry;
    let mut renewed_at = Millis::ZERO;
    loop {
        wait(entry);
        let now = cx.clock.now();
        let renewal = renewed_at + RENEWAL_INTERVAL <= now;
        if renewal {
            renewed_at = now;
        }
        for (owner, req) in reports(cx, renewal, now) {
            send(cx, owner, req);
        }
    }
}

/// Waits until a permit is returned or the next renewal is due.
fn wait(entry: &EntryAdmission) {
    let permits = entry.permits();
    let idle = |permits: &mut super::entry::EntryPermits| permits.finished.is_empty();
    let _guard =
        entry
            .permit_returned
            .wait_timeout_while(permits, RENEWAL_INTERVAL.duration(), idle);
}

/// The report to send to each owner. A permit is reported to the owner that granted it and to the
/// current owner of its target.
fn reports(cx: &Context, renewal: bool, now: Millis) -> BTreeMap<InstanceName, ReportRequest> {
    let entry = &cx.admission.entry;
    let mut permits = entry.permits();
    let finished = std::mem::take(&mut permits.finished);
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
    permits
        .last_request_at
        .retain(|_, at| *at + OWNER_RETENTION > now);
    for owner in permits.last_request_at.keys() {
        reports.entry(owner.clone()).or_insert_with(new);
    }
    for (permit, held) in &permits.held {
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
        service::apply_report(cx, &req);
        return;
    }
    let Some(channel) = cx.links.channel(&owner) else {
        return;
    };
    let cx = Arc::clone(cx);
    let links = &cx.clone().links;
    links.spawn(async move { send_to_peer(&cx, &owner, channel, req).await });
}

async fn send_to_peer(cx: &Context, owner: &InstanceName, channel: Channel, req: ReportRequest) {
    let entry = &cx.admission.entry;
    let mut client = AdmissionClient::new(channel);
    let report = client.report(req);
    match tokio::time::timeout(REPORT_TIMEOUT.duration(), report).await {
        Ok(Ok(reply)) => {
            for load in reply.into_inner().loads {
                entry.update_load(&TargetName(load.target), load.busy);
            }
        }
        Ok(Err(_)) | Err(_) => entry.mark_unresponsive(cx, owner),
    }
}
