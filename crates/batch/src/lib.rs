//! Batch runner of one target, at the daemon that owns the target.
//!
//! A [`Runner`] leases chunks ahead of need, so that a free slot is refilled immediately, collects
//! results into blobs, retries, pauses and resumes items, and isolates items that kill their
//! target. It is sans-I/O: it takes an [`Event`] and the current time and returns [`Action`]s. The
//! target's gate in `yuccaseam-admit` decides when items start and pause.

mod event;
mod held;
mod results;
mod runner;
mod settings;

pub use event::{
    Action,
    Event,
    Failure,
    ItemRef, //
};
pub use runner::{
    Counts,
    Runner, //
};
pub use settings::Settings;
