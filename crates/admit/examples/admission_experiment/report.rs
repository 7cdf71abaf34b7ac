//! Results of a run as lines of JSON.

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
        let histogram = || Histogram::new(3).expect("3 significant digits are valid");
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

    fn slowdown(&self, off: &Self) -> Value {
        json!({
            "first_token": ratios(&self.first, &off.first),
            "between_tokens": ratios(&self.between, &off.between),
        })
    }
}

/// Output of engines that run only batch.
pub(crate) struct BatchOnly {
    pub(crate) cost: Cost,
    pub(crate) batch_tokens: f64,
    /// Engine time, summed over all engines.
    pub(crate) engine_micros: f64,
}

/// Results of a run.
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
    /// Slots without an online request, integrated over time.
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

    /// Prints one line: the results, and their ratios to the same run without batch.
    ///
    /// The idle capacity is the number of batch tokens that engines running only batch produce in
    /// the engine time left over by the online requests of the run without batch. The idle slots
    /// are the slots without an online request in the run without batch, at the rate of one slot of
    /// an engine running only batch. No policy reaches all of them, because online streams hold
    /// their slots longer once the others are filled.
    pub(crate) fn print(&self, name: &str, off: &Self, batch_only: &BatchOnly) {
        let online_micros = off.online_tokens as f64 * batch_only.cost.per_token()
            + off.online_prompt_tokens as f64 * batch_only.cost.per_prompt_token as f64;
        let idle_micros = batch_only.engine_micros - online_micros;
        let idle_capacity = batch_only.batch_tokens * idle_micros / batch_only.engine_micros;
        let slot_rate = batch_only.batch_tokens / batch_only.engine_micros / f64::from(SLOTS);
        let idle_slots = off.idle_slot_micros as f64 * slot_rate;
        let line = json!({
            "engine": batch_only.cost.name,
            "name": name,
            "all": self.all.json(),
            "quiet": self.quiet.json(),
            "burst": self.burst.json(),
            "harm": self.all.slowdown(&off.all),
            "harm_quiet": self.quiet.slowdown(&off.quiet),
            "harm_burst": self.burst.slowdown(&off.burst),
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
