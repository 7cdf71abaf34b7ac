//! Slots at targets, and how a request gets one.

use std::sync::Arc;

use tokio::time::timeout;
use yuccaseam_base::Millis;

use crate::{
    admission::{
        Decision,
        ServiceTimes,
        SlotRequest,
        decide, //
    },
    balance::{
        Availability,
        Choice,
        Placement, //
    },
    cx::Cx,
    pace::PaceCost,
    shares::{
        Flow,
        Standing,
        decide_beyond_share,
        has_turn, //
    },
    targets::TargetKey,
    teams, //
};

use super::{
    super::shares::{
        ShareRank,
        Waiter, //
    },
    ActiveRequest,
    RequestFailure, //
};

/// Slot at a target, counted as in use in the balancer and at the neighbours until it is dropped.
pub(in super::super) struct Slot {
    cx: Arc<Cx>,
    service: String,
    pub(in super::super) choice: Choice,
}

impl Slot {
    fn new(cx: &Arc<Cx>, service: &str, choice: Choice) -> Self {
        cx.spend_queue_credit(service);
        cx.balancer().begin_request(choice.key);
        cx.neighbours.publish_count(cx, choice.key);
        Self {
            cx: Arc::clone(cx),
            service: service.to_owned(),
            choice,
        }
    }

    /// Records a failure of the target here and reports it to the neighbours.
    pub(in super::super) fn record_failure(&self) {
        let now = self.cx.clock.now();
        self.cx.balancer().record_failure(self.choice.key, now);
        self.cx.neighbours.publish_failure(self.choice.key);
    }

    /// Records that the target did not respond within the suspicion time-out, unless it was full
    /// when chosen.
    pub(in super::super) fn record_unresponsive(&self, request: &str) {
        if self.choice.availability == Availability::Full {
            return;
        }
        log::info!(
            request, target_name:% = self.choice.name, believed_online = self.choice.load.online,
            believed_batch = self.choice.load.batch;
            "target did not respond in time; avoided for now");
        self.record_failure();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.cx.balancer().end_request(self.choice.key);
        self.cx.neighbours.publish_count(&self.cx, self.choice.key);
        self.cx.add_queue_credit(&self.service);
        if !self.cx.shares.wake_first(&self.service) {
            self.cx.slot_released.notify_one();
        }
    }
}

impl ActiveRequest {
    /// Waits until a target can take the request, and occupies a slot there. A persistent request waits
    /// until its deadline, and tries targets again, unless all of them are faulty.
    pub(super) async fn acquire_slot(&mut self) -> Result<Slot, RequestFailure> {
        let queued_at = self.now();
        self.rank_by_share();
        let mut waiter: Option<Waiter> = None;
        loop {
            let now = self.now();
            if now >= self.deadline {
                return Err(self.fail("deadline_passed"));
            }
            self.check_features()?;
            let best = self.best_target(&self.tried);
            if self.is_persistent && best.is_none() {
                if !self.faulty.is_empty() && self.best_target(&self.faulty).is_none() {
                    return Err(self.fail("no_target"));
                }
                self.tried.clone_from(&self.faulty);
            }
            let wake = self.cx.slot_released.notified();
            let slot_request = self.slot_request(if self.is_persistent {
                Millis::ZERO
            } else {
                now - queued_at
            });
            match self.decide(&slot_request, best.as_ref(), waiter.as_ref()) {
                Decision::Send => {
                    if let Some(choice) = best {
                        return Ok(Slot::new(&self.cx, &self.service, choice));
                    }
                }
                Decision::Wait => {}
                Decision::Refuse if self.is_persistent => {}
                Decision::Refuse if best.is_none() => return Err(self.fail("no_target")),
                Decision::Refuse => return Err(self.refuse_when_full(&slot_request)),
            }
            let remaining = if self.is_persistent {
                self.deadline - now
            } else {
                slot_request.max_wait() - slot_request.waited
            };
            let delay = slot_request.recheck_delay(rand::random()).min(remaining);
            if waiter.is_none()
                && let Some(rank) = &self.share_rank
            {
                waiter = Some(Waiter::join(&self.cx, &self.service, rank));
            }
            // On wake-up and on time-out alike, the loop decides again.
            let _ = match &waiter {
                Some(waiter) => timeout(delay.duration(), waiter.woken()).await,
                None => timeout(delay.duration(), wake).await,
            };
        }
    }

