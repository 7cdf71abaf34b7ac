//! Selection of a target for a request by load, prefix affinity, location and link budgets.
//!
//! A [`Router`] runs at each entry. Its view of the targets is stale and incomplete. For a
//! [`Request`] it returns an ordered list of targets, from whose owners the entry requests a permit
//! in turn. It does no I/O, reads no clock, and uses a seeded random generator.

mod affinity;
mod candidate;
mod link;
mod load;
mod request;
mod router;

pub use affinity::{BLOCK_TOKENS, prefix_chain};
pub use candidate::{
    Candidate, Circuit, Domain, Liveness, Location, Model, RegionKey, ReportedLoad, Target,
};
pub use link::LinkSettings;
pub use request::{Choice, ChoiceReason, Request, Traffic};
pub use router::{Router, Settings};
