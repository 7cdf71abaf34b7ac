//! Registry of known targets.
//!
//! # Invariants
//!
//! - Of two announcements of a target, the one of the later start wins; within one start, the one
//!   with the higher number.
//! - A target that is draining or has left takes no new work until it restarts, whatever another
//!   instance or the target itself says later. One that expired takes work again once it announces
//!   itself.
//! - What the target was told of that, and of a start that replaces a known one, is in the log before (see
//!   [`TargetRecord::covers`]; a start announced again right after it was not confirmed is the exception), and the log
//!   keeps it for as long as an older message can arrive. Each instance keeps it longer than the log, so that no
//!   leader takes an older message for a new target.
//! - Of two targets with one address, the one that started later owns it, in whichever order their
//!   records arrive, unless it has expired. The other one takes no work; it does again if it still
//!   announces itself once the owner has expired.

use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
};

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
    /// Whether the target is gone. If it is draining too, it left by itself, and later announcements of
    /// the same start are stale; otherwise it expired or lost its address.
    pub left: bool,
}

impl TargetRecord {
    /// Key of this start of the target.
    pub fn key(&self) -> TargetKey {
        TargetKey::new(&self.name, self.started_at)
    }

    /// Whether the target takes new work.
    pub fn takes_work(&self) -> bool {
        !self.draining && !self.left
    }

    /// Whether this start of the target is gone for good.
    pub(crate) fn has_departed(&self) -> bool {
        self.draining && self.left
    }

    /// Order of the records of one target: the greater one is newer.
    fn version(&self) -> impl Ord + use<> {
        let departed = self.has_departed();
        (
            self.started_at,
            departed,
            self.draining,
            self.number,
            self.left,
        )
    }

