//! Short soak for CI, and the place for regression tests of seeds that failed.

mod quarantine;

use std::time::Duration;

use yuccaseam_soak::{
    Config,
    run,
    schedule, //
};

fn soak(seed: u64, seconds: u64) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let report = runtime.block_on(run(Config {
        seed,
        length: Duration::from_secs(seconds),
        entries: 3,
        targets: 4,
    }));
    let report = report.expect("the system serves before and after the faults");
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.counts["whole answers"] > 0, "{report}");
}

#[test]
fn short_run_violates_no_guarantee() {
    soak(7, 12);
}

#[test]
fn schedule_depends_only_on_seed_and_length() {
    let length = Duration::from_secs(30);
    assert_eq!(schedule(3, length), schedule(3, length));
    assert_ne!(schedule(3, length), schedule(4, length));
}
