//! Health of targets, derived from the outcomes of requests.
//!
//! A health probe may pass at a target that fails its requests, and a target that fails
//! occasionally still serves most of them. A single failure therefore causes only a short cool-down
//! at this entry. Several failures within a short time, here or at neighbours, open the circuit
//! breaker for the whole neighbourhood, for longer each time. When it closes, the target is tried with
//! one request at a time first.
//!
//! Health is tracked by name and not by start, so that a target in a crash loop is avoided for
//! longer each time.

use std::collections::HashMap;

use yuccaseam_base::{
    Millis,
    TargetName, //
};

/// Cool-down after a single failure, at this entry only. A stream takes about a second, so others
/// at the target will have shown by then whether it was the only one.
const SINGLE_FAILURE_COOLDOWN: Millis = Millis(500);
/// Time for which the breaker opens at first. Doubles each time.
const MIN_BREAKER_COOLDOWN: Millis = Millis(800);
/// Longest time for which the breaker opens. A lost target stops announcing itself by then.
const MAX_BREAKER_COOLDOWN: Millis = Millis(6_400);
/// Score added by a failure. A success subtracts one, so a target that fails one request in three
/// or more is avoided in the end.
const FAILURE_SCORE: u32 = 2;
/// Score at which the breaker opens: two failures without a success between them.
const BREAKER_OPEN_SCORE: u32 = 4;
/// Half-life of the score. Neighbours report failures without successes, so the score must decay.
const SCORE_HALF_LIFE: Millis = Millis(1_000);
/// Time after the breaker closes in which a target gets one request at a time. Long enough for a
/// request without a response to be noticed.
const PROBATION_PERIOD: Millis = Millis(1_000);
/// Time without avoidance after which the breaker starts again with the shortest time.
const FAILURE_RETENTION: Millis = Millis(15_000);

#[derive(Debug, Default)]
struct TargetHealth {
    score: u32,
    scored_at: Millis,
    /// Number of times that the breaker has opened.
    open_count: u32,
    avoided_until: Millis,
}

impl TargetHealth {
    fn decay(&mut self, now: Millis) {
        while self.score > 0 && now >= self.scored_at + SCORE_HALF_LIFE {
            self.score /= 2;
            self.scored_at += SCORE_HALF_LIFE;
        }
        if self.score == 0 {
            self.scored_at = now;
        }
    }

    fn record_failure(&mut self, avoid_on_single: bool, now: Millis) {
        if now > self.avoided_until + FAILURE_RETENTION {
            self.open_count = 0;
        }
        self.decay(now);
        self.score += FAILURE_SCORE;
        if self.score >= BREAKER_OPEN_SCORE {
            // Requests in flight when the breaker opened fail later and must not count again.
            if now >= self.avoided_until || self.open_count == 0 {
                self.open_count += 1;
            }
            let cooldown = MIN_BREAKER_COOLDOWN.0 << (self.open_count - 1).min(8);
            self.avoid(now + Millis(cooldown).min(MAX_BREAKER_COOLDOWN));
        } else if avoid_on_single {
            self.avoid(now + SINGLE_FAILURE_COOLDOWN);
        }
    }

    fn avoid(&mut self, until: Millis) {
        self.avoided_until = self.avoided_until.max(until);
    }
}

/// Health of all targets, from one entry's point of view.
#[derive(Debug, Default)]
pub struct Health {
    targets: HashMap<TargetName, TargetHealth>,
}

impl Health {
    /// Records that a request of this entry failed at a target.
    pub fn record_failure(&mut self, name: &TargetName, now: Millis) {
        self.targets
            .entry(name.clone())
            .or_default()
            .record_failure(true, now);
    }

    /// Records that a request of a neighbour failed at a target.
    pub fn record_neighbour_failure(&mut self, name: &TargetName, now: Millis) {
        self.targets
            .entry(name.clone())
            .or_default()
            .record_failure(false, now);
    }

    /// Records that a target responded properly to a request of this entry.
    pub fn record_success(&mut self, name: &TargetName) {
        if let Some(health) = self.targets.get_mut(name) {
            health.score = health.score.saturating_sub(1);
        }
    }

    /// Whether a target should be avoided.
    pub fn is_avoided(&self, name: &TargetName, now: Millis) -> bool {
        let health = self.targets.get(name);
        health.is_some_and(|health| now < health.avoided_until)
    }

    /// Whether the breaker has closed so recently that the target should get one request at a time.
    pub fn is_on_probation(&self, name: &TargetName, now: Millis) -> bool {
        let health = self.targets.get(name);
        health.is_some_and(|health| {
            health.open_count > 0
                && health.avoided_until <= now
                && now < health.avoided_until + PROBATION_PERIOD
        })
    }

    /// Removes targets that have not been avoided recently.
    pub fn expire(&mut self, now: Millis) {
        self.targets
            .retain(|_, health| now <= health.avoided_until + FAILURE_RETENTION);
    }
}
