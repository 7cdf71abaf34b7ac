//! Fake engine, fake plain service, cutting relay, load and experiment tool.
