//! Claims of keys whose answer was lost, and which therefore ran nothing.
//!
//! A claim that was proposed during a cut may be committed after its caller was told "not run". It
//! would keep the key from being used until this daemon restarts. So the claim is made again, which
//! changes nothing if it was committed, and then ended as "not run".

use std::sync::{
    Mutex,
    MutexGuard, //
};

use yuccaseam_base::Refusal;
use yuccaseam_state::{
    CallEnd,
    ClaimKey,
    FinishKey,
    KeyClaim,
    Outcome, //
};

use crate::context::Context;

/// Claims that wait to be ended.
#[derive(Default)]
pub(crate) struct Unanswered(Mutex<Vec<ClaimKey>>);

impl Unanswered {
    /// Notes a claim whose answer was lost. Its call must never be made.
    pub(super) fn add(&self, claim: ClaimKey) {
        self.lock().push(claim);
    }

    /// Ends as many claims as can be reached now.
    pub(crate) fn settle(&self, cx: &Context) {
        let waiting = std::mem::take(&mut *self.lock());
        for claim in waiting {
            if let Err(refusal) = end(cx, &claim) {
                log::debug!("a claim without an answer waits: {refusal}");
                self.add(claim);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ClaimKey>> {
        self.0.lock().expect("no thread panics with the lock")
    }
}

fn end(cx: &Context, claim: &ClaimKey) -> Result<(), Refusal> {
    let found = cx.store.propose(cx, claim.clone())?;
    if let Outcome::KeyClaim(KeyClaim::Claimed { claim: number }) = found {
        let finish = FinishKey {
            key: claim.key,
            claim: number,
            end: CallEnd::NotRun,
        };
        cx.store.propose(cx, finish)?;
    }
    Ok(())
}
