//! Messages between instances, and the connections that carry them.

mod address_book;
mod client;
mod message;
mod server;

pub(crate) use address_book::AddressBook;
pub(crate) use client::{
    CallError,
    Links,
    MAX_MESSAGE_BYTES,
    pause, //
};
pub(crate) use message::{
    DecodeError,
    FollowerMessage,
    HubReply,
    HubRequest,
    LeaderFrame,
    LeaderMessage,
    PageRequest,
    StoreEntry,
    decode,
    decode_prefix,
    encode, //
};
pub(crate) use server::{
    Handler,
    serve, //
};
