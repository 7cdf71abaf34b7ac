//! Work that the leader does for the whole system from time to time.

use std::sync::Arc;

use yuccaseam_base::Millis;
use yuccaseam_state::Operation;

use crate::context::Context;

/// How often the state machine forgets what is older than the settings say.
const PERIOD: Millis = Millis::from_secs(5);

/// Keeps the replicated state within its bounds for the life of the process. Only the leader acts;
/// an operation that two leaders propose changes nothing more than one of them does.
pub(crate) fn run(cx: &Arc<Context>) {
    loop {
        std::thread::sleep(PERIOD.duration());
        let status = cx.store.replica_status();
        let is_leader = status.is_some_and(|status| status.holds_lease(cx.clock.now()));
        if !is_leader {
            continue;
        }
        if let Err(refusal) = cx.store.propose(cx, Operation::ExpireOld) {
            log::warn!("what is old is not removed: {refusal}");
        }
    }
}
