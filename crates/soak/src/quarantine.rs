//! Checks that requests with a part that crashes targets stop reaching them.

use std::time::{
    Duration,
    Instant, //
};

use yuccaseam_testing::platform::{
    Crash,
    Run, //
};

/// Crashes under a part after which requests with it count.
const MAX_CRASHES: usize = 5;
/// Time after the last of these crashes, and after a fault of an instance, from which requests count.
pub(crate) const REACTION_TIME: Duration = Duration::from_secs(4);
/// Requests with the part that may reach targets from then on.
const MAX_LATE_REQUESTS: usize = 3;

/// Period in which an instance was killed, stopped, suspended or impaired.
#[derive(Clone, Copy, Debug)]
pub struct InstanceFault {
    /// When it began.
    pub from: Instant,
    /// When it was reverted.
    pub until: Instant,
}

impl InstanceFault {
    /// Whether the instance may not have recovered from it at a time.
    fn excuses(&self, at: Instant) -> bool {
        self.from <= at && at < self.until + REACTION_TIME
    }
}

/// When the system must have reacted to a part: some time after the fifth crash, or after the last one
/// if there were fewer. `None` if there was no crash.
pub(crate) fn reaction_deadline(crashes: &[Crash], part: &str) -> Option<Instant> {
    let mut times: Vec<_> = times_under(crashes, part);
    times.truncate(MAX_CRASHES);
    Some(*times.last()? + REACTION_TIME)
}

/// Describes the violation by requests with a part, if there were too many. `runs` are those of requests
/// with the part.
pub fn late_requests(
    part: &str,
    crashes: &[Crash],
    runs: &[&Run],
    faults: &[InstanceFault],
) -> Option<String> {
    let fifth = *times_under(crashes, part).get(MAX_CRASHES - 1)?;
    let is_late = |run: &&&Run| {
        run.at > fifth + REACTION_TIME && !faults.iter().any(|fault| fault.excuses(run.at))
    };
    let late: Vec<_> = runs.iter().filter(is_late).map(|run| &run.id).collect();
    (late.len() > MAX_LATE_REQUESTS).then(|| {
        format!(
            "{} requests with part {part} reached targets after its fifth crash: {late:?}",
            late.len()
        )
    })
}

/// Times of the crashes under a part, in order.
fn times_under(crashes: &[Crash], part: &str) -> Vec<Instant> {
    let under_part = crashes.iter().filter(|crash| crash.cause == part);
    let mut times: Vec<_> = under_part.map(|crash| crash.at).collect();
    times.sort_unstable();
    times
}
