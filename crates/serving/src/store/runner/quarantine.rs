//! Batch items whose prompts have a quarantined part, and evidence from the runs of items.

use std::{
    collections::{
        BTreeMap,
        HashSet, //
    },
    sync::Arc,
};

use yuccaseam_base::Millis;

use crate::{
    cx::Cx,
    parts::BrokenRequest,
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

/// An item that may only run as a trial of a quarantined prompt part.
pub(super) struct HeldItem {
    pub(super) key: ItemKey,
    pub(super) service: String,
    pub(super) part: Feature,
    pub(super) due_at: Millis,
}

impl Runner {
    /// Starts a held item of each part of which a trial is due, at a target that no caller uses.
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
            if !tried.insert((item.service.clone(), item.part)) {
                continue;
            }
            if let Some(target) = self.quietest_target(&item.service, online, now) {
                self.start(item.key, &target, Some(item.part));
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

    /// Whether an item with these prompt parts may run now. Takes the trial of a quarantined part if one is
    /// due.
    pub(super) fn take_part_admission(&self, features: &[Feature]) -> bool {
        let now = self.cx.clock.now();
        let admission = self.cx.part_guard().admit(features, now);
        match admission {
            Admission::Allowed => true,
            Admission::TrialDue(part) => self.hub.grant_trial(part),
            Admission::Refused(_) => false,
        }
    }

    /// Records a possible crash of a target, as evidence against the prompt of the item.
    pub(super) fn record_if_crash(&self, run: &Run) {
        let request = BrokenRequest {
            target: run.target,
            address: run.address,
            parts: run.features.clone(),
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

/// The quarantined prompt parts of an item whose trial is not due.
pub(super) fn refused_parts(cx: &Cx, item: &Item, now: Millis) -> Vec<Feature> {
    let guard = cx.part_guard();
    if !guard.refuses_any() {
        return Vec::new();
    }
    let features = Feature::of_item(&item.headers);
    guard.refused_parts(&features, now)
}
