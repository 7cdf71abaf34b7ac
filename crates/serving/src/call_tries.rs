//! What may be said of a call that was sent more than once.
//!
//! Invariant: a call is refused only if no earlier try may still reach the leader's log, and is said to have reached no
//! leader only if no earlier try has run or may run. A try without a reply may be on its way, or wait in an instance
//! that is frozen, and run once there is room for it.

use crate::link::HubReply;

/// Result of one try that did not settle the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryResult {
    /// It was not received, or the receiver did nothing.
    NotRun,
    /// The store that was called may have it in its log; it does not arrive anywhere later. A leader that refuses a
    /// later try has applied that log, as far as it takes effect.
    MayBeLogged,
    /// It may still be on its way.
    MayArrive,
}

/// The tries of one call so far.
#[derive(Debug, Default)]
pub struct CallTries {
    may_be_logged: bool,
    may_arrive: bool,
}

impl CallTries {
    /// Records a try that did not settle the call.
    pub fn record(&mut self, result: TryResult) {
        self.may_be_logged |= result == TryResult::MayBeLogged;
        self.may_arrive |= result == TryResult::MayArrive;
    }

    /// Whether a refusal by the receiver of the last try is true of the whole call.
    pub fn may_be_refused(&self) -> bool {
        !self.may_arrive
    }

    /// Whether no try has run or may run.
    pub fn certainly_not_run(&self) -> bool {
        !self.may_arrive && !self.may_be_logged
    }

    /// The reply to a call that no try settled; `None` if it certainly reached no leader.
    pub(crate) fn conclusion(&self) -> Option<HubReply> {
        (!self.certainly_not_run()).then_some(HubReply::Unknown)
    }
}
