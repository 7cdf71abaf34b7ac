//! Tests of the base crate, one file a topic.

mod millis;
mod verdict;
