//! Tests of the wire crate, one file a topic.

mod generated;
