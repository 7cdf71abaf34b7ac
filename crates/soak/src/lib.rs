//! Randomized soak test: runs the real programs as processes, injects faults from outside, and checks
//! the system's guarantees from what callers and targets observe.
//!
//! A seed determines the schedule of faults. Callers react to responses, so two runs of a seed are
//! similar but not identical.

mod callers;
mod cluster;
mod ledger;
mod prompts;
mod quarantine;
mod run;
mod schedule;

pub use quarantine::{
    InstanceFault,
    late_requests, //
};
pub use run::{
    Config,
    Report,
    run, //
};
pub use schedule::{
    Fault,
    Step,
    schedule, //
};
