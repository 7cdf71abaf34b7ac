//! Tests of the consensus core.

mod checks;
mod disk;
mod elections;
mod group;
mod leases;
mod members;
mod rotation;
mod rules;
mod schedules;
mod single;
mod slow_links;
mod snapshots;
mod wire;
mod writes;
