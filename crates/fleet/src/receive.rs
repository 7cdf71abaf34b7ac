//! Taking in packets.

use yuccaseam_base::{
    InstanceName,
    Millis, //
};

use crate::{
    fleet::{
        Action,
        Fleet, //
    },
    gossip::Subject,
    instance::{
        InstanceRecord,
        Status, //
    },
    members::Merge,
    packet::{
        Body,
        Claim,
        Packet,
        PacketError,
        Update, //
    },
    probe::Relayed,
    target::TargetClaim, //
};

/// A packet that changes more than this many records is not gossiped on: it comes from a
/// comparison of digests, in which others take part too.
const MAX_GOSSIPED_CHANGES: usize = 128;

/// What the updates of a packet did.
#[derive(Debug, Default)]
pub(crate) struct Told {
    /// What the sender knows as well as this daemon, or better.
    pub(crate) known: Vec<Subject>,
    /// What the sender knows less well.
    pub(crate) stale: Vec<Subject>,
    /// What has changed here.
    pub(crate) changed: Vec<Subject>,
}

impl Fleet {
    /// Takes in a packet.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not those of a packet; nothing has changed then.
    pub fn receive(&mut self, packet: &[u8], now: Millis) -> Result<Vec<Action>, PacketError> {
        let packet = Packet::decode(packet)?;
        if packet.from == self.me().name && packet.address == self.me().address {
            return Ok(Vec::new());
        }
        let told = self.take_in(packet.updates, now);
        match packet.body {
            Body::Ping { to, probe } => self.ping_received(&to, probe, &packet.address),
            Body::Ack { probe } => self.ack_received(probe),
            Body::PingRequest { to, address, probe } => {
                let relayed = Relayed {
                    address: packet.address,
                    probe,
                    sent: now,
                };
                self.ping_requested(to, address, relayed);
            }
            Body::Gossip => {}
            Body::Digest(digest) => self.digest_received(&digest, packet.address),
            Body::Records { buckets, more } => {
                self.records_received(&buckets, more, &told, packet.address, now);
            }
            Body::Loads(loads) => self.loads_received(loads),
            Body::Renewals(renewals) => self.renewals_received(&renewals, now),
        }
        Ok(self.finish())
    }

    fn take_in(&mut self, updates: Vec<Update>, now: Millis) -> Told {
        let mut told = Told::default();
        for update in updates {
            self.update(update, &mut told, now);
        }
        let gossiped = told.changed.len() <= MAX_GOSSIPED_CHANGES;
        for &subject in told.changed.iter().filter(|_| gossiped) {
            self.spread(subject, false);
        }
        told
    }

    fn update(&mut self, update: Update, told: &mut Told, now: Millis) {
        match update {
            Update::Instance(record) if record.name == self.me().name => {
                self.told_of_me(record.incarnation, record.status, told, now);
            }
            Update::Instance(record) => self.told_of_instance(record, told, now),
            Update::Claim(claim) => self.told_of_status(&claim, told, now),
            Update::Target(record) => self.told_of_target(record, told, now),
            Update::TargetClaim(claim) => self.told_of_target_claim(claim, told, now),
        }
    }

    fn told_of_target_claim(&mut self, claim: TargetClaim, told: &mut Told, now: Millis) {
        let known = self.targets.find(&claim.name);
        let entry = known.and_then(|key| self.targets.get(key));
        if let Some(record) = entry.and_then(|entry| entry.record.claimed(claim)) {
            self.told_of_target(record, told, now);
        }
    }

    fn told_of_instance(&mut self, record: InstanceRecord, told: &mut Told, now: Millis) {
        let name = record.name.clone();
        let merged = self.members.merge(record, now);
        self.merged(&name, merged, told, now);
    }

    fn told_of_status(&mut self, claim: &Claim, told: &mut Told, now: Millis) {
        if claim.name == self.me().name {
            self.told_of_me(claim.incarnation, claim.status, told, now);
            return;
        }
        if let Some(key) = self.members.find(&claim.name) {
            let merged = self
                .members
                .claim(key, claim.incarnation, claim.status, now);
            self.merged(&claim.name, merged, told, now);
        }
    }

    fn merged(&mut self, name: &InstanceName, merged: Merge, told: &mut Told, now: Millis) {
        match merged {
            Merge::Changed(key) => {
                told.changed.push(Subject::Instance(key));
                told.known.push(Subject::Instance(key));
                self.instance_learnt(key, now);
            }
            Merge::Stale(key) => told.stale.push(Subject::Instance(key)),
            Merge::Known => {
                let key = self.members.find(name);
                told.known.extend(key.map(Subject::Instance));
            }
            Merge::Unknown => {}
        }
    }

    /// Refutes what others say of this daemon, if it is not so.
    fn told_of_me(&mut self, incarnation: u64, status: Status, told: &mut Told, now: Millis) {
        let me = self.me();
        let (known, own) = ((me.incarnation, me.status), me.status);
        told.known.push(Subject::Instance(self.me));
        if (incarnation, status) > known {
            self.announce_me(incarnation + 1, own, now);
        }
    }
}
