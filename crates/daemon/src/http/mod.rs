//! HTTP server for callers, operators, the platform and the announcements of targets.

mod body;
mod call;
mod responder;
mod routes;
mod server;

pub(crate) use body::{
    Body,
    read_refusal, //
};
pub(crate) use call::Call;
pub(crate) use responder::{
    ChunkWriter,
    Responder, //
};
pub(crate) use server::Server;
