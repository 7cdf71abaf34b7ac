//! Which targets fail, judged by what requests meet there.
//!
//! A health probe may pass at a target that fails its requests, and one that fails now and then serves
//! most of them. A single failure therefore keeps this entry away for a moment only. Several in a short
//! time, here or at neighbours, open the breaker for everyone in the neighbourhood, longer each time.
//!
//! Health is kept by name and not by start, so that a target that crashes and comes back again and again
//! is met with growing caution.

use std::collections::HashMap;

use yuccaseam_base::{
    Millis,
    TargetName, //
};

/// How long one failure keeps this entry away: a stream takes about a second, so that others there will
/// have shown by then whether it was the only one.
const ALONE: Millis = Millis(500);
/// How long the breaker stays open the first time. Doubles each time.
const OPEN: Millis = Millis(800);
/// The longest time that it stays open: a lost target stops announcing itself by then.
const OPEN_MAX: Millis = Millis(6_400);
/// What a failure adds to a target's score. A success takes one away, so that a target which fails one
/// request in three or more is left alone in the end.
const FAILURE: u32 = 2;
/// The score at which the breaker opens: two failures without a success between them.
const LIMIT: u32 = 4;
/// Failures of neighbours come without their successes: the score halves in this time.
const HALVES: Millis = Millis(1_000);
/// How long a target must be sound until the breaker begins anew with the shortest time.
const FORGOTTEN: Millis = Millis(15_000);

#[derive(Debug, Default)]
struct Record {
    score: u32,
    scored_at: Millis,
    /// How often the breaker opened.
    opened: u32,
    avoided_until: Millis,
}

impl Record {
    fn decay(&mut self, now: Millis) {
        while self.score > 0 && now >= self.scored_at + HALVES {
            self.score /= 2;
            self.scored_at += HALVES;
        }
        if self.score == 0 {
            self.scored_at = now;
        }
    }

    fn fail(&mut self, avoided_alone: bool, now: Millis) {
        if now > self.avoided_until + FORGOTTEN {
            self.opened = 0;
        }
        self.decay(now);
        self.score += FAILURE;
        if self.score >= LIMIT {
            // Requests that were under way when the breaker opened fail later.
            if now >= self.avoided_until || self.opened == 0 {
                self.opened += 1;
            }
            let doubled = OPEN.0 << (self.opened - 1).min(8);
            self.avoid(now + Millis(doubled).min(OPEN_MAX));
        } else if avoided_alone {
            self.avoid(now + ALONE);
        }
    }

    fn avoid(&mut self, until: Millis) {
        self.avoided_until = self.avoided_until.max(until);
    }
}

/// The health of all targets, as one entry sees it.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<TargetName, Record>,
}

impl Health {
    /// A request of this entry failed at a target.
    pub fn failed(&mut self, name: &TargetName, now: Millis) {
        self.records
            .entry(name.clone())
            .or_default()
            .fail(true, now);
    }

    /// A request of a neighbour failed at a target.
    pub fn failed_at_neighbour(&mut self, name: &TargetName, now: Millis) {
        self.records
            .entry(name.clone())
            .or_default()
            .fail(false, now);
    }

    /// A request of this entry was answered properly.
    pub fn succeeded(&mut self, name: &TargetName) {
        if let Some(record) = self.records.get_mut(name) {
            record.score = record.score.saturating_sub(1);
        }
    }

    /// Whether a target is better left alone.
    pub fn is_avoided(&self, name: &TargetName, now: Millis) -> bool {
        let record = self.records.get(name);
        record.is_some_and(|record| now < record.avoided_until)
    }

    /// Forgets targets that have been sound for long.
    pub fn expire(&mut self, now: Millis) {
        self.records
            .retain(|_, record| now <= record.avoided_until + FORGOTTEN);
    }
}
