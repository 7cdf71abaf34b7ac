//! Load balancing: chooses the least loaded target, with a preference for near ones.
//!
//! The load of a target is the sum of this instance's own requests, those of its neighbours (other
//! entries of its region, which report each request at once) and those of all others, as last sent
//! by the leader. Loads within the neighbourhood are therefore exact. Among other targets of
//! similar cost, jitter decides, because every entry sees the same stale loads. Near targets are
//! preferred until they are nearly full. Where targets report their pace, a target costs more if its
//! response is expected late for the objective (see [`crate::pace`]).

mod view;

use std::{
    collections::HashMap,
    net::IpAddr, //
};

use yuccaseam_base::{
    FailureDomain,
    Millis,
    Region,
    TargetName,
    record, //
};

use crate::{
    health::Health,
    pace::{
        PaceCost,
        TargetPace,
        USUAL_PACE, //
    },
    targets::{
        TargetKey,
        TargetRecord, //
    },
};

use view::{
    Accuracy,
    View, //
};

/// Requests in progress at one target.
#[record]
#[derive(Copy, Default)]
pub struct Load {
    /// Requests of callers.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

/// Cost of the last free slot of a target; each further free slot halves it. An engine is hardly
/// slower with half of its slots taken, and known loads are slightly stale, so the next request may
/// find fewer free slots.
const LAST_SLOT_COST: u64 = 3_200;
/// Cost of a target in another failure domain of the region.
const OTHER_DOMAIN_COST: u64 = 900;
/// Cost of a target in another region: the link between regions is narrow, and its delay counts
/// against the objective.
const OTHER_REGION_COST: u64 = 2_400;
/// Upper bound of the jitter added to the cost of a target whose load is exact.
const MAX_JITTER_EXACT: u64 = 60;
/// Upper bound of the jitter added to the cost of other targets. Without it, all entries would
/// choose the same target until they receive each other's loads.
const MAX_JITTER_STALE: u64 = 600;
/// Time without a report after which a neighbour's counts are discarded.
const NEIGHBOUR_TIMEOUT: Millis = Millis(2_000);
/// Multiplier for Fibonacci hashing, which spreads the bits of a number.
const FIBONACCI_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Cost of a batch item relative to a request of a caller, in percent: it can be preempted, but not
/// at once.
const BATCH_COST_PERCENT: u64 = 75;
/// Largest share of a service's targets that may be avoided, in percent. If more fail, the cause is
/// the load or the network rather than the targets, and avoiding them would overload the rest.
const MAX_AVOIDED_PERCENT: usize = 50;

/// Requests that entries outside the neighbourhood may have sent to a target that they use, since the
/// leader last sent its load. Without this margin, entries of all failure domains overfill each
/// other's targets during overload.
const STALE_LOAD_MARGIN: u32 = 1;
/// Time without loads from the leader after which batch items count as not preemptible: nobody is there
/// to preempt them. The leader sends loads every 200 ms at least.
pub const MAX_LOADS_AGE: Millis = Millis(300);

/// Slot availability of a target, as estimated by an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// A slot is free.
    Free,
    /// A slot becomes free once batch items have been preempted.
    AfterPreemption,
    /// Callers occupy every slot.
    Full,
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Key of its start.
    pub key: TargetKey,
    /// Name of the target.
    pub name: TargetName,
    /// Address that takes requests.
    pub address: std::net::SocketAddr,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Whether a slot is free or can be freed.
    pub availability: Availability,
    /// Estimated load at the time of the choice.
    pub load: Load,
    /// Slots that nothing holds.
    pub free_slots: u32,
    /// Requests that must end before one more gets a slot, beyond those that hold the slots.
    pub queued: u32,
    /// Whether the target is in the region of this instance.
    pub same_region: bool,
    /// Time since the leader last sent loads.
    pub loads_age: Millis,
    /// Expected pace of the target, in percent of the usual time. `None` if the service's targets report
    /// no pace.
    pub pace: Option<u32>,
}

/// A request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Targets that are not to be chosen.
    pub tried: &'a [TargetKey],
    /// Breaks ties; uniform over all values.
    pub draw: u64,
    /// What the pace of a target costs the request.
    pub pace: PaceCost,
}

/// Location of this instance.
#[derive(Clone, Debug)]
pub struct Location {
    /// Failure domain of the instance.
    pub domain: FailureDomain,
    /// Region of the instance.
    pub region: Region,
    /// Region of each failure domain.
    pub regions: std::collections::BTreeMap<FailureDomain, Region>,
}

impl Location {
    fn distance(&self, domain: &FailureDomain) -> u64 {
        if *domain == self.domain {
            0
        } else if self.regions.get(domain) == Some(&self.region) {
            OTHER_DOMAIN_COST
        } else {
            OTHER_REGION_COST
        }
    }
}

