//! Tests of the decision modules, one file per topic. None needs a network.

mod admission;
mod capacity;
mod deadly_requests;
mod events;
mod group;
mod health;
mod herd;
mod leader_search;
mod load_fanout;
mod neighbourhood;
mod orphans;
mod overload;
mod pace;
mod quarantine;
mod refusals;
mod routes;
mod schedule;
mod silence;
mod state;
mod support;
mod targets;
mod trials;
mod uneven;
