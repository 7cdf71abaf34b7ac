//! Open-loop arrivals generated from a seed, alternating between quiet periods and bursts.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use crate::engine::Micros;

pub(crate) const ENTRIES: usize = 6;
pub(crate) const TARGETS: usize = 8;
pub(crate) const TEAMS: usize = 40;

const SECOND: Micros = 1_000_000;
const QUIET: Micros = 20 * SECOND;
const BURST: Micros = 5 * SECOND;

/// Parameters of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    pub(crate) length: Micros,
    /// Mean online requests per second and target in quiet periods.
    pub(crate) quiet_rate: f64,
    /// Mean online requests per second and target in bursts.
    pub(crate) burst_rate: f64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Micros,
    pub(crate) entry: usize,
    pub(crate) team: usize,
    pub(crate) prompt: u32,
    pub(crate) answer: u32,
    pub(crate) burst: bool,
}

/// Generates all arrivals of a run, in order.
pub(crate) fn arrivals(load: Load) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let mut arrivals = Vec::new();
    let mut at = 0;
    loop {
        let burst = at % (QUIET + BURST) >= QUIET;
        let rate = if burst {
            load.burst_rate
        } else {
            load.quiet_rate
        };
        let gap = -(1.0 - rng.random::<f64>()).ln() / (rate * TARGETS as f64);
        at += (gap * SECOND as f64) as Micros + 1;
        if at >= load.length {
            return arrivals;
        }
        let long = rng.random_bool(0.05);
        arrivals.push(Arrival {
            at,
            entry: rng.random_range(0..ENTRIES),
            team: rng.random_range(0..TEAMS),
            prompt: if long {
                rng.random_range(2_000..6_000)
            } else {
                rng.random_range(50..500)
            },
            answer: rng.random_range(40..200),
            burst: at % (QUIET + BURST) >= QUIET,
        });
    }
}
