//! Tests of the daemon as a process, one file a topic.

mod acknowledged;
mod admission;
mod faults;
mod flood;
mod history;
mod jobs;
mod leaving;
mod orders;
mod partitions;
mod placement;
mod platform;
mod replicas;
mod responses;
mod session;
mod settings;
mod streams;
mod support;
