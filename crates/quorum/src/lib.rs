//! Replication of one log: election, lease, membership change, snapshot transfer, without I/O.
