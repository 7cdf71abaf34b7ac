//! Weighted max-min shares by priority.

use std::collections::BTreeMap;

/// Part of the average service that each flow gets whatever its priority. Above a quarter, so that no team
/// is served less than a quarter as often as all.
const FLOOR_SHARE: f64 = 0.3;
/// Weighted shares up to which a flow goes before the less urgent ones.
const PRIORITY_SHARES: f64 = 1.5;
/// Halvings of the interval that holds the water level of a priority.
const LEVEL_STEPS: usize = 48;

/// Demand of one flow, in slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowDemand {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Weight among the flows of one priority. Positive.
    pub weight: f64,
    /// Slots that the flow wants.
    pub demand: f64,
}

impl FlowDemand {
    fn share(&self, floor: f64, level: f64) -> f64 {
        (level * self.weight).min(self.demand).max(floor)
    }
}

/// Returns the share of each flow, in slots. The shares add up to the demand or to the capacity, whichever
/// is less.
///
/// Each flow gets its floor. Then the flows get up to one and a half weighted shares each, by priority;
/// what is left goes to all by weight, so that no flow gets precedence for all that it sends.
pub fn allocate(capacity: f64, flows: &[FlowDemand]) -> Vec<f64> {
    let total: f64 = flows.iter().map(|flow| flow.demand).sum();
    if total <= capacity {
        return flows.iter().map(|flow| flow.demand).collect();
    }
    let served = FLOOR_SHARE * capacity / total;
    let mut shares: Vec<_> = flows.iter().map(|flow| flow.demand * served).collect();
    let mut left = capacity * (1.0 - FLOOR_SHARE);
    let weights: f64 = flows.iter().map(|flow| flow.weight).sum();
    let precedence = |flow: &FlowDemand| FlowDemand {
        demand: flow
            .demand
            .min(PRIORITY_SHARES * capacity * flow.weight / weights),
        ..*flow
    };
    let urgent: Vec<_> = flows.iter().map(precedence).collect();
    let mut priorities = BTreeMap::<u32, Vec<usize>>::new();
    for (index, flow) in flows.iter().enumerate() {
        priorities.entry(flow.priority).or_default().push(index);
    }
    for members in priorities.values() {
        left = fill(&urgent, &mut shares, members, left);
    }
    let all: Vec<_> = (0..flows.len()).collect();
    fill(flows, &mut shares, &all, left);
    shares
}

/// Raises the shares of the members to a common level with what is left. Returns what is left then.
fn fill(flows: &[FlowDemand], shares: &mut [f64], members: &[usize], left: f64) -> f64 {
    let before: f64 = members.iter().map(|&index| shares[index]).sum();
    let level = water_level(flows, shares, members, left + before);
    let mut used = 0.0;
    for &index in members {
        shares[index] = flows[index].share(shares[index], level);
        used += shares[index];
    }
    (left + before - used).max(0.0)
}

/// Level at which the members' shares add up to the capacity, or at which all are satisfied.
fn water_level(flows: &[FlowDemand], floors: &[f64], members: &[usize], capacity: f64) -> f64 {
    let satisfied = members
        .iter()
        .map(|&index| flows[index].demand / flows[index].weight)
        .fold(0.0, f64::max);
    let (mut low, mut high) = (0.0, satisfied);
    let used = |level| -> f64 {
        let shares = members
            .iter()
            .map(|&index| flows[index].share(floors[index], level));
        shares.sum()
    };
    if used(high) <= capacity {
        return high;
    }
    for _ in 0..LEVEL_STEPS {
        let middle = (low + high) / 2.0;
        if used(middle) <= capacity {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
