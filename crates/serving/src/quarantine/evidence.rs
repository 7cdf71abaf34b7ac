//! Evidence against features of requests, from crashes of targets.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use yuccaseam_base::{
    Millis,
    record, //
};

use crate::targets::TargetKey;

use super::Feature;

/// Consecutive crashes after which a feature is quarantined. Two in a row can be a coincidence.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Crashes that are needed beyond that if the requests were in flight together. What ends many targets one
/// after the other, such as the loss of a failure domain, cuts off requests that have only their
/// usual parts in common.
const FURTHER_OVERLAPPING_CRASHES: usize = 2;
/// Time after a crash from which a request counts as sent after it, and another crash as a later one. Reports
/// of one moment arrive at different times.
const ORDER_MARGIN: Millis = Millis(100);
/// How long before a crash the next repeat of a whole request may seem to have been sent: an entry sends it
/// again as soon as its connection breaks, and reports travel for different times.
const REPEAT_MARGIN: Millis = Millis(50);
/// How long a crash counts. Requests with a feature may be rare.
const EVIDENCE_LIFETIME: Millis = Millis::from_secs(600);
/// Longest time between two reports of one crash of a target. A report of another time is of another crash:
/// the first one may have been a reset of connections, after which the same start of the target goes on.
const MAX_REPORT_SPREAD: Millis = Millis::from_secs(5);
/// Crashes that are kept. The oldest is dropped beyond that.
const MAX_CRASHES: usize = 256;
/// Suspected features that instances watch for.
const MAX_SUSPECTED: usize = 64;
/// Requests that are kept of one crash: more than the slots of a target.
const MAX_REQUESTS_PER_CRASH: usize = 64;

/// Shifts the time so that crashes from before the start of the clock keep their order. Instances report
/// such crashes to a leader that has just started.
fn evidence_time(now: Millis) -> Millis {
    now + EVIDENCE_LIFETIME
}

/// A request that was cut off by a crash of its target before the end of its answer.
#[record]
pub struct CrashReport {
    /// Start of the target that crashed.
    pub target: TargetKey,
    /// Features of the request: the shared parts of its prompt in order, then the whole request.
    pub features: Vec<Feature>,
    /// Time from when the request was sent to the crash.
    pub ran_for: Millis,
    /// Time since the crash.
    pub age: Millis,
}

#[derive(Debug)]
struct CutOffRequest {
    features: Vec<Feature>,
    sent_at: Millis,
}

impl CutOffRequest {
    /// The whole request. `None` for a batch item.
    fn whole(&self) -> Option<Feature> {
        self.features
            .iter()
            .copied()
            .find(|feature| feature.is_whole_request())
    }
}

#[derive(Debug)]
struct Crash {
    target: TargetKey,
    at: Millis,
    requests: Vec<CutOffRequest>,
    cause: Cause,
}

/// What is known of the cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    Unknown,
    /// A feature that was quarantined because of this crash, among others.
    Found(Feature),
    /// A feature that was quarantined before the crash was reported.
    Known(Feature),
}

impl Cause {
    fn feature(self) -> Option<Feature> {
        match self {
            Self::Unknown => None,
            Self::Found(feature) | Self::Known(feature) => Some(feature),
        }
    }

    /// Whether it is a prompt part, which accounts for all of a crash.
    fn is_prompt_part(self) -> bool {
        let feature = self.feature();
        feature.is_some_and(|feature| !feature.is_whole_request())
    }
}

impl Crash {
    fn features(&self) -> Vec<Feature> {
        let features = self.requests.iter().flat_map(|request| &request.features);
        features.copied().collect()
    }

    /// Records a cause. Returns whether that changes what the crash is evidence against.
    fn explain(&mut self, cause: Cause) -> bool {
        let is_new = match self.cause {
            Cause::Unknown => true,
            Cause::Found(_) => cause.is_prompt_part() || matches!(cause, Cause::Known(_)),
            Cause::Known(_) => cause.is_prompt_part() && !self.cause.is_prompt_part(),
        };
        if is_new {
            self.cause = cause;
        }
        is_new
    }

