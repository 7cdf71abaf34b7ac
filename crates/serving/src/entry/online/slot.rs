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
    targets::TargetKey,
};

use super::{
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
        self.cx.slot_released.notify_one();
    }
}

impl ActiveRequest {
    /// Waits until a target can take the request, and occupies a slot there. A persistent request waits
    /// until its deadline, and tries targets again, unless all of them are faulty.
    pub(super) async fn acquire_slot(&mut self) -> Result<Slot, RequestFailure> {
        let queued_at = self.now();
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
            let times = self.service_times();
            let times = times.at_pace(best.as_ref().and_then(|best| best.pace));
            let slot_request = SlotRequest {
                waited: if self.is_persistent {
                    Millis::ZERO
                } else {
                    now - queued_at
                },
                objective: self.route.objective,
                timeout: self.route.timeout,
                caller_timeout: self.caller_timeout,
            };
            let has_credit = self.cx.has_queue_credit(&self.service);
            match decide(&slot_request, best.as_ref(), &times, has_credit) {
                Decision::Send => {
                    if let Some(choice) = best {
                        return Ok(Slot::new(&self.cx, &self.service, choice));
                    }
                }
                Decision::Wait => {}
                Decision::Refuse if self.is_persistent => {}
                Decision::Refuse if best.is_none() => return Err(self.fail("no_target")),
                Decision::Refuse => return Err(self.fail("queue_full")),
            }
            let remaining = if self.is_persistent {
                self.deadline - now
            } else {
                slot_request.max_wait() - slot_request.waited
            };
            let delay = slot_request.recheck_delay(rand::random()).min(remaining);
            // On wake-up and on time-out alike, the loop decides again.
            let _ = timeout(delay.duration(), wake).await;
        }
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
