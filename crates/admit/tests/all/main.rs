//! Tests of admission, one file a topic.

mod batch;
mod breaker;
mod fairness;
mod owner;
mod queue;
mod random;
mod retry;
mod support;
