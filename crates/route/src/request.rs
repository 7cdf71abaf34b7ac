//! What a request asks of the router, and the answer.

use yuccaseam_base::{
    key,
    value, //
};

use crate::candidate::{
    Model,
    Target, //
};

/// Whether a request is online or batch.
#[key]
pub enum Traffic {
    /// A caller waits.
    Online,
    /// An item of a job.
    Batch {
        /// Whether the job allows its payloads to leave the region.
        may_leave: bool,
    },
}

/// A request that needs a target.
#[value]
#[derive(Copy)]
pub struct Request<'a> {
    /// What must serve it.
    pub model: Model,
    /// The hashes of its prompt's prefixes, shortest first.
    pub prefix: &'a [u64],
    /// Whether it is online or batch.
    pub traffic: Traffic,
    /// The bytes of the prompt and the expected answer.
    pub bytes: u32,
}

/// Why a target was chosen.
#[key]
pub enum Why {
    /// It has the least load of those drawn.
    Load,
    /// It may hold a prefix of the prompt.
    Affinity,
    /// This region has no target with room.
    Spill,
    /// Only suspect targets are left.
    LastResort,
}

/// A target to ask, and why.
#[key]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// Why.
    pub why: Why,
}
