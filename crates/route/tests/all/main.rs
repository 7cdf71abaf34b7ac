//! Tests of routing, one file a topic.

mod affinity;
mod herding;
mod link;
mod liveness;
mod support;
