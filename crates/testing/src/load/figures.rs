//! What a run measured, and its JSON form.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{
    Broken,
    Streamed, //
};

/// The largest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Decimal digits that a histogram keeps.
const DIGITS: u8 = 3;

/// What came of the requests of one phase.
#[derive(Debug)]
pub struct Figures {
    first_token: Histogram<u64>,
    between: Histogram<u64>,
    total: Histogram<u64>,
    tokens: u64,
    outcomes: BTreeMap<String, u64>,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// How many samples there are.
    pub count: u64,
    /// Half of the samples are at most this.
    pub p50: f64,
    /// 95 in 100 are.
    pub p95: f64,
    /// 99 in 100 are.
    pub p99: f64,
    /// All are.
    pub max: f64,
}

/// The JSON form of [`Figures`].
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// From the request to the first token.
    pub first_token_ms: Percentiles,
    /// Between two tokens of an answer.
    pub between_tokens_ms: Percentiles,
    /// From the request to the end of the answer.
    pub total_ms: Percentiles,
    /// How many tokens came.
    pub tokens: u64,
    /// How many requests had each outcome.
    pub outcomes: BTreeMap<String, u64>,
}

impl Figures {
    /// No figures yet.
    pub fn new() -> Self {
        Self {
            first_token: histogram(),
            between: histogram(),
            total: histogram(),
            tokens: 0,
            outcomes: BTreeMap::new(),
        }
    }

    /// Adds one request: what came of it, and the text that its answer has to be.
    pub(crate) fn add(&mut self, result: &Result<Streamed, Broken>, expected: &str) {
        let outcome = outcome(result, expected);
        *self.outcomes.entry(outcome).or_default() += 1;
        let Ok(streamed) = result else {
            return;
        };
        if let Some(first) = streamed.first_token {
            add(&mut self.first_token, first);
        }
        for &between in &streamed.between {
            add(&mut self.between, between);
        }
        if streamed.done {
            add(&mut self.total, streamed.total);
        }
        self.tokens += u64::from(streamed.tokens);
    }

    /// How many requests had an outcome: `whole`, `wrong`, `cut`, `hung_up`, or the code of a
    /// refusal.
    pub fn count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }

    /// How many tokens came.
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The JSON form.
    pub fn report(&self) -> Report {
        Report {
            first_token_ms: percentiles(&self.first_token),
            between_tokens_ms: percentiles(&self.between),
            total_ms: percentiles(&self.total),
            tokens: self.tokens,
            outcomes: self.outcomes.clone(),
        }
    }
}

impl Default for Figures {
    fn default() -> Self {
        Self::new()
    }
}

fn outcome(result: &Result<Streamed, Broken>, expected: &str) -> String {
    match result {
        Err(_) => "hung_up".to_owned(),
        Ok(streamed) if streamed.done && streamed.text == expected => "whole".to_owned(),
        Ok(streamed) if streamed.done || !expected.starts_with(&streamed.text) => {
            "wrong".to_owned()
        }
        Ok(streamed) if streamed.status != 200 => {
            let error = streamed.error.as_ref();
            let code = error.and_then(|error| error["error"]["code"].as_str());
            code.unwrap_or("refused").to_owned()
        }
        Ok(_) => "cut".to_owned(),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("the bounds are valid")
}

fn add(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
    histogram.saturating_record(micros.max(1));
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    Percentiles {
        count: histogram.len(),
        p50: millis(histogram.value_at_quantile(0.50)),
        p95: millis(histogram.value_at_quantile(0.95)),
        p99: millis(histogram.value_at_quantile(0.99)),
        max: millis(histogram.max()),
    }
}
