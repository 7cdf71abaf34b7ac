//! The online requests that wait at one target: a bounded queue that refuses what it cannot serve
//! in time.

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

/// The shortest time after which a refused caller is told to come back.
const LEAST_RETRY_AFTER: Millis = Millis(50);

/// What a request costs in fairness at a weight of 1, for each token.
const COST_SCALE: u64 = 1_024;

/// Why a request does not wait, and when it would start in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turned {
    pub(crate) reason: Reason,
    pub(crate) retry_after: Millis,
}

/// What becomes of a request that has to wait.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Entered {
    /// It waits.
    Queued,
    /// It waits in place of another request, which is turned away.
    Displaced(PermitId, Turned),
    /// It is turned away.
    Turned(Turned),
}

/// The requests that wait.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    queue: FairQueue,
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
        self.queue.remove(flow(request), request.permit);
    }

    /// Adds a request that can start at once.
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

    /// Adds a request that has to wait, unless it would wait past its deadline or has no place.
    pub(crate) fn enter(&mut self, request: &Request, cfg: &Settings, now: Millis) -> Entered {
        let flow = flow(request);
        let allowed = request.deadline - now;
        let wait = self.service.wait(self.queue.ahead_of(flow) + 1, cfg.slots);
        if allowed == Millis::ZERO || wait.is_some_and(|wait| wait > allowed) {
            let late = wait.unwrap_or(Millis::ZERO) - allowed;
            return Entered::Turned(self.turned(Reason::DeadlinePassed, late));
        }
        if self.len() < cfg.queue_limit as usize {
            self.push(request, cfg);
            return Entered::Queued;
        }
        self.displace(request, cfg)
    }

    /// The refusal of a request that waited and did not start in time.
    pub(crate) fn turned_late(&self, cfg: &Settings) -> Turned {
        let wait = self.service.wait(self.len() + 1, cfg.slots);
        self.turned(Reason::DeadlinePassed, wait.unwrap_or(Millis::ZERO))
    }

    /// The queue is full: the flow that fills it gives way to one that has less than its share.
    fn displace(&mut self, request: &Request, cfg: &Settings) -> Entered {
        let own = self.queue.waiting(flow(request));
        let until_place = self.service.wait(1, cfg.slots).unwrap_or(Millis::ZERO);
        let longest = self.queue.newest_of_longest();
        let Some((longest, newest)) = longest else {
            return Entered::Turned(self.turned(Reason::QueueFull, until_place));
        };
        if longest == flow(request) || self.queue.waiting(longest) <= own + 1 {
            let alone = self.queue.waiting(longest) == self.len();
            let reason = if alone || longest != flow(request) {
                Reason::QueueFull
            } else {
                Reason::TeamOverShare
            };
            return Entered::Turned(self.turned(reason, until_place));
        }
        self.queue.remove(longest, newest);
        self.push(request, cfg);
        let drained = self.service.wait(self.queue.waiting(longest), cfg.slots);
        let turned = self.turned(Reason::TeamOverShare, drained.unwrap_or(Millis::ZERO));
        Entered::Displaced(newest, turned)
    }

    fn turned(&self, reason: Reason, retry_after: Millis) -> Turned {
        Turned {
            reason,
            retry_after: retry_after.max(LEAST_RETRY_AFTER),
        }
    }
}

fn flow(request: &Request) -> FlowKey {
    FlowKey {
        class: request.class,
        team: request.team,
    }
}
