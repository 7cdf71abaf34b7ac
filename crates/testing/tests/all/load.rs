//! The load tool: arrivals that repeat from their seed, answers that are checked.

use std::time::Duration;

use yuccaseam_testing::{
    Caller,
    LoadPhase,
    Schedule,
    Steady,
    run_online, //
};

use crate::engine;

fn schedule(seed: u64) -> Schedule {
    let phases = vec![LoadPhase {
        name: "quiet".to_owned(),
        length: Duration::from_millis(500),
        rate: 100.0,
    }];
    Schedule {
        seed,
        phases,
        tokens: 8,
    }
}

#[test]
fn arrivals_follow_from_the_seed() {
    assert_eq!(schedule(7).arrivals(), schedule(7).arrivals());
    assert_ne!(schedule(7).arrivals(), schedule(8).arrivals());
}

#[test]
fn each_answer_is_checked() {
    let engine = engine::engine(true);
    let callers = [Caller::new(engine.address().parse().unwrap())];
    let steady = Steady::start(&callers, 2, "lagging-llm", 8);
    let figures = run_online(&schedule(7), &callers, "lagging-llm");
    let whole = figures[0].count("whole") as usize;
    assert_eq!(whole, schedule(7).arrivals().len());
    let batch = steady.stop();
    assert!(batch.whole > 0);
    assert_eq!(batch.failed, 0);
}

#[test]
fn a_refusal_is_no_answer() {
    let engine = engine::engine(true);
    let callers = [Caller::new(engine.address().parse().unwrap())];
    let figures = run_online(&schedule(7), &callers, "unknown");
    assert_eq!(figures[0].count("whole"), 0);
    let refused = figures[0].count("refused") as usize;
    assert_eq!(refused, schedule(7).arrivals().len());
}
