//! Evidence against prompt parts, from crashes of targets.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use yuccaseam_base::{
    Millis,
    record, //
};
use yuccaseam_platform::PromptPart;

use crate::targets::TargetKey;

/// Consecutive crashes after which a part is quarantined. Two in a row can be a coincidence.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Time after a crash from which a request counts as sent after it. Reports of one moment arrive at
/// different times.
const ORDER_MARGIN: Millis = Millis(100);
/// How long a crash counts. Requests with a part may be rare.
const EVIDENCE_LIFETIME: Millis = Millis::from_secs(600);
/// Longest time between two reports of one crash of a target. A report of another time is of another crash:
/// the first one may have been a reset of connections, after which the same start of the target goes on.
const MAX_REPORT_SPREAD: Millis = Millis::from_secs(5);
/// Crashes that are kept. The oldest is dropped beyond that.
const MAX_CRASHES: usize = 256;
/// Suspected parts that instances watch for.
const MAX_SUSPECTED: usize = 64;
/// Requests that are kept of one crash: more than the slots of a target.
const MAX_REQUESTS_PER_CRASH: usize = 64;

/// Shifts the time so that crashes from before the start of the clock keep their order. Instances report
/// such crashes to a leader that has just started.
fn evidence_time(now: Millis) -> Millis {
    now + EVIDENCE_LIFETIME
}

/// A request that was cut off by a crash of its target before its first event.
#[record]
pub struct CrashReport {
    /// Start of the target that crashed.
    pub target: TargetKey,
    /// Shared parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Time from when the request was sent to the crash.
    pub ran_for: Millis,
    /// Time since the crash.
    pub age: Millis,
}

#[derive(Debug)]
struct CutOffRequest {
    parts: Vec<PromptPart>,
    sent_at: Millis,
}

#[derive(Debug)]
struct Crash {
    target: TargetKey,
    at: Millis,
    requests: Vec<CutOffRequest>,
    /// Whether one of the requests has a part that was quarantined. The crash is no evidence against
    /// the parts of others.
    explained: bool,
}

impl Crash {
    fn parts(&self) -> Vec<PromptPart> {
        let parts = self.requests.iter().flat_map(|request| &request.parts);
        parts.copied().collect()
    }

    /// When the last request with a part was sent.
    fn sent_at(&self, part: PromptPart) -> Option<Millis> {
        let requests = self.requests.iter();
        let with_part = requests.filter(|request| request.parts.contains(&part));
        with_part.map(|request| request.sent_at).max()
    }
}

/// Recent crashes, and the parts that were there.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// Ordered by time.
    crashes: VecDeque<Crash>,
    /// Consecutive crashes of each part, at least one.
    counts: BTreeMap<PromptPart, usize>,
    /// When a target last began to answer a request with a part. Only parts of recent crashes.
    proved_at: BTreeMap<PromptPart, Millis>,
    /// Parts that were in the crashes of a culprit, before it in the prompts, and when the last of these
    /// crashes was. No target has begun to answer a request with them since.
    passed_over: BTreeMap<PromptPart, Millis>,
}

