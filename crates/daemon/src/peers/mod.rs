//! The other daemons: channels to them, and the services that they call here.

mod links;
mod server;

pub(crate) use links::Links;
pub(crate) use server::{
    MAX_MESSAGE,
    serve, //
};
