//! The batch runner of one target, at the daemon that owns the target.
//!
//! A [`Runner`] holds chunk leases, keeps items at hand so that a free slot is refilled at once,
//! gathers results into blobs, retries, pauses and resumes, and isolates items that kill their
//! target. It does no I/O and reads no clock: [`Event`]s and the time go in, [`Action`]s come out.
//! When items start and pause is decided by the target's gate in `yuccaseam-admit`.

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
