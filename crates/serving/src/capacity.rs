//! Maximum size of the replicated state.
//!
//! A store that returns with an empty disk receives the whole state, perhaps from another region, and must
//! vote again before the loss of the next disk has to be survived. Jobs that would make the state larger than
//! the link carries in that time are refused.

use yuccaseam_base::Millis;

/// Rate of a link that was not measured yet, in bytes per ms: three quarters of 30 Mbit/s.
pub const MIN_LINK_RATE: u64 = 2_800;

/// Share of the measured rate that the state may use, as a fraction: the rest is for other traffic.
const USABLE_RATE: (u64, u64) = (4, 5);

/// Time of a join besides the transfer: until the leader knows of the disk, has written a snapshot, and has
/// made the store a voter.
pub const JOIN_OVERHEAD: Millis = Millis(1_500);

/// Minimum time for the transfer.
const MIN_TRANSFER_TIME: Millis = Millis(1_000);

/// Change of the measured rate from which on it is recorded, as a divisor of the recorded one.
const RECORDED_CHANGE_DIVISOR: u64 = 4;

/// Whether a measured rate differs enough from the recorded one to be recorded.
pub fn is_new_rate(recorded: Option<u64>, measured: u64) -> bool {
    recorded.is_none_or(|recorded| recorded.abs_diff(measured) > recorded / RECORDED_CHANGE_DIVISOR)
}

/// Returns the maximum size of the state in bytes, such that a store votes within `recovery`. `link_rate` is
/// the measured rate of the slowest link to a voter in bytes per ms.
pub fn max_state_bytes(recovery: Millis, link_rate: Option<u64>) -> u64 {
    let (numerator, denominator) = USABLE_RATE;
    let measured = link_rate.unwrap_or_default() * numerator / denominator;
    let time = (recovery - JOIN_OVERHEAD).max(MIN_TRANSFER_TIME);
    time.0 * measured.max(MIN_LINK_RATE)
}
