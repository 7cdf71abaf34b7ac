//! Decides when an instance follows the leader through another entry.

use yuccaseam_base::Millis;

/// Longest time that an election takes. If stores report no leader for longer, the leader is taken to be
/// on the other side of a partition.
const MAX_ELECTION_TIME: Millis = Millis(1_200);

/// Result of a search for the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchOutcome {
    /// No store is known yet, as at the start of a process.
    NoStoreKnown,
    /// No store answered, or a leader that a store named did not answer.
    Unreachable,
    /// Stores answered, but know of no leader.
    NoLeader,
    /// The leader was found, and followed until the connection ended.
    Followed,
}

/// What one store said in a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// It did not answer.
    Silent,
    /// It knows of no leader.
    KnowsNoLeader,
    /// It named a leader, which did not answer.
    LeaderSilent,
}

/// Collects the answers of the stores in one search.
#[derive(Debug, Default)]
pub struct SearchTally {
    knows_no_leader: bool,
    leader_silent: bool,
}

impl SearchTally {
    /// Records the answer of a store.
    pub fn record(&mut self, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Silent => {}
            StoreAnswer::KnowsNoLeader => self.knows_no_leader = true,
            StoreAnswer::LeaderSilent => self.leader_silent = true,
        }
    }

    /// Result of the search. A named leader counts, even if stores of a minority know of none.
    pub fn outcome(&self) -> SearchOutcome {
        if self.knows_no_leader && !self.leader_silent {
            SearchOutcome::NoLeader
        } else {
            SearchOutcome::Unreachable
        }
    }
}

/// Tracks searches, and decides when to follow the leader through another entry.
#[derive(Debug, Default)]
pub struct LeaderSearch {
    leaderless_since: Option<Millis>,
}

impl LeaderSearch {
    /// Records the end of a search. Returns whether the leader is to be followed through another entry.
    pub fn wants_relay(&mut self, outcome: SearchOutcome, now: Millis) -> bool {
        if outcome != SearchOutcome::NoLeader {
            self.leaderless_since = None;
            return outcome == SearchOutcome::Unreachable;
        }
        // Usually an election, in which other entries have no leader to follow either.
        now >= *self.leaderless_since.get_or_insert(now) + MAX_ELECTION_TIME
    }
}
