//! Instances, failure domains, regions and targets as one daemon knows them.
//!
//! [`Fleet`] does no I/O and reads no clock: it takes an [`Event`] and the time, and returns
//! [`Action`]s. Daemons find failed ones by probing each other, directly and then through others;
//! changes of instances and targets travel as deltas on these probes and on gossip packets; and a
//! periodic comparison of digests repairs what was missed. Most packets stay in the region.
//!
//! A target's record is held by the daemon to which the target announces itself. Its *owner*, the
//! daemon that admits work at it, is chosen by rendezvous hashing among the live daemons near it.

mod announce;
mod config;
mod digest;
mod fleet;
mod gossip;
mod instance;
mod members;
mod owner;
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
pub use packet::PacketError;
pub use target::{Announcement, TargetKind, TargetLoad, TargetRecord, TargetState};
