//! Waiting on conditions.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// How long a condition may take before a test gives up.
const BOUND: Duration = Duration::from_secs(60);

/// How often a condition is checked.
const POLL: Duration = Duration::from_millis(10);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics, naming the condition, if it doesn't hold within a minute.
#[track_caller]
pub fn wait_until<C>(what: &str, mut condition: C)
where
    C: FnMut() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < BOUND, "gave up waiting until {what}");
        thread::sleep(POLL);
    }
}
