//! What an entry spends without an answer of the leader.

use std::hash::{
    DefaultHasher,
    Hash,
    Hasher as _, //
};

use yuccaseam_base::{
    Millis,
    TeamName, //
};

use super::limit::{
    Limit,
    PARTS_PER_TOKEN, //
};

/// Part of its share of the burst that an absent entry may spend: the team may have spent the burst elsewhere.
const BURST_DIVISOR: u64 = 4;

/// State of an entry that decides what it may spend.
#[derive(Clone, Copy, Debug)]
pub(super) struct Isolation {
    /// Number of entries, as last heard from a leader.
    pub(super) fleet: u64,
    /// Whether the leader leaves this entry its share of the rate.
    pub(super) is_absent: bool,
    /// Differs between entries.
    pub(super) seed: u64,
}

/// Tokens of one team that an entry may spend without an answer.
///
/// Its part of a small quota is a fraction of a token. Entries round it up or down by a draw for each
/// window, so that the sum over all of them is as expected.
#[derive(Debug, Default)]
pub(super) struct Spare {
    level: u64,
    window: Option<u64>,
    filled_at: Millis,
    was_absent: bool,
}

impl Spare {
    /// Spends a token if there is one.
    pub(super) fn take(
        &mut self,
        team: &TeamName,
        limit: &Limit,
        isolation: Isolation,
        now: Millis,
    ) -> bool {
        if isolation.fleet == 0 {
            return false;
        }
        self.fill(team, limit, isolation, now);
        let is_available = self.level >= PARTS_PER_TOKEN;
        if is_available {
            self.level -= PARTS_PER_TOKEN;
        }
        is_available
    }

    fn fill(&mut self, team: &TeamName, limit: &Limit, isolation: Isolation, now: Millis) {
        let window = now.0 / limit.window.0.max(1);
        let own = limit.spare / isolation.fleet;
        let rounding = draw(team, window, isolation.seed);
        if self.window != Some(window) {
            let carried = if isolation.is_absent { self.level } else { 0 };
            let drawn = if carried == 0 { rounding } else { 0 };
            self.level = carried + own + drawn;
            self.window = Some(window);
        }
        let elapsed = now - self.filled_at;
        self.filled_at = now;
        if !isolation.is_absent {
            self.was_absent = false;
            self.level = self.level.min(own + rounding);
            return;
        }
        let burst = limit.burst / BURST_DIVISOR / isolation.fleet;
        if self.was_absent {
            self.level += limit.rate.saturating_mul(elapsed.0) / isolation.fleet;
        } else {
            self.level += burst;
        }
        self.was_absent = true;
        self.level = self.level.min(own + burst + rounding);
    }
}

/// Uniform draw below one token, the same for a team in a window at an entry.
pub(super) fn draw(team: &TeamName, window: u64, seed: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (team, window, seed).hash(&mut hasher);
    hasher.finish() % PARTS_PER_TOKEN
}
