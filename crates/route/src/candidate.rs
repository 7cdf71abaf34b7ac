//! Last known state of a target.

use yuccaseam_base::{
    Millis,
    entity_key,
    key,
    value, //
};

entity_key! {
    /// A target, by the key under which the entry interned its name.
    pub struct Target;
}

entity_key! {
    /// A model or plain service, by the key under which the entry interned its name.
    pub struct Model;
}

entity_key! {
    /// A region, by the key under which the entry interned its name.
    pub struct RegionKey;
}

entity_key! {
    /// A failure domain, by the key under which the entry interned its name.
    pub struct Domain;
}

/// Location of an instance or a target.
#[key]
pub struct Location {
    /// Region.
    pub region: RegionKey,
    /// Failure domain within the region.
    pub domain: Domain,
}

/// Whether a target can be chosen for new work.
#[key]
pub enum Liveness {
    /// Responsive.
    Live,
    /// Unresponsive: chosen only if no live target is available.
    Suspect,
    /// Draining: not chosen.
    Leaving,
}

/// State of this entry's circuit breaker for a target.
#[key]
pub enum Circuit {
    /// All calls are allowed.
    Closed,
    /// A trial call is allowed.
    HalfOpen,
    /// No call is allowed.
    Open,
}

/// Online load of a target, as last reported by its owner.
#[value]
#[derive(Copy)]
pub struct ReportedLoad {
    /// Number of online requests that hold a slot or wait for one.
    pub busy: u32,
    /// Time since the load was measured.
    pub age: Millis,
}

/// Last known state of a target.
#[value]
#[derive(Copy)]
pub struct Candidate {
    /// Key of the target.
    pub target: Target,
    /// Model or service that it serves.
    pub model: Model,
    /// Location.
    pub location: Location,
    /// Whether it can be chosen for new work.
    pub liveness: Liveness,
    /// State of this entry's circuit breaker for the target.
    pub circuit: Circuit,
    /// Number of slots.
    pub slots: u32,
    /// Load, if it was reported since the last update.
    pub load: Option<ReportedLoad>,
}
