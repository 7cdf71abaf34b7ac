//! What may be said of a call that was sent more than once.

use yuccaseam_serving::call_tries::{
    CallTries,
    TryResult, //
};

const RESULTS: [TryResult; 3] = [
    TryResult::NotRun,
    TryResult::MayBeLogged,
    TryResult::MayArrive,
];

/// Guards against a refusal, which says that a job does not run, while an earlier try of the call is on its way.
#[test]
fn call_is_refused_only_if_no_earlier_try_may_arrive() {
    for first in RESULTS {
        for second in RESULTS {
            for third in RESULTS {
                let results = [first, second, third];
                let mut tries = CallTries::default();
                for result in results {
                    tries.record(result);
                }
                let may_arrive = results.contains(&TryResult::MayArrive);
                let is_logged = results.contains(&TryResult::MayBeLogged);
                assert_eq!(tries.may_be_refused(), !may_arrive, "{results:?}");
                let certainly_not_run = !may_arrive && !is_logged;
                assert_eq!(tries.certainly_not_run(), certainly_not_run, "{results:?}");
            }
        }
    }
}
