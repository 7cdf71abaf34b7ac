//! Protocol messages between daemons.
//!
//! `cargo run -p yuccaseam-wire --example generate` generates the modules under `generated` from
//! the files in `proto`. They are committed, so that the build needs no generator, and a test
//! checks that they are up to date.

/// Permit messages between an entry and the owner of a target.
#[allow(missing_docs, unreachable_pub, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/yuccaseam.admission.v1.rs"]
pub mod admission;

/// Messages of the replicated log.
#[allow(missing_docs, unreachable_pub, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/yuccaseam.consensus.v1.rs"]
pub mod consensus;

/// Instance membership and target records.
#[allow(missing_docs, unreachable_pub, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/yuccaseam.fleet.v1.rs"]
pub mod fleet;

/// Messages between entries and stores on the users' platform.
#[allow(missing_docs, unreachable_pub, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/yuccaseam.hub.v1.rs"]
pub mod hub;

/// Proposals, reads, blobs and configuration.
#[allow(missing_docs, unreachable_pub, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/yuccaseam.store.v1.rs"]
pub mod store;
