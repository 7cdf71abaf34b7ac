//! Weighted fair queueing between flows, with two lanes per flow.
//!
//! This is start-time fair queueing: each flow's next request is tagged with the virtual time at
//! which it would start if every flow had its own server, and the lowest tag is served first. A
//! request's cost is its number of tokens, so that many short requests and few long ones get equal
//! shares.

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

/// Flow of the requests of one team in one class.
#[key]
pub(crate) struct FlowKey {
    pub(crate) class: Class,
    pub(crate) team: Team,
}

/// Prompt length class. Each lane of a flow is in arrival order, and neither lane waits for the
/// other.
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

    /// Adds a request. A lane that was empty starts level with the other one, so that it cannot
    /// accumulate credit while idle.
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

/// Fair queue of permits. All flows are cleared whenever it is empty.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: HashMap<FlowKey, Flow>,
    /// Flows with waiting requests, ordered by the virtual start time of their next request.
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

    /// Removes and returns the next request in fair order.
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
        self.clear_if_empty();
        Some(waiting.permit)
    }

    /// Removes a request from any position.
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
        self.clear_if_empty();
        removed > 0
    }

    /// Number of requests that are served before a new one of this flow.
    pub(crate) fn ahead_of(&self, key: FlowKey) -> usize {
        let own = self.flows.get(&key).map_or(0, Flow::len);
        let others = self.active.iter().filter(|(_, other)| *other != key);
        let before: usize = others
            .map(|(_, other)| self.flows[other].len().min(own + 1))
            .sum();
        own + before
    }

    /// Number of waiting requests of a flow.
    pub(crate) fn waiting(&self, key: FlowKey) -> usize {
        self.flows.get(&key).map_or(0, Flow::len)
    }

    /// Newest request of the flow with the most waiting requests.
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

    /// Clears all flows when no request waits, so that idle teams take no memory. No flow is owed
    /// service then.
    fn clear_if_empty(&mut self) {
        if self.len == 0 {
            self.flows.clear();
        }
    }
}
