//! State of the probes in flight.

use std::collections::HashMap;

use yuccaseam_base::{
    Millis,
    value, //
};

use crate::instance::Instance;

/// Probe sent by this daemon.
#[value]
pub(crate) struct Probe {
    pub(crate) peer: Instance,
    pub(crate) sent: Millis,
    /// Whether the probe was repeated through other daemons.
    pub(crate) indirect: bool,
    /// Whether the probed instance is in another region.
    pub(crate) remote: bool,
}

/// Probe sent on behalf of another daemon.
#[value]
pub(crate) struct RelayedProbe {
    /// Address of the requesting daemon.
    pub(crate) address: String,
    /// Probe number at the requesting daemon.
    pub(crate) probe: u64,
    pub(crate) sent: Millis,
}

/// Probes in flight and the order of the next ones.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    /// Number of probes started.
    pub(crate) started: u64,
    /// Instances of the region in random order, probed in turn.
    pub(crate) round: Vec<Instance>,
    /// Increases with each failed probe and decreases with each acknowledgement. A high count
    /// suggests a local fault.
    pub(crate) failures: u64,
    /// Whether the last probe of another region failed, which suggests a partition.
    pub(crate) remote_failed: bool,
    pending: HashMap<u64, Probe>,
    relayed: HashMap<u64, RelayedProbe>,
    last_number: u64,
}

/// Number of failures beyond which time-outs no longer grow.
const MAX_FAILURES: u64 = 4;

impl Prober {
    /// Registers a probe of this daemon and returns its number.
    pub(crate) fn start(&mut self, peer: Instance, remote: bool, now: Millis) -> u64 {
        let number = self.next_number();
        let probe = Probe {
            peer,
            sent: now,
            indirect: false,
            remote,
        };
        self.pending.insert(number, probe);
        number
    }

    /// Registers a probe on behalf of another daemon and returns its number.
    pub(crate) fn start_relayed(&mut self, relayed: RelayedProbe) -> u64 {
        let number = self.next_number();
        self.relayed.insert(number, relayed);
        number
    }

    /// Handles an acknowledgement. Returns the probe of another daemon that it belongs to, if any.
    pub(crate) fn acknowledge(&mut self, number: u64) -> Option<RelayedProbe> {
        if let Some(probe) = self.pending.remove(&number) {
            self.failures = self.failures.saturating_sub(1);
            self.remote_failed &= !probe.remote;
        }
        self.relayed.remove(&number)
    }

    pub(crate) fn is_probing(&self, peer: Instance) -> bool {
        self.pending.values().any(|probe| probe.peer == peer)
    }

    /// Probes to repeat through other daemons, which are marked as repeated.
    pub(crate) fn take_unacked(&mut self, after: Millis, now: Millis) -> Vec<(u64, Instance)> {
        let after = self.scaled_timeout(after);
        let mut unacked = Vec::new();
        for (&number, probe) in &mut self.pending {
            if !probe.indirect && now >= probe.sent + after {
                probe.indirect = true;
                unacked.push((number, probe.peer));
            }
        }
        unacked.sort_unstable();
        unacked
    }

    /// Removes failed probes and returns the probed instances.
    pub(crate) fn take_failed(&mut self, timeout: Millis, now: Millis) -> Vec<Instance> {
        let scaled_timeout = self.scaled_timeout(timeout);
        self.relayed
            .retain(|_, relayed| now < relayed.sent + timeout);
        let mut failed = Vec::new();
        self.pending.retain(|_, probe| {
            let is_pending = now < probe.sent + scaled_timeout;
            if !is_pending {
                failed.push(probe.peer);
                self.remote_failed |= probe.remote;
            }
            is_pending
        });
        failed.sort_unstable();
        self.failures = (self.failures + failed.len() as u64).min(MAX_FAILURES);
        failed
    }

    /// Drops all probes in flight without counting them as failed.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.relayed.clear();
    }

    fn scaled_timeout(&self, timeout: Millis) -> Millis {
        timeout + Millis(timeout.0 * self.failures / 2)
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
