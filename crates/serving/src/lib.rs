//! Entries, stores and the batch runner on the users' platform.
//!
//! One process is an entry, which callers, targets and operators connect to, or a store, which keeps
//! the state that must survive. The stores replicate one log; its leader knows all targets and what
//! is under way at them, runs batch items, and tells everyone who follows it.
//!
//! The modules that decide ([`admission`], [`balance`], [`health`], [`neighbourhood`], [`routes`], [`schedule`], [`state`],
//! [`targets`], [`GroupKeeper`]) do no I/O and read no clock.

pub mod admission;
pub mod balance;
mod cx;
mod entry;
pub mod events;
mod follow;
pub mod health;
mod link;
pub mod neighbourhood;
mod neighbours;
mod relay;
pub mod routes;
mod run;
pub mod schedule;
pub mod state;
mod store;
pub mod targets;
mod test_hooks;
mod upstream;

pub use run::run;
pub use store::{
    GroupKeeper,
    Seen, //
};
