//! Tests of the journal crate, one file per topic.

mod blobs;
mod decoder;
mod faulty;
mod folder;
mod full_disk;
mod log;
mod model;
mod snapshots;