/// Cost of a target's load.
fn load_cost(load: Load, slots: u32, preemptible: bool) -> u64 {
    let batch_percent = if preemptible { BATCH_COST_PERCENT } else { 100 };
    let used = u64::from(load.online) * 100 + u64::from(load.batch) * batch_percent;
    let capacity = u64::from(slots) * 100;
    if used >= capacity {
        return LAST_SLOT_COST * 2 * (1 + (used - capacity) / 100);
    }
    let free = (capacity - used) as f64 / 100.0;
    (LAST_SLOT_COST as f64 * 2.0 / free.exp2()) as u64
}

/// Load balancer of one instance.
#[derive(Debug)]
pub struct Balancer {
    location: Location,
    /// Whether the neighbours are all entries of the region.
    whole_region: bool,
    views: HashMap<TargetKey, View>,
    /// Time at which the leader last sent loads.
    loads_received_at: Millis,
    health: Health,
    neighbours: HashMap<IpAddr, Neighbour>,
}

/// State of a neighbour, from its reports.
#[derive(Debug)]
struct Neighbour {
    /// Start time and sequence number of its last report.
    sequence: (u64, u64),
    received_at: Millis,
    counts: HashMap<TargetKey, u32>,
}

/// Report that an entry sends to its neighbours.
#[record]
pub struct NeighbourReport {
    /// Start time of the entry, in ms since the Unix epoch.
    pub started_at: u64,
    /// Sequence number, which grows with each report.
    pub number: u64,
    /// Whether the entry has no request at targets that are not listed.
    pub complete: bool,
    /// Requests in progress, by target.
    pub counts: Vec<(TargetKey, u32)>,
    /// A target at which a request of the entry has just failed.
    pub failed: Option<TargetKey>,
}

impl Balancer {
    /// Creates a balancer that knows no target.
    pub fn new(location: Location) -> Self {
        Self {
            location,
            whole_region: false,
            views: HashMap::new(),
            loads_received_at: Millis::ZERO,
            health: Health::default(),
            neighbours: HashMap::new(),
        }
    }

    /// Adds or updates a target.
    pub fn set_target(&mut self, record: &TargetRecord) {
        let key = record.key();
        let name = &record.name;
        self.views
            .retain(|other, view| view.record.name != *name || *other == key || view.local > 0);
        let views = self.views.values_mut();
        for replaced in views.filter(|view| view.record.name == *name) {
            replaced.record.depart();
        }
        if let Some(view) = self.views.get_mut(&key) {
            view.record = record.clone();
            return;
        }
        let neighbours = self.neighbour_requests(key);
        let view = View {
            record: record.clone(),
            remote: Load::default(),
            neighbours,
            local: 0,
            pace: TargetPace::default(),
        };
        self.views.insert(key, view);
    }

    /// Applies the changed loads that the leader sent.
    pub fn apply_loads(&mut self, loads: &[(TargetKey, Load)]) {
        for (key, load) in loads {
            if let Some(view) = self.views.get_mut(key) {
                view.remote = *load;
            }
        }
    }

    /// Records that the leader has sent all changed loads.
    pub fn record_loads_received(&mut self, now: Millis) {
        self.loads_received_at = now;
    }

    /// Time since the leader last sent loads.
    pub fn loads_age(&self, now: Millis) -> Millis {
        now - self.loads_received_at
    }

    /// Resets the loads that the leader sent, because another leader counts from now on.
    pub fn reset_loads(&mut self) {
        for view in self.views.values_mut() {
            view.remote = Load::default();
        }
    }

    /// Records that the leader's batch items have ended with its process or its leadership.
    pub fn reset_batch_loads(&mut self) {
        for view in self.views.values_mut() {
            view.remote.batch = 0;
        }
    }

    /// Batch items at each target, as last sent by the leader.
    pub fn batch_loads(&self) -> impl Iterator<Item = (TargetKey, u32)> {
        let busy = self.views.iter().filter(|(_, view)| view.remote.batch > 0);
        busy.map(|(key, view)| (*key, view.remote.batch))
    }

    /// Callers' requests of other instances at all targets, as far as they are known here.
    pub fn others_requests(&self) -> u32 {
        let views = self.views.values();
        views.map(|view| view.remote.online + view.neighbours).sum()
    }

    /// Callers' requests at the targets of a service that take work, in percent of their slots.
    pub fn fill_percent(&self, service: &str) -> u32 {
        let views = self.views.values();
        let usable =
            views.filter(|view| view.record.service == service && view.record.takes_work());
        let (online, slots) = usable.fold((0, 0), |(online, slots), view| {
            (online + view.load().online, slots + view.record.slots)
        });
        (online * 100).checked_div(slots).unwrap_or(0)
    }

