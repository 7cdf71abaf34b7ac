//! Fake engine, fake plain service, cutting relay, load and experiment tool.
//!
//! Nothing here is published. The fakes are separate processes, started from the examples of this
//! crate; each keeps a record of what it ran, against which tests check what callers were told.

mod announce;
mod caller;
mod cluster;
mod engine;
mod http;
mod jobs;
mod load;
mod network;
pub mod platform;
mod record;
mod relay;
mod service;
mod text;
mod wait;

pub use announce::{Announcement, Announcer, Kind};
pub use caller::{Answer, Broken, Caller, Streamed};
pub use cluster::{Cluster, Cut, Daemon, Link, Place, Process, Signal, Target};
pub use engine::{Engine, EngineConfig};
pub use jobs::Item;
pub use load::{Arrival, Figures, LoadPhase, Percentiles, Report, Schedule, Steady, SteadyReport};
pub use load::{run_online, team_prompt};
pub use record::{Entry, Phase, Record};
pub use relay::{Relay, Shape, Shapes};
pub use service::{Service, ServiceConfig};
pub use text::{answer, chat_prompt, prompt_tokens};
pub use wait::wait_until;
