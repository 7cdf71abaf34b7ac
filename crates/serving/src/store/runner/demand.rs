//! Demand of callers, sampled for the scheduling of items.

use std::collections::BTreeMap;

use yuccaseam_base::Millis;

use crate::waves::SAMPLE_INTERVAL;

use super::Runner;

impl Runner {
    /// Records the demand of callers on each service.
    pub(super) fn sample_waves(&mut self, now: Millis) {
        if now < self.sample_at {
            return;
        }
        self.sample_at = now + SAMPLE_INTERVAL;
        let online = self.hub.online(now);
        let targets = self.cx.targets();
        let mut callers = BTreeMap::<&str, u32>::new();
        for record in targets.records().filter(|record| !record.left) {
            let requests = online.get(&record.key()).copied().unwrap_or(0);
            *callers.entry(&record.service).or_default() += requests;
        }
        self.waves
            .retain(|service, _| callers.contains_key(service.as_str()));
        for (service, callers) in callers {
            let waves = self.waves.entry(service.to_owned()).or_default();
            waves.record(now, callers);
        }
    }
}
