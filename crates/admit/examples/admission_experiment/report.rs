//! Figures of a run, as lines of JSON.

use hdrhistogram::Histogram;
use serde_json::{
    Value,
    json, //
};

use crate::engine::{
    Cost,
    Micros,
    SLOTS, //
};

const QUANTILES: [(&str, f64); 3] = [("p50", 0.50), ("p95", 0.95), ("p99", 0.99)];

/// Latencies of online requests, in microseconds.
pub(crate) struct Latency {
    pub(crate) first: Histogram<u64>,
    pub(crate) between: Histogram<u64>,
}

impl Latency {
    pub(crate) fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            first: histogram(),
            between: histogram(),
        }
    }

    fn json(&self) -> Value {
        json!({
            "n": self.first.len(),
            "first_token_ms": quantiles(&self.first),
            "between_tokens_ms": quantiles(&self.between),
        })
    }

    fn harm(&self, off: &Self) -> Value {
        json!({
            "first_token": ratios(&self.first, &off.first),
            "between_tokens": ratios(&self.between, &off.between),
        })
    }
}

/// What engines that run batch alone give.
pub(crate) struct Full {
    pub(crate) cost: Cost,
    pub(crate) batch_tokens: f64,
    /// The time of all engines together.
    pub(crate) engine_micros: f64,
}

/// All figures of a run.
pub(crate) struct Figures {
    pub(crate) all: Latency,
    pub(crate) quiet: Latency,
    pub(crate) burst: Latency,
    pub(crate) refused: u64,
    pub(crate) retried: u64,
    pub(crate) online_tokens: u64,
    pub(crate) online_prompt_tokens: u64,
    pub(crate) batch_tokens: u64,
    pub(crate) recomputed_tokens: u64,
    pub(crate) pauses: u64,
    pub(crate) messages: u64,
    pub(crate) relayed_tokens: u64,
    /// Slots that no online request held, summed over time.
    pub(crate) idle_slot_micros: u64,
}

impl Figures {
    pub(crate) fn new() -> Self {
        Self {
            all: Latency::new(),
            quiet: Latency::new(),
            burst: Latency::new(),
            refused: 0,
            retried: 0,
            online_tokens: 0,
            online_prompt_tokens: 0,
            batch_tokens: 0,
            recomputed_tokens: 0,
            pauses: 0,
            messages: 0,
            relayed_tokens: 0,
            idle_slot_micros: 0,
        }
    }

    pub(crate) fn latency(&mut self, burst: bool) -> [&mut Latency; 2] {
        let part = if burst {
            &mut self.burst
        } else {
            &mut self.quiet
        };
        [&mut self.all, part]
    }

    /// One line: the figures, and how they compare with the same run without batch.
    ///
    /// The idle capacity is the batch tokens of engines that run batch alone, for the engine time
    /// that the online requests of the run without batch leave over. The idle slots are the slots
    /// of the run without batch that no online request held, at the rate of a slot of an engine
    /// that runs batch alone; no policy reaches them all, because online streams hold their slots
    /// longer once the others are filled.
    pub(crate) fn print(&self, name: &str, off: &Self, full: &Full) {
        let online_micros = off.online_tokens as f64 * full.cost.per_token()
            + off.online_prompt_tokens as f64 * full.cost.per_prompt_token as f64;
        let idle_micros = full.engine_micros - online_micros;
        let idle_capacity = full.batch_tokens * idle_micros / full.engine_micros;
        let slot_rate = full.batch_tokens / full.engine_micros / f64::from(SLOTS);
        let idle_slots = off.idle_slot_micros as f64 * slot_rate;
        let line = json!({
            "engine": full.cost.name,
            "name": name,
            "all": self.all.json(),
            "quiet": self.quiet.json(),
            "burst": self.burst.json(),
            "harm": self.all.harm(&off.all),
            "harm_quiet": self.quiet.harm(&off.quiet),
            "harm_burst": self.burst.harm(&off.burst),
            "refused": self.refused,
            "retried": self.retried,
            "batch_tokens": self.batch_tokens,
            "batch_of_idle_capacity": round(self.batch_tokens as f64 / idle_capacity),
            "batch_of_idle_slots": round(self.batch_tokens as f64 / idle_slots),
            "recomputed_tokens": self.recomputed_tokens,
            "pauses": self.pauses,
            "messages": self.messages,
            "relayed_tokens": self.relayed_tokens,
        });
        println!("{line}");
    }
}

fn quantiles(histogram: &Histogram<Micros>) -> Value {
    let value = |q| round(histogram.value_at_quantile(q) as f64 / 1_000.0);
    QUANTILES
        .iter()
        .map(|(name, q)| (name.to_string(), json!(value(*q))))
        .collect()
}

fn ratios(on: &Histogram<Micros>, off: &Histogram<Micros>) -> Value {
    let ratio = |q| on.value_at_quantile(q) as f64 / off.value_at_quantile(q) as f64;
    QUANTILES
        .iter()
        .map(|(name, q)| (name.to_string(), json!(round(ratio(*q)))))
        .collect()
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
