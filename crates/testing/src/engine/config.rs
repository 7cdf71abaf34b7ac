//! The settings of one emulated engine.

use std::{
    path::PathBuf,
    time::Duration, //
};

use yuccaseam_base::Millis;

/// The settings of one emulated engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The target's name.
    pub name: String,
    /// The address to listen on; port 0 takes a free one.
    pub listen: String,
    /// The model that is loaded at the start.
    pub model: String,
    /// The region that it announces.
    pub region: String,
    /// The failure domain that it announces.
    pub failure_domain: String,
    /// How many calls run at once.
    pub slots: u32,
    /// The time of a step besides what follows.
    pub step: Duration,
    /// What each running call adds to a step.
    pub step_per_call: Duration,
    /// What each computed prompt token adds to a step.
    pub prefill_per_token: Duration,
    /// How many blocks the prefix cache holds.
    pub cache_blocks: usize,
    /// How many tokens the KV cache holds, for the load report.
    pub kv_tokens: usize,
    /// How old a load report gets.
    pub load_lag: Duration,
    /// How late cache events are.
    pub event_lag: Millis,
    /// One cache event in so many is lost; zero loses none.
    pub lose_every: u64,
    /// How long an order takes to be carried out.
    pub order_time: Duration,
    /// Whether an order with an old number is refused.
    pub check_orders: bool,
    /// The daemons to announce to.
    pub announce: Vec<String>,
    /// The file of the record.
    pub record: Option<PathBuf>,
}
