//! Tests of the admit crate, one file per topic.

mod batch;
mod breaker;
mod fairness;
mod owner;
mod queue;
mod random;
mod retry;
mod support;