    /// Whether this record is newer than another one of the same target.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        self.version() > other.version()
    }

    /// Whether this record, which the log has, says all that an acknowledgement of `other` tells its target: which start
    /// is known, and that it drains or has departed.
    pub fn covers(&self, other: &Self) -> bool {
        let acknowledged =
            |record: &Self| (record.started_at, record.has_departed(), record.draining);
        acknowledged(self) >= acknowledged(other)
    }

    /// The record of a start that departs and was not known.
    fn departed(name: TargetName, started_at: u64) -> Self {
        Self {
            name,
            service: String::new(),
            address: NO_ADDRESS,
            domain: yuccaseam_base::FailureDomain::from(""),
            slots: 0,
            started_at,
            number: 0,
            draining: true,
            left: true,
        }
    }

    /// Marks this start of the target as gone for good.
    pub(crate) fn depart(&mut self) {
        self.left = true;
        self.draining = true;
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
    /// The target is new or has changed. Its record comes first, then those of targets that lost
    /// their address to it.
    Changed(Vec<TargetRecord>),
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

/// Address of a target that departed before it announced itself.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// How long the log keeps a target that is gone, so that a late announcement does not add it again. Longer than an
/// announcement can be in flight.
pub const GONE_RETENTION: Millis = Millis::from_secs(60);

/// How often the leader counts time for targets that are gone.
pub const GONE_AGE_INTERVAL: Millis = Millis::from_secs(10);

/// Counted time after which the log forgets a target that is gone. The first count may cover time before it was recorded.
pub const LOG_RETENTION: Millis = Millis(GONE_RETENTION.0 + GONE_AGE_INTERVAL.0);

/// How long an instance keeps a target that is gone. Longer than the log of a leader that goes on.
const INSTANCE_RETENTION: Millis = Millis(LOG_RETENTION.0 + 2 * GONE_AGE_INTERVAL.0);

impl Targets {
    /// Applies an announcement.
    pub fn apply_announcement(
        &mut self,
        mut record: TargetRecord,
        now: Millis,
    ) -> AnnouncementOutcome {
        if let Some(tracked) = self.by_name.get_mut(&record.name) {
            let old = &mut tracked.record;
            if (record.started_at, record.number) <= (old.started_at, old.number) {
                if record.started_at == old.started_at && record.draining && !old.draining {
                    old.draining = true;
                    return AnnouncementOutcome::Changed(vec![old.clone()]);
                }
                return AnnouncementOutcome::Stale;
            }
            if record.started_at == old.started_at {
                if old.has_departed() {
                    return AnnouncementOutcome::Stale;
                }
                record.draining |= old.draining;
                // The usual case, which must not cost more with the number of targets.
                if !has_changed(old, &record) {
                    tracked.last_seen = now;
                    tracked.record = record;
                    return AnnouncementOutcome::Renewed;
                }
            }
        }
        if self.is_address_taken(&record) {
            return AnnouncementOutcome::Stale;
        }
        AnnouncementOutcome::Changed(self.insert(record, now))
    }

    /// Marks a target as departed, at its own request.
    pub fn mark_left(&mut self, name: &TargetName, now: Millis) -> Option<TargetRecord> {
        let tracked = self.by_name.get_mut(name)?;
        tracked.last_seen = now;
        tracked.record.depart();
        Some(tracked.record.clone())
    }

    /// Marks one start of a target as departed, at its own request, known or not. `None` if a later start is known: the
    /// report was late.
    pub fn mark_start_left(
        &mut self,
        name: &TargetName,
        started_at: u64,
        now: Millis,
    ) -> Option<TargetRecord> {
        let known = self.by_name.get(name).map(|tracked| &tracked.record);
        if known.is_some_and(|known| known.started_at > started_at) {
            return None;
        }
        // An announcement of this start may still be on its way.
        if known.is_none_or(|known| known.started_at < started_at) {
            let record = TargetRecord::departed(name.clone(), started_at);
            return Some(self.insert(record, now).swap_remove(0));
        }
        self.mark_left(name, now)
    }

    /// Marks a start of a target as draining, because a response of it said so. Returns its record
    /// unless that was known.
    pub fn mark_draining(&mut self, key: TargetKey) -> Option<TargetRecord> {
        let mut tracked = self.by_name.values_mut();
        let tracked = tracked.find(|tracked| tracked.record.key() == key)?;
        if std::mem::replace(&mut tracked.record.draining, true) {
            return None;
        }
        Some(tracked.record.clone())
    }

    /// Whether a target is known here to drain, and the record of another instance does not say so.
    pub fn is_drain_unknown_to(&self, record: &TargetRecord) -> bool {
        let known = self.by_name.get(&record.name);
        known.is_some_and(|tracked| {
            let known = &tracked.record;
            known.started_at == record.started_at && known.draining && !record.draining
        })
    }

    /// Whether a record is of a later start than the known one. The earlier start must not take its place again.
    pub(crate) fn replaces_start(&self, record: &TargetRecord) -> bool {
        let known = self.record_named(&record.name);
        known.is_some_and(|known| known.started_at < record.started_at)
    }

    /// Merges a record of another instance. Returns the records that changed: none if the known one
    /// is as new.
    pub fn merge(&mut self, record: TargetRecord, now: Millis) -> Vec<TargetRecord> {
        let known = self.by_name.get(&record.name);
        if known.is_some_and(|tracked| tracked.record.version() >= record.version()) {
            return Vec::new();
        }
        self.insert(record, now)
    }

    /// Merges records of another instance. Returns those that changed.
    pub fn merge_all(&mut self, mut records: Vec<TargetRecord>, now: Millis) -> Vec<TargetRecord> {
        // Targets that are gone first, so that they hold no address of the others.
        records.sort_by_key(|record| !record.left);
        let merged = records
            .into_iter()
            .flat_map(|record| self.merge(record, now));
        merged.collect()
    }

    fn is_address_taken(&self, record: &TargetRecord) -> bool {
        self.by_name.values().any(|tracked| {
            let other = &tracked.record;
            let has_expired = other.left && !other.draining;
            other.address == record.address
                && other.name != record.name
                && other.started_at > record.started_at
                && !has_expired
        })
    }

    /// Inserts a record, and returns it and the records of targets that lose their address to it. If
    /// the address belongs to a target that started later, the record is marked as gone.
    fn insert(&mut self, mut record: TargetRecord, now: Millis) -> Vec<TargetRecord> {
        if self.is_address_taken(&record) {
            record.left = true;
        }
        let mut changed = vec![record.clone()];
        if !record.left {
            for tracked in self.by_name.values_mut() {
                let other = &mut tracked.record;
                let same_address = other.address == record.address;
                if same_address && other.name != record.name && !other.left {
                    other.left = true;
                    tracked.last_seen = now;
                    changed.push(other.clone());
                }
            }
        }
        let tracked = TrackedTarget {
            record,
            last_seen: now,
        };
        self.by_name.insert(tracked.record.name.clone(), tracked);
        changed
    }

    /// Restarts the timeout of every target, because this instance did not receive announcements
    /// before now.
    pub fn reset_timeouts(&mut self, now: Millis) {
        for tracked in self.by_name.values_mut() {
            tracked.last_seen = tracked.last_seen.max(now);
        }
    }

    /// Marks targets that sent no announcement within `timeout` as expired, and returns them.
    pub fn expire(&mut self, timeout: Millis, now: Millis) -> Vec<TargetRecord> {
        let mut expired = Vec::new();
        for tracked in self.by_name.values_mut() {
            if !tracked.record.left && now > tracked.last_seen + timeout {
                tracked.record.left = true;
                expired.push(tracked.record.clone());
            }
        }
        self.by_name.retain(|_, tracked| {
            !tracked.record.left || now < tracked.last_seen + INSTANCE_RETENTION
        });
        expired
    }

    /// Record of one start of a target.
    pub(crate) fn record(&self, key: TargetKey) -> Option<&TargetRecord> {
        self.records().find(|record| record.key() == key)
    }

    /// Every known target, including departed ones that are still retained.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.by_name.values().map(|tracked| &tracked.record)
    }

    /// The record of a target.
    pub(crate) fn record_named(&self, name: &TargetName) -> Option<&TargetRecord> {
        self.by_name.get(name).map(|tracked| &tracked.record)
    }
}

fn has_changed(old: &TargetRecord, new: &TargetRecord) -> bool {
    let with_old_number = TargetRecord {
        number: old.number,
        ..new.clone()
    };
    *old != with_old_number
}
