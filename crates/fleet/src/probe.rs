//! Probes that wait for their answers.

use std::collections::HashMap;

use yuccaseam_base::{
    Millis,
    value, //
};

use crate::instance::Instance;

/// A probe of this daemon.
#[value]
pub(crate) struct Probe {
    /// Whom it asks.
    pub(crate) target: Instance,
    /// When it was sent.
    pub(crate) sent: Millis,
    /// Whether it was repeated through others.
    pub(crate) indirect: bool,
    /// Whether it goes to another region.
    pub(crate) remote: bool,
}

/// A probe that is made for another daemon.
#[value]
pub(crate) struct Relayed {
    /// Where the other daemon listens.
    pub(crate) address: String,
    /// The number of the probe there.
    pub(crate) probe: u64,
    /// When it was sent.
    pub(crate) sent: Millis,
}

/// All probes under way, and whom to probe next.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    /// How many probes were started.
    pub(crate) count: u64,
    /// Instances of the region in random order, which are probed in turn.
    pub(crate) order: Vec<Instance>,
    /// Grows with each failed probe and shrinks with each answer. If many probes fail, the fault
    /// is likely to be here.
    pub(crate) failures: u64,
    /// Whether the last probe of another region failed: the region may be cut off.
    pub(crate) remote_failed: bool,
    pending: HashMap<u64, Probe>,
    relayed: HashMap<u64, Relayed>,
    numbers: u64,
}

/// Beyond this many failures timeouts grow no more.
const MAX_FAILURES: u64 = 4;

impl Prober {
    /// Registers a probe of this daemon and returns its number.
    pub(crate) fn start(&mut self, target: Instance, remote: bool, now: Millis) -> u64 {
        let number = self.next_number();
        let probe = Probe {
            target,
            sent: now,
            indirect: false,
            remote,
        };
        self.pending.insert(number, probe);
        number
    }

    /// Registers a probe for another daemon and returns its number.
    pub(crate) fn relay(&mut self, relayed: Relayed) -> u64 {
        let number = self.next_number();
        self.relayed.insert(number, relayed);
        number
    }

    /// Takes in an answer. Returns the probe of another daemon that it answers, if any.
    pub(crate) fn answered(&mut self, number: u64) -> Option<Relayed> {
        if let Some(probe) = self.pending.remove(&number) {
            self.failures = self.failures.saturating_sub(1);
            self.remote_failed &= !probe.remote;
        }
        self.relayed.remove(&number)
    }

    /// Whether an instance is being probed.
    pub(crate) fn is_probing(&self, target: Instance) -> bool {
        self.pending.values().any(|probe| probe.target == target)
    }

    /// The probes to repeat through others, which are marked as repeated.
    pub(crate) fn take_unanswered(&mut self, after: Millis, now: Millis) -> Vec<(u64, Instance)> {
        let after = self.patient(after);
        let mut unanswered = Vec::new();
        for (&number, probe) in &mut self.pending {
            if !probe.indirect && now >= probe.sent + after {
                probe.indirect = true;
                unanswered.push((number, probe.target));
            }
        }
        unanswered.sort_unstable();
        unanswered
    }

    /// Removes the probes that have failed, and returns whom they asked.
    pub(crate) fn take_failed(&mut self, timeout: Millis, now: Millis) -> Vec<Instance> {
        let patient = self.patient(timeout);
        self.relayed
            .retain(|_, relayed| now < relayed.sent + timeout);
        let mut failed = Vec::new();
        self.pending.retain(|_, probe| {
            let waits = now < probe.sent + patient;
            if !waits {
                failed.push(probe.target);
                self.remote_failed |= probe.remote;
            }
            waits
        });
        failed.sort_unstable();
        self.failures = (self.failures + failed.len() as u64).min(MAX_FAILURES);
        failed
    }

    /// Forgets all probes without judging whom they asked.
    pub(crate) fn forget_pending(&mut self) {
        self.pending.clear();
        self.relayed.clear();
    }

    fn patient(&self, timeout: Millis) -> Millis {
        timeout + Millis(timeout.0 * self.failures / 2)
    }

    fn next_number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }
}
