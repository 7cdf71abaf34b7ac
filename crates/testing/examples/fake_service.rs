//! Runs one copy of a plain service as a process.

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
    Service,
    ServiceConfig, //
};

/// How long a leaving copy stays at least, so that late calls would be seen.
const STAY: Millis = Millis(6_000);

const POLL: Duration = Duration::from_millis(50);

fn main() -> anyhow::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// The target's name.
        required --name name: String
        /// The address to listen on.
        optional --listen address: String
        /// The name of the service.
        optional --service service: String
        /// The region to announce.
        optional --region region: String
        /// The failure domain to announce.
        optional --failure-domain domain: String
        /// How many calls are announced to run at once.
        optional --slots slots: u32
        /// How long each call takes, in milliseconds.
        optional --delay-ms ms: u64
        /// The daemons to announce to, separated by commas.
        optional --announce entries: String
        /// The file of the record.
        optional --record file: PathBuf
    };
    let announce = flags.announce.unwrap_or_default();
    let announce = announce.split(',').filter(|entry| !entry.is_empty());
    let service = Service::start(ServiceConfig {
        name: flags.name,
        listen: flags.listen.unwrap_or_else(|| "127.0.0.1:0".to_owned()),
        service: flags.service.unwrap_or_else(|| "order-desk".to_owned()),
        region: flags.region.unwrap_or_else(|| "morava".to_owned()),
        failure_domain: flags.failure_domain.unwrap_or_else(|| "brno-a".to_owned()),
        slots: flags.slots.unwrap_or(8),
        delay: Duration::from_millis(flags.delay_ms.unwrap_or(20)),
        announce: announce.map(str::to_owned).collect(),
        record: flags.record,
    })?;
    println!("listening {}", service.address());
    let mut signals = Signals::new([SIGTERM])?;
    signals.forever().next();
    service.leave();
    while service.leaving_for() < Some(STAY) || service.open_calls() > 0 {
        thread::sleep(POLL);
    }
    Ok(())
}
