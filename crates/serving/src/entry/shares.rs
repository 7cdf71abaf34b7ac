//! Shares at one entry: the demand, the leader's list, and the requests that wait for each service.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
};

use tokio::sync::Notify;
use yuccaseam_base::Millis;

use crate::{
    cx::Cx,
    shares::{
        DemandMeter,
        Flow,
        ServiceDemand,
        ServiceShares,
        ShareGuard,
        Standing,
        WaiterId,
        WaitingLine, //
    },
};

/// Requests that wait for a slot of one service.
#[derive(Default)]
struct ServiceLine {
    line: WaitingLine,
    wakers: HashMap<WaiterId, Arc<Notify>>,
}

#[derive(Default)]
struct Inner {
    meter: DemandMeter,
    guard: ShareGuard,
    /// Services for which a request waits.
    lines: HashMap<String, ServiceLine>,
}

/// Shares at this entry.
#[derive(Default)]
pub(crate) struct EntryShares {
    inner: Mutex<Inner>,
    /// Whether the leader understands reports of demand.
    leader_shares: AtomicBool,
}

impl EntryShares {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics with the lock")
    }

    /// Records a new request to a service, and decides on its standing.
    pub(super) fn arrive(
        &self,
        service: &str,
        flow: &Flow,
        occupancy: Millis,
        is_retry: bool,
        now: Millis,
    ) -> Standing {
        let Inner { meter, guard, .. } = &mut *self.inner();
        let standing = if is_retry && guard.take_return(service, flow, now) {
            Standing::Beyond
        } else {
            meter.record(service, flow, occupancy, now);
            guard.admit(service, flow, rand::random(), now)
        };
        if standing == Standing::Beyond {
            metrics::counter!("yuccaseam_beyond_share_total").increment(1);
        }
        standing
    }

    /// Records that a caller was refused for its team's share. Returns the part of the flow's requests that
    /// fits, in permille.
    pub(super) fn refuse(
        &self,
        service: &str,
        flow: &Flow,
        is_retry: bool,
        now: Millis,
    ) -> Option<u32> {
        let mut inner = self.inner();
        if !is_retry {
            inner.guard.expect_return(service, flow, now);
        }
        inner.guard.permille(service, flow, now)
    }

    /// Number of requests that get a slot before a request, which waits or has just arrived.
    pub(super) fn ahead(&self, rank: &ShareRank, service: &str, waiter: Option<&Waiter>) -> usize {
        let inner = self.inner();
        let Some(ServiceLine { line, .. }) = inner.lines.get(service) else {
            return 0;
        };
        match waiter {
            Some(waiter) => line.ahead_of(waiter.id),
            None => line.ahead_of_new(&rank.flow, rank.standing),
        }
    }

    /// Wakes the request that gets the next slot of a service. False if none waits.
    pub(super) fn wake_first(&self, service: &str) -> bool {
        let inner = self.inner();
        let Some(ServiceLine { line, wakers }) = inner.lines.get(service) else {
            return false;
        };
        let first = line.first().and_then(|id| wakers.get(&id));
        first.inspect(|waker| waker.notify_one()).is_some()
    }

    /// Applies the leader's list.
    pub(crate) fn apply(&self, list: &[ServiceShares], now: Millis) {
        self.leader_shares.store(true, Ordering::Relaxed);
        self.inner().guard.apply(list, now);
    }

    /// Records that the connection to the leader has begun or ended. A list in force expires by itself.
    pub(crate) fn reset_leader(&self) {
        self.leader_shares.store(false, Ordering::Relaxed);
    }

    /// Demand to be reported to the leader: that for services which are at least `min_fill_percent` full, or
    /// all while a list is in force.
    pub(crate) fn report<F>(
        &self,
        fill_percent: F,
        min_fill_percent: u32,
        now: Millis,
    ) -> Vec<ServiceDemand>
    where
        F: Fn(&str) -> u32,
    {
        if !self.leader_shares.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let Inner { meter, guard, .. } = &mut *self.inner();
        let mut demands = meter.report(now);
        if !guard.is_active(now) {
            demands.retain(|demand| fill_percent(&demand.service) >= min_fill_percent);
        }
        demands
    }
}

/// What decides on the order of a request among those that wait.
pub(super) struct ShareRank {
    pub(super) flow: Flow,
    pub(super) standing: Standing,
}

/// Place of a request among those that wait for a service, until it is dropped.
pub(super) struct Waiter {
    cx: Arc<Cx>,
    service: String,
    id: WaiterId,
    waker: Arc<Notify>,
}

impl Waiter {
    /// Joins the requests that wait for a service.
    pub(super) fn join(cx: &Arc<Cx>, service: &str, rank: &ShareRank) -> Self {
        let weight = cx
            .table()
            .map_or(1.0, |table| table.share_weights().of(&rank.flow.team));
        let waker = Arc::new(Notify::new());
        let mut inner = cx.shares.inner();
        let lines = &mut inner.lines;
        let ServiceLine { line, wakers } = lines.entry(service.to_owned()).or_default();
        let id = line.join(&rank.flow, rank.standing, weight);
        wakers.insert(id, Arc::clone(&waker));
        drop(inner);
        Self {
            cx: Arc::clone(cx),
            service: service.to_owned(),
            id,
            waker,
        }
    }

    /// Waits until a slot may be free for this request.
    pub(super) async fn woken(&self) {
        self.waker.notified().await;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut inner = self.cx.shares.inner();
        if let Some(ServiceLine { line, wakers }) = inner.lines.get_mut(&self.service) {
            line.leave(self.id);
            wakers.remove(&self.id);
            if wakers.is_empty() {
                inner.lines.remove(&self.service);
            }
        }
        drop(inner);
        self.cx.shares.wake_first(&self.service);
    }
}
