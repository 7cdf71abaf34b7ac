//! Tests of the replicated state machine.

mod codec;
mod common;
mod configuration;
mod exactly_once;
mod jobs;
mod keys;
mod orders;
mod replicas;
mod session;
