//! Failure detection by probes.

use rand::seq::{
    IndexedRandom,
    SliceRandom, //
};
use yuccaseam_base::{
    InstanceName,
    Millis, //
};

use crate::{
    fleet::Fleet,
    instance::{
        Instance,
        Status, //
    },
    packet::Body,
    probe::RelayedProbe, //
};

/// One of this many probes goes to another region after such a probe has failed.
const PROBES_PER_REMOTE_AFTER_FAILURE: u64 = 2;

impl Fleet {
    /// Handles unacknowledged probes and starts the next probe.
    pub(crate) fn tick_probes(&mut self, now: Millis) {
        for peer in self.prober.take_failed(self.cfg.probe_timeout, now) {
            self.probe_failed(peer, now);
        }
        for (number, peer) in self.prober.take_unacked(self.cfg.indirect_probe_delay, now) {
            self.probe_indirectly(number, peer);
        }
        if now < self.timers.probe {
            return;
        }
        self.timers.probe = now + self.cfg.probe_interval;
        if let Some(peer) = self.next_to_probe() {
            self.probe(peer, now);
        }
    }

    /// Probes an instance immediately because a call to it failed.
    pub(crate) fn handle_peer_failure(&mut self, name: &InstanceName, now: Millis) {
        let Some(key) = self.members.find(name) else {
            return;
        };
        if key != self.local && !self.prober.is_probing(key) {
            self.probe(key, now);
        }
    }

    fn probe(&mut self, peer: Instance, now: Millis) {
        let Some(record) = self.members.record(peer).filter(|r| r.is_reachable()) else {
            return;
        };
        let to = record.name.clone();
        let remote = record.region != self.local().region;
        let probe = self.prober.start(peer, remote, now);
        self.send(peer, Body::Ping { to, probe });
    }

    /// Selects the next instance of the region in turn, and periodically one of another region.
    fn next_to_probe(&mut self) -> Option<Instance> {
        self.prober.started += 1;
        let per_remote = match self.prober.remote_failed {
            true => PROBES_PER_REMOTE_AFTER_FAILURE,
            false => self.cfg.probes_per_remote,
        };
        if self.prober.started.is_multiple_of(per_remote)
            && let Some(&key) = self.remote_peers.choose(&mut self.rng)
        {
            return Some(key);
        }
        if self.prober.round.is_empty() {
            self.prober.round = self.nearest_peers().to_vec();
            self.prober.round.shuffle(&mut self.rng);
        }
        self.prober.round.pop()
    }

    fn probe_indirectly(&mut self, probe: u64, peer: Instance) {
        let Some(record) = self.members.record(peer) else {
            return;
        };
        let body = Body::PingRequest {
            to: record.name.clone(),
            address: record.address.clone(),
            probe,
        };
        let mut relays = self.sample_nearest_peers(self.cfg.indirect_count + 1);
        relays.retain(|&key| key != peer);
        relays.truncate(self.cfg.indirect_count);
        for relay in relays {
            self.send(relay, body.clone());
        }
    }

    fn probe_failed(&mut self, peer: Instance, now: Millis) {
        let status = self.members.record(peer).map(|record| record.status);
        match status {
            Some(Status::Alive) => self.set_status(peer, Status::Suspect, now),
            // A leaving instance was expected to stop, so it is not suspected first.
            Some(Status::Leaving) => self.set_status(peer, Status::Dead, now),
            _ => {}
        }
    }

    /// Acknowledges a ping addressed to this instance.
    pub(crate) fn handle_ping(&mut self, to: &InstanceName, probe: u64, address: &str) {
        if *to == self.local().name {
            self.send_to(address.to_owned(), Body::Ack { probe });
        }
    }

    /// Pings a third instance on behalf of another daemon.
    pub(crate) fn handle_ping_request(
        &mut self,
        to: InstanceName,
        address: String,
        relayed: RelayedProbe,
    ) {
        let probe = self.prober.start_relayed(relayed);
        self.send_to(address, Body::Ping { to, probe });
    }

    /// Handles an acknowledgement and relays it if another daemon requested the probe.
    pub(crate) fn handle_ack(&mut self, probe: u64) {
        if let Some(relayed) = self.prober.acknowledge(probe) {
            let body = Body::Ack {
                probe: relayed.probe,
            };
            self.send_to(relayed.address, body);
        }
    }
}
