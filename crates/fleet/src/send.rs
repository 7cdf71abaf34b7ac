//! Sending of packets and piggybacked deltas.

use rand::{
    Rng,
    seq::{
        IndexedRandom,
        SliceRandom, //
    }, //
};
use yuccaseam_base::Millis;

use crate::{
    fleet::{
        Action,
        Fleet, //
    },
    gossip::{
        GossipQueue,
        Subject, //
    },
    instance::{
        Instance,
        InstanceRecord,
        Status, //
    },
    packet::{
        Body,
        Claim,
        Packet,
        Update, //
    },
    target::TargetState, //
};

/// Estimated encoded size of a delta without its strings.
const DELTA_OVERHEAD_BYTES: usize = 24;

impl Fleet {
    /// Sends deltas to some daemons of the region and to one daemon of each other region.
    pub(crate) fn tick_gossip(&mut self, now: Millis) {
        if now < self.timers.gossip || self.queue.is_empty() {
            return;
        }
        self.timers.gossip = now + self.cfg.gossip_interval;
        self.gossip_remote();
        for peer in self.sample_nearest_peers(self.cfg.gossip_fanout) {
            self.send(peer, Body::Gossip);
        }
        if self.is_isolated() {
            self.queue = GossipQueue::default();
        }
    }

    fn gossip_remote(&mut self) {
        let subjects = self.queue.remote_pending();
        if subjects.is_empty() {
            return;
        }
        let (count, updates) = self.pack_updates(&subjects);
        for peer in self.one_peer_per_remote_region() {
            if let Some(record) = self.members.record(peer) {
                let address = record.address.clone();
                self.emit(address, Body::Gossip, updates.clone());
            }
        }
        self.queue.mark_sent_remote(count, self.retransmit_limit());
    }

    fn one_peer_per_remote_region(&mut self) -> Vec<Instance> {
        let mut peers = self.remote_peers.clone();
        peers.shuffle(&mut self.rng);
        let mut regions = Vec::new();
        peers.retain(|&key| {
            let region = self.members.record(key).map(|record| &record.region);
            let first = !regions.contains(&region);
            regions.push(region);
            first
        });
        peers
    }

    /// Queues a change for gossip. This daemon sends a locally made change to other regions itself;
    /// of the daemons that receive a change, a few relay it to other regions once more.
    pub(crate) fn enqueue_gossip(&mut self, subject: Subject, local_origin: bool) {
        let peer_count = self.nearest_peers().len().max(1);
        let relay_count = self.cfg.remote_relays.min(peer_count);
        let remote = match local_origin {
            true => self.cfg.remote_sends,
            false => u32::from(self.rng.random_range(0..peer_count) < relay_count),
        };
        self.queue.push(subject, remote);
    }

    /// Recomputes the lists of other reachable instances.
    pub(crate) fn refresh_peers(&mut self) {
        let region = &self.local().region;
        let mut region_peers = Vec::new();
        let mut remote_peers = Vec::new();
        for (key, member) in self.members.iter() {
            if key == self.local || !member.record.is_reachable() {
                continue;
            }
            match member.record.region == *region {
                true => region_peers.push(key),
                false => remote_peers.push(key),
            }
        }
        self.region_peers = region_peers;
        self.remote_peers = remote_peers;
    }

    /// Whether no other instance is reachable.
    pub(crate) fn is_isolated(&self) -> bool {
        self.region_peers.is_empty() && self.remote_peers.is_empty()
    }

    /// Other reachable instances of the region, or those of other regions if there are none.
    pub(crate) fn nearest_peers(&self) -> &[Instance] {
        match self.region_peers.is_empty() {
            true => &self.remote_peers,
            false => &self.region_peers,
        }
    }

    /// Random sample of [`Fleet::nearest_peers`].
    pub(crate) fn sample_nearest_peers(&mut self, count: usize) -> Vec<Instance> {
        let mut rng = self.rng.clone();
        let chosen = self.nearest_peers().choose_multiple(&mut rng, count);
        let chosen = chosen.copied().collect();
        self.rng = rng;
        chosen
    }

