//! Bounded queue of the online requests that wait at one target. It refuses requests that it cannot
//! serve before their deadlines.

use yuccaseam_base::{
    Millis,
    Reason, //
};

use crate::{
    event::{
        PermitId,
        Request, //
    },
    fair::{
        FairQueue,
        FlowKey,
        Lane, //
    },
    service::ServiceRate,
    settings::Settings,
};

/// Lower bound on the `retry_after` of a refusal.
const RETRY_AFTER_MIN: Millis = Millis(50);

/// Fair-queueing cost per token at a weight of 1.
const COST_SCALE: u64 = 1_024;

/// Reason and `retry_after` of a refusal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalTerms {
    pub(crate) reason: Reason,
    pub(crate) retry_after: Millis,
}

/// Result of [`Backlog::enqueue`].
#[derive(Clone, Copy, Debug)]
pub(crate) enum EnqueueOutcome {
    /// The request waits.
    Queued,
    /// The request waits in place of another one, which is refused.
    Displaced(PermitId, RefusalTerms),
    /// The request is refused.
    Refused(RefusalTerms),
}

/// Waiting online requests.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    queue: FairQueue<FlowKey, PermitId>,
    service: ServiceRate,
}

impl Backlog {
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn flows(&self) -> usize {
        self.queue.flows()
    }

    pub(crate) fn observe_service(&mut self, duration: Millis) {
        self.service.observe(duration);
    }

    pub(crate) fn pop(&mut self) -> Option<PermitId> {
        self.queue.pop()
    }

    pub(crate) fn remove(&mut self, request: &Request) {
        self.queue.remove(&flow(request), request.permit);
    }

    /// Adds a request without checking its deadline or the queue's bound.
    pub(crate) fn push(&mut self, request: &Request, cfg: &Settings) {
        let lane = if request.prompt_tokens >= cfg.long_prompt {
            Lane::Long
        } else {
            Lane::Short
        };
        let tokens = u64::from(request.prompt_tokens) + u64::from(request.answer_tokens);
        let cost = tokens.max(1) * COST_SCALE / u64::from(request.weight.max(1));
        self.queue
            .push(flow(request), lane, request.permit, cost.max(1));
    }

    /// Adds a request that has to wait. It is refused if it would start after its deadline, or if
    /// the queue is full and no other request can be displaced.
    pub(crate) fn enqueue(
        &mut self,
        request: &Request,
        cfg: &Settings,
        now: Millis,
    ) -> EnqueueOutcome {
        let flow = flow(request);
        let allowed = request.deadline - now;
        let wait = self.service.wait(self.queue.ahead_of(&flow) + 1, cfg.slots);
        if allowed == Millis::ZERO || wait.is_some_and(|wait| wait > allowed) {
            let excess = wait.unwrap_or(Millis::ZERO) - allowed;
            return EnqueueOutcome::Refused(self.refusal(Reason::DeadlinePassed, excess));
        }
        if self.len() < cfg.queue_limit as usize {
            self.push(request, cfg);
            return EnqueueOutcome::Queued;
        }
        self.displace(request, cfg)
    }

    /// Refusal of a request that did not start before its deadline.
    pub(crate) fn late_refusal(&self, cfg: &Settings) -> RefusalTerms {
        let wait = self.service.wait(self.len() + 1, cfg.slots);
        self.refusal(Reason::DeadlinePassed, wait.unwrap_or(Millis::ZERO))
    }

    /// Handles a full queue: displaces the newest request of the longest flow if the flow of
    /// `request` has less than its share.
    fn displace(&mut self, request: &Request, cfg: &Settings) -> EnqueueOutcome {
        let own_waiting = self.queue.waiting(&flow(request));
        let until_free_slot = self.service.wait(1, cfg.slots).unwrap_or(Millis::ZERO);
        let longest = self.queue.newest_of_longest();
        let Some((longest, newest)) = longest else {
            return EnqueueOutcome::Refused(self.refusal(Reason::QueueFull, until_free_slot));
        };
        if longest == flow(request) || self.queue.waiting(&longest) <= own_waiting + 1 {
            let alone = self.queue.waiting(&longest) == self.len();
            let reason = if alone || longest != flow(request) {
                Reason::QueueFull
            } else {
                Reason::TeamOverShare
            };
            return EnqueueOutcome::Refused(self.refusal(reason, until_free_slot));
        }
        self.queue.remove(&longest, newest);
        self.push(request, cfg);
        let drain_time = self.service.wait(self.queue.waiting(&longest), cfg.slots);
        let terms = self.refusal(Reason::TeamOverShare, drain_time.unwrap_or(Millis::ZERO));
        EnqueueOutcome::Displaced(newest, terms)
    }

    fn refusal(&self, reason: Reason, retry_after: Millis) -> RefusalTerms {
        RefusalTerms {
            reason,
            retry_after: retry_after.max(RETRY_AFTER_MIN),
        }
    }
}

fn flow(request: &Request) -> FlowKey {
    FlowKey {
        class: request.class,
        team: request.team,
    }
}
