//! Registry of known targets.
//!
//! # Invariants
//!
//! - Of two announcements of a target, the one of the later start wins; within one start, the one
//!   with the higher number.
//! - A target that is draining or has left takes no new work until it restarts.
//! - Of two targets with one address, the one that started later owns it.

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

/// One start of a target; the same value on every instance.
#[key]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TargetKey(pub u64);

impl TargetKey {
    fn new(name: &TargetName, started_at: u64) -> Self {
        Self(xxh3_64_with_seed(name.as_str().as_bytes(), started_at))
    }
}

/// State of one start of a target, as exchanged between instances.
#[record]
pub struct TargetRecord {
    /// Name of the target.
    pub name: TargetName,
    /// Service that the target belongs to.
    pub service: String,
    /// Address that takes requests.
    pub address: std::net::SocketAddr,
    /// Failure domain of the target.
    pub domain: yuccaseam_base::FailureDomain,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Start time, in ms since the Unix epoch.
    pub started_at: u64,
    /// Number of its last announcement.
    pub number: u64,
    /// Whether the target takes no new work.
    pub draining: bool,
    /// Whether the target has left or expired. Later announcements of the same start are stale.
    pub left: bool,
}

impl TargetRecord {
    /// Key of this start of the target.
    pub fn key(&self) -> TargetKey {
        TargetKey::new(&self.name, self.started_at)
    }
}

impl From<Announcement> for TargetRecord {
    fn from(announcement: Announcement) -> Self {
        Self {
            name: announcement.name,
            service: announcement.service,
            address: announcement.address,
            domain: announcement.domain,
            slots: announcement.slots,
            started_at: announcement.started_at,
            number: announcement.sequence,
            draining: announcement.readiness == Readiness::Draining,
            left: false,
        }
    }
}

/// Outcome of an announcement.
#[derive(Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// It is older than the known state.
    Stale,
    /// Only the target's timeout was renewed.
    Renewed,
    /// The target is new or has changed.
    Changed(TargetRecord),
}

#[derive(Debug)]
struct TrackedTarget {
    record: TargetRecord,
    last_seen: Millis,
}

/// Targets announced recently.
#[derive(Debug, Default)]
pub struct Targets {
    by_name: BTreeMap<TargetName, TrackedTarget>,
}

/// How long a departed target is retained, so that a late announcement does not add it again.
/// Longer than an announcement can be in flight.
const DEPARTED_RETENTION: Millis = Millis::from_secs(60);

impl Targets {
    /// Applies an announcement.
    pub fn apply_announcement(
        &mut self,
        mut record: TargetRecord,
        now: Millis,
    ) -> AnnouncementOutcome {
        if self.is_address_taken(&record) {
            return AnnouncementOutcome::Stale;
        }
        if let Some(tracked) = self.by_name.get_mut(&record.name) {
            let old = &tracked.record;
            let version = |record: &TargetRecord| (record.started_at, record.number);
            if version(&record) <= version(old) {
                return AnnouncementOutcome::Stale;
            }
            if record.started_at == old.started_at {
                if old.left {
                    return AnnouncementOutcome::Stale;
                }
                record.draining |= old.draining;
                tracked.last_seen = now;
                let changed = has_changed(old, &record);
                tracked.record = record.clone();
                return if changed {
                    AnnouncementOutcome::Changed(record)
                } else {
                    AnnouncementOutcome::Renewed
                };
            }
        }
        self.insert(record.clone(), now);
        AnnouncementOutcome::Changed(record)
    }

    /// Marks a target as departed, at its own request.
    pub fn mark_left(&mut self, name: &TargetName, now: Millis) -> Option<TargetRecord> {
        let tracked = self.by_name.get_mut(name)?;
        tracked.last_seen = now;
        tracked.record.draining = true;
        tracked.record.left = true;
        Some(tracked.record.clone())
    }

    /// Merges a record of another instance. Returns whether it was newer than the known one.
    pub fn merge(&mut self, record: TargetRecord, now: Millis) -> bool {
        let newer = self.by_name.get(&record.name).is_none_or(|tracked| {
            let version = |record: &TargetRecord| {
                (
                    record.started_at,
                    record.left,
                    record.draining,
                    record.number,
                )
            };
            version(&record) > version(&tracked.record)
        });
        if newer {
            self.insert(record, now);
        }
        newer
    }

    fn is_address_taken(&self, record: &TargetRecord) -> bool {
        self.by_name.values().any(|tracked| {
            let other = &tracked.record;
            other.address == record.address
                && other.name != record.name
                && other.started_at > record.started_at
        })
    }

    fn insert(&mut self, record: TargetRecord, now: Millis) {
        for tracked in self.by_name.values_mut() {
            let other = &mut tracked.record;
            if other.address == record.address && other.name != record.name {
                other.left = true;
                other.draining = true;
            }
        }
        let tracked = TrackedTarget {
            record,
            last_seen: now,
        };
        self.by_name.insert(tracked.record.name.clone(), tracked);
    }

    /// Restarts the timeout of every target, because this instance did not receive announcements
    /// before now.
    pub fn reset_timeouts(&mut self, now: Millis) {
        for tracked in self.by_name.values_mut() {
            tracked.last_seen = tracked.last_seen.max(now);
        }
    }

    /// Marks targets that sent no announcement within `timeout` as departed, and returns them.
    pub fn expire(&mut self, timeout: Millis, now: Millis) -> Vec<TargetRecord> {
        let mut expired = Vec::new();
        for tracked in self.by_name.values_mut() {
            if !tracked.record.left && now > tracked.last_seen + timeout {
                tracked.record.left = true;
                tracked.record.draining = true;
                expired.push(tracked.record.clone());
            }
        }
        self.by_name.retain(|_, tracked| {
            !tracked.record.left || now < tracked.last_seen + DEPARTED_RETENTION
        });
        expired
    }

    /// Every known target, including departed ones that are still retained.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.by_name.values().map(|tracked| &tracked.record)
    }
}

fn has_changed(old: &TargetRecord, new: &TargetRecord) -> bool {
    let with_old_number = TargetRecord {
        number: old.number,
        ..new.clone()
    };
    *old != with_old_number
}