    /// Ranks the request among those that wait, once: one that a target failed, or whose response has begun,
    /// is no longer bound by its team's share.
    fn rank_by_share(&mut self) {
        let is_first = self.share_rank.is_none() && self.tried.is_empty() && !self.is_persistent;
        let flow = self.flow();
        let Some(flow) = flow.filter(|_| is_first) else {
            self.share_rank = None;
            return;
        };
        let times = self.cx.service_times(&self.service, self.route.objective);
        let is_retry = self.slot_request(Millis::ZERO).is_retry();
        let (occupancy, now) = (times.occupancy(), self.now());
        let shares = &self.cx.shares;
        let standing = shares.arrive(&self.service, &flow, occupancy, is_retry, now);
        self.share_rank = Some(ShareRank { flow, standing });
    }

    /// Requests of the same team and priority.
    fn flow(&self) -> Option<Flow> {
        let team = self.team.as_ref()?;
        Some(Flow {
            priority: teams::priority(Some(team), &self.route),
            team: team.name.clone(),
        })
    }

    fn slot_request(&self, waited: Millis) -> SlotRequest {
        SlotRequest {
            waited,
            objective: self.route.objective,
            timeout: self.route.timeout,
            caller_timeout: self.caller_timeout,
        }
    }

    fn decide(
        &self,
        slot_request: &SlotRequest,
        best: Option<&Choice>,
        waiter: Option<&Waiter>,
    ) -> Decision {
        let rank = self.share_rank.as_ref();
        let decision = if rank.is_some_and(|rank| rank.standing == Standing::Beyond) {
            decide_beyond_share(slot_request, best)
        } else {
            let pace = best.and_then(|best| best.pace);
            let times = self.service_times().at_pace(pace);
            let has_credit = self.cx.has_queue_credit(&self.service);
            decide(slot_request, best, &times, has_credit)
        };
        if decision != Decision::Send {
            return decision;
        }
        let (Some(rank), Some(best)) = (rank, best) else {
            return decision;
        };
        if has_turn(self.cx.shares.ahead(rank, &self.service, waiter), best) {
            Decision::Send
        } else if slot_request.waited < slot_request.max_wait() {
            Decision::Wait
        } else {
            Decision::Refuse
        }
    }

    /// Refuses the request because the targets are full.
    fn refuse_when_full(&self, slot_request: &SlotRequest) -> RequestFailure {
        let beyond = self.share_rank.as_ref();
        let Some(rank) = beyond.filter(|rank| rank.standing == Standing::Beyond) else {
            return self.fail("queue_full");
        };
        let is_retry = slot_request.is_retry();
        let shares = &self.cx.shares;
        let permille = shares.refuse(&self.service, &rank.flow, is_retry, self.now());
        log::info!(
            request:% = self.id, service:% = self.service, team:% = rank.flow.team,
            priority = rank.flow.priority, fits_permille = permille, is_retry;
            "request beyond its team's share");
        self.fail("team_over_share")
    }

    fn best_target(&self, excluded: &[TargetKey]) -> Option<Choice> {
        let placement = Placement {
            service: &self.service,
            tried: excluded,
            draw: rand::random(),
            pace: self.pace_cost(),
        };
        let balancer = self.cx.balancer();
        balancer.place(&placement, self.now())
    }

    pub(super) fn service_times(&self) -> ServiceTimes {
        self.cx.service_times(&self.service, self.route.objective)
    }

    /// What the pace of a target costs the request.
    pub(super) fn pace_cost(&self) -> PaceCost {
        PaceCost::new(self.service_times().by_pace(), self.route.objective)
    }

    /// Occupies a slot at another target than a silent one, if one is free and the request may be sent
    /// there.
    pub(in super::super) fn take_other_slot(&self, silent: &Slot) -> Option<Slot> {
        if !self.features_are_allowed() {
            return None;
        }
        let mut excluded = self.tried.clone();
        excluded.push(silent.choice.key);
        let choice = self.best_target(&excluded)?;
        let is_free = choice.availability != Availability::Full;
        is_free.then(|| Slot::new(&self.cx, &self.service, choice))
    }
}
