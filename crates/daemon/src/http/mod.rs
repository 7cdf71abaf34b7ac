//! The HTTP side: callers, targets that announce themselves, operators and the platform.

mod call;
mod responder;
mod routes;
mod server;

pub(crate) use call::Call;
pub(crate) use responder::{
    EventWriter,
    Responder, //
};
pub(crate) use server::Server;
