//! Demand for services at one entry.

use std::collections::{
    BTreeMap,
    HashMap,
    VecDeque, //
};

use yuccaseam_base::Millis;

use super::{
    Arrivals,
    Flow,
    ServiceDemand, //
};

/// Time over which arrivals are counted.
pub(super) const WINDOW: Millis = Millis(1_000);
/// Most recent part of the window, which shows a jump early.
pub(super) const RECENT: Millis = Millis(400);
/// Time that one bucket of the window covers.
const BUCKET: Millis = Millis(200);

fn bucket_of(now: Millis) -> Millis {
    Millis(now.0 - now.0 % BUCKET.0)
}

#[derive(Debug, Default)]
struct ServiceMeter {
    occupancy: Millis,
    /// Arrivals of each flow by the start of their bucket.
    buckets: VecDeque<(Millis, HashMap<Flow, u32>)>,
}

impl ServiceMeter {
    /// Drops the buckets before the window that ended with the last whole bucket.
    fn expire(&mut self, now: Millis) {
        let current = bucket_of(now);
        self.buckets
            .retain(|(started_at, _)| *started_at + WINDOW >= current);
    }

    /// Arrivals in the window, by flow.
    fn arrivals(&self, now: Millis) -> BTreeMap<&Flow, Arrivals> {
        let current = bucket_of(now);
        let mut arrivals = BTreeMap::<_, Arrivals>::new();
        for (started_at, counts) in self.buckets.iter().filter(|(at, _)| *at < current) {
            let is_recent = *started_at + RECENT >= current;
            for (flow, count) in counts {
                arrivals.entry(flow).or_default().add(Arrivals {
                    last_second: *count,
                    recent: if is_recent { *count } else { 0 },
                });
            }
        }
        arrivals
    }
}

/// Counts the requests that arrive at an entry, by service and flow.
#[derive(Debug, Default)]
pub struct DemandMeter {
    services: HashMap<String, ServiceMeter>,
}

impl DemandMeter {
    /// Counts a request. `occupancy` is how long requests to the service occupy their slots.
    pub fn record(&mut self, service: &str, flow: &Flow, occupancy: Millis, now: Millis) {
        if !self.services.contains_key(service) {
            let meter = ServiceMeter::default();
            self.services.insert(service.to_owned(), meter);
        }
        let Some(meter) = self.services.get_mut(service) else {
            return;
        };
        meter.occupancy = occupancy;
        let started_at = bucket_of(now);
        if meter.buckets.back().is_none_or(|(at, _)| *at != started_at) {
            meter.expire(now);
            meter.buckets.push_back((started_at, HashMap::new()));
        }
        if let Some((_, counts)) = meter.buckets.back_mut() {
            if let Some(count) = counts.get_mut(flow) {
                *count += 1;
            } else {
                counts.insert(flow.clone(), 1);
            }
        }
    }

    /// Demand for the services at which requests have arrived in the last second.
    pub fn report(&mut self, now: Millis) -> Vec<ServiceDemand> {
        self.services.retain(|_, meter| {
            meter.expire(now);
            !meter.buckets.is_empty()
        });
        let demands = self.services.iter().map(|(service, meter)| ServiceDemand {
            service: service.clone(),
            occupancy: meter.occupancy,
            arrivals: meter
                .arrivals(now)
                .into_iter()
                .map(|(flow, arrivals)| (flow.clone(), arrivals))
                .collect(),
        });
        demands.collect()
    }
}