    /// Requests with a feature that the crash is evidence against.
    fn suspects(&self, feature: Feature) -> impl Iterator<Item = &CutOffRequest> {
        let requests = self.requests.iter();
        requests.filter(move |request| {
            request.features.contains(&feature) && self.is_evidence(request, feature)
        })
    }

    /// Whether the crash is evidence against a feature of a request that it cut off.
    fn is_evidence(&self, request: &CutOffRequest, feature: Feature) -> bool {
        let Some(cause) = self.cause.feature() else {
            return true;
        };
        if !cause.is_whole_request() {
            return false;
        }
        if request.features.contains(&cause) {
            // One of its own parts may be what crashes targets.
            return cause != feature;
        }
        // The request that was found first may have been a bystander.
        matches!(self.cause, Cause::Found(_)) && feature.is_whole_request()
    }
}

/// Recent crashes, and the features that were there.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// Ordered by time.
    crashes: VecDeque<Crash>,
    /// Consecutive crashes of each feature, at least one.
    counts: BTreeMap<Feature, usize>,
    /// When a target last answered a request with a feature. Only features of recent crashes.
    proved_at: BTreeMap<Feature, Millis>,
    /// Features that were in the crashes of a culprit, before it in the prompts, and when the last of these
    /// crashes was. No target has answered a request with them since.
    passed_over: BTreeMap<Feature, Millis>,
    /// Culprits of which no target has answered a request since. They are not found a second time.
    taken: BTreeSet<Feature>,
}

impl CrashEvidence {
    /// Records a request that a crash cut off. `cause` is a feature of it that is quarantined already. False
    /// if it is no evidence, because the target was down already when it was sent.
    pub fn record(&mut self, report: CrashReport, cause: Option<Feature>, now: Millis) -> bool {
        let now = evidence_time(now);
        self.expire(now);
        let at = now - report.age;
        let sent_at = at - report.ran_for;
        let position = self.find_or_insert(report.target, at);
        let crash = &mut self.crashes[position];
        if sent_at > crash.at {
            return false;
        }
        let becomes_explained = cause.is_some_and(|cause| crash.explain(Cause::Known(cause)));
        let features = report.features.clone();
        let mut requests = crash.requests.iter_mut();
        if let Some(known) = requests.find(|known| known.features == report.features) {
            known.sent_at = known.sent_at.max(sent_at);
        } else if crash.requests.len() < MAX_REQUESTS_PER_CRASH {
            crash.requests.push(CutOffRequest {
                features: report.features,
                sent_at,
            });
        }
        if becomes_explained {
            let affected = crash.features();
            self.recount(affected);
        }
        self.recount(features);
        true
    }

    /// Position of a target's crash at a time. The earliest report of a crash tells its time.
    fn find_or_insert(&mut self, target: TargetKey, at: Millis) -> usize {
        let known = self.crashes.iter().rposition(|crash| {
            crash.target == target
                && at <= crash.at + MAX_REPORT_SPREAD
                && crash.at <= at + MAX_REPORT_SPREAD
        });
        match known {
            Some(position) if at < self.crashes[position].at => self.move_back(position, at),
            Some(position) => position,
            None => {
                if self.crashes.len() == MAX_CRASHES
                    && let Some(dropped) = self.crashes.pop_front()
                {
                    self.recount(dropped.features());
                }
                self.insert(Crash {
                    target,
                    at,
                    requests: Vec::new(),
                    cause: Cause::Unknown,
                })
            }
        }
    }

    /// Inserts a crash in the order of time, and returns its position.
    fn insert(&mut self, crash: Crash) -> usize {
        let position = self
            .crashes
            .partition_point(|earlier| earlier.at <= crash.at);
        self.crashes.insert(position, crash);
        position
    }

    /// Corrects the time of a crash that was reported late at first, and returns its new position. Requests
    /// that were sent after it are no evidence.
    fn move_back(&mut self, position: usize, at: Millis) -> usize {
        let Some(mut crash) = self.crashes.remove(position) else {
            return position;
        };
        let affected = crash.features();
        crash.at = at;
        crash.requests.retain(|request| request.sent_at <= at);
        let position = self.insert(crash);
        self.recount(affected);
        position
    }