    /// Requests of this instance, sorted by target, for the leader. Also removes departed targets
    /// without requests.
    pub fn load_report(&mut self) -> Vec<(TargetKey, u32)> {
        self.views
            .retain(|_, view| view.local > 0 || !view.record.left);
        let busy = self.views.iter().filter(|(_, view)| view.local > 0);
        let mut report: Vec<_> = busy.map(|(key, view)| (*key, view.local)).collect();
        report.sort_unstable();
        report
    }

    /// Chooses the best target of a service by counts alone; `None` if no target takes work. `draw` breaks
    /// ties.
    pub fn choose(
        &self,
        service: &str,
        tried: &[TargetKey],
        draw: u64,
        now: Millis,
    ) -> Option<Choice> {
        let placement = Placement {
            service,
            tried,
            draw,
            pace: PaceCost::default(),
        };
        self.place(&placement, now)
    }

    /// Chooses the best target for a request; `None` if no target takes work.
    pub fn place(&self, placement: &Placement<'_>, now: Millis) -> Option<Choice> {
        let preemptible = self.loads_age(now) <= MAX_LOADS_AGE;
        let mut count = 0;
        let mut avoided_count = 0;
        // The best target if none is avoided, and if those are that should be.
        let mut best: Option<((bool, i64), &View)> = None;
        let mut best_avoiding: Option<((bool, bool, i64), &View)> = None;
        let usable = self.views.iter().filter(|(_, view)| {
            view.record.takes_work() && view.record.service == placement.service
        });
        for (key, view) in usable {
            let name = &view.record.name;
            count += 1;
            let unhealthy = self.health.is_avoided(name, now);
            avoided_count += usize::from(unhealthy);
            if placement.tried.contains(key) {
                continue;
            }
            let has_trial = view.load().online > 0 && self.health.is_on_probation(name, now);
            let full = view.availability(self.accuracy(view, preemptible)) == Availability::Full;
            let cost = self.cost(*key, view, placement, preemptible, now);
            if best.is_none_or(|(rank, _)| (full, cost) < rank) {
                best = Some(((full, cost), view));
            }
            let rank = (unhealthy || has_trial, full, cost);
            if best_avoiding.is_none_or(|(best, _)| rank < best) {
                best_avoiding = Some((rank, view));
            }
        }
        let best = if avoided_count * 100 <= count * MAX_AVOIDED_PERCENT {
            best_avoiding?.1
        } else {
            best?.1
        };
        let accuracy = self.accuracy(best, preemptible);
        Some(Choice {
            key: best.record.key(),
            name: best.record.name.clone(),
            address: best.record.address,
            slots: best.record.slots,
            availability: best.availability(accuracy),
            load: best.load(),
            free_slots: best.free_slots(accuracy),
            queued: best.fixed_load(accuracy).saturating_sub(best.record.slots),
            same_region: self.location.distance(&best.record.domain) < OTHER_REGION_COST,
            loads_age: self.loads_age(now),
            pace: best.expected_pace(&placement.pace, now),
        })
    }

    fn accuracy(&self, view: &View, preemptible: bool) -> Accuracy {
        let is_exact = || self.is_exact(self.location.distance(&view.record.domain));
        Accuracy {
            preemptible,
            margin: if view.remote.online == 0 || is_exact() {
                0
            } else {
                STALE_LOAD_MARGIN
            },
        }
    }

    fn cost(
        &self,
        key: TargetKey,
        view: &View,
        placement: &Placement<'_>,
        preemptible: bool,
        now: Millis,
    ) -> i64 {
        let jitter = key
            .0
            .wrapping_add(placement.draw)
            .wrapping_mul(FIBONACCI_HASH_MULTIPLIER)
            >> 32;
        let distance = self.location.distance(&view.record.domain);
        let jitter = jitter % self.max_jitter(distance);
        let cost = load_cost(view.load(), view.record.slots, preemptible) + distance + jitter;
        let pace = view.expected_pace(&placement.pace, now);
        let pace_cost = placement.pace.of(pace.unwrap_or(USUAL_PACE));
        i64::try_from(cost).unwrap_or(i64::MAX / 2) + pace_cost
    }

    /// Records the pace that a target reported to this instance, in percent of the usual time. Returns
    /// whether the neighbours should learn of it.
    pub fn record_pace(&mut self, key: TargetKey, percent: u32, now: Millis) -> bool {
        let view = self.views.get_mut(&key);
        view.is_some_and(|view| view.pace.record_report(percent, now))
    }

    /// Records the pace that a target reported to a neighbour.
    pub fn record_neighbour_pace(&mut self, key: TargetKey, percent: u32, now: Millis) {
        if let Some(view) = self.views.get_mut(&key) {
            view.pace.record_neighbour_report(percent, now);
        }
    }

