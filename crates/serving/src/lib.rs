//! Serving processes for the users' platform: entries, stores and the batch runner.
//!
//! A process is either an entry, to which callers, targets and operators connect, or a store, which
//! persists the durable state. The stores replicate one log. Their leader tracks all targets and
//! the load of each, runs batch items, and sends updates to its followers.
//!
//! The decision modules ([`admission`], [`balance`], [`call_tries`], [`health`], [`intake`], [`leader_search`],
//! [`load_fanout`], [`neighbourhood`], [`orphans`], [`pace`], [`quarantine`], [`quota`], [`routes`],
//! [`schedule`], [`shares`], [`silence`], [`state`], [`targets`], [`team_turns`], [`teams`], [`waves`],
//! [`GroupManager`], [`InProgress`], [`JoinSnapshot`]) do no I/O and read no clock.

pub mod admission;
pub mod balance;
pub mod call_tries;
pub mod capacity;
mod close_check;
mod crash_reports;
mod cx;
mod deputies;
mod entry;
pub mod events;
mod fair_stream;
mod follow;
pub mod health;
pub mod intake;
pub mod leader_search;
mod link;
pub mod load_fanout;
pub mod neighbourhood;
mod neighbours;
pub mod orphans;
pub mod pace;
pub mod quarantine;
pub mod quota;
pub mod refusals;
mod relay;
pub mod routes;
mod run;
pub mod schedule;
pub mod shares;
pub mod silence;
pub mod state;
mod store;
pub mod targets;
pub mod team_turns;
pub mod teams;
mod test_hooks;
mod upstream;
pub mod waves;

pub use run::run;
pub use store::{
    BoundDecision,
    GroupManager,
    InProgress,
    JoinSnapshot,
    JoinStep,
    MemberStatus,
    StoreStatus, //
};
