//! Tests of the operators' client as a process, one file a topic.

mod explain;
mod session;
