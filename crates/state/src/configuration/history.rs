//! The configuration with its revision, its history and the outcomes of operators' requests.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use yuccaseam_base::{
    Millis,
    Reason,
    Refusal,
    record, //
};

use super::{
    Configuration,
    ConfigurationChange,
    Difference,
    Problem,
    Setting,
    change::Authorship, //
};
use crate::{
    Fingerprint,
    codec, //
};

/// Changes the configuration if it stands at the expected revision.
#[record]
pub struct SetConfiguration {
    /// The operator's request: a resend with the same identifier gets the first outcome.
    pub request: String,
    /// The revision that the operator read.
    pub expected_revision: u64,
    /// Who makes the change.
    pub author: String,
    /// The changes, made together or not at all.
    pub changes: Vec<ConfigurationChange>,
}

/// What became of a [`SetConfiguration`].
#[record]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationOutcome {
    /// The changes were made.
    Accepted {
        /// The new revision.
        revision: u64,
    },
    /// Another change came first; nothing was changed.
    Conflict {
        /// The revision that stands.
        revision: u64,
        /// Who made it.
        author: String,
        /// When, in Unix time.
        at: Millis,
    },
    /// The changes break rules; nothing was changed.
    Invalid {
        /// Every breach.
        problems: Vec<Problem>,
    },
}

/// One accepted change.
#[record]
pub struct HistoryEntry {
    /// The revision that it made.
    pub revision: u64,
    /// Who made it.
    pub author: String,
    /// When, in Unix time.
    pub at: Millis,
    /// The operator's request.
    pub request: String,
    /// What it changed.
    pub differences: Vec<Difference>,
}

/// An operator's request that has its outcome.
#[record]
pub(crate) struct RememberedRequest {
    fingerprint: Fingerprint,
    at: Millis,
    outcome: ConfigurationOutcome,
}

/// The configuration and what is remembered of its changes.
#[record]
#[derive(Default)]
pub(crate) struct ConfigurationStore {
    current: Configuration,
    changed_by: String,
    changed_at: Millis,
    history: VecDeque<HistoryEntry>,
    requests: BTreeMap<String, RememberedRequest>,
    by_age: BTreeSet<(Millis, String)>,
}

impl ConfigurationStore {
    pub(crate) const fn current(&self) -> &Configuration {
        &self.current
    }

    /// How many operators' requests are remembered.
    pub(crate) fn remembered(&self) -> usize {
        self.requests.len()
    }

    /// Changes after a revision, oldest first.
    pub(crate) fn history_after(
        &self,
        revision: u64,
        limit: usize,
    ) -> impl Iterator<Item = &HistoryEntry> {
        let start = self
            .history
            .partition_point(|entry| entry.revision <= revision);
        self.history.iter().skip(start).take(limit)
    }

    /// # Errors
    ///
    /// If the request's identifier was used before with another content.
    pub(crate) fn set(
        &mut self,
        set: &SetConfiguration,
        now: Millis,
    ) -> Result<ConfigurationOutcome, Refusal> {
        let fingerprint = Fingerprint::of(&codec::encode(set));
        if let Some(first) = self.requests.get(&set.request) {
            if first.fingerprint == fingerprint {
                return Ok(first.outcome.clone());
            }
            let detail = "the request identifier was used before with another content";
            return Err(Refusal::not_run(Reason::KeyReused, detail));
        }
        let outcome = self.decide(set, now);
        let remembered = RememberedRequest {
            fingerprint,
            at: now,
            outcome: outcome.clone(),
        };
        self.requests.insert(set.request.clone(), remembered);
        self.by_age.insert((now, set.request.clone()));
        Ok(outcome)
    }

    /// Forgets requests that are older than the settings say; returns how many.
    pub(crate) fn expire(&mut self, now: Millis) -> u32 {
        let retention = self
            .current
            .fleet_wide_millis(Setting::RequestRetentionMs, now);
        let mut expired = 0;
        while let Some((at, _)) = self.by_age.first() {
            if *at + retention > now {
                break;
            }
            if let Some((_, request)) = self.by_age.pop_first() {
                self.requests.remove(&request);
                expired += 1;
            }
        }
        expired
    }

    fn decide(&mut self, set: &SetConfiguration, now: Millis) -> ConfigurationOutcome {
        if set.expected_revision != self.current.revision {
            return ConfigurationOutcome::Conflict {
                revision: self.current.revision,
                author: self.changed_by.clone(),
                at: self.changed_at,
            };
        }
        let (next, problems) = self.changed(set, now);
        if !problems.is_empty() {
            return ConfigurationOutcome::Invalid { problems };
        }
        self.accept(set, next, now);
        ConfigurationOutcome::Accepted {
            revision: self.current.revision,
        }
    }

    fn changed(&self, set: &SetConfiguration, now: Millis) -> (Configuration, Vec<Problem>) {
        let mut problems = Vec::new();
        if set.changes.is_empty() {
            problems.push(Problem::new("changes", "*", "there is no change"));
        }
        if set.author.trim().is_empty() {
            problems.push(Problem::new("author", "*", "an author is required"));
        }
        let mut next = self.current.clone();
        next.revision += 1;
        let by = Authorship {
            author: &set.author,
            revision: next.revision,
        };
        for change in &set.changes {
            next.make(change, &by, &mut problems);
        }
        problems.extend(next.problems(now));
        (next, problems)
    }

    fn accept(&mut self, set: &SetConfiguration, next: Configuration, now: Millis) {
        self.history.push_back(HistoryEntry {
            revision: next.revision,
            author: set.author.clone(),
            at: now,
            request: set.request.clone(),
            differences: self.current.differences(&next),
        });
        self.current = next;
        self.changed_by.clone_from(&set.author);
        self.changed_at = now;
        let limit = self.current.fleet_wide(Setting::HistoryLimit, now);
        while self.history.len() as u64 > limit {
            self.history.pop_front();
        }
    }
}
