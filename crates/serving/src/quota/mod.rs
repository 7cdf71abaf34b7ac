//! Quotas of teams, counted over all entries.
//!
//! The leader keeps a token bucket a team ([`Ledger`]) and leases tokens to entries, which spend one a
//! request ([`Purse`]). Without an answer, an entry spends its part of the overage that a deployment
//! allows. Once the leader counts it as absent, it may spend its share of the rate. Absent entries that reach
//! each other put their shares together in the ledger of one of them, their deputy.
//!
//! # Invariants
//!
//! - The level of a bucket and the tokens of it that entries may still spend never exceed its capacity.
//! - An entry counts a lease from the moment it asked, the leader from the moment it granted. The entry's ends
//!   first, also if one of them freezes or a link delays the answer.
//! - A new leader starts below the overage of one change of leaders, and stays there until the tokens of the
//!   former one have ended.
//! - The rate that the leader leases is that of the entries it hears. The others spend theirs only once
//!   it no longer hears them, or has ended their connections.
//! - Without quotas, no message is sent.

mod ledger;
mod limit;
mod messages;
mod purse;
mod spare;

pub use ledger::Ledger;
pub use limit::Limit;
pub use messages::{
    QuotaAnswer,
    QuotaAsk,
    QuotaGrant,
    QuotaWant, //
};
pub use purse::{
    Connection,
    Denial,
    Purse,
    Source,
    Take,
    Ticket, //
};

use yuccaseam_base::Millis;

/// Lease of a token for a request that waits for it: no longer than the wait.
pub const BRIEF_LEASE: Millis = MAX_WAIT;
/// Lease of a token for a request that is expected.
pub const LONG_LEASE: Millis = Millis(1_000);
/// Longest wait of a request for a token. A round trip between regions takes some 40 ms.
pub const MAX_WAIT: Millis = Millis(150);
/// How often an entry that needs no token tells the leader that it is there.
pub const HEARTBEAT_INTERVAL: Millis = Millis(400);
/// Time since an entry's last message after which the leader leaves the entry its share of the rate.
pub const PRESENCE_TIMEOUT: Millis = Millis(1_000);
/// Time since an entry's last message to a silent leader after which it spends its share. The difference to
/// [`PRESENCE_TIMEOUT`] is for the way of the message.
pub const ABSENCE_DELAY: Millis = Millis(1_500);
/// [`HEARTBEAT_INTERVAL`] of an entry that asks a deputy.
pub const DEPUTY_HEARTBEAT_INTERVAL: Millis = Millis(200);
/// [`PRESENCE_TIMEOUT`] of an entry at its deputy.
pub const DEPUTY_PRESENCE_TIMEOUT: Millis = Millis(500);
/// How long the leader leaves an absent entry its share.
pub const FLEET_MEMORY: Millis = Millis(60_000);
/// How long an absent entry spends its share.
pub const SHARE_LIFETIME: Millis = Millis(50_000);
