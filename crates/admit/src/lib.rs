//! Admission at one target: what starts, waits, pauses or is refused.
//!
//! A [`Gate`] runs at the daemon that owns a target. It takes an [`Event`] and the time and
//! returns [`Action`]s; it does no I/O and reads no clock. Entries hold a permit for each online
//! call, the owner runs batch items itself in the slots that online calls leave free, so that the
//! daemon that hears of an online arrival is the one that pauses batch.
//!
//! The crate also holds the decisions around a failed call: [`RetryBudget`], [`Backoff`],
//! [`Breaker`] and [`Retries`], which joins them.

mod arrivals;
mod backlog;
mod batch;
mod breaker;
mod event;
mod fair;
mod gate;
mod occupancy;
mod pace;
mod permits;
mod retry;
mod service;
mod settings;

pub use breaker::{Breaker, BreakerSettings, BreakerState};
pub use event::{
    Action, Class, Entry, Event, LoadReport, PermitId, Request, RunId, TargetState, Team,
};
pub use gate::{Gate, Snapshot};
pub use retry::{Backoff, BackoffSettings, BudgetSettings, Retries, RetryBudget, RetryDecision};
pub use settings::{Balance, Settings};
