//! What entries ask and the leader answers.

use yuccaseam_base::{
    TeamName,
    record, //
};

/// Tokens of one team that an entry asks for.
#[record]
pub struct QuotaWant {
    /// The team.
    pub team: TeamName,
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Requests that are expected soon.
    pub expected: u32,
}

/// A question of an entry; without wants, a sign that it is there.
#[record]
pub struct QuotaAsk {
    /// Number of the question on this connection.
    pub number: u64,
    /// Number of entries, as the entry last heard it from a leader; 0 if never.
    pub fleet: u32,
    /// One for each team.
    pub wants: Vec<QuotaWant>,
}

/// Tokens that the leader grants.
#[record]
pub struct QuotaGrant {
    /// Tokens for requests that wait, with [`BRIEF_LEASE`](super::BRIEF_LEASE).
    pub waiting: u32,
    /// Tokens for expected requests, with [`LONG_LEASE`](super::LONG_LEASE).
    pub expected: u32,
    /// Time until the team is expected to have room, in ms, if a waiting request gets no token.
    pub room_in_ms: Option<u32>,
}

/// The leader's answer.
#[record]
pub struct QuotaAnswer {
    /// Number of the question.
    pub number: u64,
    /// Number of entries that the leader counts, absent ones included.
    pub fleet: u32,
    /// One for each want, in their order.
    pub grants: Vec<QuotaGrant>,
}
