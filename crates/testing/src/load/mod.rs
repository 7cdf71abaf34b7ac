//! Open-loop load on daemons, or on targets directly, and the figures that come of it.

mod figures;
mod online;
mod schedule;
mod steady;

pub use figures::{Figures, Percentiles, Report};
pub use online::run_online;
pub use schedule::{Arrival, LoadPhase, Schedule, team_prompt};
pub use steady::{Steady, SteadyReport};
