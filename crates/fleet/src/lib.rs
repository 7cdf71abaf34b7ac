//! Gossip membership: instances, failure domains, regions and targets as known to one daemon.
//!
//! [`Fleet`] is sans-I/O: it takes an [`Event`] and the current time and returns [`Action`]s.
//! Daemons detect failed peers by direct and indirect probes. Changes to instances and targets
//! spread as deltas piggybacked on probes and gossip packets, and periodic digest comparison
//! (anti-entropy) repairs missed deltas. Most packets stay within the region.
//!
//! A target's record is held by the daemon to which the target announces itself. The target's
//! *owner*, the daemon that admits work at it, is selected by rendezvous hashing among the live
//! daemons closest to the target.

mod announce;
mod config;
mod digest;
mod fleet;
mod gossip;
mod instance;
mod members;
mod owner;
mod owner_watch;
mod packet;
mod probe;
mod probing;
mod receive;
mod send;
mod sync;
mod target;
mod targets;
mod wire;

pub use config::FleetConfig;
pub use fleet::{Action, Event, Fleet, OwnerChange};
pub use instance::{InstanceRecord, Status};
pub use owner_watch::OwnerWatch;
pub use packet::PacketError;
pub use target::{Announcement, TargetKind, TargetLoad, TargetRecord, TargetState};
