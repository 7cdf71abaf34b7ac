//! What its features mean for a request: refusal, trials and evidence.

use yuccaseam_base::Millis;

use crate::{
    crash_reports::{
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

/// When a caller may send a request with a quarantined feature again.
const QUARANTINE_RETRY_AFTER: Millis = Millis::from_secs(30);

impl ActiveRequest {
    /// Fails the request if one of its features is quarantined. If a trial of the feature is due, the
    /// request may wait for a slot.
    pub(super) fn check_features(&self) -> Result<(), RequestFailure> {
        match self.admission_with_trial() {
            Admission::Refused(feature) => Err(self.refuse_feature(feature)),
            Admission::Allowed | Admission::TrialDue(_) => Ok(()),
        }
    }

    /// Whether none of its features is quarantined.
    pub(super) fn features_are_allowed(&self) -> bool {
        self.admission() == Admission::Allowed
    }

    /// Fails the request, for which there is a slot, if one of its features is quarantined and the leader
    /// grants no trial.
    pub(super) async fn take_admission(&mut self) -> Result<(), RequestFailure> {
        match self.admission_with_trial() {
            Admission::Allowed => Ok(()),
            Admission::TrialDue(feature) if crash_reports::take_trial(&self.cx, feature).await => {
                self.trial = Some(feature);
                Ok(())
            }
            Admission::Refused(feature) | Admission::TrialDue(feature) => {
                Err(self.refuse_feature(feature))
            }
        }
    }

    fn admission(&self) -> Admission {
        self.cx.feature_guard().admit(&self.features, self.now())
    }

    /// Like [`Self::admission`], but a trial that was granted holds until a target may have run the request.
    fn admission_with_trial(&self) -> Admission {
        let Some(trial) = self.trial.filter(|_| self.runs == 0) else {
            return self.admission();
        };
        let features = self.features.iter().copied();
        let others: Vec<_> = features.filter(|feature| *feature != trial).collect();
        self.cx.feature_guard().admit(&others, self.now())
    }

    fn refuse_feature(&self, feature: Feature) -> RequestFailure {
        log::info!(request:% = self.id, feature:% = feature; "a feature of the request is quarantined");
        RequestFailure {
            retry_after: Some(QUARANTINE_RETRY_AFTER),
            ..self.fail("request_quarantined")
        }
    }

    /// Records that a target has written a whole answer.
    pub(in super::super) fn prove_features(&self) {
        crash_reports::prove(&self.cx, &self.features);
    }

    /// Records a possible crash of a target before the end of its answer, as evidence against the features of
    /// the request.
    pub(in super::super) fn record_if_crash(&self, slot: &Slot, error: &UpstreamError) {
        if error.is_possible_crash() {
            let request = BrokenRequest {
                target: slot.choice.key,
                address: slot.choice.address,
                features: self.features.clone(),
                sent_at: self.sent_at,
            };
            crash_reports::record_broken(&self.cx, request);
        }
    }
}
