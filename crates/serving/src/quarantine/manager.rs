//! The leader's decisions about features.

use std::collections::BTreeMap;

use yuccaseam_base::{
    Millis,
    record, //
};

use super::{
    CrashEvidence,
    CrashReport,
    Feature, //
};

/// Time from quarantine to the first trial. A feature that was quarantined by coincidence is served again
/// soon.
const FIRST_TRIAL_DELAY: Millis = Millis::from_secs(10);
/// Times before the first and the second batch item that runs with a quarantined feature as a trial of its own:
/// from the quarantine, and from the first one. Items do not crash targets by themselves, so the feature
/// may be sound, and an item is owed where a request of a caller can be refused.
const ITEM_TRIAL_DELAYS: [Millis; 2] = [Millis(500), Millis(2_000)];
/// Growth of the time between two trials: each one may cost a target with all its requests.
const TRIAL_DELAY_FACTOR: u64 = 10;
/// Time for which a new leader only collects reports. Until all entries have reported their crashes again, a
/// request that one of them sent to a target which was down already may look like the cause of its crash.
/// Entries follow the new leader by then.
const COLLECTION_PERIOD: Millis = Millis(600);
/// Shortest time between trials of different features. One trial may crash the target of another, which would
/// count against both.
const TRIAL_SPACING: Millis = Millis(1_000);
/// Longest time between two trials.
const MAX_TRIAL_DELAY: Millis = Millis::from_secs(24 * 3_600);
/// How long a trial is due without a request for it, until the feature is released. Bounds the list.
const UNUSED_RETENTION: Millis = Millis::from_secs(3_600);

/// A quarantined feature.
#[record]
#[derive(Copy)]
pub struct QuarantinedFeature {
    /// The feature.
    pub feature: Feature,
    /// Whether the leader grants a trial to the next request with it.
    pub trial_due: bool,
}

/// Features that all instances know of.
#[record]
#[derive(Default)]
pub struct FeatureList {
    /// Features whose requests are refused.
    pub quarantined: Vec<QuarantinedFeature>,
    /// Features with some evidence against them. Instances report responses to requests with them.
    pub suspected: Vec<Feature>,
}

impl FeatureList {
    /// Whether it names no feature.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty() && self.suspected.is_empty()
    }
}

#[derive(Debug)]
struct Quarantine {
    /// Trials granted so far.
    trials: u32,
    next_trial_at: Millis,
    /// Trials of items granted so far.
    item_trials: usize,
    last_item_trial_at: Millis,
}

impl Quarantine {
    /// A feature that targets have just crashed under.
    fn begin(now: Millis) -> Self {
        Self {
            item_trials: 0,
            ..Self::resume(0, now)
        }
    }

    /// A feature that an earlier leader quarantined. One item is tried.
    fn restore(trials: u32, now: Millis) -> Self {
        Self {
            item_trials: ITEM_TRIAL_DELAYS.len() - 1,
            ..Self::resume(trials, now)
        }
    }

    /// A feature with this many trials so far. Items wait for the next one.
    fn resume(trials: u32, now: Millis) -> Self {
        let factor = TRIAL_DELAY_FACTOR.saturating_pow(trials);
        let delay = Millis(FIRST_TRIAL_DELAY.0.saturating_mul(factor));
        Self {
            trials,
            next_trial_at: now + delay.min(MAX_TRIAL_DELAY),
            item_trials: ITEM_TRIAL_DELAYS.len(),
            last_item_trial_at: now,
        }
    }
}

/// Decides, at the leader, which features are quarantined, and grants trials.
#[derive(Debug, Default)]
pub struct QuarantineManager {
    evidence: CrashEvidence,
    quarantined: BTreeMap<Feature, Quarantine>,
    /// When the reports of all entries are there.
    decides_from: Millis,
    /// Until when no further trial is granted.
    no_trial_until: Millis,
}

