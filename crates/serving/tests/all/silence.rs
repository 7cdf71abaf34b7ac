//! Silent targets.

use yuccaseam_base::Millis;
use yuccaseam_serving::silence::{
    STALL_TIMEOUT,
    Silence,
    SilenceLimits,
    SilenceStep, //
};

const DEADLINE: Millis = Millis(5_000);
const SUSPICION: Millis = Millis(900);

fn silence(can_move: bool, now: Millis) -> Silence {
    let limits = SilenceLimits {
        suspicion: SUSPICION,
        can_move,
        deadline: DEADLINE,
    };
    Silence::new(limits, now)
}

/// Steps at the times that the silence asks for.
fn steps(mut silence: Silence) -> Vec<(Millis, SilenceStep)> {
    let mut steps = Vec::new();
    loop {
        let now = silence.next_step_at();
        let step = silence.step(now);
        steps.push((now, step));
        if step == SilenceStep::End {
            return steps;
        }
    }
}

#[test]
fn a_target_that_is_silent_for_a_second_keeps_its_request() {
    let steps = steps(silence(true, Millis::ZERO));
    assert_eq!(steps[0], (SUSPICION, SilenceStep::Suspect));
    assert_eq!(steps[1], (STALL_TIMEOUT, SilenceStep::Move));
    assert!(STALL_TIMEOUT > Millis(1_200));
}

#[test]
fn another_target_is_looked_for_until_the_deadline() {
    let steps = steps(silence(true, Millis::ZERO));
    let moves = steps.iter().filter(|(_, step)| *step == SilenceStep::Move);
    assert!(moves.count() > 30);
    assert_eq!(steps.last(), Some(&(DEADLINE, SilenceStep::End)));
}

#[test]
fn a_request_that_may_run_once_waits_until_its_deadline() {
    let steps = steps(silence(false, Millis::ZERO));
    let expected = [
        (SUSPICION, SilenceStep::Suspect),
        (DEADLINE, SilenceStep::End),
    ];
    assert_eq!(steps, expected);
}

#[test]
fn progress_starts_the_silence_again() {
    let mut silence = silence(true, Millis::ZERO);
    assert_eq!(silence.step(SUSPICION), SilenceStep::Suspect);
    silence.record_progress(Millis(1_400));
    assert_eq!(silence.step(STALL_TIMEOUT), SilenceStep::Wait);
    assert_eq!(silence.next_step_at(), Millis(1_400) + SUSPICION);
}

#[test]
fn a_request_with_little_time_left_is_moved_earlier() {
    let steps = steps(silence(true, DEADLINE - Millis(1_000)));
    assert_eq!(steps[0], (DEADLINE - Millis(250), SilenceStep::Move));
}

/// A stream is not moved because its next event is due just before its deadline.
#[test]
fn a_request_is_not_moved_sooner_towards_its_deadline() {
    let mut silence = silence(true, Millis::ZERO);
    silence.record_progress(DEADLINE - Millis(500));
    assert_eq!(silence.next_step_at(), DEADLINE);
    assert_eq!(silence.step(DEADLINE - Millis(1)), SilenceStep::Wait);
}
