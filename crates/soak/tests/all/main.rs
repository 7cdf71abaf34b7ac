//! A short seeded soak, and every seed that ever failed.

use std::time::Duration;

use yuccaseam_soak::{
    Config,
    run,
    schedule, //
};

fn soak(seed: u64, seconds: u64, network: u8) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    let report = runtime.block_on(run(Config {
        seed,
        length: Duration::from_secs(seconds),
        entries: 3,
        targets: 4,
        network,
    }));
    let report = report.expect("the system serves before and after");
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.counts["whole answers"] > 0, "{report}");
}

/// The short run of CI.
#[test]
fn a_short_run_keeps_every_promise() {
    soak(7, 12, 51);
}

#[test]
fn one_seed_makes_one_schedule() {
    let length = Duration::from_secs(30);
    assert_eq!(schedule(3, length), schedule(3, length));
    assert_ne!(schedule(3, length), schedule(4, length));
}
