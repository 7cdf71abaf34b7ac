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

/// How old the confirmation of the configuration may be before readiness is off.
const CONFIRMATION: Millis = Millis(3_000);

/// The phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Serving.
    Serving = 0,
    /// A planned stop has begun: readiness is off, new calls are still served until the
    /// balancer has noticed.
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

    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::SeqCst);
    }

    /// Notes that this daemon has learned from another one which instances and targets there are.
    pub(crate) fn set_joined(&self) {
        self.is_joined.store(true, Ordering::SeqCst);
    }

    /// Notes that the configuration that runs here was confirmed by a quorum at this time.
    pub(crate) fn confirm(&self, at: Millis) {
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

    /// Why this instance is not ready, if it is not.
    pub(crate) fn unready(&self) -> Option<&'static str> {
        if self.phase() != Phase::Serving {
            return Some("stopping");
        }
        if !self.is_joined.load(Ordering::SeqCst) {
            return Some("no other daemon has told what it knows");
        }
        match self.confirmation_age() {
            None => Some("the configuration was never confirmed"),
            Some(age) if age > CONFIRMATION => Some("the configuration is not confirmed"),
            Some(_) => None,
        }
    }
}
