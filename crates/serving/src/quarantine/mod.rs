//! Quarantine of requests that crash targets.
//!
//! A target may crash, at any moment, under the answer to a request with a certain [`Feature`]: a part of the
//! prompt, or all of a request that callers repeat. Sent to one target after the other, a few such requests
//! take a whole service down. A feature that was there in several crashes, one after the other, without a
//! whole answer to any request with it in between, is quarantined: requests with it are refused before they
//! reach a target.
//!
//! Entries report requests that a crash cut off to the leader, which decides ([`QuarantineManager`]), sends the
//! result to all instances ([`FeatureGuard`]), and records it in the replicated log. An entry without a leader
//! decides by what it sees itself.
//!
//! # Invariants
//!
//! - Only a whole answer of one target clears the features of its request of the crashes before: the target
//!   may crash until the answer ends.
//! - Simultaneous crashes count once. Crashes under requests that were in flight together count for less than
//!   those under requests that were sent one after the other.
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
