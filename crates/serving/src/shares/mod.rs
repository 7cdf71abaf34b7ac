//! Fair shares of a service's slots among teams, while callers want more than there are.
//!
//! Entries report how many requests arrive for each [`Flow`] ([`DemandMeter`]). The leader computes the
//! shares ([`ShareManager`]) and lists the flows beyond theirs, with the part that fits. Entries give the
//! requests beyond that part only slots that nobody else wants ([`ShareGuard`]). Requests that wait at one
//! entry do so in fair order ([`WaitingLine`]).
//!
//! # Invariants
//!
//! - While all demand fits, no flow is listed.
//! - A flow that asks for no more than its weighted share is never listed because of another flow of its
//!   priority.
//! - A list expires unless it is renewed, so that a lost leader leaves no restriction behind.
//! - A list binds only requests that no target may have run.

mod allocation;
mod demand;
mod guard;
mod line;
mod manager;
mod weights;

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    Millis,
    TeamName,
    record, //
};

pub use allocation::{
    FlowDemand,
    allocate, //
};
pub use demand::DemandMeter;
pub use guard::{
    ShareGuard,
    Standing,
    decide_beyond_share,
    has_turn, //
};
pub use line::{
    WaiterId,
    WaitingLine, //
};
pub use manager::{
    ServiceCapacity,
    ShareManager, //
};
pub use weights::ShareWeights;

/// How often demand is reported and shares are computed.
pub const SHARES_INTERVAL: Millis = Millis(200);
/// Time after which a report or a list that was not renewed expires.
pub const SHARES_LIFETIME: Millis = Millis(1_000);
/// Part of a service's slots in use, in percent, from which entries report demand.
pub const REPORT_FILL_PERCENT: u32 = 60;

/// Requests of one team and one priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Flow {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Team of the callers.
    pub team: TeamName,
}

/// Requests of one flow that arrived at an entry.
#[record]
#[derive(Copy, Default)]
pub struct Arrivals {
    /// In the last second.
    pub last_second: u32,
    /// In the last 400 ms.
    pub recent: u32,
}

impl Arrivals {
    fn add(&mut self, other: Self) {
        self.last_second += other.last_second;
        self.recent += other.recent;
    }
}

/// Demand for a service at one entry.
#[record]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: String,
    /// How long a request occupies its slot.
    pub occupancy: Millis,
    /// Requests that arrived, by flow.
    pub arrivals: Vec<(Flow, Arrivals)>,
}

/// Flows of a service that are beyond their share.
#[record]
pub struct ServiceShares {
    /// Name of the service.
    pub service: String,
    /// Part of each flow's requests that fits, in permille.
    pub beyond: Vec<(Flow, u32)>,
}
