//! Tests of the daemon as a process, one file a topic.

mod admission;
mod jobs;
mod leaving;
mod orders;
mod placement;
mod replicas;
mod settings;
mod streams;
mod support;
