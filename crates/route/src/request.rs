//! Routing requests and their results.

use yuccaseam_base::{
    key,
    value, //
};

use crate::candidate::{
    Model,
    Target, //
};

/// Kind of traffic that a request belongs to.
#[key]
pub enum Traffic {
    /// A caller waits for the response.
    Online,
    /// Item of a batch job.
    Batch {
        /// Whether the job allows its payloads to leave the region.
        can_leave_region: bool,
    },
}

/// Request for which a target is chosen.
#[value]
#[derive(Copy)]
pub struct Request<'a> {
    /// Model or service that has to serve it.
    pub model: Model,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefix: &'a [u64],
    /// Kind of traffic.
    pub traffic: Traffic,
    /// Size of the prompt and the expected answer, in bytes.
    pub bytes: u32,
}

/// Reason for the choice of a target.
#[key]
pub enum ChoiceReason {
    /// It was drawn at random and ranked by its load.
    Load,
    /// It may have a prefix of the prompt cached.
    Affinity,
    /// No target of the entry's region has available capacity.
    Spill,
    /// Only suspect targets are available.
    LastResort,
}

/// Chosen target.
#[key]
pub struct Choice {
    /// Key of the target.
    pub target: Target,
    /// Reason for the choice.
    pub reason: ChoiceReason,
}
