//! Finding instances that have failed.

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
    probe::Relayed, //
};

/// Every how many probes one goes to another region after such a probe has failed.
const PROBES_PER_REMOTE_IN_DOUBT: u64 = 2;

impl Fleet {
    /// Judges probes without an answer, and starts the next one.
    pub(crate) fn tick_probes(&mut self, now: Millis) {
        for target in self.prober.take_failed(self.cfg.probe_timeout, now) {
            self.probe_failed(target, now);
        }
        for (number, target) in self.prober.take_unanswered(self.cfg.indirect_after, now) {
            self.probe_through_others(number, target);
        }
        if now < self.timers.probe {
            return;
        }
        self.timers.probe = now + self.cfg.probe_interval;
        if let Some(target) = self.next_to_probe() {
            self.probe(target, now);
        }
    }

    /// Probes an instance at once, because a call to it failed.
    pub(crate) fn peer_failed(&mut self, name: &InstanceName, now: Millis) {
        let Some(key) = self.members.find(name) else {
            return;
        };
        if key != self.me && !self.prober.is_probing(key) {
            self.probe(key, now);
        }
    }

    fn probe(&mut self, target: Instance, now: Millis) {
        let Some(record) = self.members.record(target).filter(|r| r.is_reachable()) else {
            return;
        };
        let to = record.name.clone();
        let remote = record.region != self.me().region;
        let probe = self.prober.start(target, remote, now);
        self.send(target, Body::Ping { to, probe });
    }

    /// The next instance of the region in turn; now and then one of another region.
    fn next_to_probe(&mut self) -> Option<Instance> {
        self.prober.count += 1;
        let per_remote = match self.prober.remote_failed {
            true => PROBES_PER_REMOTE_IN_DOUBT,
            false => self.cfg.probes_per_remote,
        };
        if self.prober.count.is_multiple_of(per_remote)
            && let Some(&key) = self.far.choose(&mut self.rng)
        {
            return Some(key);
        }
        if self.prober.order.is_empty() {
            self.prober.order = self.near_peers().to_vec();
            self.prober.order.shuffle(&mut self.rng);
        }
        self.prober.order.pop()
    }

    fn probe_through_others(&mut self, probe: u64, target: Instance) {
        let Some(record) = self.members.record(target) else {
            return;
        };
        let body = Body::PingRequest {
            to: record.name.clone(),
            address: record.address.clone(),
            probe,
        };
        let mut helpers = self.some_near_peers(self.cfg.indirect_count + 1);
        helpers.retain(|&key| key != target);
        helpers.truncate(self.cfg.indirect_count);
        for helper in helpers {
            self.send(helper, body.clone());
        }
    }

    fn probe_failed(&mut self, target: Instance, now: Millis) {
        let status = self.members.record(target).map(|record| record.status);
        match status {
            Some(Status::Alive) => self.set_status(target, Status::Suspect, now),
            // It has said that it would go.
            Some(Status::Leaving) => self.set_status(target, Status::Dead, now),
            _ => {}
        }
    }

    /// Answers a ping, if it is meant for this instance.
    pub(crate) fn ping_received(&mut self, to: &InstanceName, probe: u64, address: &str) {
        if *to == self.me().name {
            self.send_to(address.to_owned(), Body::Ack { probe });
        }
    }

    /// Pings a third instance for another one.
    pub(crate) fn ping_requested(&mut self, to: InstanceName, at: String, relayed: Relayed) {
        let probe = self.prober.relay(relayed);
        self.send_to(at, Body::Ping { to, probe });
    }

    /// Takes in the answer to a ping, and passes it on if another daemon waits for it.
    pub(crate) fn ack_received(&mut self, probe: u64) {
        if let Some(relayed) = self.prober.answered(probe) {
            let body = Body::Ack {
                probe: relayed.probe,
            };
            self.send_to(relayed.address, body);
        }
    }
}