impl CrashEvidence {
    /// Records a request that a crash cut off. `is_explained` says whether one of its parts is
    /// quarantined already. False if it is no evidence, because the target was down already when it was
    /// sent.
    pub fn record(&mut self, report: CrashReport, is_explained: bool, now: Millis) -> bool {
        let now = evidence_time(now);
        self.expire(now);
        let at = now - report.age;
        let sent_at = at - report.ran_for;
        let position = self.find_or_insert(report.target, at);
        let crash = &mut self.crashes[position];
        if sent_at > crash.at {
            return false;
        }
        let becomes_explained = is_explained && !crash.explained;
        crash.explained |= is_explained;
        let parts = report.parts.clone();
        let mut requests = crash.requests.iter_mut();
        if let Some(known) = requests.find(|known| known.parts == report.parts) {
            known.sent_at = known.sent_at.max(sent_at);
        } else if crash.requests.len() < MAX_REQUESTS_PER_CRASH {
            crash.requests.push(CutOffRequest {
                parts: report.parts,
                sent_at,
            });
        }
        if becomes_explained {
            let affected = crash.parts();
            self.recount(affected);
        }
        self.recount(parts);
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
                    self.recount(dropped.parts());
                }
                self.insert(Crash {
                    target,
                    at,
                    requests: Vec::new(),
                    explained: false,
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
        let affected = crash.parts();
        crash.at = at;
        crash.requests.retain(|request| request.sent_at <= at);
        let position = self.insert(crash);
        self.recount(affected);
        position
    }

    /// Records that a target has begun to answer a request with these parts.
    pub fn prove(&mut self, parts: &[PromptPart], now: Millis) {
        let now = evidence_time(now);
        for part in parts {
            self.passed_over.remove(part);
            if self.counts.remove(part).is_some() {
                self.proved_at.insert(*part, now);
            }
        }
    }

    /// Parts that the next crashes may quarantine, those with most crashes first.
    pub fn suspected(&self) -> Vec<PromptPart> {
        let counts = self.counts.iter();
        let close = counts.filter(|(part, count)| {
            **count + 1 >= CRASHES_TO_QUARANTINE || self.passed_over.contains_key(part)
        });
        let mut close: Vec<_> = close.map(|(part, count)| (*count, *part)).collect();
        close.sort_unstable_by(|a, b| b.cmp(a));
        close.truncate(MAX_SUSPECTED);
        close.into_iter().map(|(_, part)| part).collect()
    }

    /// Returns the part to quarantine next, if any, and takes its crashes as explained.
    ///
    /// Parts that come earlier in prompts are in more requests, so they are in more crashes by coincidence,
    /// and their quarantine refuses more. A later part of the same requests is therefore preferred if it
    /// was in as many crashes but for one. If that has hidden an earlier part before, the higher count
    /// decides: the later parts may belong to requests that were sent again.
    pub fn take_culprit(&mut self) -> Option<PromptPart> {
        let counts = self.counts.iter();
        let (first, most) = counts.max_by_key(|(part, count)| (**count, **part))?;
        if *most < CRASHES_TO_QUARANTINE {
            return None;
        }
        let candidates = self
            .requests_with(*first)
            .flat_map(|request| &request.parts)
            .filter_map(|part| self.counts.get_key_value(part));
        let close = candidates.filter(|(_, count)| **count + 1 >= *most);
        let close: BTreeMap<_, _> = close.collect();
        let rank = |part: &PromptPart| (self.depth(*part), close[part], *part);
        let last = close.keys().copied().max_by_key(|part| rank(part))?;
        let hidden = close
            .keys()
            .copied()
            .filter(|part| close[*part] > close[last] && self.passed_over.contains_key(*part));
        let part = *hidden.max_by_key(|part| rank(part)).unwrap_or(last);
        self.pass_over_parts_before(part);
        let mut affected = Vec::new();
        for crash in &mut self.crashes {
            if crash.sent_at(part).is_some() {
                crash.explained = true;
                affected.extend(crash.parts());
            }
        }
        self.recount(affected);
        Some(part)
    }

    /// Remembers parts that were in the crashes of a culprit, before it in the prompts.
    fn pass_over_parts_before(&mut self, culprit: PromptPart) {
        for crash in self.crashes.iter().filter(|crash| !crash.explained) {
            for request in &crash.requests {
                let mut parts = request.parts.iter();
                let Some(position) = parts.position(|part| *part == culprit) else {
                    continue;
                };
                let earlier = request.parts[..position].iter();
                let counted = earlier.filter(|part| self.counts.contains_key(part));
                self.passed_over
                    .extend(counted.map(|part| (*part, crash.at)));
            }
        }
    }

    fn recount(&mut self, parts: Vec<PromptPart>) {
        for part in parts {
            match self.crashes_in_a_row(part) {
                0 => self.counts.remove(&part),
                count => self.counts.insert(part, count),
            };
        }
    }

    /// Number of crashes since a part was last proved, each with a request that was sent after the crash
    /// before it.
    fn crashes_in_a_row(&self, part: PromptPart) -> usize {
        let proved_at = self.proved_at.get(&part);
        let mut count = 0;
        let mut last_at = Millis::ZERO;
        for crash in self.crashes.iter().filter(|crash| !crash.explained) {
            let Some(sent_at) = crash.sent_at(part) else {
                continue;
            };
            let follows = count == 0 || sent_at >= last_at + ORDER_MARGIN;
            if follows && proved_at.is_none_or(|proved_at| *proved_at < crash.at) {
                count += 1;
                last_at = crash.at;
            }
        }
        count
    }

    /// Requests with a part in crashes that are not explained.
    fn requests_with(&self, part: PromptPart) -> impl Iterator<Item = &CutOffRequest> {
        let crashes = self.crashes.iter().filter(|crash| !crash.explained);
        let requests = crashes.flat_map(|crash| &crash.requests);
        requests.filter(move |request| request.parts.contains(&part))
    }

    /// Position of a part in prompts.
    fn depth(&self, part: PromptPart) -> usize {
        let positions = self
            .requests_with(part)
            .filter_map(|request| request.parts.iter().position(|other| *other == part));
        positions.max().unwrap_or_default()
    }

    fn expire(&mut self, now: Millis) {
        let expired = self
            .crashes
            .partition_point(|crash| now > crash.at + EVIDENCE_LIFETIME);
        let expired: Vec<_> = self.crashes.drain(..expired).collect();
        self.recount(expired.iter().flat_map(Crash::parts).collect());
        self.passed_over
            .retain(|_, crashed_at| now <= *crashed_at + EVIDENCE_LIFETIME);
        self.proved_at
            .retain(|_, proved_at| now <= *proved_at + EVIDENCE_LIFETIME);
    }
}
