//! Intervals and time-outs of the protocol.

use yuccaseam_base::{
    Millis,
    value, //
};

/// Intervals and time-outs of the protocol. All replicas of a group use the same values.
#[value]
pub struct Timing {
    /// Maximum time between two [`Event::Tick`](crate::Event::Tick).
    pub tick_interval: Millis,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Millis,
    /// Time for which a replica refuses to vote after a message from a leader or after a restart.
    /// The randomized election timeout lies between this value and its double.
    pub election_timeout: Millis,
    /// Duration of a lease, counted from the sending of the heartbeat that a quorum acknowledged.
    /// It must be shorter than the election timeout by more than the clocks of two machines drift
    /// apart in that time.
    pub lease_duration: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            tick_interval: Millis(25),
            heartbeat_interval: Millis(150),
            election_timeout: Millis(750),
            lease_duration: Millis(600),
        }
    }
}
