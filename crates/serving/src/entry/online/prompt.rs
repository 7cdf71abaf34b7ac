//! What the parts of its prompt mean for a request: refusal, trials and evidence.

use yuccaseam_base::Millis;

use crate::{
    parts::{
        self,
        BrokenRequest, //
    },
    quarantine::{
        Admission,
        Feature, //
    },
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
    /// Fails the request if a part of its prompt is quarantined. If a trial of the part is due, the
    /// request may wait for a slot.
    pub(super) fn check_parts(&self) -> Result<(), RequestFailure> {
        match self.admission_with_trial() {
            Admission::Refused(part) => Err(self.refuse_part(part)),
            Admission::Allowed | Admission::TrialDue(_) => Ok(()),
        }
    }

    /// Whether no part of the prompt is quarantined.
    pub(super) fn parts_are_allowed(&self) -> bool {
        self.admission() == Admission::Allowed
    }

    /// Fails the request, for which there is a slot, if a part of its prompt is quarantined and the leader
    /// grants no trial.
    pub(super) async fn take_part_admission(&mut self) -> Result<(), RequestFailure> {
        match self.admission_with_trial() {
            Admission::Allowed => Ok(()),
            Admission::TrialDue(part) if parts::take_trial(&self.cx, part).await => {
                self.trial = Some(part);
                Ok(())
            }
            Admission::Refused(part) | Admission::TrialDue(part) => Err(self.refuse_part(part)),
        }
    }

    fn admission(&self) -> Admission {
        self.cx.part_guard().admit(&self.features, self.now())
    }

    /// Like [`Self::admission`], but a trial that was granted holds until a target may have run the request.
    fn admission_with_trial(&self) -> Admission {
        let Some(trial) = self.trial.filter(|_| self.runs == 0) else {
            return self.admission();
        };
        let features = self.features.iter().copied();
        let others: Vec<_> = features.filter(|feature| *feature != trial).collect();
        self.cx.part_guard().admit(&others, self.now())
    }

    fn refuse_part(&self, part: Feature) -> RequestFailure {
        log::info!(request:% = self.id, part:% = part; "prompt part is quarantined");
        RequestFailure {
            retry_after: Some(QUARANTINE_RETRY_AFTER),
            ..self.fail("part_quarantined")
        }
    }

    /// Records that a target has begun to answer.
    pub(in super::super) fn prove_parts(&self) {
        parts::prove(&self.cx, &self.features);
    }

    /// Records a possible crash of a target that had not begun to answer, as evidence against the prompt.
    pub(in super::super) fn record_if_crash(&self, slot: &Slot, error: &UpstreamError) {
        if error.is_possible_crash() {
            let request = BrokenRequest {
                target: slot.choice.key,
                address: slot.choice.address,
                parts: self.features.clone(),
                sent_at: self.sent_at,
            };
            parts::record_broken(&self.cx, request);
        }
    }
}
