//! Quarantine of prompt parts that crash targets.
//!
//! A target may crash as soon as it begins to answer a request whose prompt has a certain part. Sent to
//! one target after the other, a few such requests take a whole service down. A part that was there in
//! several crashes, one after the other, without a response to any request with it in between, is
//! quarantined: requests with it are refused before they reach a target.
//!
//! Entries report requests that a crash cut off before their first event to the leader, which decides
//! ([`QuarantineManager`]), sends the result to all instances ([`PartGuard`]), and records it in the
//! replicated log. An entry without a leader decides by what it sees itself.
//!
//! # Invariants
//!
//! - A request that a target has begun to answer clears its parts of the crashes before.
//! - A crash counts against a part only if the request was sent after the last crash that counts, so
//!   that simultaneous crashes count once.
//! - One request with a quarantined part reaches a target in each trial period, and none besides, once
//!   all instances know of the quarantine.

mod evidence;
mod feature;
mod guard;
mod manager;

pub use evidence::{
    CrashEvidence,
    CrashReport, //
};
pub use feature::Feature;
pub use guard::{
    Admission,
    PartGuard, //
};
pub use manager::{
    PartList,
    QuarantineManager,
    QuarantinedPart, //
};
