//! Stand-ins for the users' platform: targets that speak its protocol, callers, and a system of real
//! processes on addresses of the loopback network.

mod caller;
mod system;
mod target;

pub use caller::{
    Reply,
    send, //
};
pub use system::{
    Instance,
    PlatformSystem,
    Resources, //
};
pub use target::{
    Behaviour,
    Crash,
    PlatformTarget,
    Run,
    Silence,
    SilenceBefore, //
};

/// The host of every route of [`PlatformSystem::manifest`].
pub const HOST: &str = "callers.example";
/// Prefix of streams that run at most once.
pub const ONCE: &str = "/once/";
/// Prefix of streams that may be resumed.
pub const RESUMABLE: &str = "/again/";
/// Prefix of requests that may run more than once.
pub const SAFE: &str = "/safe/";
/// Prefix of batch jobs and their items.
pub const BATCH: &str = "/batch/";

/// The events of the stream that answers a request.
pub fn expected_events(id: &str, count: usize) -> String {
    (1..=count).map(|number| event(id, number)).collect()
}

/// The text of a batch item's result.
pub fn expected_text(id: &str, count: usize) -> String {
    let lines: Vec<_> = (1..=count).map(|number| format!("{id}-{number}")).collect();
    lines.join("\n")
}

fn event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id}-{number}\n\n")
}
