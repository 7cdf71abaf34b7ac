//! Where a request goes: the least loaded target that is near.
//!
//! The load of a target is what this instance has under way there, what its neighbours (other entries
//! of its region) tell of each request at once, and what all others have, as the leader last told.
//! Targets of the neighbourhood are therefore known exactly; among others chance decides between like
//! costs, because every entry sees the same old figures. Near targets are preferred until they are
//! nearly full.

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
    targets::{
        TargetKey,
        TargetRecord, //
    },
};

/// Work under way at one target.
#[record]
#[derive(Copy, Default)]
pub struct Load {
    /// Requests of callers.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

/// What the last free slot of a target costs. Each further free slot halves it: an engine is hardly
/// slower with half of its slots taken, and the loads that are known are a little old, so that the
/// next request may find fewer.
const LAST_SLOT: u64 = 3_200;
/// What a target in another failure domain of the region costs.
const OTHER_DOMAIN: u64 = 900;
/// What a target in another region costs: the link between regions is narrow, and its delay counts
/// against the objective.
const OTHER_REGION: u64 = 2_400;
/// The most that chance adds to a target whose load is known exactly.
const CHANCE_NEAR: u64 = 60;
/// The most that chance adds to other targets. Without it all entries would choose the same target
/// until they hear of each other's choice.
const CHANCE_FAR: u64 = 600;
/// How long a neighbour that is silent is believed.
const NEIGHBOUR_SILENCE: Millis = Millis(2_000);
/// Spreads the bits of a number, by Fibonacci hashing.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
/// What a batch item costs in comparison with a request of a caller, in percent: it makes way, but
/// not at once.
const BATCH_PERCENT: u64 = 75;
/// The share of a service's targets that may be avoided, in percent. If more fail, it is the load or the
/// network rather than the targets, and leaving them alone would overload the rest.
const AVOIDED_PERCENT: usize = 50;

/// How much of the slots of a target is taken, in the eyes of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// A slot is free.
    Free,
    /// A slot is free once batch items have made way.
    AfterBatch,
    /// Every slot is taken by callers.
    Full,
}

/// A target that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub key: TargetKey,
    /// Its name.
    pub name: TargetName,
    /// Where it takes requests.
    pub address: std::net::SocketAddr,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether a slot is free.
    pub room: Room,
    /// What was believed to be under way there.
    pub load: Load,
    /// How long before that the leader told the loads of others.
    pub loads_age: Millis,
}

#[derive(Debug)]
struct View {
    record: TargetRecord,
    /// What entries of other failure domains and the runner have under way, as the leader last told.
    far: Load,
    /// What the neighbours have under way.
    near: u32,
    own: u32,
}

impl View {
    fn load(&self) -> Load {
        Load {
            online: self.far.online + self.near + self.own,
            batch: self.far.batch,
        }
    }

    fn room(&self) -> Room {
        let load = self.load();
        if load.online + load.batch < self.record.slots {
            Room::Free
        } else if load.online < self.record.slots {
            Room::AfterBatch
        } else {
            Room::Full
        }
    }
}

/// Where this instance is.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// The region of each failure domain.
    pub regions: std::collections::BTreeMap<FailureDomain, Region>,
}

impl Place {
    fn distance(&self, domain: &FailureDomain) -> u64 {
        if *domain == self.domain {
            0
        } else if self.regions.get(domain) == Some(&self.region) {
            OTHER_DOMAIN
        } else {
            OTHER_REGION
        }
    }
}

/// What the load of a target costs.
fn crowding(load: Load, slots: u32) -> u64 {
    let taken = u64::from(load.online) * 100 + u64::from(load.batch) * BATCH_PERCENT;
    let free = u64::from(slots) * 100;
    if taken >= free {
        return LAST_SLOT * 2 * (1 + (taken - free) / 100);
    }
    let left = (free - taken) as f64 / 100.0;
    (LAST_SLOT as f64 * 2.0 / left.exp2()) as u64
}

