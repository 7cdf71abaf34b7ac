//! The replicated state machine: configuration, jobs, request keys, orders to targets.
