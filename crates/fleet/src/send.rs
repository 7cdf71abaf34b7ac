//! Sending packets and the deltas that ride on them.

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
        Queue,
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

/// About how many bytes a delta takes beside its texts.
const DELTA_BYTES: usize = 24;

impl Fleet {
    /// Sends deltas to some daemons of the region, and to one of each other region.
    pub(crate) fn tick_gossip(&mut self, now: Millis) {
        if now < self.timers.gossip || self.queue.is_empty() {
            return;
        }
        self.timers.gossip = now + self.cfg.gossip_interval;
        self.gossip_remote();
        for peer in self.some_near_peers(self.cfg.gossip_fanout) {
            self.send(peer, Body::Gossip);
        }
        if self.is_alone() {
            self.queue = Queue::default();
        }
    }

    fn gossip_remote(&mut self) {
        let subjects = self.queue.remote();
        if subjects.is_empty() {
            return;
        }
        let (count, updates) = self.fitting(&subjects);
        for peer in self.one_of_each_other_region() {
            if let Some(record) = self.members.record(peer) {
                let address = record.address.clone();
                self.emit(address, Body::Gossip, updates.clone());
            }
        }
        self.queue.count_remote(count, self.retransmit_limit());
    }

    fn one_of_each_other_region(&mut self) -> Vec<Instance> {
        let mut remote = self.far.clone();
        remote.shuffle(&mut self.rng);
        let mut regions = Vec::new();
        remote.retain(|&key| {
            let region = self.members.record(key).map(|record| &record.region);
            let first = !regions.contains(&region);
            regions.push(region);
            first
        });
        remote
    }

    /// Queues a change. One that was made here is sent to other regions by this daemon, and once
    /// more by a few of those that hear of it.
    pub(crate) fn spread(&mut self, subject: Subject, own: bool) {
        let near = self.near_peers().len().max(1);
        let relays = self.cfg.remote_relays.min(near);
        let remote = match own {
            true => self.cfg.remote_sends,
            false => u32::from(self.rng.random_range(0..near) < relays),
        };
        self.queue.push(subject, remote);
    }

    /// Lists the other reachable instances anew.
    pub(crate) fn list_peers(&mut self) {
        let region = &self.me().region;
        let mut near = Vec::new();
        let mut far = Vec::new();
        for (key, member) in self.members.iter() {
            if key == self.me || !member.record.is_reachable() {
                continue;
            }
            match member.record.region == *region {
                true => near.push(key),
                false => far.push(key),
            }
        }
        self.near = near;
        self.far = far;
    }

    /// Whether no other instance is reachable.
    pub(crate) fn is_alone(&self) -> bool {
        self.near.is_empty() && self.far.is_empty()
    }

    /// The other reachable instances of the region; all, if there are none.
    pub(crate) fn near_peers(&self) -> &[Instance] {
        match self.near.is_empty() {
            true => &self.far,
            false => &self.near,
        }
    }

    /// Some of [`Fleet::near_peers`] by chance.
    pub(crate) fn some_near_peers(&mut self, count: usize) -> Vec<Instance> {
        let mut rng = self.rng.clone();
        let chosen = self.near_peers().choose_multiple(&mut rng, count);
        let chosen = chosen.copied().collect();
        self.rng = rng;
        chosen
    }

    /// One other reachable instance, of another region if `remote`.
    pub(crate) fn random_peer(&mut self, remote: bool) -> Option<Instance> {
        let peers = match remote && !self.far.is_empty() {
            true => &self.far,
            false if self.near.is_empty() => &self.far,
            false => &self.near,
        };
        peers.choose(&mut self.rng).copied()
    }

    /// Sends a packet with deltas to an instance. One that is suspect or dead here hears so first,
    /// and can refute.
    pub(crate) fn send(&mut self, to: Instance, body: Body) {
        let Some(record) = self.members.record(to) else {
            return;
        };
        let address = record.address.clone();
        let doubt = matches!(record.status, Status::Suspect | Status::Dead);
        let mut updates = Vec::new();
        if doubt {
            updates.push(claim(record));
        }
        updates.extend(self.deltas());
        self.emit(address, body, updates);
    }

    /// Sends a packet with deltas to an address.
    pub(crate) fn send_to(&mut self, address: String, body: Body) {
        let updates = self.deltas();
        self.emit(address, body, updates);
    }

    /// Sends a packet with these updates.
    pub(crate) fn emit(&mut self, to: String, body: Body, updates: Vec<Update>) {
        let me = self.me();
        let packet = Packet {
            from: me.name.clone(),
            address: me.address.clone(),
            body,
            updates,
        };
        let packet = packet.encode();
        self.actions.push(Action::Send { to, packet });
    }

    /// The deltas for one packet, which are counted as sent.
    fn deltas(&mut self) -> Vec<Update> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let limit = self.retransmit_limit();
        let subjects = self.queue.near(limit);
        let (count, updates) = self.fitting(&subjects);
        self.queue.count_near(count, limit);
        updates
    }

    /// The updates of as many subjects as fit a packet, and how many these are.
    fn fitting(&self, subjects: &[Subject]) -> (usize, Vec<Update>) {
        let mut updates = Vec::new();
        let mut bytes = 0;
        for (count, &subject) in subjects.iter().enumerate() {
            let update = self.update_of(subject);
            bytes += update.as_ref().map_or(0, size);
            if bytes > self.cfg.packet_bytes && !updates.is_empty() {
                return (count, updates);
            }
            updates.extend(update);
        }
        (subjects.len(), updates)
    }

    fn retransmit_limit(&self) -> u32 {
        let near = self.near_peers().len().max(1);
        self.cfg.retransmits * (near.ilog2() + 1)
    }

    /// What is known of a subject now.
    fn update_of(&self, subject: Subject) -> Option<Update> {
        match subject {
            Subject::Instance(key) => {
                let record = self.members.record(key)?;
                Some(match record.status {
                    Status::Alive => Update::Instance(record.clone()),
                    _ => claim(record),
                })
            }
            Subject::Target(key) => {
                let entry = self.targets.get(key)?;
                let is_known = entry.same_announcement || entry.record.state != TargetState::Live;
                Some(match is_known {
                    true => Update::TargetClaim(entry.record.claim()),
                    false => Update::Target(entry.record.clone()),
                })
            }
        }
    }
}

/// The status of an instance, without its address.
pub(crate) fn claim(record: &InstanceRecord) -> Update {
    Update::Claim(Claim {
        name: record.name.clone(),
        incarnation: record.incarnation,
        status: record.status,
    })
}

/// About how many bytes an update takes in a packet.
pub(crate) fn size(update: &Update) -> usize {
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
    texts + DELTA_BYTES
}
