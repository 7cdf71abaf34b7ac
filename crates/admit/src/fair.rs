//! Weighted fair queueing between flows, with two lanes per flow.
//!
//! This is start-time fair queueing: each flow's next request is tagged with the virtual time at
//! which it would start if every flow had its own server, and the lowest tag is served first. A
//! request's cost is its number of tokens, so that many short requests and few long ones get equal
//! shares.

use std::{
    collections::{
        BTreeSet,
        HashMap,
        VecDeque, //
    },
    hash::Hash,
};

use yuccaseam_base::key;

use crate::event::{
    Class,
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
pub enum Lane {
    /// Short prompts, or all requests if they are not told apart.
    Short,
    /// Long prompts.
    Long,
}

#[derive(Clone, Copy, Debug)]
struct Waiting<I> {
    id: I,
    cost: u64,
}

#[derive(Debug)]
struct LaneQueue<I> {
    requests: VecDeque<Waiting<I>>,
    served: u64,
}

impl<I> Default for LaneQueue<I> {
    fn default() -> Self {
        Self {
            requests: VecDeque::new(),
            served: 0,
        }
    }
}

#[derive(Debug)]
struct Flow<I> {
    start: u64,
    finish: u64,
    lanes: [LaneQueue<I>; 2],
}

impl<I> Default for Flow<I> {
    fn default() -> Self {
        Self {
            start: 0,
            finish: 0,
            lanes: Default::default(),
        }
    }
}

impl<I> Flow<I>
where
    I: Copy + Ord,
{
    fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.requests.len()).sum()
    }

    fn next_lane(&self) -> Option<usize> {
        (0..self.lanes.len())
            .filter(|&lane| !self.lanes[lane].requests.is_empty())
            .min_by_key(|&lane| self.lanes[lane].served)
    }

    fn peek(&self) -> Option<I> {
        let lane = &self.lanes[self.next_lane()?];
        lane.requests.front().map(|waiting| waiting.id)
    }

    fn pop(&mut self) -> Option<Waiting<I>> {
        let lane = &mut self.lanes[self.next_lane()?];
        let waiting = lane.requests.pop_front()?;
        lane.served += waiting.cost;
        Some(waiting)
    }

    /// Adds a request. A lane that was empty starts level with the other one, so that it cannot
    /// accumulate credit while idle.
    fn push(&mut self, lane: Lane, waiting: Waiting<I>) {
        let lane = lane as usize;
        let other = self.lanes[1 - lane].served;
        let queue = &mut self.lanes[lane];
        if queue.requests.is_empty() {
            queue.served = queue.served.max(other);
        }
        queue.requests.push_back(waiting);
    }
}

/// Fair queue of requests `I` in flows `K`. All flows are cleared whenever it is empty.
#[derive(Debug)]
pub struct FairQueue<K, I> {
    flows: HashMap<K, Flow<I>>,
    /// Flows with waiting requests, ordered by the virtual start time of their next request.
    active: BTreeSet<(u64, K)>,
    virtual_time: u64,
    len: usize,
}

impl<K, I> Default for FairQueue<K, I> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            active: BTreeSet::new(),
            virtual_time: 0,
            len: 0,
        }
    }
}

impl<K, I> FairQueue<K, I>
where
    K: Clone + Hash + Ord,
    I: Copy + Ord,
{
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Adds a request at the end of its lane. `cost` is positive.
    pub fn push(&mut self, key: K, lane: Lane, id: I, cost: u64) {
        let now = self.virtual_time;
        let flow = self.flows.entry(key.clone()).or_default();
        if flow.len() == 0 {
            flow.start = flow.finish.max(now);
            self.active.insert((flow.start, key));
        }
        flow.push(lane, Waiting { id, cost });
        self.len += 1;
    }

    /// Returns the next request in fair order.
    pub fn peek(&self) -> Option<I> {
        let (_, key) = self.active.first()?;
        self.flows.get(key)?.peek()
    }

    /// Removes and returns the next request in fair order.
    pub fn pop(&mut self) -> Option<I> {
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
        Some(waiting.id)
    }

    /// Removes a request from any position.
    pub fn remove(&mut self, key: &K, id: I) -> bool {
        let Some(flow) = self.flows.get_mut(key) else {
            return false;
        };
        let before = flow.len();
        for lane in &mut flow.lanes {
            lane.requests.retain(|waiting| waiting.id != id);
        }
        let removed = before - flow.len();
        if removed > 0 && flow.len() == 0 {
            self.active.remove(&(flow.start, key.clone()));
        }
        self.len -= removed;
        self.clear_if_empty();
        removed > 0
    }

    /// Number of requests that are served before a new one of this flow.
    pub fn ahead_of(&self, key: &K) -> usize {
        self.ahead(key, self.waiting(key))
    }

    /// Number of requests that are served before one that waits, if each costs the same.
    pub fn ahead_of_waiting(&self, key: &K, id: I) -> usize {
        if self.peek() == Some(id) {
            return 0;
        }
        let lanes = self.flows.get(key).map(|flow| &flow.lanes);
        let lane = lanes.into_iter().flatten().find_map(|lane| {
            let mut requests = lane.requests.iter();
            requests.position(|waiting| waiting.id == id)
        });
        self.ahead(key, lane.unwrap_or(0))
    }

    /// Number of requests that are served before one of this flow with `own` others of it before.
    fn ahead(&self, key: &K, own: usize) -> usize {
        let others = self.active.iter().filter(|(_, other)| other != key);
        let before: usize = others
            .map(|(_, other)| self.flows[other].len().min(own + 1))
            .sum();
        own + before
    }

    /// Number of waiting requests of a flow.
    pub(crate) fn waiting(&self, key: &K) -> usize {
        self.flows.get(key).map_or(0, Flow::len)
    }

    /// Newest request of the flow with the most waiting requests.
    pub(crate) fn newest_of_longest(&self) -> Option<(K, I)> {
        let (_, key) = self
            .active
            .iter()
            .max_by_key(|(_, key)| (self.flows[key].len(), key))?;
        let lanes = &self.flows[key].lanes;
        let newest = lanes.iter().filter_map(|lane| lane.requests.back());
        let id = newest.map(|waiting| waiting.id).max()?;
        Some((key.clone(), id))
    }

    /// Clears all flows when no request waits, so that idle teams take no memory. No flow is owed
    /// service then.
    fn clear_if_empty(&mut self) {
        if self.len == 0 {
            self.flows.clear();
        }
    }
}
