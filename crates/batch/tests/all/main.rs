//! Tests of the batch runner.

mod common;
mod fleet;
mod isolate;
mod leases;
mod runs;
