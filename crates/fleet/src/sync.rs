//! Comparing what two daemons know, and joining.

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
        differing,
        digest, //
    },
    fleet::Fleet,
    gossip::Subject,
    instance::Status,
    packet::{
        Body,
        Update, //
    },
    receive::Told,
    send::{
        claim,
        size, //
    },
    target::TargetState, //
};

/// How soon a comparison is repeated that has found differences.
const SYNC_AGAIN: Millis = Millis(500);

/// How often seeds are asked by a daemon that knows no other one.
const JOIN_INTERVAL: Millis = Millis(1_000);
/// How many seeds a daemon that joins asks at a time. Each sends all that differs.
const JOIN_SEEDS: usize = 5;

impl Fleet {
    /// Starts a comparison if one is due, and tries seeds and dead instances now and then.
    pub(crate) fn tick_sync(&mut self, now: Millis) {
        if now >= self.timers.reconnect {
            // A daemon that others have probed, and told nothing yet, is not alone and not joined.
            let joining = self.is_alone() || !self.joined;
            let interval = match joining {
                true => JOIN_INTERVAL,
                false => self.cfg.reconnect_interval,
            };
            self.timers.reconnect = now + interval;
            self.reconnect(joining);
        }
        if now >= self.timers.sync {
            self.timers.sync = now + self.cfg.sync_interval;
            let near = self.near.len().max(2 * self.cfg.remote_syncs);
            let remote = self.rng.random_range(0..near) < self.cfg.remote_syncs;
            let peer = self.random_peer(remote);
            let address = peer.and_then(|key| self.members.record(key));
            if let Some(address) = address.map(|record| record.address.clone()) {
                self.send_digest(address);
            }
        }
    }

    /// Asks some seeds while joining; else one seed that is not a live member, or one dead instance.
    fn reconnect(&mut self, joining: bool) {
        if joining {
            let some = self.seeds.choose_multiple(&mut self.rng, JOIN_SEEDS);
            let some: Vec<_> = some.cloned().collect();
            some.into_iter().for_each(|seed| self.send_digest(seed));
            return;
        }
        let live: HashSet<_> = self
            .instances()
            .filter(|record| record.is_reachable())
            .map(|record| record.address.clone())
            .collect();
        let dead = self
            .instances()
            .filter(|record| record.status == Status::Dead)
            .map(|record| &record.address);
        let lost: Vec<_> = self
            .seeds
            .iter()
            .chain(dead)
            .filter(|address| !live.contains(*address))
            .cloned()
            .collect();
        if let Some(address) = lost.choose(&mut self.rng) {
            self.send_digest(address.clone());
        }
    }

    fn send_digest(&mut self, address: String) {
        let digest = digest(&self.members, &self.targets);
        let me = Update::Instance(self.me().clone());
        self.emit(address, Body::Digest(digest), vec![me]);
    }

    /// Answers a digest with the records of the buckets that differ, as many as one packet may
    /// carry.
    pub(crate) fn digest_received(&mut self, theirs: &Digest, from: String) {
        let differing = differing(&digest(&self.members, &self.targets), theirs);
        let mut updates = vec![Update::Instance(self.me().clone())];
        let mut buckets = Vec::new();
        let mut bytes = 0;
        for &number in &differing {
            let records = self.records_in(&[number]);
            bytes += records
                .iter()
                .map(|(_, update)| size(update))
                .sum::<usize>();
            if bytes > self.cfg.sync_bytes && !buckets.is_empty() {
                break;
            }
            buckets.push(number);
            updates.extend(records.into_iter().map(|(_, update)| update));
        }
        let more = buckets.len() < differing.len();
        self.emit(from, Body::Records { buckets, more }, updates);
    }

    /// Sends back what the other daemon did not know of these buckets.
    pub(crate) fn records_received(
        &mut self,
        buckets: &[u8],
        more: bool,
        told: &Told,
        from: String,
        now: Millis,
    ) {
        self.joined |= !more;
        if more || !told.changed.is_empty() {
            self.timers.sync = self.timers.sync.min(now + SYNC_AGAIN);
        }
        let known: HashSet<_> = told.known.iter().chain(&told.stale).copied().collect();
        let missing = self.records_in(buckets);
        let missing = missing
            .into_iter()
            .filter(|(subject, _)| !known.contains(subject));
        let mut updates: Vec<_> = told
            .stale
            .iter()
            .filter_map(|&subject| self.newer_record(subject))
            .collect();
        updates.extend(missing.map(|(_, update)| update));
        let mut bytes = 0;
        updates.retain(|update| {
            bytes += size(update);
            bytes <= self.cfg.sync_bytes
        });
        if !updates.is_empty() {
            self.emit(from, Body::Gossip, updates);
        }
    }

    /// What is known of a subject of which another daemon knows less.
    fn newer_record(&self, subject: Subject) -> Option<Update> {
        match subject {
            Subject::Instance(key) => {
                let record = self.members.record(key)?;
                Some(match record.status {
                    Status::Dead => claim(record),
                    _ => Update::Instance(record.clone()),
                })
            }
            Subject::Target(key) => {
                let entry = self.targets.get(key)?;
                Some(Update::Target(entry.record.clone()))
            }
        }
    }

    /// The live records of some buckets, instances first.
    fn records_in(&self, buckets: &[u8]) -> Vec<(Subject, Update)> {
        let mut records = Vec::new();
        for (key, member) in self.members.iter() {
            if buckets.contains(&bucket(member.hash)) && member.record.is_reachable() {
                let update = Update::Instance(member.record.clone());
                records.push((Subject::Instance(key), update));
            }
        }
        for (key, entry) in self.targets.iter() {
            let live = entry.record.state != TargetState::Gone;
            if buckets.contains(&bucket(entry.hash)) && live {
                let update = Update::Target(entry.record.clone());
                records.push((Subject::Target(key), update));
            }
        }
        records
    }
}
