//! Liveness, readiness and the phase of a planned stop.

use std::sync::{
    Mutex,
    atomic::{
        AtomicBool,
        AtomicU8,
        Ordering, //
    },
};

use yuccaseam_base::{
    Clock,
    Millis, //
};

/// Maximum age of the confirmation of the configuration while the instance counts as ready.
const MAX_CONFIRMATION_AGE: Millis = Millis(3_000);

/// The phase of the process, from serving to a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// New calls are served.
    Serving = 0,
    /// A planned stop has begun: readiness is off, and new calls are still served until the load
    /// balancer has had time to react.
    Draining = 1,
    /// New calls are refused as "not run".
    Refusing = 2,
}

/// Whether this instance is ready for callers.
pub(crate) struct Health {
    clock: Clock,
    phase: AtomicU8,
    is_joined: AtomicBool,
    confirmed_at: Mutex<Option<Millis>>,
}

impl Health {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            phase: AtomicU8::new(Phase::Serving as u8),
            is_joined: AtomicBool::new(false),
            confirmed_at: Mutex::new(None),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Draining,
            _ => Phase::Refusing,
        }
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::SeqCst);
    }

    /// Records that this daemon has received the known instances and targets from another one.
    pub(crate) fn set_joined(&self) {
        self.is_joined.store(true, Ordering::SeqCst);
    }

    /// Records that a quorum confirmed the configuration in force here at this time.
    pub(crate) fn record_confirmation(&self, at: Millis) {
        let mut confirmed = self
            .confirmed_at
            .lock()
            .expect("no thread panics with the lock");
        *confirmed = (*confirmed).max(Some(at));
    }

    /// The age of the last confirmation, if there was one.
    pub(crate) fn confirmation_age(&self) -> Option<Millis> {
        let confirmed = self
            .confirmed_at
            .lock()
            .expect("no thread panics with the lock");
        confirmed.map(|at| self.clock.now() - at)
    }

    /// Why this instance is not ready; `None` if it is ready.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        if self.phase() != Phase::Serving {
            return Some("stopping");
        }
        if !self.is_joined.load(Ordering::SeqCst) {
            return Some("no state received from another daemon yet");
        }
        match self.confirmation_age() {
            None => Some("the configuration has not been confirmed yet"),
            Some(age) if age > MAX_CONFIRMATION_AGE => {
                Some("the configuration confirmation is too old")
            }
            Some(_) => None,
        }
    }
}
