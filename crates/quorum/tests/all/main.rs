//! Tests of the replication core.
