//! One emulated worker of a model engine.

mod answers;
mod batching;
mod cache;
mod config;
mod front;

pub use config::EngineConfig;
pub use front::Engine;
