//! Intervals and time-outs of the protocol.

use yuccaseam_base::{
    Millis,
    value, //
};

/// Intervals and time-outs of the protocol. All replicas of a group use the same values.
#[value]
pub struct Timing {
    /// Maximum time between two [`Event::Tick`](crate::Event::Tick).
    pub tick: Millis,
    /// Time between two heartbeats of a leader.
    pub heartbeat: Millis,
    /// Time for which a replica refuses to vote after a message from a leader or after a restart.
    /// The randomized election timeout lies between this value and its double.
    pub election: Millis,
    /// Duration of a lease, counted from the sending of the heartbeat that a quorum acknowledged.
    /// It must be shorter than the election timeout by more than the clocks of two machines drift
    /// apart in that time.
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
