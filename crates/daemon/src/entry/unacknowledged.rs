//! Key claims that were not acknowledged, so that nothing ran under them.
//!
//! A claim proposed during a network partition may be committed after its caller was refused as
//! "not run". It would then block the key until this daemon restarts. The claim is therefore
//! proposed again, which changes nothing if it was committed, and then ended as "not run".

use std::sync::{
    Mutex,
    MutexGuard, //
};

use yuccaseam_base::Refusal;
use yuccaseam_state::{
    CallOutcome,
    ClaimKey,
    FinishKey,
    KeyClaim,
    Outcome, //
};

use crate::context::Context;

/// Claims that are still to be ended.
#[derive(Default)]
pub(crate) struct UnacknowledgedClaims(Mutex<Vec<ClaimKey>>);

impl UnacknowledgedClaims {
    /// Adds a claim that was not acknowledged. Its call must never be made.
    pub(super) fn add(&self, claim: ClaimKey) {
        self.lock().push(claim);
    }

    /// Ends the claims; those that cannot be ended now stay for the next time.
    pub(crate) fn settle(&self, cx: &Context) {
        let pending = std::mem::take(&mut *self.lock());
        for claim in pending {
            if let Err(refusal) = end(cx, &claim) {
                log::debug!("cannot end an unacknowledged claim yet: {refusal}");
                self.add(claim);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ClaimKey>> {
        self.0.lock().expect("no thread panics with the lock")
    }
}

fn end(cx: &Context, claim: &ClaimKey) -> Result<(), Refusal> {
    let outcome = cx.store.propose(cx, claim.clone())?;
    if let Outcome::KeyClaim(KeyClaim::Claimed { claim: number }) = outcome {
        let finish = FinishKey {
            key: claim.key,
            claim: number,
            end: CallOutcome::NotRun,
        };
        cx.store.propose(cx, finish)?;
    }
    Ok(())
}
