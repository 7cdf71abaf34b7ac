//! Order of the requests that wait for a slot of one service at one entry.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use yuccaseam_admit::{
    FairQueue,
    Lane, //
};
use yuccaseam_base::{
    TeamName,
    key, //
};

use super::{
    Flow,
    Standing, //
};

/// Cost of a request of a team with the weight 1.
const COST_SCALE: f64 = 1_048_576.0;

/// A request that waits.
#[key]
pub struct WaiterId(u64);

/// Requests of a lower rank go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_beyond: bool,
    priority: u32,
}

impl Rank {
    fn new(flow: &Flow, standing: Standing) -> Self {
        Self {
            is_beyond: standing == Standing::Beyond,
            priority: flow.priority,
        }
    }
}

/// Requests that wait: first those within their shares, then by priority, then in fair order of the teams.
#[derive(Debug, Default)]
pub struct WaitingLine {
    ranks: BTreeMap<Rank, FairQueue<TeamName, WaiterId>>,
    places: HashMap<WaiterId, (Rank, TeamName)>,
    last_id: u64,
}

impl WaitingLine {
    /// Adds a request. `weight` is that of its team, and positive.
    pub fn join(&mut self, flow: &Flow, standing: Standing, weight: f64) -> WaiterId {
        self.last_id += 1;
        let id = WaiterId(self.last_id);
        let rank = Rank::new(flow, standing);
        let cost = (COST_SCALE / weight).max(1.0) as u64;
        let queue = self.ranks.entry(rank).or_default();
        queue.push(flow.team.clone(), Lane::Short, id, cost);
        self.places.insert(id, (rank, flow.team.clone()));
        id
    }

    /// Removes a request that got a slot, or that waits no more.
    pub fn leave(&mut self, id: WaiterId) {
        let Some((rank, team)) = self.places.remove(&id) else {
            return;
        };
        let Some(queue) = self.ranks.get_mut(&rank) else {
            return;
        };
        if queue.peek() == Some(id) {
            queue.pop();
        } else {
            queue.remove(&team, id);
        }
        if queue.is_empty() {
            self.ranks.remove(&rank);
        }
    }

    /// Returns the request that gets the next slot.
    pub fn first(&self) -> Option<WaiterId> {
        self.ranks.values().next()?.peek()
    }

    /// Number of requests that get a slot before a new one.
    pub fn ahead_of_new(&self, flow: &Flow, standing: Standing) -> usize {
        let rank = Rank::new(flow, standing);
        let own = self.ranks.get(&rank);
        self.before(rank) + own.map_or(0, |queue| queue.ahead_of(&flow.team))
    }

    /// Number of requests that get a slot before one that waits.
    pub fn ahead_of(&self, id: WaiterId) -> usize {
        let Some((rank, team)) = self.places.get(&id) else {
            return 0;
        };
        let Some(queue) = self.ranks.get(rank) else {
            return 0;
        };
        self.before(*rank) + queue.ahead_of_waiting(team, id)
    }

    fn before(&self, rank: Rank) -> usize {
        let ranks = self.ranks.range(..rank);
        ranks.map(|(_, queue)| queue.len()).sum()
    }
}
