//! Maintains the chunk leases of this daemon.

use std::{
    collections::BTreeSet,
    sync::Arc,
    thread, //
};

use yuccaseam_base::{
    Millis,
    Refusal, //
};
use yuccaseam_state::{
    ItemSet,
    LeaseRef,
    LogIndex,
    Outcome,
    Query,
    QueryResult,
    ReleaseChunk,
    RenewLeases, //
};

use crate::context::Context;

use super::{
    Registry,
    lock, //
};

/// How often cancelled jobs are polled for while leases are held. A cancel has to stop running
/// streams within 2 s.
const POLL_INTERVAL: Millis = Millis(500);
/// Renewals per lease duration.
const RENEWALS_PER_LEASE: u64 = 3;

/// Renews leases, polls for cancelled jobs and returns orphaned leases, for the life of the
/// process.
pub(super) fn run(cx: &Arc<Context>, registry: &Registry) {
    let mut maintainer = LeaseMaintainer {
        renew_at: Millis::ZERO,
        cancelled_upto: LogIndex::default(),
        orphaned: BTreeSet::new(),
    };
    loop {
        let leases = lock(registry).leases();
        let is_active = !leases.is_empty() || !maintainer.orphaned.is_empty();
        if is_active && let Err(refusal) = maintainer.maintain(cx, registry, &leases) {
            log::warn!("cannot maintain the chunk leases: {refusal}");
        }
        thread::sleep(POLL_INTERVAL.duration());
    }
}

struct LeaseMaintainer {
    renew_at: Millis,
    /// Log index up to which cancelled jobs are known.
    cancelled_upto: LogIndex,
    /// Leases that no target's thread held at the last renewal.
    orphaned: BTreeSet<LeaseRef>,
}

impl LeaseMaintainer {
    fn maintain(
        &mut self,
        cx: &Context,
        registry: &Registry,
        leases: &BTreeSet<LeaseRef>,
    ) -> Result<(), Refusal> {
        self.poll_cancelled(cx, registry)?;
        let now = cx.clock.now();
        if now < self.renew_at {
            return Ok(());
        }
        let lease_ms = cx.store.configuration().defaults.lease_ms;
        self.renew_at = now + Millis(lease_ms / RENEWALS_PER_LEASE);
        let owner = cx.store.owner().clone();
        let renewed = cx.store.propose(cx, RenewLeases { owner })?;
        lock(registry).validity.record_renewal(now);
        match renewed {
            Outcome::Renewed { chunks } if chunks as usize != leases.len() => {
                self.release_orphaned(cx, registry)
            }
            _ => {
                self.orphaned.clear();
                Ok(())
            }
        }
    }

    fn poll_cancelled(&mut self, cx: &Context, registry: &Registry) -> Result<(), Refusal> {
        let after = self.cancelled_upto;
        if let QueryResult::CancelledJobs { jobs, upto } =
            cx.store.query(cx, &Query::CancelledJobs { after })?
        {
            let shared = lock(registry);
            for job in jobs {
                shared.notify_cancelled(job);
            }
            self.cancelled_upto = upto;
        }
        Ok(())
    }

    /// Returns leases that no thread held at two renewals in a row, which means that the reply
    /// that granted them was lost: one renewal interval is longer than a reply can be in transit.
    fn release_orphaned(&mut self, cx: &Context, registry: &Registry) -> Result<(), Refusal> {
        let owner = cx.store.owner().clone();
        let QueryResult::Leases(granted) = cx.store.query(cx, &Query::Leases(owner))? else {
            return Ok(());
        };
        let shared = lock(registry);
        let held = shared.leases();
        let is_requesting = shared.is_requesting_leases();
        drop(shared);
        let orphaned: BTreeSet<LeaseRef> =
            granted.into_iter().filter(|l| !held.contains(l)).collect();
        for &lease in orphaned.intersection(&self.orphaned) {
            if is_requesting {
                continue;
            }
            log::info!(
                "returning chunk {} of job {}: the reply that leased it was lost",
                lease.chunk,
                lease.job
            );
            let not_run = ItemSet::new();
            cx.store.propose(cx, ReleaseChunk { lease, not_run })?;
        }
        self.orphaned = orphaned;
        Ok(())
    }
}