    /// Records that a target has answered a request with these features.
    pub fn prove(&mut self, features: &[Feature], now: Millis) {
        let now = evidence_time(now);
        for feature in features {
            self.passed_over.remove(feature);
            self.taken.remove(feature);
            if self.counts.remove(feature).is_some() {
                self.proved_at.insert(*feature, now);
            }
        }
    }

    /// Records that the leader has released a feature. Only further crashes are evidence against it.
    pub fn release(&mut self, feature: Feature) {
        self.taken.remove(&feature);
    }

    /// Features that the next crashes may quarantine, those with most crashes first.
    pub fn suspected(&self) -> Vec<Feature> {
        let counts = self.counts.iter();
        let close = counts.filter(|(feature, count)| {
            **count + 1 >= CRASHES_TO_QUARANTINE || self.passed_over.contains_key(feature)
        });
        // A prompt part is in more requests than a whole request, and its quarantine refuses more.
        let rank = |feature: Feature, count| (count, !feature.is_whole_request(), feature);
        let mut close: Vec<_> = close
            .map(|(feature, count)| rank(*feature, *count))
            .collect();
        close.sort_unstable_by(|a, b| b.cmp(a));
        close.truncate(MAX_SUSPECTED);
        close.into_iter().map(|(.., feature)| feature).collect()
    }

    /// Returns the features to quarantine now, and takes their crashes as explained.
    pub fn take_culprits(&mut self) -> Vec<Feature> {
        let counts = self.counts.iter();
        let whole = counts.filter(|(feature, count)| {
            feature.is_whole_request() && **count >= CRASHES_TO_QUARANTINE
        });
        // Each by its own crashes: the quarantine of a whole request refuses no other one.
        let mut culprits: Vec<_> = whole.map(|(feature, _)| *feature).collect();
        for culprit in &culprits {
            self.take(*culprit);
        }
        while let Some(culprit) = self.next_culprit() {
            self.take(culprit);
            culprits.push(culprit);
        }
        culprits
    }

    /// Returns the feature to quarantine next, if any.
    ///
    /// Parts that come earlier in prompts are in more requests, so they are in more crashes by coincidence,
    /// and their quarantine refuses more. A later feature of the same requests is therefore preferred if it
    /// was in as many crashes but for one. If that has hidden an earlier part before, the higher count
    /// decides: the later ones may belong to requests that were sent again.
    fn next_culprit(&self) -> Option<Feature> {
        let counts = self.counts.iter();
        let (first, most) = counts.max_by_key(|(feature, count)| (**count, **feature))?;
        if *most < CRASHES_TO_QUARANTINE {
            return None;
        }
        let candidates = self
            .requests_with(*first)
            .flat_map(|request| &request.features)
            .filter_map(|feature| self.counts.get_key_value(feature));
        let close = candidates.filter(|(_, count)| **count + 1 >= *most);
        let close: BTreeMap<_, _> = close.collect();
        let rank = |feature: &Feature| (self.depth(*feature), close[feature], *feature);
        let last = close.keys().copied().max_by_key(|feature| rank(feature))?;
        let hidden = close.keys().copied().filter(|feature| {
            close[*feature] > close[last] && self.passed_over.contains_key(*feature)
        });
        Some(*hidden.max_by_key(|feature| rank(feature)).unwrap_or(last))
    }

    /// Takes the crashes of a culprit as explained.
    fn take(&mut self, culprit: Feature) {
        // A whole request hides none of its parts: its crashes still count once against each.
        if !culprit.is_whole_request() {
            self.pass_over_features_before(culprit);
        }
        self.taken.insert(culprit);
        let mut affected = vec![culprit];
        for crash in &mut self.crashes {
            if crash.suspects(culprit).next().is_some() {
                crash.explain(Cause::Found(culprit));
                affected.extend(crash.features());
            }
        }
        self.recount(affected);
    }

    /// Remembers features that were in the crashes of a culprit, before it in the prompts.
    fn pass_over_features_before(&mut self, culprit: Feature) {
        for crash in &self.crashes {
            for request in crash.suspects(culprit) {
                let mut features = request.features.iter();
                let Some(position) = features.position(|feature| *feature == culprit) else {
                    continue;
                };
                let earlier = request.features[..position].iter();
                let counted = earlier.filter(|feature| self.counts.contains_key(feature));
                self.passed_over
                    .extend(counted.map(|feature| (*feature, crash.at)));
            }
        }
    }

