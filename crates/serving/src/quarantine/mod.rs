//! Quarantine of requests that crash targets.
//!
//! A target may crash as soon as it begins to answer a request with a certain [`Feature`]: a part of the
//! prompt, or all of a request that callers repeat. Sent to one target after the other, a few such requests
//! take a whole service down. A feature that was there in several crashes, one after the other, without a
//! response to any request with it in between, is quarantined: requests with it are refused before they reach
//! a target.
//!
//! Entries report requests that a crash cut off before or soon after their first event to the leader, which
//! decides ([`QuarantineManager`]), sends the result to all instances ([`FeatureGuard`]), and records it in the
//! replicated log. An entry without a leader decides by what it sees itself.
//!
//! # Invariants
//!
//! - A request that a target has answered, or goes on to answer some time after its first event, clears its
//!   features of the crashes before.
//! - A crash counts against a feature only if the request was sent after the last crash that counts, so
//!   that simultaneous crashes count once.
//! - One request with a quarantined feature reaches a target in each trial period, and none besides, once
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
    FeatureGuard, //
};
pub use manager::{
    FeatureList,
    QuarantineManager,
    QuarantinedFeature, //
};
