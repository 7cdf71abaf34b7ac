//! Standing of requests at one entry, by the leader's list.

use std::collections::HashMap;

use yuccaseam_base::{
    Millis,
    value, //
};

use crate::{
    admission::{
        Decision,
        SlotRequest, //
    },
    balance::{
        Availability,
        Choice, //
    },
};

use super::{
    Flow,
    SHARES_LIFETIME,
    ServiceShares, //
};

/// Slots without a caller's request that a target must have before it gets a request beyond its team's
/// share. The last one is kept for a request within its share.
const BEYOND_SHARE_FREE_SLOTS: u32 = 2;
/// One request, in the unit of the parts that fit.
const WHOLE: u32 = 1_000;

/// Whether a request is part of what its team may have.
#[value]
#[derive(Copy)]
pub enum Standing {
    /// The request competes for slots as usual.
    Within,
    /// The request gets only slots that nobody else wants.
    Beyond,
}

#[derive(Debug)]
struct Limit {
    permille: u32,
    /// Part of a request within the share that is owed.
    credit: u32,
    /// Refused callers that are expected back once.
    returns: u32,
}

/// Applies the leader's list of flows beyond their share.
#[derive(Debug, Default)]
pub struct ShareGuard {
    limits: HashMap<String, HashMap<Flow, Limit>>,
    received_at: Millis,
}

impl ShareGuard {
    /// Replaces the list.
    pub fn apply(&mut self, list: &[ServiceShares], now: Millis) {
        let mut before = std::mem::take(&mut self.limits);
        for shares in list {
            let mut known = before.remove(&shares.service).unwrap_or_default();
            let limits = shares.beyond.iter().map(|(flow, permille)| {
                let mut limit = known.remove(flow).unwrap_or(Limit {
                    permille: 0,
                    credit: WHOLE,
                    returns: 0,
                });
                limit.permille = *permille;
                (flow.clone(), limit)
            });
            self.limits.insert(shares.service.clone(), limits.collect());
        }
        self.received_at = now;
    }

    /// Whether a list with any flow is in force.
    pub fn is_active(&self, now: Millis) -> bool {
        !self.limits.is_empty() && now < self.received_at + SHARES_LIFETIME
    }

    /// Part of a flow's requests that fits, in permille, if the flow is listed.
    pub fn permille(&self, service: &str, flow: &Flow, now: Millis) -> Option<u32> {
        if !self.is_active(now) {
            return None;
        }
        let limit = self.limits.get(service)?.get(flow)?;
        Some(limit.permille)
    }

    fn limit(&mut self, service: &str, flow: &Flow, now: Millis) -> Option<&mut Limit> {
        if !self.is_active(now) {
            return None;
        }
        self.limits.get_mut(service)?.get_mut(flow)
    }

    /// Records that a caller with another attempt was refused.
    pub fn expect_return(&mut self, service: &str, flow: &Flow, now: Millis) {
        if let Some(limit) = self.limit(service, flow, now) {
            limit.returns += 1;
        }
    }

    /// Whether a retry is that of a caller refused for its share. Such a request is beyond the share again
    /// and no new demand; callers return to any entry, each of which expects as many as it refused.
    pub fn take_return(&mut self, service: &str, flow: &Flow, now: Millis) -> bool {
        let Some(limit) = self.limit(service, flow, now) else {
            return false;
        };
        let is_return = limit.returns > 0;
        limit.returns = limit.returns.saturating_sub(1);
        is_return
    }

    /// Decides on the standing of a new request. `draw` is uniform over all values.
    pub fn admit(&mut self, service: &str, flow: &Flow, draw: u64, now: Millis) -> Standing {
        let Some(limit) = self.limit(service, flow, now) else {
            return Standing::Within;
        };
        if limit.credit == WHOLE {
            // The entries of a fleet must not all begin at the same phase.
            limit.credit = (draw % u64::from(WHOLE)) as u32;
        }
        limit.credit += limit.permille;
        if limit.credit >= WHOLE {
            limit.credit -= WHOLE;
            Standing::Within
        } else {
            Standing::Beyond
        }
    }
}

/// Decides on a request beyond its team's share, given its best target. One that a slot is spare for is
/// sent; a caller with another attempt is refused at once otherwise, and one without waits.
pub fn decide_beyond_share(request: &SlotRequest, best: Option<&Choice>) -> Decision {
    // What others may have sent in the meantime is off the free slots, and may be off those that items hold.
    let spare = best.map_or(0, |best| match best.availability {
        Availability::Free => best.free_slots + best.load.batch,
        Availability::AfterPreemption => best.load.batch.saturating_sub(1),
        Availability::Full => 0,
    });
    let needed = best.map_or(1, |best| BEYOND_SHARE_FREE_SLOTS.min(best.slots));
    if spare >= needed {
        Decision::Send
    } else if request.is_retry() && request.waited < request.max_wait() {
        Decision::Wait
    } else {
        Decision::Refuse
    }
}

/// Whether a request may take a slot of its best target, given how many of its entry go first.
pub fn has_turn(ahead: usize, best: &Choice) -> bool {
    let room = match best.availability {
        Availability::Free => best.free_slots,
        Availability::AfterPreemption => best.slots.saturating_sub(best.load.online),
        Availability::Full => 0,
    };
    ahead == 0 || ahead < room as usize
}
