//! Protocol messages between daemons.
//!
//! The modules under `generated` are written by `cargo run -p yuccaseam-wire --example generate`
//! from the files in `proto` and are committed, so that the build needs no generator. A test
//! checks that the committed code is what the tool writes.

/// Permits between an entry and the owner of a target.
#[allow(missing_docs, unreachable_pub, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/yuccaseam.admission.v1.rs"]
pub mod admission;

/// Messages of the replicated log.
#[allow(missing_docs, unreachable_pub, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/yuccaseam.consensus.v1.rs"]
pub mod consensus;

/// Membership of instances and knowledge of targets.
#[allow(missing_docs, unreachable_pub, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/yuccaseam.fleet.v1.rs"]
pub mod fleet;

/// Between entries and stores on the users' platform.
#[allow(missing_docs, unreachable_pub, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/yuccaseam.hub.v1.rs"]
pub mod hub;

/// Proposals, reads, blobs and configuration.
#[allow(missing_docs, unreachable_pub, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/yuccaseam.store.v1.rs"]
pub mod store;
