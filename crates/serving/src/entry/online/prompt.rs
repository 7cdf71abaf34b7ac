//! What the parts of its prompt mean for a request: refusal, trials and evidence.

use yuccaseam_base::Millis;
use yuccaseam_platform::PromptPart;

use crate::{
    parts::{
        self,
        BrokenRequest, //
    },
    quarantine::Admission,
    upstream::UpstreamError, //
};

use super::{
    ActiveRequest,
    RequestFailure,
    Slot, //
};

/// When a caller may send a request with a quarantined prompt part again.
const QUARANTINE_RETRY_AFTER: Millis = Millis::from_secs(30);

impl ActiveRequest {
    /// Fails the request if a part of its prompt is quarantined, unless the leader grants a trial.
    pub(super) async fn check_parts(&mut self) -> Result<(), RequestFailure> {
        let admission = self.admission();
        if let Admission::TrialDue(part) = admission {
            self.has_trial = parts::take_trial(&self.cx, part).await;
        }
        self.check_admission(admission)
    }

    /// Checks the parts again after a wait, in which one may have been quarantined.
    pub(super) fn recheck_parts(&self) -> Result<(), RequestFailure> {
        self.check_admission(self.admission())
    }

    fn admission(&self) -> Admission {
        self.cx.part_guard().admit(&self.parts, self.now())
    }

    fn check_admission(&self, admission: Admission) -> Result<(), RequestFailure> {
        match admission {
            Admission::Refused(part) | Admission::TrialDue(part) if !self.has_trial => {
                Err(self.refuse_part(part))
            }
            _ => Ok(()),
        }
    }

    fn refuse_part(&self, part: PromptPart) -> RequestFailure {
        log::info!(request:% = self.id, part:% = part; "prompt part is quarantined");
        RequestFailure {
            retry_after: Some(QUARANTINE_RETRY_AFTER),
            ..self.fail("part_quarantined")
        }
    }

    /// Records that a target has begun to answer.
    pub(in super::super) fn prove_parts(&self) {
        parts::prove(&self.cx, &self.parts);
    }

    /// Records a possible crash of a target that had not begun to answer, as evidence against the prompt.
    pub(in super::super) fn record_if_crash(&self, slot: &Slot, error: &UpstreamError) {
        if error.is_possible_crash() {
            let request = BrokenRequest {
                target: slot.choice.key,
                address: slot.choice.address,
                parts: self.parts.clone(),
                sent_at: self.sent_at,
            };
            parts::record_broken(&self.cx, request);
        }
    }
}
