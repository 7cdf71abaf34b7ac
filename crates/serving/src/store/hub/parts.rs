//! Quarantine of prompt parts: reports of followers, and the list that all instances have.

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
    /// Whether this instance leads and has loaded the recorded parts.
    pub(in crate::store) fn decides_on_parts(&self) -> bool {
        self.inner().leader_since.is_some() && self.replica.holds_lease()
    }

    /// Records requests that crashes of their targets cut off.
    pub(in crate::store) fn record_crashes(&self, reports: Vec<CrashReport>) {
        let now = self.cx.clock.now();
        let mut culprits = Vec::new();
        for report in reports {
            log::info!(
                target_key = report.target.0, parts:? = report.parts, ran_for_ms = report.ran_for.0,
                age_ms = report.age.0; "crash of a target reported");
            culprits.extend(self.inner().quarantine.record_crash(report, now));
        }
        self.quarantine(culprits, now);
    }

    /// Decides on the evidence of earlier reports.
    pub(super) fn decide_on_parts(&self, now: Millis) {
        let culprits = self.inner().quarantine.decide(now);
        self.quarantine(culprits, now);
    }

    /// Records that parts are quarantined, and tells the followers.
    fn quarantine(&self, culprits: Vec<Feature>, now: Millis) {
        if culprits.is_empty() {
            return;
        }
        for part in &culprits {
            log::warn!(part:% = part; "prompt part quarantined");
        }
        metrics::counter!("yuccaseam_parts_quarantined_total").increment(culprits.len() as u64);
        self.propose(Command::Quarantine {
            parts: culprits,
            trials: 0,
        });
        self.send_parts(now);
    }

    /// Records that targets have begun to answer requests with these parts.
    pub(in crate::store) fn prove_parts(&self, parts: &[Feature]) {
        let now = self.cx.clock.now();
        let released = self.inner().quarantine.prove(parts, now);
        if released.is_empty() {
            return;
        }
        for part in &released {
            log::info!(part:% = part; "prompt part released");
        }
        self.propose(Command::Release(released));
        self.send_parts(now);
    }

    /// Grants the trial of a quarantined part if one is due.
    pub(in crate::store) fn grant_trial(&self, part: Feature) -> bool {
        let now = self.cx.clock.now();
        let Some(trials) = self.inner().quarantine.grant_trial(part, now) else {
            return false;
        };
        log::info!(part:% = part, trials; "trial of a quarantined prompt part granted");
        self.propose(Command::Quarantine {
            parts: vec![part],
            trials,
        });
        self.send_parts(now);
        true
    }

    /// Grants a batch item with a quarantined part a trial of its own if one is due.
    pub(in crate::store) fn grant_item_trial(&self, part: Feature) -> bool {
        let now = self.cx.clock.now();
        let is_granted = self.inner().quarantine.grant_item_trial(part, now);
        if is_granted {
            log::info!(part:% = part; "trial of a quarantined prompt part granted to an item");
        }
        is_granted
    }

    /// Takes a trial of an item back that no target ran.
    pub(in crate::store) fn return_item_trial(&self, part: Feature) {
        let now = self.cx.clock.now();
        self.inner().quarantine.return_item_trial(part, now);
    }

    /// Sends the list of parts to a follower that accepts it, now and after each change.
    pub(super) fn send_parts_to(&self, follower: u64) {
        let mut inner = self.inner();
        let message = LeaderMessage::Parts(inner.sent_parts.clone());
        if let Some(follower) = inner.followers.get_mut(&follower) {
            follower.accepts_parts = true;
        }
        drop(inner);
        self.send(follower, message);
    }

    /// Applies the list of parts and sends it to the followers, if it has changed.
    pub(super) fn send_parts(&self, now: Millis) {
        let mut inner = self.inner();
        let list = inner.quarantine.list(now);
        if list == inner.sent_parts {
            return;
        }
        inner.sent_parts.clone_from(&list);
        drop(inner);
        metrics::gauge!("yuccaseam_quarantined_parts").set(list.quarantined.len() as f64);
        self.cx.part_guard().apply(list.clone());
        let frame = LeaderFrame::from(&LeaderMessage::Parts(list));
        self.inner().followers.retain(|_, follower| {
            !follower.accepts_parts || follower.tx.try_send(frame.clone()).is_ok()
        });
    }

    /// Loads the quarantined parts recorded in the log.
    pub(super) fn load_recorded_parts(&self, now: Millis) {
        let recorded = self.replica.read(|state| state.quarantined().clone());
        let quarantine = QuarantineManager::restore(recorded, now);
        let list = quarantine.list(now);
        let mut inner = self.inner();
        inner.quarantine = quarantine;
        inner.sent_parts.clone_from(&list);
        drop(inner);
        self.cx.part_guard().apply(list);
    }
}
