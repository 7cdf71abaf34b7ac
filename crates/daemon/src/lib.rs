//! The daemon that every instance runs.
//!
//! The process serves callers and operators over HTTP, calls targets over HTTP, and calls the other
//! daemons over `tonic`. The crates that make decisions do no I/O: this crate passes them events
//! and the time, and executes their actions.
//!
//! # Threads
//!
//! - one thread accepts HTTP connections, and one thread serves each request;
//! - the `tokio` runtime runs the calls between daemons and nothing else;
//! - background threads keep the configuration and the view of targets current.
//!
//! # Invariants
//!
//! - A request is refused as "not run" only if no byte of it reached a target connection.
//! - A job, a claim or a configuration is acknowledged only after a majority has synced it.
//! - The revision of the configuration that an instance runs never decreases.

mod admin;
mod admission;
mod context;
mod entry;
mod fleet;
mod health;
mod http;
mod instances;
mod jobs;
mod logging;
mod maintenance;
mod orders;
mod peers;
mod replica;
mod run;
mod settings;
mod store;
mod telemetry;
mod upstream;

pub use run::run;
