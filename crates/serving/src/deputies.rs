//! Tokens of quotas: how requests get one, and how entries without a leader ask another entry.
//!
//! One that is connected to the leader passes its tokens on. Otherwise, absent entries take the one with the lowest
//! address that they reach as their deputy. If they differ, each deputy grants only the shares of those that
//! ask it.

use std::{
    net::IpAddr,
    sync::Arc, //
};

use futures_util::future::join_all;
use tokio::time::timeout;
use yuccaseam_base::{
    Millis,
    TeamName, //
};

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
        Denial,
        Ledger,
        Limit,
        MAX_WAIT,
        QuotaAnswer,
        QuotaAsk,
        QuotaGrant,
        Source,
        Take,
        Ticket, //
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
/// Largest number of requests of a team for which tokens are passed on at once.
const MAX_PASSED_ON: u32 = 64;
/// Time limit for a deputy to answer: it may wait for the leader.
const MAX_ANSWER_TIME: Millis = Millis(2 * MAX_WAIT.0);
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

/// Answers another entry: with tokens of the leader, if this one is connected to it, or else as the deputy
/// of absent entries. `None` if it can do neither.
pub(crate) async fn answer(cx: &Cx, entry: IpAddr, ask: &QuotaAsk) -> Option<QuotaAnswer> {
    let table = cx.table()?;
    if cx.quota_purse().connection() == Connection::Open {
        return Some(pass_on(cx, &table, ask).await);
    }
    (ask.fleet > 0).then(|| answer_as_deputy(cx, &table, entry, ask))
}

fn answer_as_deputy(cx: &Cx, table: &RouteTable, entry: IpAddr, ask: &QuotaAsk) -> QuotaAnswer {
    let mut ledger = cx.deputy_ledger();
    update_limits(&mut ledger, table, cx);
    ledger.answer(entry, ask, cx.clock.now())
}

/// Takes the tokens that another entry waits for as if the requests were this one's.
async fn pass_on(cx: &Cx, table: &RouteTable, ask: &QuotaAsk) -> QuotaAnswer {
    let grants = ask.wants.iter().map(async |want| {
        let Some(quota) = table.quota(&want.team) else {
            return QuotaGrant {
                waiting: want.waiting,
                expected: 0,
                room_in_ms: None,
            };
        };
        let limit = Limit::new(quota, cx.settings.quota_bounds);
        let takes = (0..want.waiting.min(MAX_PASSED_ON)).map(|_| acquire(cx, &want.team, &limit));
        let mut grant = QuotaGrant {
            waiting: 0,
            expected: 0,
            room_in_ms: None,
        };
        for take in join_all(takes).await {
            match take {
                Ok(_) => grant.waiting += 1,
                Err((_, room_in)) => {
                    grant.room_in_ms = Some(u32::try_from(room_in.0).unwrap_or(u32::MAX));
                }
            }
        }
        grant
    });
    QuotaAnswer {
        number: ask.number,
        fleet: 0,
        grants: join_all(grants).await,
    }
}

/// Takes a token of a team for a request, once an answer has come if one is needed.
///
/// # Errors
///
/// Returns why there is none, and when the request may be sent again.
pub(crate) async fn acquire(
    cx: &Cx,
    team: &TeamName,
    limit: &Limit,
) -> Result<Source, (Denial, Millis)> {
    let mut ticket = Ticket::default();
    loop {
        let answered = cx.quota_answered.notified();
        let now = cx.clock.now();
        match take(cx, team, limit, &mut ticket, now) {
            Take::Granted(source) => return Ok(source),
            Take::Wait(until) => {
                // On wake-up and on time-out alike, the purse decides again.
                let _ = timeout((until - now).duration(), answered).await;
            }
            Take::Denied(denial, retry_after) => return Err((denial, retry_after)),
        }
    }
}

/// Takes a token, and wakes the task that asks for more if it is to ask.
fn take(cx: &Cx, team: &TeamName, limit: &Limit, ticket: &mut Ticket, now: Millis) -> Take {
    let mut purse = cx.quota_purse();
    let take = purse.take(team, limit, ticket, now);
    if purse.wants_to_ask(team) {
        cx.quota_wanted.notify_one();
    }
    take
}

/// Asks another entry whenever this one has no leader, for the life of the process.
pub(crate) async fn run(cx: Arc<Cx>) {
    loop {
        // On wake-up and on time-out alike, the purse decides.
        let _ = timeout(CHECK_INTERVAL.duration(), cx.leader_lost.notified()).await;
        while cx.quota_purse().connection() != Connection::Open && cx.has_quotas() {
            let before = cx.quota_purse().connection();
            let deputy = find_deputy(&cx).await;
            // The leader may have been found meanwhile.
            if cx.quota_purse().connection() == Connection::Open {
                break;
            }
            let Some(deputy) = deputy else {
                pause(RETRY_BACKOFF).await;
                continue;
            };
            log::info!(deputy:% = deputy; "asking a deputy for tokens of quotas");
            metrics::counter!("yuccaseam_quota_deputies_total").increment(1);
            set_connection(&cx, Connection::Deputy);
            ask(&cx, deputy).await;
            if cx.quota_purse().connection() == Connection::Deputy {
                set_connection(&cx, before);
                pause(RETRY_BACKOFF).await;
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

/// Entry to ask: one that is connected to the leader, if it is among the first that answer. Otherwise, if this
/// one is absent, the reached one with the lowest address, or this one if that is lower and others ask it.
async fn find_deputy(cx: &Cx) -> Option<IpAddr> {
    let own = cx.settings.ip;
    let mut candidates = cx.neighbours.peers();
    candidates.extend(cx.random_other_entry());
    candidates.retain(|ip| *ip != own);
    candidates.sort_unstable();
    candidates.dedup();
    let mut lowest = None;
    for group in candidates.chunks(PROBED_TOGETHER) {
        let probes = group.iter().map(async |ip| {
            let reply = cx.links.call(*ip, &HubRequest::Leads, PROBE_TIMEOUT).await;
            reply.ok().map(|reply| (*ip, reply))
        });
        let reached: Vec<_> = join_all(probes).await.into_iter().flatten().collect();
        let is_connected = |reply: &HubReply| matches!(reply, HubReply::NotLeader(Some(_)));
        let connected = reached.iter().find(|(_, reply)| is_connected(reply));
        if let Some((ip, _)) = connected {
            return Some(*ip);
        }
        if let Some((ip, _)) = reached.first() {
            lowest = Some(*ip);
            break;
        }
    }
    if !is_absent(cx) {
        return None;
    }
    let now = cx.clock.now();
    let own_is_deputy = cx.deputy_ledger().hears_others(own, now);
    lowest
        .filter(|ip| *ip < own)
        .or_else(|| own_is_deputy.then_some(own))
}

/// Asks a deputy until it is silent or this entry has a leader.
async fn ask(cx: &Cx, deputy: IpAddr) {
    let own = cx.settings.ip;
    while cx.quota_purse().connection() == Connection::Deputy {
        let wanted = cx.quota_wanted.notified();
        let ask = cx.quota_purse().next_ask(cx.clock.now());
        if let Some(ask) = ask {
            let answer = if deputy == own {
                answer(cx, own, &ask).await
            } else {
                let request = HubRequest::AskDeputy { entry: own, ask };
                match cx.links.call(deputy, &request, MAX_ANSWER_TIME).await {
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