    /// Records the pace that a complete answer of a target shows.
    pub fn record_measured_pace(&mut self, key: TargetKey, percent: u32) {
        if let Some(view) = self.views.get_mut(&key) {
            view.pace.record_answer(percent);
        }
    }

    /// Expected pace of a request that a target begins now. `None` if nothing is known of the target.
    pub fn expected_pace(&self, key: TargetKey, cost: &PaceCost, now: Millis) -> Option<u32> {
        let view = self.views.get(&key)?;
        view.pace.expected(cost.momentary_percent(), now)
    }

    /// Sets whether the neighbours are all entries of the region.
    pub fn set_whole_region(&mut self, whole_region: bool) {
        self.whole_region = whole_region;
    }

    /// Whether the load of targets at a distance is known exactly.
    fn is_exact(&self, distance: u64) -> bool {
        match distance {
            0 => true,
            OTHER_DOMAIN_COST => self.whole_region,
            _ => false,
        }
    }

    fn max_jitter(&self, distance: u64) -> u64 {
        if self.is_exact(distance) {
            MAX_JITTER_EXACT
        } else {
            MAX_JITTER_STALE
        }
    }

    fn neighbour_requests(&self, key: TargetKey) -> u32 {
        let counts = self
            .neighbours
            .values()
            .filter_map(|neighbour| neighbour.counts.get(&key));
        counts.sum()
    }

    fn refresh_neighbour_requests<I>(&mut self, keys: I)
    where
        I: IntoIterator<Item = TargetKey>,
    {
        for key in keys {
            let neighbours = self.neighbour_requests(key);
            if let Some(view) = self.views.get_mut(&key) {
                view.neighbours = neighbours;
            }
        }
    }

    /// Applies a neighbour's report, unless it is out of order.
    pub fn receive_neighbour_report(&mut self, ip: IpAddr, report: NeighbourReport, now: Millis) {
        let sequence = (report.started_at, report.number);
        let neighbour = self.neighbours.entry(ip).or_insert_with(|| Neighbour {
            sequence: (0, 0),
            received_at: now,
            counts: HashMap::new(),
        });
        if sequence <= neighbour.sequence {
            return;
        }
        neighbour.received_at = now;
        let failed = report.failed.and_then(|key| self.views.get(&key));
        if let Some(view) = failed {
            self.health.record_neighbour_failure(&view.record.name, now);
        }
        let mut changed_keys: Vec<_> = report.counts.iter().map(|(key, _)| *key).collect();
        if report.complete || report.started_at != neighbour.sequence.0 {
            changed_keys.extend(neighbour.counts.drain().map(|(key, _)| key));
        }
        neighbour.sequence = sequence;
        neighbour.counts.extend(report.counts);
        neighbour.counts.retain(|_, count| *count > 0);
        self.refresh_neighbour_requests(changed_keys);
    }

    /// Removes neighbours that have timed out, and expired failures.
    pub fn expire(&mut self, now: Millis) {
        self.health.expire(now);
        let has_timed_out = |neighbour: &Neighbour| now > neighbour.received_at + NEIGHBOUR_TIMEOUT;
        let expired = self
            .neighbours
            .values()
            .filter(|neighbour| has_timed_out(neighbour));
        let changed_keys: Vec<_> = expired
            .flat_map(|neighbour| neighbour.counts.keys().copied())
            .collect();
        self.neighbours
            .retain(|_, neighbour| !has_timed_out(neighbour));
        self.refresh_neighbour_requests(changed_keys);
    }

    /// Whether a start of a target takes new work.
    pub fn takes_work(&self, key: TargetKey) -> bool {
        let view = self.views.get(&key);
        view.is_some_and(|view| view.record.takes_work())
    }

    /// Requests of this instance in progress at a target.
    pub fn local_requests(&self, key: TargetKey) -> u32 {
        self.views.get(&key).map_or(0, |view| view.local)
    }

    /// Counts a request as in progress.
    pub fn begin_request(&mut self, key: TargetKey) {
        if let Some(view) = self.views.get_mut(&key) {
            view.local += 1;
        }
    }

    /// Counts a request as ended.
    pub fn end_request(&mut self, key: TargetKey) {
        if let Some(view) = self.views.get_mut(&key) {
            view.local = view.local.saturating_sub(1);
        }
    }

    /// Records that a target did not respond, or not properly.
    pub fn record_failure(&mut self, key: TargetKey, now: Millis) {
        if let Some(view) = self.views.get(&key) {
            self.health.record_failure(&view.record.name, now);
        }
    }

    /// Records that a target responded properly.
    pub fn record_success(&mut self, key: TargetKey) {
        if let Some(view) = self.views.get(&key) {
            self.health.record_success(&view.record.name);
        }
    }
}
