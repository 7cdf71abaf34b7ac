//! Online requests that arrive on schedule, whether or not earlier ones were answered.

use std::{
    sync::Mutex,
    thread,
    time::Instant, //
};

use serde_json::json;

use super::{
    figures::Figures,
    schedule::{
        Arrival,
        Schedule, //
    },
};
use crate::{
    caller::Caller,
    text::answer, //
};

/// The stack of the thread of one request, in bytes.
const STACK: usize = 256 * 1024;

/// Sends each arrival of a schedule to the callers in turn. Returns the figures of each phase.
///
/// # Panics
///
/// Panics if the machine gives no more threads.
pub fn run_online(schedule: &Schedule, callers: &[Caller], model: &str) -> Vec<Figures> {
    let figures: Vec<_> = schedule.phases.iter().map(|_| Figures::new()).collect();
    let figures = Mutex::new(figures);
    let start = Instant::now();
    thread::scope(|scope| {
        for (index, arrival) in schedule.arrivals().into_iter().enumerate() {
            thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
            let caller = &callers[index % callers.len()];
            let figures = &figures;
            let request = move || {
                let expected = answer(&arrival.prompt, 0, arrival.tokens);
                let result = ask(caller, &arrival, model);
                let mut figures = figures.lock().expect("no panic while adding");
                figures[arrival.phase].add(&result, &expected);
            };
            thread::Builder::new()
                .stack_size(STACK)
                .spawn_scoped(scope, request)
                .expect("a thread can be started");
        }
    });
    figures.into_inner().expect("no panic while adding")
}

fn ask(
    caller: &Caller,
    arrival: &Arrival,
    model: &str,
) -> Result<crate::caller::Streamed, crate::caller::Broken> {
    let team = format!("team-{}", arrival.team);
    let body = json!({
        "model": model,
        "prompt": arrival.prompt,
        "max_tokens": arrival.tokens,
        "stream": true,
    });
    let caller = caller.clone().with_header("X-Yuccaseam-Team", &team);
    caller.stream("/v1/completions", &body)
}
