//! Communication between daemons: channels to them, and the services for their calls.

mod links;
mod server;

pub(crate) use links::Links;
pub(crate) use server::{
    MAX_MESSAGE_BYTES,
    serve, //
};
