//! Tests of the fakes, one file a topic.

mod engine;
mod relay;
mod service;
