//! Runs one emulated worker of a model engine as a process.

use std::{
    path::PathBuf,
    thread,
    time::Duration, //
};

use signal_hook::{
    consts::SIGTERM,
    iterator::Signals, //
};
use yuccaseam_base::Millis;
use yuccaseam_testing::{
    Engine,
    EngineConfig, //
};

/// How long a leaving engine stays at least, so that late calls would be seen.
const STAY: Millis = Millis(6_000);

const POLL: Duration = Duration::from_millis(50);

fn main() -> anyhow::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// The target's name.
        required --name name: String
        /// The address to listen on.
        optional --listen address: String
        /// The model that is loaded.
        optional --model model: String
        /// The region to announce.
        optional --region region: String
        /// The failure domain to announce.
        optional --failure-domain domain: String
        /// How many calls run at once.
        optional --slots slots: u32
        /// The time of a step, in microseconds.
        optional --step-us us: u64
        /// What each running call adds to a step, in microseconds.
        optional --step-per-call-us us: u64
        /// What each prompt token adds to a step, in microseconds.
        optional --prefill-per-token-us us: u64
        /// How many blocks the prefix cache holds.
        optional --cache-blocks blocks: usize
        /// How old a load report gets, in milliseconds.
        optional --load-lag-ms ms: u64
        /// How late cache events are, in milliseconds.
        optional --event-lag-ms ms: u64
        /// One cache event in so many is lost.
        optional --lose-every count: u64
        /// How long an order takes, in milliseconds.
        optional --order-ms ms: u64
        /// Carry out orders with an old number.
        optional --ignore-order-numbers
        /// The daemons to announce to, separated by commas.
        optional --announce entries: String
        /// The file of the record.
        optional --record file: PathBuf
    };
    let micros = |given: Option<u64>, default| Duration::from_micros(given.unwrap_or(default));
    let engine = Engine::start(EngineConfig {
        name: flags.name,
        listen: flags.listen.unwrap_or_else(|| "127.0.0.1:0".to_owned()),
        model: flags.model.unwrap_or_else(|| "lagging-llm".to_owned()),
        region: flags.region.unwrap_or_else(|| "morava".to_owned()),
        failure_domain: flags.failure_domain.unwrap_or_else(|| "brno-a".to_owned()),
        slots: flags.slots.unwrap_or(16),
        step: micros(flags.step_us, 8_000),
        step_per_call: micros(flags.step_per_call_us, 400),
        prefill_per_token: micros(flags.prefill_per_token_us, 30),
        cache_blocks: flags.cache_blocks.unwrap_or(4_096),
        kv_tokens: 65_536,
        load_lag: Duration::from_millis(flags.load_lag_ms.unwrap_or(300)),
        event_lag: Millis(flags.event_lag_ms.unwrap_or(500)),
        lose_every: flags.lose_every.unwrap_or(20),
        order_time: Duration::from_millis(flags.order_ms.unwrap_or(200)),
        check_orders: !flags.ignore_order_numbers,
        announce: split(flags.announce.as_deref()),
        record: flags.record,
    })?;
    println!("listening {}", engine.address());
    leave_on_signal(&engine)
}

fn split(entries: Option<&str>) -> Vec<String> {
    let entries = entries.unwrap_or_default().split(',');
    entries
        .filter(|entry| !entry.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Leaves on SIGTERM, and returns once the calls that were open have ended.
fn leave_on_signal(engine: &Engine) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM])?;
    signals.forever().next();
    engine.leave();
    while engine.leaving_for() < Some(STAY) || engine.open_calls() > 0 {
        thread::sleep(POLL);
    }
    Ok(())
}
