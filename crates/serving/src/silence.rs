//! What to do while a target sends nothing.
//!
//! A sound target may pause for about a second. Its connection is the only one that can complete a
//! response which has begun, so it is kept until another target has taken over or the deadline has
//! passed.

use yuccaseam_base::{
    Millis,
    value, //
};

/// Time without progress after which a request is moved to another target with a free slot: longer
/// than the pauses of sound targets, and shorter than the 2 s after which callers abandon a stream.
pub const STALL_TIMEOUT: Millis = Millis(1_500);
/// Share of the time until the deadline within which a request is moved, in percent. The rest is for
/// the other target.
const MAX_STALL_PERCENT: u64 = 75;
/// Shortest time without progress after which a request is moved: what is left of its time is not worth a
/// second run then.
const MIN_STALL_TIMEOUT: Millis = Millis(600);
/// Delay until another target is looked for again.
const SEARCH_INTERVAL: Millis = Millis(100);

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceStep {
    /// Wait on.
    Wait,
    /// Report the target as unresponsive.
    Suspect,
    /// Move the request to another target, if one has a free slot.
    Move,
    /// End the request: its deadline has passed.
    End,
}

/// Limits on the silence of a target.
#[value]
#[derive(Copy)]
pub struct SilenceLimits {
    /// Time without progress after which the target is suspected.
    pub suspicion: Millis,
    /// Whether another target may take over.
    pub can_move: bool,
    /// Deadline of the request.
    pub deadline: Millis,
}

/// Tracks the silence of the target of one request.
#[derive(Debug)]
pub struct Silence {
    limits: SilenceLimits,
    /// Time without progress after which the request is moved.
    stall: Millis,
    /// `None` once the target is suspected.
    suspect_at: Option<Millis>,
    /// `None` if no other target may take over.
    move_at: Option<Millis>,
}

impl Silence {
    /// Starts when the request is sent.
    pub fn new(limits: SilenceLimits, now: Millis) -> Self {
        let time_left = limits.deadline - now;
        let max_stall = Millis(time_left.0 * MAX_STALL_PERCENT / 100);
        let mut silence = Self {
            limits,
            stall: max_stall.max(MIN_STALL_TIMEOUT).min(STALL_TIMEOUT),
            suspect_at: None,
            move_at: None,
        };
        silence.record_progress(now);
        silence
    }

    /// Records that the target has made progress.
    pub fn record_progress(&mut self, now: Millis) {
        self.suspect_at = Some(now + self.limits.suspicion);
        self.move_at = self.limits.can_move.then_some(now + self.stall);
    }

    /// When to call [`Silence::step`], if the target sends nothing until then.
    pub fn next_step_at(&self) -> Millis {
        let steps = [self.suspect_at, self.move_at];
        let next = steps.into_iter().flatten().min();
        next.map_or(self.limits.deadline, |next| next.min(self.limits.deadline))
    }

    /// Decides what to do now.
    pub fn step(&mut self, now: Millis) -> SilenceStep {
        if now >= self.limits.deadline {
            return SilenceStep::End;
        }
        if self.suspect_at.is_some_and(|at| now >= at) {
            self.suspect_at = None;
            return SilenceStep::Suspect;
        }
        if self.move_at.is_some_and(|at| now >= at) {
            self.move_at = Some(now + SEARCH_INTERVAL);
            return SilenceStep::Move;
        }
        SilenceStep::Wait
    }
}
