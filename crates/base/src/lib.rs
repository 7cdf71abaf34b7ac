//! Time, entity keys, refusals, verdicts and macros shared by all crates.
//!
//! Only [`Clock`] does I/O: it reads the monotonic clock. The sans-I/O crates (`quorum`, `state`,
//! `fleet`, `admit`, `route`, `batch`) take the time as a [`Millis`] argument and never read a
//! clock, so that a test can replay them from a seed.

mod arena;
mod cases;
mod machine;
mod millis;
mod place;
mod refusal;
mod verdict;

pub use arena::{EntityKey, PrimaryMap};
pub use machine::Machine;
pub use millis::{Clock, Millis};
pub use place::{FailureDomain, InstanceName, Region, TargetName, TeamName};
pub use refusal::{Reason, Refusal};
pub use verdict::Verdict;
pub use yuccaseam_derive::{key, record, value};

#[doc(hidden)]
pub use serde;
