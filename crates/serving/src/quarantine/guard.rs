//! Admission of requests by their features, at each instance.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use yuccaseam_base::{
    Millis,
    value, //
};

use crate::targets::TargetKey;

use super::{
    CrashEvidence,
    CrashReport,
    Feature,
    FeatureList, //
};

/// How long a feature stays quarantined at first that this instance alone has decided on. The leader decides
/// as soon as it can be reached.
const LOCAL_QUARANTINE_PERIOD: Millis = Millis::from_secs(30);
/// Longest period of such a quarantine.
const MAX_LOCAL_QUARANTINE_PERIOD: Millis = Millis::from_secs(3_600);
/// How long a crash is reported to each new leader, which has no evidence yet.
const REPORT_LIFETIME: Millis = Millis::from_secs(60);
/// Crashes that are reported to a new leader.
const MAX_REPORTS: usize = 64;

/// Whether a request may be sent to a target.
#[value]
#[derive(Copy)]
pub enum Admission {
    /// No feature is quarantined.
    Allowed,
    /// A feature is quarantined.
    Refused(Feature),
    /// A feature is quarantined, and the leader may grant this request as its trial.
    TrialDue(Feature),
}

/// Quarantine by this instance alone.
#[derive(Debug)]
struct LocalQuarantine {
    until: Millis,
    /// Length of the last period. Doubles if a target crashes again afterwards.
    period: Millis,
}

impl LocalQuarantine {
    fn new(now: Millis) -> Self {
        Self {
            until: now + LOCAL_QUARANTINE_PERIOD,
            period: LOCAL_QUARANTINE_PERIOD,
        }
    }

    fn is_active(&self, now: Millis) -> bool {
        now < self.until
    }

    fn renew(&mut self, now: Millis) {
        self.period = (self.period * 2).min(MAX_LOCAL_QUARANTINE_PERIOD);
        self.until = now + self.period;
    }
}

#[derive(Debug)]
struct KeptReport {
    report: CrashReport,
    crashed_at: Millis,
}

/// Features that this instance watches or refuses, as last sent by the leader and from its own evidence.
#[derive(Debug, Default)]
pub struct FeatureGuard {
    list: FeatureList,
    /// Whether the leader sent its list over the current connection. It decides then; this instance does
    /// not know which targets others saw crash.
    is_current: bool,
    evidence: CrashEvidence,
    /// Features that this instance has quarantined itself.
    local: BTreeMap<Feature, LocalQuarantine>,
    reports: VecDeque<KeptReport>,
}

impl FeatureGuard {
    /// Records that the connection to the leader is lost. Its list stays in force until the next leader has
    /// sent its own.
    pub fn end_connection(&mut self) {
        self.is_current = false;
    }

    /// Applies the list of the leader.
    pub fn apply(&mut self, list: FeatureList) {
        let is_update = std::mem::replace(&mut self.is_current, true);
        let known: BTreeSet<_> = self.known_features().collect();
        let quarantined = self.list.quarantined.iter();
        let quarantined: BTreeSet<_> = quarantined.map(|entry| entry.feature).collect();
        self.list = list;
        // A new leader lists what it knows of, which are no suspected features yet.
        if !is_update {
            return;
        }
        let now_known: BTreeSet<_> = self.known_features().collect();
        // Crashes that do not count any more are no evidence for the next leader either. Those of a
        // released feature count against none of its requests' features.
        let cleared: BTreeSet<_> = known.difference(&now_known).copied().collect();
        self.local.retain(|feature, _| !cleared.contains(feature));
        for feature in &cleared {
            self.evidence.release(*feature);
        }
        self.reports.retain_mut(|kept| {
            let features = &mut kept.report.features;
            let was_released = features
                .iter()
                .any(|feature| cleared.contains(feature) && quarantined.contains(feature));
            features.retain(|feature| !cleared.contains(feature));
            !was_released && !features.is_empty()
        });
    }

    /// The list that this instance passes on to those which follow the leader through it.
    pub fn list(&self) -> &FeatureList {
        &self.list
    }

    fn known_features(&self) -> impl Iterator<Item = Feature> {
        let quarantined = self.list.quarantined.iter().map(|entry| entry.feature);
        quarantined.chain(self.list.suspected.iter().copied())
    }

