//! The lengths of time that the protocol depends on.

use yuccaseam_base::{
    Millis,
    value, //
};

/// The lengths of time that the protocol depends on. All replicas use the same.
#[value]
pub struct Timing {
    /// The longest time between two [`Event::Tick`](crate::Event::Tick).
    pub tick: Millis,
    /// The time between two heartbeats of a leader.
    pub heartbeat: Millis,
    /// How long a replica that heard from a leader, or that restarted, refuses to vote. The
    /// election timeout is drawn between this and its double.
    pub election: Millis,
    /// How long a lease lasts from the sending of the heartbeat that a quorum answered. Shorter
    /// than `election` by more than the clocks of two machines drift apart in that time.
    pub lease: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            tick: Millis(25),
            heartbeat: Millis(150),
            election: Millis(750),
            lease: Millis(600),
        }
    }
}
