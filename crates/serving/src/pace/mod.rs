//! Pace of targets: how long work takes at each of them, compared with the usual time.
//!
//! A target reports its pace with each answer. It has a lasting part, the speed of its machine, and
//! a momentary one, which changes within a second. The pace yields the expected time to the first
//! event and to the end of a request, and the balancer compares targets by these.
//!
//! # Invariants
//!
//! - Without a reported pace, nothing is estimated, and targets are compared by their counts alone.
//! - A report shifts the estimate by no more than a bounded factor from what complete answers of the
//!   target took, and loses its momentary part as it ages.
//! - Only complete answers are measured, so that a target that fails fast does not look fast.
//! - Ages are counted by the clock of this instance.

mod average;
mod cost;
mod target_pace;
mod times;

pub use cost::PaceCost;
pub use target_pace::{
    PaceSample,
    TargetPace, //
};
pub use times::PaceTimes;

/// Pace of a target that works as usual, in percent.
pub const USUAL_PACE: u32 = 100;
