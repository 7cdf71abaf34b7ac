//! Batch work sent straight to targets: the baseline, in which nothing yields.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Instant,
};

use serde::Serialize;
use serde_json::json;

use super::schedule::team_prompt;
use crate::{
    caller::Caller,
    text::answer, //
};

/// The team whose prompts the items have; no online request is of it.
const TEAM: u32 = 1_000;

/// Closed-loop callers, a number of them for each address, that run until they are stopped.
#[derive(Debug)]
pub struct Steady {
    counts: Arc<Counts>,
    threads: Vec<JoinHandle<()>>,
    start: Instant,
}

#[derive(Debug, Default)]
struct Counts {
    stop: AtomicBool,
    next: AtomicU64,
    whole: AtomicU64,
    failed: AtomicU64,
    tokens: AtomicU64,
}

/// What the callers got.
#[derive(Clone, Debug, Serialize)]
pub struct SteadyReport {
    /// Whole answers.
    pub whole: u64,
    /// Answers that were wrong, cut or refused.
    pub failed: u64,
    /// Tokens of the whole answers.
    pub tokens: u64,
    /// Tokens a second.
    pub tokens_per_second: f64,
}

impl Steady {
    /// Starts the callers, `each` for every address.
    pub fn start(callers: &[Caller], each: usize, model: &str, tokens: u32) -> Self {
        let counts = Arc::new(Counts::default());
        let mut threads = Vec::new();
        for caller in callers {
            for _ in 0..each {
                let (caller, counts) = (caller.clone(), Arc::clone(&counts));
                let model = model.to_owned();
                threads.push(thread::spawn(move || {
                    while !counts.stop.load(Ordering::Relaxed) {
                        counts.run_item(&caller, &model, tokens);
                    }
                }));
            }
        }
        let start = Instant::now();
        Self {
            counts,
            threads,
            start,
        }
    }

    /// Stops the callers after the items that they run, which count no more.
    ///
    /// # Panics
    ///
    /// Panics if a caller did.
    pub fn stop(self) -> SteadyReport {
        let elapsed = self.start.elapsed();
        let tokens = self.counts.tokens.load(Ordering::Relaxed);
        let whole = self.counts.whole.load(Ordering::Relaxed);
        self.counts.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("callers don't panic");
        }
        SteadyReport {
            whole,
            failed: self.counts.failed.load(Ordering::Relaxed),
            tokens,
            tokens_per_second: tokens as f64 / elapsed.as_secs_f64(),
        }
    }
}

impl Counts {
    fn run_item(&self, caller: &Caller, model: &str, tokens: u32) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let prompt = team_prompt(TEAM, number);
        let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens});
        let sent = caller.post("/v1/completions", &body);
        let expected = answer(&prompt, 0, tokens);
        if sent.is_ok_and(|got| got.json()["choices"][0]["text"] == expected) {
            self.whole.fetch_add(1, Ordering::Relaxed);
            self.tokens.fetch_add(u64::from(tokens), Ordering::Relaxed);
        } else {
            self.failed.fetch_add(1, Ordering::Relaxed);
        }
    }
}
