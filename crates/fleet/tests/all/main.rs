//! Tests of the fleet crate, one file per topic.

mod failures;
mod membership;
mod net;
mod owners;
mod targets;
