//! Quarantine of features: reports of followers, and the list that all instances have.

use yuccaseam_base::Millis;

use crate::{
    link::{
        LeaderFrame,
        LeaderMessage, //
    },
    quarantine::{
        CrashReport,
        Feature,
        QuarantineManager, //
    },
    state::Command,
};

use super::Hub;

impl Hub {
    /// Whether this instance leads and has loaded the recorded features.
    pub(in crate::store) fn decides_on_features(&self) -> bool {
        self.inner().leader_since.is_some() && self.replica.holds_lease()
    }

    /// Records requests that crashes of their targets cut off.
    pub(in crate::store) fn record_crashes(&self, reports: Vec<CrashReport>) {
        let now = self.cx.clock.now();
        let mut culprits = Vec::new();
        for report in reports {
            log::info!(
                target_key = report.target.0, features:? = report.features, ran_for_ms = report.ran_for.0,
                age_ms = report.age.0; "crash of a target reported");
            culprits.extend(self.inner().quarantine.record_crash(report, now));
        }
        self.quarantine(culprits, now);
    }

    /// Decides on the evidence of earlier reports, and releases what no request has had for long.
    pub(super) fn decide_on_features(&self, now: Millis) {
        let culprits = self.inner().quarantine.decide(now);
        self.quarantine(culprits, now);
        let unused = self.inner().quarantine.release_unused(now);
        self.release(unused, now);
    }

    /// Records that features are quarantined, and tells the followers.
    fn quarantine(&self, culprits: Vec<Feature>, now: Millis) {
        if culprits.is_empty() {
            return;
        }
        for feature in &culprits {
            log::warn!(feature:% = feature; "feature quarantined");
        }
        metrics::counter!("yuccaseam_features_quarantined_total").increment(culprits.len() as u64);
        self.propose(Command::Quarantine {
            features: culprits,
            trials: 0,
        });
        self.send_features(now);
    }

    /// Records that targets have answered requests with these features.
    pub(in crate::store) fn prove_features(&self, features: &[Feature]) {
        let now = self.cx.clock.now();
        let released = self.inner().quarantine.prove(features, now);
        self.release(released, now);
    }

    /// Records that features are released, and tells the followers.
    fn release(&self, released: Vec<Feature>, now: Millis) {
        if released.is_empty() {
            return;
        }
        for feature in &released {
            log::info!(feature:% = feature; "feature released");
        }
        self.propose(Command::Release(released));
        self.send_features(now);
    }

    /// Grants the trial of a quarantined feature if one is due.
    pub(in crate::store) fn grant_trial(&self, feature: Feature) -> bool {
        let now = self.cx.clock.now();
        let Some(trials) = self.inner().quarantine.grant_trial(feature, now) else {
            return false;
        };
        log::info!(feature:% = feature, trials; "trial of a quarantined feature granted");
        self.propose(Command::Quarantine {
            features: vec![feature],
            trials,
        });
        self.send_features(now);
        true
    }

    /// Grants a batch item with a quarantined feature a trial of its own if one is due.
    pub(in crate::store) fn grant_item_trial(&self, feature: Feature) -> bool {
        let now = self.cx.clock.now();
        let is_granted = self.inner().quarantine.grant_item_trial(feature, now);
        if is_granted {
            log::info!(feature:% = feature; "trial of a quarantined feature granted to an item");
        }
        is_granted
    }

    /// Takes a trial of an item back that no target ran.
    pub(in crate::store) fn return_item_trial(&self, feature: Feature) {
        let now = self.cx.clock.now();
        self.inner().quarantine.return_item_trial(feature, now);
    }

    /// Sends the list of features to a follower that accepts it, now and after each change.
    pub(super) fn send_features_to(&self, follower: u64) {
        let mut inner = self.inner();
        let message = LeaderMessage::Features(inner.sent_features.clone());
        if let Some(follower) = inner.followers.get_mut(&follower) {
            follower.accepts_features = true;
        }
        drop(inner);
        self.send(follower, message);
    }

    /// Applies the list of features and sends it to the followers, if it has changed.
    pub(super) fn send_features(&self, now: Millis) {
        let mut inner = self.inner();
        let list = inner.quarantine.list(now);
        if list == inner.sent_features {
            return;
        }
        inner.sent_features.clone_from(&list);
        drop(inner);
        metrics::gauge!("yuccaseam_quarantined_features").set(list.quarantined.len() as f64);
        self.cx.feature_guard().apply(list.clone());
        let frame = LeaderFrame::from(&LeaderMessage::Features(list));
        self.inner().followers.retain(|_, follower| {
            !follower.accepts_features || follower.tx.try_send(frame.clone()).is_ok()
        });
    }

    /// Loads the quarantined features recorded in the log.
    pub(super) fn load_recorded_features(&self, now: Millis) {
        let recorded = self.replica.read(|state| state.quarantined().clone());
        let quarantine = QuarantineManager::restore(recorded, now);
        let list = quarantine.list(now);
        let mut inner = self.inner();
        inner.quarantine = quarantine;
        inner.sent_features.clone_from(&list);
        drop(inner);
        self.cx.feature_guard().apply(list);
    }
}
