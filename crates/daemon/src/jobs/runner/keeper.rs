//! Keeping the chunk leases of this daemon.

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

/// How often this daemon asks for cancelled jobs while it holds leases. A cancel has to stop
/// running streams within 2 s.
const PERIOD: Millis = Millis(500);
/// Leases are renewed so many times before they would end.
const RENEWALS: u64 = 3;

/// Renews leases, learns of cancelled jobs and returns unknown leases, for the life of the
/// process.
pub(super) fn keep(cx: &Arc<Context>, registry: &Registry) {
    let mut keeper = Keeper {
        renew_at: Millis::ZERO,
        cancelled_upto: LogIndex::default(),
        unknown: BTreeSet::new(),
    };
    loop {
        let leases = lock(registry).leases();
        let holds = !leases.is_empty() || !keeper.unknown.is_empty();
        if holds && let Err(refusal) = keeper.look(cx, registry, &leases) {
            log::warn!("chunk leases are not kept: {refusal}");
        }
        thread::sleep(PERIOD.duration());
    }
}

struct Keeper {
    renew_at: Millis,
    /// The position in the log up to which cancelled jobs are known.
    cancelled_upto: LogIndex,
    /// Leases that no target's thread knew at the last renewal.
    unknown: BTreeSet<LeaseRef>,
}

impl Keeper {
    fn look(
        &mut self,
        cx: &Context,
        registry: &Registry,
        leases: &BTreeSet<LeaseRef>,
    ) -> Result<(), Refusal> {
        self.cancel(cx, registry)?;
        let now = cx.clock.now();
        if now < self.renew_at {
            return Ok(());
        }
        let lease = cx.store.configuration().defaults.lease_ms;
        self.renew_at = now + Millis(lease / RENEWALS);
        let owner = cx.store.owner().clone();
        let renewed = cx.store.propose(cx, RenewLeases { owner })?;
        lock(registry).validity.renewed(now);
        match renewed {
            Outcome::Renewed { chunks } if chunks as usize != leases.len() => {
                self.compare(cx, registry)
            }
            _ => {
                self.unknown.clear();
                Ok(())
            }
        }
    }

    fn cancel(&mut self, cx: &Context, registry: &Registry) -> Result<(), Refusal> {
        let after = self.cancelled_upto;
        if let QueryResult::CancelledJobs { jobs, upto } =
            cx.store.query(cx, &Query::CancelledJobs { after })?
        {
            let shared = lock(registry);
            for job in jobs {
                shared.cancel(job);
            }
            self.cancelled_upto = upto;
        }
        Ok(())
    }

    /// Returns leases that were unknown at two renewals in a row: their answer was lost. One
    /// renewal lasts longer than an answer may be on its way.
    fn compare(&mut self, cx: &Context, registry: &Registry) -> Result<(), Refusal> {
        let owner = cx.store.owner().clone();
        let QueryResult::Leases(all) = cx.store.query(cx, &Query::Leases(owner))? else {
            return Ok(());
        };
        let shared = lock(registry);
        let known = shared.leases();
        let asking = shared.is_asking();
        drop(shared);
        let unknown: BTreeSet<LeaseRef> = all.into_iter().filter(|l| !known.contains(l)).collect();
        for &lease in unknown.intersection(&self.unknown) {
            if asking {
                continue;
            }
            log::info!(
                "returning chunk {} of {}, whose lease answer was lost",
                lease.chunk,
                lease.job
            );
            let not_run = ItemSet::new();
            cx.store.propose(cx, ReleaseChunk { lease, not_run })?;
        }
        self.unknown = unknown;
        Ok(())
    }
}
