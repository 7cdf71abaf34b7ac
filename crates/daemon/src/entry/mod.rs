//! What callers ask for.

mod announce;
mod claim;
pub(crate) mod events;
mod generate;
mod models;
mod services;
mod unanswered;

pub(crate) use announce::announce;
pub(crate) use generate::generate;
pub(crate) use models::list_models;
pub(crate) use services::call_service;
pub(crate) use unanswered::Unanswered;