impl QuarantineManager {
    /// Continues with the recorded features and the number of trials of each, as a new leader. The time to the
    /// next trial starts anew.
    pub fn restore<I>(recorded: I, now: Millis) -> Self
    where
        I: IntoIterator<Item = (Feature, u32)>,
    {
        let quarantined = recorded
            .into_iter()
            .map(|(feature, trials)| (feature, Quarantine::restore(trials, now)));
        Self {
            evidence: CrashEvidence::default(),
            quarantined: quarantined.collect(),
            decides_from: now + COLLECTION_PERIOD,
            no_trial_until: Millis::ZERO,
        }
    }

    /// Records a request that a crash cut off. Returns the features that are quarantined from now on.
    pub fn record_crash(&mut self, report: CrashReport, now: Millis) -> Vec<Feature> {
        let mut features = report.features.iter();
        let cause = features.find(|feature| self.quarantined.contains_key(feature));
        let cause = cause.copied();
        self.evidence.record(report, cause, now);
        self.decide(now)
    }

    /// Returns the features that are quarantined from now on.
    pub fn decide(&mut self, now: Millis) -> Vec<Feature> {
        if now < self.decides_from {
            return Vec::new();
        }
        let culprits = self.evidence.take_culprits();
        for culprit in &culprits {
            let quarantine = || Quarantine::begin(now);
            self.quarantined.entry(*culprit).or_insert_with(quarantine);
        }
        culprits
    }

    /// Records that a target has answered a request with these features. Returns those that are released.
    pub fn prove(&mut self, features: &[Feature], now: Millis) -> Vec<Feature> {
        self.evidence.prove(features, now);
        let features = features.iter().copied();
        let released = features.filter(|feature| self.quarantined.remove(feature).is_some());
        released.collect()
    }

    /// Releases features that no request has had for a long time, and returns them.
    pub fn release_unused(&mut self, now: Millis) -> Vec<Feature> {
        let unused = self.quarantined.extract_if(.., |_, quarantine| {
            now >= quarantine.next_trial_at + UNUSED_RETENTION
        });
        let unused: Vec<_> = unused.map(|(feature, _)| feature).collect();
        for feature in &unused {
            self.evidence.release(*feature);
        }
        unused
    }

    /// Grants a trial of a feature if one is due. Returns the number of its trials so far.
    pub fn grant_trial(&mut self, feature: Feature, now: Millis) -> Option<u32> {
        let quarantine = self.quarantined.get_mut(&feature)?;
        if now < quarantine.next_trial_at.max(self.no_trial_until) {
            return None;
        }
        self.no_trial_until = now + TRIAL_SPACING;
        let trials = quarantine.trials + 1;
        *quarantine = Quarantine::resume(trials, now);
        Some(trials)
    }

    /// Grants a batch item with a quarantined feature a trial of its own. True if one is due.
    pub fn grant_item_trial(&mut self, feature: Feature, now: Millis) -> bool {
        let Some(quarantine) = self.quarantined.get_mut(&feature) else {
            return false;
        };
        let delay = ITEM_TRIAL_DELAYS.get(quarantine.item_trials);
        if delay.is_none_or(|delay| now < quarantine.last_item_trial_at + *delay) {
            return false;
        }
        quarantine.item_trials += 1;
        quarantine.last_item_trial_at = now;
        true
    }

    /// Takes a trial back that no target ran.
    pub fn return_item_trial(&mut self, feature: Feature, now: Millis) {
        if let Some(quarantine) = self.quarantined.get_mut(&feature)
            && now < quarantine.next_trial_at
        {
            quarantine.item_trials = quarantine.item_trials.saturating_sub(1);
        }
    }

    /// What all instances have to know.
    pub fn list(&self, now: Millis) -> FeatureList {
        let quarantined = self.quarantined.iter();
        let quarantined = quarantined.map(|(feature, quarantine)| QuarantinedFeature {
            feature: *feature,
            trial_due: now >= quarantine.next_trial_at,
        });
        let mut suspected = self.evidence.suspected();
        suspected.retain(|feature| !self.quarantined.contains_key(feature));
        FeatureList {
            quarantined: quarantined.collect(),
            suspected,
        }
    }
}