    fn recount(&mut self, features: Vec<Feature>) {
        for feature in features {
            let count = if self.taken.contains(&feature) {
                0
            } else {
                self.count_crashes(feature)
            };
            match count {
                0 => self.counts.remove(&feature),
                count => self.counts.insert(feature, count),
            };
        }
    }

    /// Number of crashes that count against a feature.
    fn count_crashes(&self, feature: Feature) -> usize {
        let overlapping = self.overlapping_crashes(feature);
        let overlapping = overlapping.saturating_sub(FURTHER_OVERLAPPING_CRASHES);
        self.crashes_in_a_row(feature).max(overlapping)
    }

    /// Crashes since a feature was last proved.
    fn unproved_crashes(&self, feature: Feature) -> impl Iterator<Item = &Crash> {
        let proved_at = self.proved_at.get(&feature).copied();
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| proved_at.is_none_or(|proved_at| proved_at < crash.at))
    }

    /// Number of crashes since a feature was last proved, each with a request that was sent after the crash
    /// before it. Those of one whole request count once against its prompt parts: it may have crashed its
    /// targets by itself.
    fn crashes_in_a_row(&self, feature: Feature) -> usize {
        let mut counted = BTreeSet::new();
        let mut count = 0;
        let mut next_sent_at = Millis::ZERO;
        for crash in self.unproved_crashes(feature) {
            let mut suspects = crash.suspects(feature).filter(|request| {
                let whole = request.whole();
                let is_repeat = whole.is_some_and(|whole| counted.contains(&whole));
                request.sent_at >= next_sent_at && !is_repeat
            });
            let Some(request) = suspects.next() else {
                continue;
            };
            count += 1;
            if feature.is_whole_request() {
                next_sent_at = crash.at - REPEAT_MARGIN;
            } else {
                next_sent_at = crash.at + ORDER_MARGIN;
                counted.extend(request.whole());
            }
        }
        count
    }

    /// Number of crashes since a feature was last proved, whenever their requests were sent. Simultaneous ones
    /// count once, and so do those of one whole request against its prompt parts.
    fn overlapping_crashes(&self, feature: Feature) -> usize {
        let mut counted = BTreeSet::new();
        let mut count = 0;
        let mut next_crash_at = Millis::ZERO;
        for crash in self.unproved_crashes(feature) {
            let mut suspects = crash.suspects(feature).filter(|request| {
                let whole = request.whole();
                !whole.is_some_and(|whole| counted.contains(&whole))
            });
            if crash.at < next_crash_at {
                continue;
            }
            let Some(request) = suspects.next() else {
                continue;
            };
            count += 1;
            next_crash_at = crash.at + ORDER_MARGIN;
            if !feature.is_whole_request() {
                counted.extend(request.whole());
            }
        }
        count
    }

    /// Requests with a feature that crashes are evidence against.
    fn requests_with(&self, feature: Feature) -> impl Iterator<Item = &CutOffRequest> {
        let crashes = self.crashes.iter();
        crashes.flat_map(move |crash| crash.suspects(feature))
    }

    /// Position of a feature in its requests.
    fn depth(&self, feature: Feature) -> usize {
        let positions = self
            .requests_with(feature)
            .filter_map(|request| request.features.iter().position(|other| *other == feature));
        positions.max().unwrap_or_default()
    }

    fn expire(&mut self, now: Millis) {
        let expired = self
            .crashes
            .partition_point(|crash| now > crash.at + EVIDENCE_LIFETIME);
        let expired: Vec<_> = self.crashes.drain(..expired).collect();
        self.recount(expired.iter().flat_map(Crash::features).collect());
        self.passed_over
            .retain(|_, crashed_at| now <= *crashed_at + EVIDENCE_LIFETIME);
        self.proved_at
            .retain(|_, proved_at| now <= *proved_at + EVIDENCE_LIFETIME);
    }
}