/// Chooses targets for one instance.
#[derive(Debug)]
pub struct Balancer {
    place: Place,
    /// Whether the neighbours are all entries of the region.
    whole_region: bool,
    views: HashMap<TargetKey, View>,
    /// When the leader told loads last.
    told_at: Millis,
    health: Health,
    neighbours: HashMap<IpAddr, Neighbour>,
}

/// What a neighbour said last.
#[derive(Debug)]
struct Neighbour {
    /// Its start and the number of its message.
    said: (u64, u64),
    heard_at: Millis,
    counts: HashMap<TargetKey, u32>,
}

/// What an entry tells its neighbours.
#[record]
pub struct NeighbourReport {
    /// When the entry started, in ms since the Unix epoch.
    pub started_at: u64,
    /// Grows with each report.
    pub number: u64,
    /// Whether targets that are not named have no request of this entry.
    pub complete: bool,
    /// Requests that the entry has under way.
    pub counts: Vec<(TargetKey, u32)>,
    /// A target at which a request of the entry has just failed.
    pub failed: Option<TargetKey>,
}

impl Balancer {
    /// A balancer that knows no target.
    pub fn new(place: Place) -> Self {
        Self {
            place,
            whole_region: false,
            views: HashMap::new(),
            told_at: Millis::ZERO,
            health: Health::default(),
            neighbours: HashMap::new(),
        }
    }

    /// Takes in what is known of a target.
    pub fn set_target(&mut self, record: &TargetRecord) {
        let key = record.key();
        let name = &record.name;
        self.views
            .retain(|other, view| view.record.name != *name || *other == key || view.own > 0);
        if let Some(view) = self.views.get_mut(&key) {
            view.record = record.clone();
            return;
        }
        let near = self.near(key);
        let view = View {
            record: record.clone(),
            far: Load::default(),
            near,
            own: 0,
        };
        self.views.insert(key, view);
    }

    /// Takes in what other instances have under way at targets where that changed.
    pub fn set_loads(&mut self, loads: &[(TargetKey, Load)]) {
        for (key, load) in loads {
            if let Some(view) = self.views.get_mut(key) {
                view.far = *load;
            }
        }
    }

    /// Notes that the leader has told all loads that changed.
    pub fn note_told(&mut self, now: Millis) {
        self.told_at = now;
    }

    /// How long ago the leader told loads.
    pub fn loads_age(&self, now: Millis) -> Millis {
        now - self.told_at
    }

    /// Forgets what other instances have under way, because another leader counts from now on.
    pub fn forget_loads(&mut self) {
        for view in self.views.values_mut() {
            view.far = Load::default();
        }
    }

    /// What this instance has under way, for the leader.
    pub fn report(&mut self) -> Vec<(TargetKey, u32)> {
        self.views
            .retain(|_, view| view.own > 0 || !view.record.left);
        let busy = self.views.iter().filter(|(_, view)| view.own > 0);
        let mut report: Vec<_> = busy.map(|(key, view)| (*key, view.own)).collect();
        report.sort_unstable();
        report
    }

    /// The best target of a service, or `None` if none takes work. `draw` breaks ties.
    pub fn choose(
        &self,
        service: &str,
        tried: &[TargetKey],
        draw: u64,
        now: Millis,
    ) -> Option<Choice> {
        let usable = |view: &&View| view.record.service == service && !view.record.draining;
        let unsound = |view: &View| self.health.is_avoided(&view.record.name, now);
        let count = self.views.values().filter(usable).count();
        let avoided = self
            .views
            .values()
            .filter(usable)
            .filter(|view| unsound(view));
        let may_avoid = avoided.count() * 100 <= count * AVOIDED_PERCENT;
        let rank = |view: &View| {
            let load = view.load();
            let key = view.record.key();
            let full = view.room() == Room::Full;
            let avoided = may_avoid && unsound(view);
            let chance = key.0.wrapping_add(draw).wrapping_mul(GOLDEN) >> 32;
            let distance = self.place.distance(&view.record.domain);
            let chance = chance % self.max_chance(distance);
            let cost = crowding(load, view.record.slots) + distance + chance;
            (avoided, full, cost)
        };
        let best = self
            .views
            .values()
            .filter(usable)
            .filter(|view| !tried.contains(&view.record.key()))
            .min_by_key(|view| rank(view))?;
        Some(Choice {
            key: best.record.key(),
            name: best.record.name.clone(),
            address: best.record.address,
            slots: best.record.slots,
            room: best.room(),
            load: best.load(),
            loads_age: self.loads_age(now),
        })
    }

