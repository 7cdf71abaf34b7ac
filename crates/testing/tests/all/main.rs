//! Tests of the fakes, one file a topic.

mod engine;
mod load;
mod relay;
mod service;
