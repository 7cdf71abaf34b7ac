//! Quotas while the leader is lost: absent entries ask one of them, their deputy.
//!
//! All entries of a group take the one with the lowest address that they reach. If they differ, each deputy
//! grants only the shares of those that ask it.

use std::{
    net::IpAddr,
    sync::Arc, //
};

use futures_util::future::join_all;
use tokio::time::timeout;
use yuccaseam_base::Millis;

use crate::{
    cx::Cx,
    link::{
        HubReply,
        HubRequest,
        pause, //
    },
    quota::{
        Connection,
        DEPUTY_HEARTBEAT_INTERVAL,
        Ledger,
        Limit,
        MAX_WAIT,
        QuotaAnswer,
        QuotaAsk, //
    },
    routes::RouteTable,
};

/// How often an entry checks whether it is absent, unless its connection has just ended.
const CHECK_INTERVAL: Millis = Millis(250);
/// Number of entries that are tried as deputies at the same time.
const PROBED_TOGETHER: usize = 4;
/// Time limit for an entry to answer a probe.
const PROBE_TIMEOUT: Millis = Millis(80);
/// Time in which requests are gathered that need tokens.
const ASK_INTERVAL: Millis = Millis(5);
/// Pause of an entry that has no deputy.
const RETRY_BACKOFF: Millis = Millis(50);

/// Sets the limits of a ledger from the manifest in force, if these are from another one.
pub(crate) fn update_limits(ledger: &mut Ledger, table: &RouteTable, cx: &Cx) {
    if ledger.version() == Some(table.version()) {
        return;
    }
    let bounds = cx.settings.quota_bounds;
    let quotas = table.quotas();
    let limits = quotas.map(|(team, quota)| (team.clone(), Limit::new(quota, bounds)));
    ledger.set_limits(table.version(), limits);
}

/// Answers an absent entry as its deputy. `None` without a manifest.
pub(crate) fn answer(cx: &Cx, entry: IpAddr, ask: &QuotaAsk) -> Option<QuotaAnswer> {
    let table = cx.table()?;
    let mut ledger = cx.deputy_ledger();
    update_limits(&mut ledger, &table, cx);
    Some(ledger.answer(entry, ask, cx.clock.now()))
}

/// Asks a deputy whenever this entry is absent, for the life of the process.
pub(crate) async fn run(cx: Arc<Cx>) {
    loop {
        // On wake-up and on time-out alike, the purse decides.
        let _ = timeout(CHECK_INTERVAL.duration(), cx.leader_lost.notified()).await;
        while is_absent(&cx) && cx.has_quotas() {
            let before = cx.quota_purse().connection();
            let Some(deputy) = find_deputy(&cx).await else {
                pause(RETRY_BACKOFF).await;
                continue;
            };
            // The leader may have been found meanwhile.
            if !is_absent(&cx) {
                break;
            }
            log::info!(deputy:% = deputy; "asking a deputy for tokens of quotas");
            metrics::counter!("yuccaseam_quota_deputies_total").increment(1);
            set_connection(&cx, Connection::Deputy);
            ask(&cx, deputy).await;
            if cx.quota_purse().connection() == Connection::Deputy {
                set_connection(&cx, before);
            }
            // This task may have taken a wake-up for the one that asks the leader.
            cx.quota_wanted.notify_one();
        }
    }
}

fn is_absent(cx: &Cx) -> bool {
    cx.quota_purse().is_absent(cx.clock.now())
}

fn set_connection(cx: &Cx, connection: Connection) {
    let now = cx.clock.now();
    cx.quota_purse().set_connection(connection, now);
    cx.quota_answered.notify_waiters();
}

/// Entry with the lowest address that this one reaches. `None` if it is this one and no other asks it: it
/// then spends its own share.
async fn find_deputy(cx: &Cx) -> Option<IpAddr> {
    let own = cx.settings.ip;
    let mut candidates = cx.neighbours.peers();
    candidates.retain(|ip| *ip < own);
    candidates.sort_unstable();
    for group in candidates.chunks(PROBED_TOGETHER) {
        let probes = group.iter().map(async |ip| {
            let reply = cx.links.call(*ip, &HubRequest::Leads, PROBE_TIMEOUT).await;
            reply.is_ok().then_some(*ip)
        });
        let reached = join_all(probes).await;
        if let Some(ip) = reached.into_iter().flatten().next() {
            return Some(ip);
        }
    }
    let has_others = cx.deputy_ledger().hears_others(own, cx.clock.now());
    has_others.then_some(own)
}

/// Asks a deputy until it is silent or this entry has a leader.
async fn ask(cx: &Cx, deputy: IpAddr) {
    let own = cx.settings.ip;
    while cx.quota_purse().connection() == Connection::Deputy && is_absent(cx) {
        let wanted = cx.quota_wanted.notified();
        let ask = cx.quota_purse().next_ask(cx.clock.now());
        if let Some(ask) = ask {
            let answer = if deputy == own {
                answer(cx, own, &ask)
            } else {
                let request = HubRequest::AskDeputy { entry: own, ask };
                match cx.links.call(deputy, &request, MAX_WAIT).await {
                    Ok(HubReply::Quotas(answer)) => Some(answer),
                    Ok(_) | Err(_) => None,
                }
            };
            let Some(answer) = answer else {
                log::info!(deputy:% = deputy; "deputy did not answer");
                return;
            };
            cx.quota_purse().apply(&answer, cx.clock.now());
            cx.quota_answered.notify_waiters();
        }
        pause(ASK_INTERVAL).await;
        let wait = DEPUTY_HEARTBEAT_INTERVAL - ASK_INTERVAL;
        // On wake-up and on time-out alike, the purse decides what is due.
        let _ = timeout(wait.duration(), wanted).await;
    }
}
