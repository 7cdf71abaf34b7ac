//! Which target serves a request: locality, prefix affinity, link budget, placement.
//!
//! A [`Router`] runs at each entry. It holds a view of the targets that is late and gappy, and
//! answers a [`Request`] with an ordered list of targets whose owners to ask. It does no I/O,
//! reads no clock, and draws its randomness from a seed.

mod affinity;
mod candidate;
mod link;
mod load;
mod request;
mod router;

pub use affinity::{BLOCK_TOKENS, prefix_chain};
pub use candidate::{
    Candidate, Circuit, Domain, Liveness, Model, Place, ReportedLoad, Target, Zone,
};
pub use link::LinkSettings;
pub use request::{Choice, Request, Traffic, Why};
pub use router::{Router, Settings};
