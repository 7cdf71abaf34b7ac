//! Digest comparison (anti-entropy) and joining.

use std::collections::HashSet;

use rand::{
    Rng,
    seq::IndexedRandom, //
};
use yuccaseam_base::Millis;

use crate::{
    digest::{
        Digest,
        bucket,
        differing_buckets,
        digest, //
    },
    fleet::Fleet,
    gossip::Subject,
    instance::Status,
    packet::{
        Body,
        Update, //
    },
    receive::MergeOutcome,
    send::{
        estimated_bytes,
        status_claim, //
    },
    target::TargetState, //
};

/// Delay before a digest comparison is repeated after one that found differences.
const RESYNC_DELAY: Millis = Millis(500);

/// Interval between requests to seeds while joining.
const JOIN_INTERVAL: Millis = Millis(1_000);
/// Number of seeds that a joining daemon contacts at once. Each sends all records that differ.
const JOIN_FANOUT: usize = 5;

impl Fleet {
    /// Starts a digest comparison if one is due, and periodically contacts seeds and dead
    /// instances.
    pub(crate) fn tick_sync(&mut self, now: Millis) {
        if now >= self.timers.reconnect {
            // A daemon that others have probed but that has received no records yet is neither
            // isolated nor joined.
            let joining = self.is_isolated() || !self.joined;
            let interval = match joining {
                true => JOIN_INTERVAL,
                false => self.cfg.reconnect_interval,
            };
            self.timers.reconnect = now + interval;
            self.reconnect(joining);
        }
        if now >= self.timers.sync {
            self.timers.sync = now + self.cfg.sync_interval;
            let peer_count = self.region_peers.len().max(2 * self.cfg.remote_syncs);
            let remote = self.rng.random_range(0..peer_count) < self.cfg.remote_syncs;
            let peer = self.random_peer(remote);
            let address = peer.and_then(|key| self.members.record(key));
            if let Some(address) = address.map(|record| record.address.clone()) {
                self.send_digest(address);
            }
        }
    }

    /// Contacts some seeds while joining, else one seed that is not a live member or one dead
    /// instance.
    fn reconnect(&mut self, joining: bool) {
        if joining {
            let seeds = self.seeds.choose_multiple(&mut self.rng, JOIN_FANOUT);
            let seeds: Vec<_> = seeds.cloned().collect();
            seeds.into_iter().for_each(|seed| self.send_digest(seed));
            return;
        }
        let reachable: HashSet<_> = self
            .instances()
            .filter(|record| record.is_reachable())
            .map(|record| record.address.clone())
            .collect();
        let dead = self
            .instances()
            .filter(|record| record.status == Status::Dead)
            .map(|record| &record.address);
        let unreachable: Vec<_> = self
            .seeds
            .iter()
            .chain(dead)
            .filter(|address| !reachable.contains(*address))
            .cloned()
            .collect();
        if let Some(address) = unreachable.choose(&mut self.rng) {
            self.send_digest(address.clone());
        }
    }

    fn send_digest(&mut self, address: String) {
        let digest = digest(&self.members, &self.targets);
        let local = Update::Instance(self.local().clone());
        self.emit(address, Body::Digest(digest), vec![local]);
    }

    /// Replies to a digest with the records of the differing buckets, as many as fit one packet.
    pub(crate) fn handle_digest(&mut self, theirs: &Digest, from: String) {
        let differing = differing_buckets(&digest(&self.members, &self.targets), theirs);
        let mut updates = vec![Update::Instance(self.local().clone())];
        let mut buckets = Vec::new();
        let mut bytes = 0;
        for &index in &differing {
            let records = self.records_in_buckets(&[index]);
            bytes += records
                .iter()
                .map(|(_, update)| estimated_bytes(update))
                .sum::<usize>();
            if bytes > self.cfg.max_sync_bytes && !buckets.is_empty() {
                break;
            }
            buckets.push(index);
            updates.extend(records.into_iter().map(|(_, update)| update));
        }
        let more = buckets.len() < differing.len();
        self.emit(from, Body::Records { buckets, more }, updates);
    }

    /// Sends back the records of these buckets that the other daemon lacks or has out of date.
    pub(crate) fn handle_records(
        &mut self,
        buckets: &[u8],
        more: bool,
        outcome: &MergeOutcome,
        from: String,
        now: Millis,
    ) {
        self.joined |= !more;
        if more || !outcome.changed.is_empty() {
            self.timers.sync = self.timers.sync.min(now + RESYNC_DELAY);
        }
        let known: HashSet<_> = outcome
            .known
            .iter()
            .chain(&outcome.stale)
            .copied()
            .collect();
        let missing = self.records_in_buckets(buckets);
        let missing = missing
            .into_iter()
            .filter(|(subject, _)| !known.contains(subject));
        let mut updates: Vec<_> = outcome
            .stale
            .iter()
            .filter_map(|&subject| self.newer_record(subject))
            .collect();
        updates.extend(missing.map(|(_, update)| update));
        let mut bytes = 0;
        updates.retain(|update| {
            bytes += estimated_bytes(update);
            bytes <= self.cfg.max_sync_bytes
        });
        if !updates.is_empty() {
            self.emit(from, Body::Gossip, updates);
        }
    }

    /// Current record of a subject on which another daemon is out of date.
    fn newer_record(&self, subject: Subject) -> Option<Update> {
        match subject {
            Subject::Instance(key) => {
                let record = self.members.record(key)?;
                Some(match record.status {
                    Status::Dead => status_claim(record),
                    _ => Update::Instance(record.clone()),
                })
            }
            Subject::Target(key) => {
                let entry = self.targets.get(key)?;
                Some(Update::Target(entry.record.clone()))
            }
        }
    }

    /// Live records of some buckets, instances first.
    fn records_in_buckets(&self, buckets: &[u8]) -> Vec<(Subject, Update)> {
        let mut records = Vec::new();
        for (key, member) in self.members.iter() {
            if buckets.contains(&bucket(member.hash)) && member.record.is_reachable() {
                let update = Update::Instance(member.record.clone());
                records.push((Subject::Instance(key), update));
            }
        }
        for (key, entry) in self.targets.iter() {
            let present = entry.record.state != TargetState::Gone;
            if buckets.contains(&bucket(entry.hash)) && present {
                let update = Update::Target(entry.record.clone());
                records.push((Subject::Target(key), update));
            }
        }
        records
    }
}
