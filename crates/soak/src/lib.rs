//! Runs the real programs as processes, injects faults from outside, and checks the promises from
//! what callers and targets see.
//!
//! One seed makes one schedule of faults. What callers do depends on answers, so that two runs of a
//! seed are alike and not equal.

mod callers;
mod ledger;
mod run;
mod schedule;
mod world;

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
