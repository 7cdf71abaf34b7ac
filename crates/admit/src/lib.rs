//! Admission at one target: which requests and batch runs start, wait, pause or are refused.
//!
//! A [`Gate`] runs at the daemon that owns a target. It is sans-I/O: it takes an [`Event`] and the
//! current time and returns [`Action`]s. Entries hold a permit for each online call. The owner runs
//! batch items itself, in the slots that online calls leave free, so that the daemon that receives
//! an online arrival is also the one that pauses batch.
//!
//! The crate also contains the decisions about failed calls: [`RetryBudget`], [`Backoff`],
//! [`Breaker`] and [`Retries`], which combines them, and the [`FairQueue`] of requests that wait.

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
pub use fair::{FairQueue, Lane};
pub use gate::{Gate, Snapshot};
pub use retry::{Backoff, BackoffSettings, BudgetSettings, Retries, RetryBudget, RetryDecision};
pub use settings::{Balance, Settings};
