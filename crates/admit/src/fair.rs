//! Weighted fair queueing between flows, with two lanes in each.
//!
//! Start-time fair queueing: a flow's next request carries the virtual time at which it would
//! start if every flow had a server of its own, and the least one goes first. The cost of a
//! request is its tokens, so that many short requests and few long ones share alike.

use std::collections::{
    BTreeSet,
    HashMap,
    VecDeque, //
};

use yuccaseam_base::key;

use crate::event::{
    Class,
    PermitId,
    Team, //
};

/// Requests of one team in one class share a flow.
#[key]
pub(crate) struct FlowKey {
    pub(crate) class: Class,
    pub(crate) team: Team,
}

/// Whether the prompt is short or long. Each lane of a flow is in order of arrival, and neither
/// waits for the other.
#[key]
pub(crate) enum Lane {
    Short,
    Long,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    permit: PermitId,
    cost: u64,
}

#[derive(Debug, Default)]
struct LaneQueue {
    requests: VecDeque<Waiting>,
    served: u64,
}

#[derive(Debug, Default)]
struct Flow {
    start: u64,
    finish: u64,
    lanes: [LaneQueue; 2],
}

impl Flow {
    fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.requests.len()).sum()
    }

    fn next_lane(&self) -> Option<usize> {
        (0..self.lanes.len())
            .filter(|&lane| !self.lanes[lane].requests.is_empty())
            .min_by_key(|&lane| self.lanes[lane].served)
    }

    fn pop(&mut self) -> Option<Waiting> {
        let lane = &mut self.lanes[self.next_lane()?];
        let waiting = lane.requests.pop_front()?;
        lane.served += waiting.cost;
        Some(waiting)
    }

    /// A lane that was empty starts level with the other, so that it cannot save up service.
    fn push(&mut self, lane: Lane, waiting: Waiting) {
        let lane = lane as usize;
        let other = self.lanes[1 - lane].served;
        let queue = &mut self.lanes[lane];
        if queue.requests.is_empty() {
            queue.served = queue.served.max(other);
        }
        queue.requests.push_back(waiting);
    }
}

/// A queue of permits that is fair between flows. All flows are forgotten whenever it is empty.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: HashMap<FlowKey, Flow>,
    /// The flows that have requests, by the virtual start of their next one.
    active: BTreeSet<(u64, FlowKey)>,
    virtual_time: u64,
    len: usize,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn flows(&self) -> usize {
        self.flows.len()
    }

    pub(crate) fn push(&mut self, key: FlowKey, lane: Lane, permit: PermitId, cost: u64) {
        let now = self.virtual_time;
        let flow = self.flows.entry(key).or_default();
        if flow.len() == 0 {
            flow.start = flow.finish.max(now);
            self.active.insert((flow.start, key));
        }
        flow.push(lane, Waiting { permit, cost });
        self.len += 1;
    }

    /// Takes the request that is next by fairness.
    pub(crate) fn pop(&mut self) -> Option<PermitId> {
        let (start, key) = self.active.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        let flow = self.flows.get_mut(&key)?;
        let waiting = flow.pop()?;
        flow.finish = start + waiting.cost;
        flow.start = flow.finish;
        if flow.len() > 0 {
            self.active.insert((flow.start, key));
        }
        self.len -= 1;
        self.forget_when_empty();
        Some(waiting.permit)
    }

    /// Takes out one request, wherever it stands.
    pub(crate) fn remove(&mut self, key: FlowKey, permit: PermitId) -> bool {
        let Some(flow) = self.flows.get_mut(&key) else {
            return false;
        };
        let before = flow.len();
        for lane in &mut flow.lanes {
            lane.requests.retain(|waiting| waiting.permit != permit);
        }
        let removed = before - flow.len();
        if removed > 0 && flow.len() == 0 {
            self.active.remove(&(flow.start, key));
        }
        self.len -= removed;
        self.forget_when_empty();
        removed > 0
    }

    /// The requests that fairness puts before a new one of this flow.
    pub(crate) fn ahead_of(&self, key: FlowKey) -> usize {
        let own = self.flows.get(&key).map_or(0, Flow::len);
        let others = self.active.iter().filter(|(_, other)| *other != key);
        let before: usize = others
            .map(|(_, other)| self.flows[other].len().min(own + 1))
            .sum();
        own + before
    }

    /// How many requests of a flow wait.
    pub(crate) fn waiting(&self, key: FlowKey) -> usize {
        self.flows.get(&key).map_or(0, Flow::len)
    }

    /// The newest request of the flow with the most requests.
    pub(crate) fn newest_of_longest(&self) -> Option<(FlowKey, PermitId)> {
        let (_, key) = self
            .active
            .iter()
            .max_by_key(|(_, key)| (self.flows[key].len(), *key))?;
        let lanes = &self.flows[key].lanes;
        let newest = lanes.iter().filter_map(|lane| lane.requests.back());
        let permit = newest.map(|waiting| waiting.permit).max()?;
        Some((*key, permit))
    }

    /// Nothing waits, so nobody is owed anything: idle teams cost no memory.
    fn forget_when_empty(&mut self) {
        if self.len == 0 {
            self.flows.clear();
        }
    }
}
