//! The HTTP side: callers, targets that announce themselves, operators and the platform.

mod body;
mod call;
mod responder;
mod routes;
mod server;

pub(crate) use body::{
    Body,
    refusal_of, //
};
pub(crate) use call::Call;
pub(crate) use responder::{
    ChunkWriter,
    Responder, //
};
pub(crate) use server::Server;