    /// Notes whether the neighbours are all entries of the region.
    pub fn set_whole_region(&mut self, whole_region: bool) {
        self.whole_region = whole_region;
    }

    fn max_chance(&self, distance: u64) -> u64 {
        let is_exact = match distance {
            0 => true,
            OTHER_DOMAIN => self.whole_region,
            _ => false,
        };
        if is_exact { CHANCE_NEAR } else { CHANCE_FAR }
    }

    fn near(&self, key: TargetKey) -> u32 {
        let counts = self
            .neighbours
            .values()
            .filter_map(|one| one.counts.get(&key));
        counts.sum()
    }

    fn refresh_near<I>(&mut self, keys: I)
    where
        I: IntoIterator<Item = TargetKey>,
    {
        for key in keys {
            let near = self.near(key);
            if let Some(view) = self.views.get_mut(&key) {
                view.near = near;
            }
        }
    }

    /// Takes in what a neighbour has under way.
    pub fn on_neighbour(&mut self, ip: IpAddr, report: NeighbourReport, now: Millis) {
        let said = (report.started_at, report.number);
        let neighbour = self.neighbours.entry(ip).or_insert_with(|| Neighbour {
            said: (0, 0),
            heard_at: now,
            counts: HashMap::new(),
        });
        if said <= neighbour.said {
            return;
        }
        neighbour.heard_at = now;
        let failed = report.failed.and_then(|key| self.views.get(&key));
        if let Some(view) = failed {
            self.health.failed_at_neighbour(&view.record.name, now);
        }
        let mut touched: Vec<_> = report.counts.iter().map(|(key, _)| *key).collect();
        if report.complete || report.started_at != neighbour.said.0 {
            touched.extend(neighbour.counts.drain().map(|(key, _)| key));
        }
        neighbour.said = said;
        neighbour.counts.extend(report.counts);
        neighbour.counts.retain(|_, count| *count > 0);
        self.refresh_near(touched);
    }

    /// Forgets neighbours that are silent, and failures of long ago.
    pub fn expire(&mut self, now: Millis) {
        self.health.expire(now);
        let silent = |one: &Neighbour| now > one.heard_at + NEIGHBOUR_SILENCE;
        let gone = self.neighbours.values().filter(|one| silent(one));
        let touched: Vec<_> = gone.flat_map(|one| one.counts.keys().copied()).collect();
        self.neighbours.retain(|_, one| !silent(one));
        self.refresh_near(touched);
    }

    /// Requests that this instance has under way at a target.
    pub fn own(&self, key: TargetKey) -> u32 {
        self.views.get(&key).map_or(0, |view| view.own)
    }

    /// Counts a request as under way.
    pub fn begin(&mut self, key: TargetKey) {
        if let Some(view) = self.views.get_mut(&key) {
            view.own += 1;
        }
    }

    /// Counts a request as ended.
    pub fn end(&mut self, key: TargetKey) {
        if let Some(view) = self.views.get_mut(&key) {
            view.own = view.own.saturating_sub(1);
        }
    }

    /// A target did not answer, or not properly.
    pub fn failed(&mut self, key: TargetKey, now: Millis) {
        if let Some(view) = self.views.get(&key) {
            self.health.failed(&view.record.name, now);
        }
    }

    /// A target answered properly.
    pub fn succeeded(&mut self, key: TargetKey) {
        if let Some(view) = self.views.get(&key) {
            self.health.succeeded(&view.record.name);
        }
    }
}
