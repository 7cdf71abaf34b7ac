//! Handling of received packets.

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
    probe::RelayedProbe,
    target::TargetClaim, //
};

/// Number of changed records beyond which a packet's changes are not gossiped further: such a
/// packet comes from a digest comparison, in which other daemons take part too.
const MAX_GOSSIPED_CHANGES: usize = 128;

/// Result of merging the updates of a packet.
#[derive(Debug, Default)]
pub(crate) struct MergeOutcome {
    /// Subjects on which the sender is at least as current as this daemon.
    pub(crate) known: Vec<Subject>,
    /// Subjects on which the sender is out of date.
    pub(crate) stale: Vec<Subject>,
    /// Subjects that changed at this daemon.
    pub(crate) changed: Vec<Subject>,
}

impl Fleet {
    /// Handles a packet from another daemon.
    ///
    /// # Errors
    ///
    /// Fails, leaving the state unchanged, if the bytes are not a valid packet.
    pub fn receive(&mut self, packet: &[u8], now: Millis) -> Result<Vec<Action>, PacketError> {
        let packet = Packet::decode(packet)?;
        if packet.from == self.local().name && packet.address == self.local().address {
            return Ok(Vec::new());
        }
        let outcome = self.merge_updates(packet.updates, now);
        match packet.body {
            Body::Ping { to, probe } => self.handle_ping(&to, probe, &packet.address),
            Body::Ack { probe } => self.handle_ack(probe),
            Body::PingRequest { to, address, probe } => {
                let relayed = RelayedProbe {
                    address: packet.address,
                    probe,
                    sent: now,
                };
                self.handle_ping_request(to, address, relayed);
            }
            Body::Gossip => {}
            Body::Digest(digest) => self.handle_digest(&digest, packet.address),
            Body::Records { buckets, more } => {
                self.handle_records(&buckets, more, &outcome, packet.address, now);
            }
            Body::Loads(loads) => self.handle_loads(loads),
            Body::Renewals(renewals) => self.handle_renewals(&renewals, now),
        }
        Ok(self.take_actions())
    }

    fn merge_updates(&mut self, updates: Vec<Update>, now: Millis) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        for update in updates {
            self.merge_update(update, &mut outcome, now);
        }
        let gossiped = outcome.changed.len() <= MAX_GOSSIPED_CHANGES;
        for &subject in outcome.changed.iter().filter(|_| gossiped) {
            self.enqueue_gossip(subject, false);
        }
        outcome
    }

    fn merge_update(&mut self, update: Update, outcome: &mut MergeOutcome, now: Millis) {
        match update {
            Update::Instance(record) if record.name == self.local().name => {
                self.merge_own_status(record.incarnation, record.status, outcome, now);
            }
            Update::Instance(record) => self.merge_instance(record, outcome, now),
            Update::Claim(claim) => self.merge_instance_claim(&claim, outcome, now),
            Update::Target(record) => self.merge_target(record, outcome, now),
            Update::TargetClaim(claim) => self.merge_target_claim(claim, outcome, now),
        }
    }

    fn merge_target_claim(&mut self, claim: TargetClaim, outcome: &mut MergeOutcome, now: Millis) {
        let known = self.targets.find(&claim.name);
        let entry = known.and_then(|key| self.targets.get(key));
        if let Some(record) = entry.and_then(|entry| entry.record.with_claim(claim)) {
            self.merge_target(record, outcome, now);
        }
    }

    fn merge_instance(&mut self, record: InstanceRecord, outcome: &mut MergeOutcome, now: Millis) {
        let name = record.name.clone();
        let merged = self.members.merge(record, now);
        self.apply_merge(&name, merged, outcome, now);
    }

    fn merge_instance_claim(&mut self, claim: &Claim, outcome: &mut MergeOutcome, now: Millis) {
        if claim.name == self.local().name {
            self.merge_own_status(claim.incarnation, claim.status, outcome, now);
            return;
        }
        if let Some(key) = self.members.find(&claim.name) {
            let merged = self
                .members
                .merge_claim(key, claim.incarnation, claim.status, now);
            self.apply_merge(&claim.name, merged, outcome, now);
        }
    }

    fn apply_merge(
        &mut self,
        name: &InstanceName,
        merged: Merge,
        outcome: &mut MergeOutcome,
        now: Millis,
    ) {
        match merged {
            Merge::Changed(key) => {
                outcome.changed.push(Subject::Instance(key));
                outcome.known.push(Subject::Instance(key));
                self.report_instance_change(key, now);
            }
            Merge::Stale(key) => outcome.stale.push(Subject::Instance(key)),
            Merge::Known => {
                let key = self.members.find(name);
                outcome.known.extend(key.map(Subject::Instance));
            }
            Merge::Unknown => {}
        }
    }

    /// Merges a claim about this daemon, refuting it if it is newer than the daemon's own record.
    fn merge_own_status(
        &mut self,
        incarnation: u64,
        status: Status,
        outcome: &mut MergeOutcome,
        now: Millis,
    ) {
        let local = self.local();
        let (known, own_status) = ((local.incarnation, local.status), local.status);
        outcome.known.push(Subject::Instance(self.local));
        if (incarnation, status) > known {
            self.announce_self(incarnation + 1, own_status, now);
        }
    }
}
