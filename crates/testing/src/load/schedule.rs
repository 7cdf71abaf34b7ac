//! Arrivals that don't wait for answers: a Poisson process in each phase, from a seed.

use std::time::Duration;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// How many teams ask. The prompts of a team begin alike.
const TEAMS: u32 = 24;

/// How many words begin each prompt of a team.
const SHARED_WORDS: usize = 96;

/// A time with one rate of arrivals.
#[derive(Clone, Debug)]
pub struct LoadPhase {
    /// The name under which its figures are reported.
    pub name: String,
    /// How long it lasts.
    pub length: Duration,
    /// Arrivals a second.
    pub rate: f64,
}

/// Phases, one after another.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// From this every arrival follows.
    pub seed: u64,
    /// The phases in their order.
    pub phases: Vec<LoadPhase>,
    /// The longest answer, in tokens; the shortest is a quarter of it.
    pub tokens: u32,
}

/// One online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it arrives, from the start of the schedule.
    pub at: Duration,
    /// The index of its phase.
    pub phase: usize,
    /// The team that asks.
    pub team: u32,
    /// What it asks.
    pub prompt: String,
    /// How many tokens it wants.
    pub tokens: u32,
}

impl Schedule {
    /// Every arrival, in the order of time.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        let mut begin = Duration::ZERO;
        for (index, phase) in self.phases.iter().enumerate() {
            let end = begin + phase.length;
            let mut at = begin + gap(&mut rng, phase.rate);
            while at < end {
                let team = rng.random_range(0..TEAMS);
                arrivals.push(Arrival {
                    at,
                    phase: index,
                    team,
                    prompt: team_prompt(team, rng.random()),
                    tokens: rng.random_range(self.tokens.div_ceil(4)..=self.tokens),
                });
                at += gap(&mut rng, phase.rate);
            }
            begin = end;
        }
        arrivals
    }

    /// How long all phases last.
    pub fn length(&self) -> Duration {
        self.phases.iter().map(|phase| phase.length).sum()
    }
}

/// A prompt that begins as every other one of its team.
pub fn team_prompt(team: u32, number: u64) -> String {
    let mut prompt = String::new();
    for word in 0..SHARED_WORDS {
        prompt.push_str(&format!("t{team}w{word} "));
    }
    prompt.push_str(&format!("question {number:016x}"));
    prompt
}

/// A time between two arrivals of a Poisson process.
fn gap(rng: &mut ChaCha8Rng, rate: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate.max(f64::MIN_POSITIVE)).min(MAX_GAP)
}

/// Longer than any schedule.
const MAX_GAP: Duration = Duration::from_secs(1_000_000);
