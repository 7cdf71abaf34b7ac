//! What is known of targets.
//!
//! # Invariants
//!
//! - Of two announcements of one target the one of the later start counts, and within one start the
//!   one with the higher number.
//! - A target that drains or has left takes no new work until it starts again.
//! - Of two targets at one address the one that started later holds it.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;
use yuccaseam_base::{
    Millis,
    TargetName,
    key,
    record, //
};
use yuccaseam_platform::{
    Announcement,
    Readiness, //
};

/// One start of a target, the same on every instance.
#[key]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TargetKey(pub u64);

impl TargetKey {
    fn new(name: &TargetName, started_at: u64) -> Self {
        Self(xxh3_64_with_seed(name.as_str().as_bytes(), started_at))
    }
}

/// What instances tell each other of one start of a target.
#[record]
pub struct TargetRecord {
    /// The target.
    pub name: TargetName,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: std::net::SocketAddr,
    /// Its failure domain.
    pub domain: yuccaseam_base::FailureDomain,
    /// How many requests it runs at once.
    pub slots: u32,
    /// When it started, in ms since the Unix epoch.
    pub started_at: u64,
    /// The number of its last announcement.
    pub number: u64,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether it said that it leaves: what it announces after that counts no more.
    pub left: bool,
}

impl TargetRecord {
    /// This start of the target.
    pub fn key(&self) -> TargetKey {
        TargetKey::new(&self.name, self.started_at)
    }
}

impl From<Announcement> for TargetRecord {
    fn from(it: Announcement) -> Self {
        Self {
            name: it.name,
            service: it.service,
            address: it.address,
            domain: it.domain,
            slots: it.slots,
            started_at: it.started_at,
            number: it.number,
            draining: it.readiness == Readiness::Draining,
            left: false,
        }
    }
}

/// What an announcement changed.
#[derive(Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is older than what is known.
    Stale,
    /// The target is alive, and nothing else changed.
    Renewed,
    /// The target is new or has changed.
    Changed(TargetRecord),
}

#[derive(Debug)]
struct Known {
    record: TargetRecord,
    heard_at: Millis,
}

/// All targets that were heard of late.
#[derive(Debug, Default)]
pub struct Targets {
    known: BTreeMap<TargetName, Known>,
}

/// How long a target that left or fell silent is remembered, so that a late announcement does not
/// bring it back. Longer than an announcement can be under way.
const REMEMBERED: Millis = Millis::from_secs(60);

impl Targets {
    /// Takes an announcement in.
    pub fn announce(&mut self, mut record: TargetRecord, now: Millis) -> Effect {
        if self.is_address_taken(&record) {
            return Effect::Stale;
        }
        if let Some(known) = self.known.get_mut(&record.name) {
            let old = &known.record;
            let order = |one: &TargetRecord| (one.started_at, one.number);
            if order(&record) <= order(old) {
                return Effect::Stale;
            }
            if record.started_at == old.started_at {
                if old.left {
                    return Effect::Stale;
                }
                record.draining |= old.draining;
                known.heard_at = now;
                let changed = differs(old, &record);
                known.record = record.clone();
                return if changed {
                    Effect::Changed(record)
                } else {
                    Effect::Renewed
                };
            }
        }
        self.insert(record.clone(), now);
        Effect::Changed(record)
    }

    /// Takes a notice in that a target leaves.
    pub fn leave(&mut self, name: &TargetName, now: Millis) -> Option<TargetRecord> {
        let known = self.known.get_mut(name)?;
        known.heard_at = now;
        known.record.draining = true;
        known.record.left = true;
        Some(known.record.clone())
    }

    /// Takes in what another instance knows of a target.
    pub fn merge(&mut self, record: TargetRecord, now: Millis) -> bool {
        let newer = self.known.get(&record.name).is_none_or(|known| {
            let order = |one: &TargetRecord| (one.started_at, one.left, one.draining, one.number);
            order(&record) > order(&known.record)
        });
        if newer {
            self.insert(record, now);
        }
        newer
    }

    fn is_address_taken(&self, record: &TargetRecord) -> bool {
        self.known.values().any(|known| {
            let other = &known.record;
            other.address == record.address
                && other.name != record.name
                && other.started_at > record.started_at
        })
    }

    fn insert(&mut self, record: TargetRecord, now: Millis) {
        for known in self.known.values_mut() {
            let other = &mut known.record;
            if other.address == record.address && other.name != record.name {
                other.left = true;
                other.draining = true;
            }
        }
        let known = Known {
            record,
            heard_at: now,
        };
        self.known.insert(known.record.name.clone(), known);
    }

    /// Counts the time before now as if nobody had been silent, because this instance did not
    /// listen.
    pub fn forgive_silence(&mut self, now: Millis) {
        for known in self.known.values_mut() {
            known.heard_at = known.heard_at.max(now);
        }
    }

    /// Marks targets that were silent for too long as gone and returns them.
    pub fn expire(&mut self, silence: Millis, now: Millis) -> Vec<TargetRecord> {
        let mut gone = Vec::new();
        for known in self.known.values_mut() {
            if !known.record.left && now > known.heard_at + silence {
                known.record.left = true;
                known.record.draining = true;
                gone.push(known.record.clone());
            }
        }
        self.known
            .retain(|_, known| !known.record.left || now < known.heard_at + REMEMBERED);
        gone
    }

    /// Every target that is remembered.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.known.values().map(|known| &known.record)
    }
}

fn differs(old: &TargetRecord, new: &TargetRecord) -> bool {
    let same_number = TargetRecord {
        number: old.number,
        ..new.clone()
    };
    *old != same_number
}
