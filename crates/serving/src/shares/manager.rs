//! Shares of all flows, at the leader.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use yuccaseam_base::{
    Millis,
    TeamName,
    value, //
};

use super::{
    Arrivals, Flow, FlowDemand, SHARES_LIFETIME, ServiceDemand, ServiceShares, allocate,
    demand::{
        RECENT,
        WINDOW, //
    },
};

/// Part of the slots that are shared out at most, in percent. A queue forms before the last ones are taken.
const SHARED_PERCENT: f64 = 90.0;
/// Standard deviations of the requests in progress that are kept free beside the shares.
const RESERVE_DEVIATIONS: f64 = 1.5;
/// One request, in the unit of the parts that fit.
const WHOLE: u32 = 1_000;
/// Standard deviations of the number of arrivals that chance explains.
const CHANCE_DEVIATIONS: f64 = 3.0;
/// Arrivals beyond these deviations that chance explains.
const CHANCE_ARRIVALS: f64 = 2.0;
/// Time in which the memory of a higher demand fades to a third.
const PEAK_FADE: Millis = Millis(8_000);
/// Arrivals below which the memory of a flow ends.
const MIN_PEAK: f64 = 0.5;

/// Largest number of arrivals that chance explains where `mean` are expected.
fn explained_by_chance(mean: f64) -> f64 {
    mean + CHANCE_DEVIATIONS * mean.sqrt() + CHANCE_ARRIVALS
}

/// Slots that are shared out. The fewer there are, the larger the part that chance takes at times.
fn shared_slots(slots: u32) -> f64 {
    let slots = f64::from(slots);
    let beside_chance = slots - RESERVE_DEVIATIONS * slots.sqrt();
    beside_chance.clamp(0.0, slots * SHARED_PERCENT / 100.0)
}

/// Arrivals in a second, from the recent ones if these show a jump.
fn rate(arrivals: Arrivals) -> f64 {
    let recent = f64::from(arrivals.recent);
    let last_second = f64::from(arrivals.last_second);
    let part = RECENT.0 as f64 / WINDOW.0 as f64;
    if recent > explained_by_chance(last_second * part) {
        recent / part
    } else {
        last_second
    }
}

/// What a service can run.
#[value]
pub struct ServiceCapacity {
    /// Name of the service.
    pub service: String,
    /// Slots of its targets that take work.
    pub slots: u32,
}

#[derive(Debug)]
struct Report {
    received_at: Millis,
    demands: Vec<ServiceDemand>,
}

/// Demand for one service over all entries.
#[derive(Debug, Default)]
struct ServiceState {
    /// Arrivals of each flow in a second: the present ones, or a recent peak that fades. Waves of demand
    /// return faster than they can be measured, and a share that is held through a trough costs nobody a
    /// free slot.
    peaks: BTreeMap<Flow, f64>,
    /// Slots that one arrival in a second stands for.
    slots_per_arrival: f64,
}

impl ServiceState {
    fn update(&mut self, demands: &[&ServiceDemand], elapsed: Millis) {
        let mut total = BTreeMap::<&Flow, Arrivals>::new();
        let (mut count, mut occupancy) = (0, Millis::ZERO);
        for demand in demands {
            for (flow, arrivals) in &demand.arrivals {
                total.entry(flow).or_default().add(*arrivals);
                count += arrivals.last_second;
                occupancy += demand.occupancy * u64::from(arrivals.last_second);
            }
        }
        if count > 0 {
            let mean = occupancy.0 as f64 / f64::from(count);
            self.slots_per_arrival = mean / WINDOW.0 as f64;
        }
        let kept = (-(elapsed.0 as f64) / PEAK_FADE.0 as f64).exp();
        for peak in self.peaks.values_mut() {
            *peak *= kept;
        }
        for (flow, arrivals) in total {
            let peak = self.peaks.entry(flow.clone()).or_default();
            *peak = peak.max(rate(arrivals));
        }
        self.peaks.retain(|_, peak| *peak >= MIN_PEAK);
    }

    /// Flows beyond their share, with the part that fits in permille.
    fn beyond_share<W>(&self, slots: u32, weight: W) -> Vec<(Flow, u32)>
    where
        W: Fn(&TeamName) -> f64,
    {
        let flows = self.peaks.iter().map(|(flow, arrivals)| FlowDemand {
            priority: flow.priority,
            weight: weight(&flow.team),
            demand: arrivals * self.slots_per_arrival,
        });
        let flows: Vec<_> = flows.collect();
        let shares = allocate(shared_slots(slots), &flows);
        let mut beyond = Vec::new();
        for ((flow, arrivals), (share, wanted)) in self.peaks.iter().zip(shares.iter().zip(&flows))
        {
            let part = share / wanted.demand;
            if *arrivals > explained_by_chance(part * arrivals) {
                beyond.push((flow.clone(), (part * f64::from(WHOLE)) as u32));
            }
        }
        beyond
    }
}

/// Computes the shares from the demand of all entries.
#[derive(Debug, Default)]
pub struct ShareManager {
    /// Last report of each follower.
    reports: HashMap<u64, Report>,
    services: BTreeMap<String, ServiceState>,
    updated_at: Millis,
}

impl ShareManager {
    /// Records the demand at an entry.
    pub fn report(&mut self, follower: u64, demands: Vec<ServiceDemand>, now: Millis) {
        let report = Report {
            received_at: now,
            demands,
        };
        self.reports.insert(follower, report);
    }

    /// Computes the shares anew and returns the flows beyond theirs. `weight` returns the weight of a team,
    /// which is positive.
    pub fn update<W>(
        &mut self,
        capacities: &[ServiceCapacity],
        weight: W,
        now: Millis,
    ) -> Vec<ServiceShares>
    where
        W: Fn(&TeamName) -> f64,
    {
        let elapsed = now - self.updated_at;
        self.updated_at = now;
        self.reports
            .retain(|_, report| now < report.received_at + SHARES_LIFETIME);
        let mut demands = HashMap::<&str, Vec<&ServiceDemand>>::new();
        for demand in self.reports.values().flat_map(|report| &report.demands) {
            demands.entry(&demand.service).or_default().push(demand);
        }
        for service in demands.keys() {
            if !self.services.contains_key(*service) {
                let state = ServiceState::default();
                self.services.insert((*service).to_owned(), state);
            }
        }
        for (service, state) in &mut self.services {
            let demands = demands.get(service.as_str());
            state.update(demands.map_or(&[], Vec::as_slice), elapsed);
        }
        self.services.retain(|_, state| !state.peaks.is_empty());
        let listed = capacities.iter().filter_map(|capacity| {
            let state = self.services.get(&capacity.service)?;
            let beyond = state.beyond_share(capacity.slots, &weight);
            (!beyond.is_empty()).then(|| ServiceShares {
                service: capacity.service.clone(),
                beyond,
            })
        });
        listed.collect()
    }

    /// Slots that a flow wants of a service.
    pub fn wanted_slots(&self, service: &str, flow: &Flow) -> u32 {
        let wanted = self.services.get(service).and_then(|state| {
            let arrivals = state.peaks.get(flow)?;
            Some(arrivals * state.slots_per_arrival)
        });
        wanted.map_or(0, |slots| slots.round() as u32)
    }

    /// Whether any demand is known.
    pub fn is_idle(&self) -> bool {
        self.reports.is_empty() && self.services.is_empty()
    }

    /// Forgets all demand, because another instance leads.
    pub fn clear(&mut self) {
        self.reports.clear();
        self.services.clear();
    }
}
