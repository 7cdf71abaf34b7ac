//! Runs a TCP relay as a process, with a control port that cuts, delays and slows it.

use std::{
    net::SocketAddr,
    thread, //
};

use yuccaseam_testing::Relay;

fn main() -> anyhow::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// The address to relay to.
        required --upstream address: SocketAddr
        /// The address to listen on.
        optional --listen address: String
        /// The address of the control port, which takes `POST /shapes`.
        optional --control address: String
    };
    let listen = flags.listen.unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let control = flags.control.unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let relay = Relay::start(&listen, flags.upstream)?;
    println!("listening {}", relay.address());
    println!("control {}", relay.serve_control(&control)?);
    loop {
        thread::park();
    }
}
