//! Handlers of the requests of callers and targets.

mod announce;
mod claim;
pub(crate) mod events;
mod generate;
mod models;
mod services;
mod unacknowledged;

pub(crate) use announce::announce;
pub(crate) use generate::generate;
pub(crate) use models::list_models;
pub(crate) use services::call_service;
pub(crate) use unacknowledged::UnacknowledgedClaims;