    /// Random reachable instance, of another region if `remote`.
    pub(crate) fn random_peer(&mut self, remote: bool) -> Option<Instance> {
        let peers = match remote && !self.remote_peers.is_empty() {
            true => &self.remote_peers,
            false if self.region_peers.is_empty() => &self.remote_peers,
            false => &self.region_peers,
        };
        peers.choose(&mut self.rng).copied()
    }

    /// Sends a packet with deltas to an instance. If that instance is suspect or dead here, that
    /// claim comes first, so that it can refute.
    pub(crate) fn send(&mut self, to: Instance, body: Body) {
        let Some(record) = self.members.record(to) else {
            return;
        };
        let address = record.address.clone();
        let contested = matches!(record.status, Status::Suspect | Status::Dead);
        let mut updates = Vec::new();
        if contested {
            updates.push(status_claim(record));
        }
        updates.extend(self.deltas());
        self.emit(address, body, updates);
    }

    /// Sends a packet with deltas to an address.
    pub(crate) fn send_to(&mut self, address: String, body: Body) {
        let updates = self.deltas();
        self.emit(address, body, updates);
    }

    /// Sends a packet with the given updates.
    pub(crate) fn emit(&mut self, to: String, body: Body, updates: Vec<Update>) {
        let local = self.local();
        let packet = Packet {
            from: local.name.clone(),
            address: local.address.clone(),
            body,
            updates,
        };
        let packet = packet.encode();
        self.actions.push(Action::Send { to, packet });
    }

    /// Takes the deltas for one packet and counts them as sent.
    fn deltas(&mut self) -> Vec<Update> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let limit = self.retransmit_limit();
        let subjects = self.queue.region_pending(limit);
        let (count, updates) = self.pack_updates(&subjects);
        self.queue.mark_sent_in_region(count, limit);
        updates
    }

    /// Packs the updates of as many subjects as fit into a packet, and returns their number.
    fn pack_updates(&self, subjects: &[Subject]) -> (usize, Vec<Update>) {
        let mut updates = Vec::new();
        let mut bytes = 0;
        for (count, &subject) in subjects.iter().enumerate() {
            let update = self.current_update(subject);
            bytes += update.as_ref().map_or(0, estimated_bytes);
            if bytes > self.cfg.max_delta_bytes && !updates.is_empty() {
                return (count, updates);
            }
            updates.extend(update);
        }
        (subjects.len(), updates)
    }

    fn retransmit_limit(&self) -> u32 {
        let peer_count = self.nearest_peers().len().max(1);
        self.cfg.retransmit_factor * (peer_count.ilog2() + 1)
    }

    /// Current record of a subject as a delta.
    fn current_update(&self, subject: Subject) -> Option<Update> {
        match subject {
            Subject::Instance(key) => {
                let record = self.members.record(key)?;
                Some(match record.status {
                    Status::Alive => Update::Instance(record.clone()),
                    _ => status_claim(record),
                })
            }
            Subject::Target(key) => {
                let entry = self.targets.get(key)?;
                let announcement_known =
                    entry.announcement_unchanged || entry.record.state != TargetState::Live;
                Some(match announcement_known {
                    true => Update::TargetClaim(entry.record.claim()),
                    false => Update::Target(entry.record.clone()),
                })
            }
        }
    }
}

/// Claim about the status of an instance, without its address.
pub(crate) fn status_claim(record: &InstanceRecord) -> Update {
    Update::Claim(Claim {
        name: record.name.clone(),
        incarnation: record.incarnation,
        status: record.status,
    })
}

/// Estimated encoded size of an update.
pub(crate) fn estimated_bytes(update: &Update) -> usize {
    let texts = match update {
        Update::Instance(record) => {
            record.name.0.len()
                + record.address.len()
                + record.domain.0.len()
                + record.region.0.len()
        }
        Update::Claim(claim) => claim.name.0.len(),
        Update::TargetClaim(claim) => claim.name.0.len() + claim.holder.0.len(),
        Update::Target(record) => {
            let announcement = &record.announcement;
            announcement.name.0.len()
                + announcement.address.len()
                + announcement.serves.len()
                + announcement.domain.0.len()
                + announcement.region.0.len()
                + record.holder.0.len()
        }
    };
    texts + DELTA_OVERHEAD_BYTES
}
