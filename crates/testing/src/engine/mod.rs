//! One emulated worker of a model engine.

mod batching;
mod cache;
mod front;

pub use front::{Engine, EngineConfig};