    /// Whether there is a feature whose requests are refused.
    pub fn refuses_any(&self) -> bool {
        !self.list.quarantined.is_empty() || !self.is_current && !self.local.is_empty()
    }

    /// Decides on a request with these features.
    pub fn admit(&self, features: &[Feature], now: Millis) -> Admission {
        let mut due = None;
        for feature in features {
            let mut quarantined = self.list.quarantined.iter();
            let listed = quarantined.find(|entry| entry.feature == *feature);
            let local = self.local.get(feature);
            match listed {
                // The leader grants trials also of features that this instance has quarantined itself.
                Some(entry) if entry.trial_due => due = due.or(Some(*feature)),
                Some(_) => return Admission::Refused(*feature),
                None if !self.is_current && local.is_some_and(|local| local.is_active(now)) => {
                    return Admission::Refused(*feature);
                }
                None => {}
            }
        }
        due.map_or(Admission::Allowed, Admission::TrialDue)
    }

    /// The quarantined ones of these features, without those whose trial is due.
    pub fn refused_features(&self, features: &[Feature], now: Millis) -> Vec<Feature> {
        let is_refused =
            |feature: &Feature| matches!(self.admit(&[*feature], now), Admission::Refused(_));
        features.iter().copied().filter(is_refused).collect()
    }

    /// Records a request that a crash cut off. Returns the report for the leader, if it
    /// is evidence, and the features that are quarantined here from now on.
    pub fn record_crash(
        &mut self,
        target: TargetKey,
        features: &[Feature],
        ran_for: Millis,
        now: Millis,
    ) -> (Option<CrashReport>, Vec<Feature>) {
        let report = CrashReport {
            target,
            features: features.to_vec(),
            ran_for,
            age: Millis::ZERO,
        };
        let mut features = report.features.iter().copied();
        let known = features.find(|feature| self.local.contains_key(feature));
        let cause = match self.admit(&report.features, now) {
            Admission::Refused(feature) | Admission::TrialDue(feature) => Some(feature),
            Admission::Allowed => known,
        };
        if !self.evidence.record(report.clone(), cause, now) {
            return (None, Vec::new());
        }
        self.reports
            .retain(|kept| now <= kept.crashed_at + REPORT_LIFETIME);
        if self.reports.len() == MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back(KeptReport {
            report: report.clone(),
            crashed_at: now,
        });
        let culprits = if self.is_current {
            Vec::new()
        } else {
            self.quarantine_locally(known, now)
        };
        (Some(report), culprits)
    }

    /// Quarantines features by the evidence of this instance, or renews the earlier quarantine of `known`.
    fn quarantine_locally(&mut self, known: Option<Feature>, now: Millis) -> Vec<Feature> {
        if let Some(feature) = known
            && let Some(local) = self.local.get_mut(&feature)
        {
            // Others were sent before the quarantine.
            if local.is_active(now) {
                return Vec::new();
            }
            local.renew(now);
            return vec![feature];
        }
        let culprits = self.evidence.take_culprits();
        for culprit in &culprits {
            let quarantine = || LocalQuarantine::new(now);
            self.local.entry(*culprit).or_insert_with(quarantine);
        }
        culprits
    }

    /// Records that a target has answered a request with these features. Returns those that the leader has to
    /// know of.
    pub fn prove(&mut self, features: &[Feature], now: Millis) -> Vec<Feature> {
        if features.is_empty() {
            return Vec::new();
        }
        self.evidence.prove(features, now);
        self.local.retain(|feature, _| !features.contains(feature));
        let known: BTreeSet<_> = self.known_features().collect();
        let features = features.iter().copied();
        features.filter(|feature| known.contains(feature)).collect()
    }

    /// Recent crashes that this instance saw, for a new leader.
    pub fn recent_reports(&self, now: Millis) -> Vec<CrashReport> {
        let reports = self.reports.iter().map(|kept| CrashReport {
            age: now - kept.crashed_at,
            ..kept.report.clone()
        });
        let recent = reports.filter(|report| report.age <= REPORT_LIFETIME);
        recent.collect()
    }
}
