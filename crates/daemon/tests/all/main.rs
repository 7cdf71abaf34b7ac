//! Tests of the daemon as a process, one file a topic.

mod replicas;
mod settings;
