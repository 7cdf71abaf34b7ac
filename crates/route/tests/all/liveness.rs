//! Targets that are leaving, failing or refusing are skipped.

use yuccaseam_base::{
    EntityKey,
    Millis, //
};
use yuccaseam_route::{
    Candidate,
    ChoiceReason,
    Circuit,
    Liveness,
    Model,
    Request, //
};

use crate::support::{
    HERE,
    NOW,
    candidate,
    location,
    online,
    router,
    target,
    targets,
    with_loads, //
};

fn local(index: usize) -> Candidate {
    candidate(index, location(HERE, 0), 0)
}

#[test]
fn leaving_target_is_not_chosen() {
    let mut router = with_loads(1, &[0, 9]);
    router.record_cached(target(0), 11);
    router.update(
        Candidate {
            liveness: Liveness::Leaving,
            ..local(0)
        },
        NOW,
    );
    for _ in 0..20 {
        assert_eq!(targets(&router.choose(&online(&[11]), NOW)), [target(1)]);
    }
}

#[test]
fn open_circuit_is_skipped_and_half_open_one_is_last() {
    let mut router = with_loads(1, &[0, 1, 2]);
    for (index, circuit) in [(0, Circuit::Open), (1, Circuit::HalfOpen)] {
        let candidate = Candidate {
            circuit,
            ..local(index)
        };
        router.update(candidate, NOW);
    }
    let choices = router.choose(&online(&[]), NOW);
    assert_eq!(targets(&choices), [target(2), target(1)]);
}

#[test]
fn suspect_targets_are_the_last_resort() {
    let mut router = router(1);
    for index in 0..2 {
        let candidate = Candidate {
            liveness: Liveness::Suspect,
            ..local(index)
        };
        router.update(candidate, NOW);
    }
    let choices = router.choose(&online(&[]), NOW);
    assert_eq!(choices.len(), 2);
    assert!(
        choices
            .iter()
            .all(|choice| choice.reason == ChoiceReason::LastResort)
    );
}

#[test]
fn target_that_refused_is_chosen_again_after_retry_after() {
    let mut router = with_loads(1, &[0, 9]);
    router.record_refusal(target(0), Millis(300), NOW);
    assert_eq!(targets(&router.choose(&online(&[]), NOW)), [target(1)]);
    let choices = router.choose(&online(&[]), NOW + Millis(300));
    assert_eq!(choices[0].target, target(0));
}

#[test]
fn second_choice_is_in_another_failure_domain() {
    let mut router = router(1);
    for index in 0..6 {
        router.update(local(index), NOW);
    }
    router.update(candidate(6, location(HERE, 1), 8), NOW);
    router.update(candidate(7, location(HERE, 1), 8), NOW);
    let mut apart = 0;
    for _ in 0..100 {
        let choices = router.choose(&online(&[]), NOW);
        let other = choices.iter().any(|choice| choice.target >= target(6));
        apart += u32::from(other);
        assert!(!other || choices[1].target >= target(6));
    }
    assert!(apart > 0);
}

#[test]
fn only_targets_of_the_model_are_chosen() {
    let mut router = with_loads(1, &[0, 0]);
    let other = Request {
        model: Model::from_index(4),
        ..online(&[])
    };
    assert_eq!(router.choose(&other, NOW), []);
}
