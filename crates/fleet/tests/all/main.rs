//! Tests of the fleet crate, one file a topic.

mod failures;
mod membership;
mod net;
mod owners;
mod targets;
