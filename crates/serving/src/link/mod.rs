//! What instances say to each other, and the connections over which they do.

mod address_book;
mod asking;
mod message;
mod server;

pub(crate) use address_book::AddressBook;
pub(crate) use asking::{
    AskError,
    Links,
    MAX_MESSAGE,
    pause, //
};
pub(crate) use message::{
    Answer,
    Ask,
    Down,
    PageRequest,
    StoreEntry,
    Up,
    decode,
    encode, //
};
pub(crate) use server::{
    Handler,
    serve, //
};
