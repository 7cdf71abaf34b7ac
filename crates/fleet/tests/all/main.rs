//! Tests of the fleet crate, one file per topic.

mod failures;
mod membership;
mod net;
mod owner_watch;
mod owners;
mod targets;
