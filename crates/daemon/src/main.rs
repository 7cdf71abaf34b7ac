//! The daemon that every instance runs.

fn main() {}
