//! What an entry knows of a target.

use yuccaseam_base::{
    Millis,
    entity_key,
    key,
    value, //
};

entity_key! {
    /// A target, as the entry has interned its name.
    pub struct Target;
}

entity_key! {
    /// A model or plain service, as the entry has interned its name.
    pub struct Model;
}

entity_key! {
    /// A region, as the entry has interned its name.
    pub struct Zone;
}

entity_key! {
    /// A failure domain, as the entry has interned its name.
    pub struct Domain;
}

/// Where a machine stands.
#[key]
pub struct Place {
    /// The region.
    pub region: Zone,
    /// The failure domain in it.
    pub domain: Domain,
}

/// Whether a target may get new work.
#[key]
pub enum Liveness {
    /// It answers.
    Live,
    /// It did not answer lately: it is asked only when no live one is left.
    Suspect,
    /// It leaves, and gets nothing new.
    Leaving,
}

/// The state of the circuit breaker of a target at this entry.
#[key]
pub enum Circuit {
    /// Calls pass.
    Closed,
    /// A trial call may pass.
    HalfOpen,
    /// No call passes.
    Open,
}

/// The online load of a target, as its owner reported it some time ago.
#[value]
#[derive(Copy)]
pub struct ReportedLoad {
    /// Online requests that hold a slot or wait for one.
    pub busy: u32,
    /// How long ago this was true.
    pub age: Millis,
}

/// What an entry knows of a target.
#[value]
#[derive(Copy)]
pub struct Candidate {
    /// The target.
    pub target: Target,
    /// What it serves.
    pub model: Model,
    /// Where it stands.
    pub place: Place,
    /// Whether it may get new work.
    pub liveness: Liveness,
    /// The state of its circuit breaker at this entry.
    pub circuit: Circuit,
    /// Its slots.
    pub slots: u32,
    /// Its load, if there is a newer report of it.
    pub load: Option<ReportedLoad>,
}
