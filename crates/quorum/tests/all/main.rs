//! Tests of the replication core.

mod checks;
mod disk;
mod elections;
mod group;
mod leases;
mod members;
mod schedules;
mod snapshots;
mod wire;
mod writes;
