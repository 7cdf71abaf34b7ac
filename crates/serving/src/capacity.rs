//! Time in which a store with an empty disk must vote, and the size of the replicated state that this allows.
//!
//! A store that lost its disk, or the successor of one that is gone, receives the whole state, perhaps from another
//! region, and must vote before the loss of the next disk has to be survived. That time is one budget, counted from the
//! start of the store:
//!
//! | part | what happens |
//! |---|---|
//! | [`SIGHT_TIME`] | it starts, and the leader learns of it |
//! | [`ELECTION_TIME`] | beside that, if the store that was lost led: another one leads |
//! | [`JOIN_TIME`] | it becomes a learner, and the leader learns that it needs a snapshot |
//! | [`SNAPSHOT_TIME`] | the leader writes one, if its log has grown |
//! | [`JoinBudget::transfer_time`] | the snapshot is sent, beside other traffic on the link |
//! | [`VOTE_TIME`] | it installs the snapshot, receives the log since, and replaces the lost voter |
//!
//! Not in the budget: a leader that is lost before the store votes, where more than one loss is tolerated. The next one
//! has a snapshot of another moment, so that the transfer begins again.
//!
//! # Invariants
//!
//! - The parts together take no longer than the budget. The transfer has what the others leave, and jobs that would
//!   make the state larger than the link carries in it are refused.
//! - No part waits for what only a later one needs. A new store becomes a learner as soon as it is seen, whether or not
//!   a voter is known to be lost; that is needed for the vote alone ([`JoinBudget::loss_timeout`]).

use yuccaseam_base::Millis;

/// Rate of a link that was not measured yet, in bytes per ms: three quarters of 30 Mbit/s.
pub const MIN_LINK_RATE: u64 = 2_800;

/// Share of the measured rate that the state may use, as a fraction: the rest is for other traffic.
const USABLE_RATE: (u64, u64) = (4, 5);

/// Time from the start of a store until the leader has heard of it.
pub const SIGHT_TIME: Millis = Millis(400);
/// Time from the loss of a leader until the state of the next one is current.
pub const ELECTION_TIME: Millis = Millis(1_050);
/// Time from the sight of a store until the leader knows that it needs a snapshot.
pub const JOIN_TIME: Millis = Millis(150);
/// Time to write a snapshot.
pub const SNAPSHOT_TIME: Millis = Millis(100);
/// Time from the end of the transfer until the store votes.
pub const VOTE_TIME: Millis = Millis(250);

/// Longest time that a voter may be silent before it is replaced. Longer than a restart.
const MAX_LOSS_TIMEOUT: Millis = Millis(4_000);
/// Time for the last steps of a replacement at a leader that has just noticed that a voter is lost.
const REPLACEMENT_RESERVE: Millis = Millis(900);

/// Minimum time for the transfer.
const MIN_TRANSFER_TIME: Millis = Millis(1_000);

/// Change of the measured rate from which on it is recorded, as a divisor of the recorded one.
const RECORDED_CHANGE_DIVISOR: u64 = 4;

/// Whether a measured rate differs enough from the recorded one to be recorded.
pub fn is_new_rate(recorded: Option<u64>, measured: u64) -> bool {
    recorded.is_none_or(|recorded| recorded.abs_diff(measured) > recorded / RECORDED_CHANGE_DIVISOR)
}

/// Budget of the time from the start of a store with an empty disk until it votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinBudget {
    recovery: Millis,
}

impl JoinBudget {
    /// Budget of a group that bears the next loss `recovery` after the start of a store.
    pub const fn new(recovery: Millis) -> Self {
        Self { recovery }
    }

    /// The whole time.
    pub fn recovery(&self) -> Millis {
        self.recovery
    }

    /// Time that all parts but the transfer take.
    pub fn overhead(&self) -> Millis {
        ELECTION_TIME.max(SIGHT_TIME) + JOIN_TIME + SNAPSHOT_TIME + VOTE_TIME
    }

    /// Time for the transfer of the state.
    pub fn transfer_time(&self) -> Millis {
        (self.recovery - self.overhead()).max(MIN_TRANSFER_TIME)
    }

    /// Time that a voter may be silent before it is replaced by a store that could vote.
    pub fn loss_timeout(&self) -> Millis {
        MAX_LOSS_TIMEOUT.min(self.recovery - REPLACEMENT_RESERVE)
    }

    /// Maximum size of the state in bytes. `link_rate` is the measured rate of the slowest link to a voter in bytes per
    /// ms.
    pub fn max_state_bytes(&self, link_rate: Option<u64>) -> u64 {
        let (numerator, denominator) = USABLE_RATE;
        let measured = link_rate.unwrap_or_default() * numerator / denominator;
        self.transfer_time().0 * measured.max(MIN_LINK_RATE)
    }
}
