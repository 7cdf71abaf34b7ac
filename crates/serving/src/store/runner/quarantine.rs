//! Batch items with a quarantined feature, and evidence from the runs of items.

use std::{
    collections::{
        BTreeMap,
        HashSet, //
    },
    sync::Arc,
};

use yuccaseam_base::Millis;

use crate::{
    crash_reports::BrokenRequest,
    cx::Cx,
    quarantine::{
        Admission,
        Feature, //
    },
    schedule::{
        ItemKey,
        are_loads_known, //
    },
    state::Item,
    targets::{
        TargetKey,
        TargetRecord, //
    },
};

use super::{
    Run,
    Runner, //
};

/// An item that may only run as a trial of a quarantined feature.
pub(super) struct HeldItem {
    pub(super) key: ItemKey,
    pub(super) service: String,
    pub(super) feature: Feature,
    pub(super) due_at: Millis,
}

impl Runner {
    /// Starts a held item of each feature of which a trial is due, at a target that no caller uses.
    pub(super) fn try_held_items(
        &mut self,
        mut held: Vec<HeldItem>,
        online: &BTreeMap<TargetKey, u32>,
        now: Millis,
    ) {
        let is_running = |key| self.runs.values().any(|run| run.key == key);
        held.retain(|item| !is_running(item.key));
        if !are_loads_known(self.hub.leader_for(now)) {
            return;
        }
        held.sort_by_key(|item| (item.due_at, item.key));
        let mut tried = HashSet::new();
        for item in held {
            if !tried.insert((item.service.clone(), item.feature)) {
                continue;
            }
            if let Some(target) = self.quietest_target(&item.service, online, now) {
                self.start(item.key, &target, Some(item.feature));
            }
        }
    }

    /// The target of a service with the fewest items, of those that no caller uses.
    fn quietest_target(
        &self,
        service: &str,
        online: &BTreeMap<TargetKey, u32>,
        now: Millis,
    ) -> Option<TargetRecord> {
        let items_at = |key| self.runs.values().filter(|run| run.target == key).count();
        let targets = self.cx.targets();
        let quiet = targets.records().filter(|record| {
            let key = record.key();
            record.service == service
                && record.takes_work()
                && online.get(&key).is_none_or(|online| *online == 0)
                && items_at(key) < record.slots as usize
                && self.cooldowns.get(&key).is_none_or(|until| now >= *until)
        });
        quiet.min_by_key(|record| items_at(record.key())).cloned()
    }

    /// Whether an item with these features may run now. Takes the trial of a quarantined feature if one is
    /// due.
    pub(super) fn take_admission(&self, features: &[Feature]) -> bool {
        let now = self.cx.clock.now();
        let admission = self.cx.feature_guard().admit(features, now);
        match admission {
            Admission::Allowed => true,
            Admission::TrialDue(feature) => self.hub.grant_trial(feature),
            Admission::Refused(_) => false,
        }
    }

    /// Records a possible crash of a target, as evidence against the features of the item.
    pub(super) fn record_if_crash(&self, run: &Run) {
        let request = BrokenRequest {
            target: run.target,
            address: run.address,
            features: run.features.clone(),
            sent_at: run.started_at,
        };
        let (cx, hub) = (Arc::clone(&self.cx), Arc::clone(&self.hub));
        tokio::spawn(async move {
            if let Some(report) = request.into_report(&cx).await {
                hub.record_crashes(vec![report]);
            }
        });
    }
}

/// The quarantined features of an item whose trial is not due.
pub(super) fn refused_features(cx: &Cx, item: &Item, now: Millis) -> Vec<Feature> {
    let guard = cx.feature_guard();
    if !guard.refuses_any() {
        return Vec::new();
    }
    let features = Feature::of_item(&item.headers);
    guard.refused_features(&features, now)
}
