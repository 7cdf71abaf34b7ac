//! The configuration store: current revision, history and outcomes of operator requests.

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

/// Changes the configuration if it is at the expected revision.
#[record]
pub struct SetConfiguration {
    /// Identifier of the operator request. A retry with the same identifier gets the first outcome.
    pub request: String,
    /// Revision that the operator read.
    pub expected_revision: u64,
    /// Author of the change.
    pub author: String,
    /// Changes, applied atomically.
    pub changes: Vec<ConfigurationChange>,
}

/// Outcome of a [`SetConfiguration`].
#[record]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationOutcome {
    /// The changes were applied.
    Accepted {
        /// New revision.
        revision: u64,
    },
    /// The configuration is at another revision; nothing was changed.
    Conflict {
        /// Current revision.
        revision: u64,
        /// Author of the current revision.
        author: String,
        /// Unix time of the current revision.
        at: Millis,
    },
    /// The changes are invalid; nothing was changed.
    Invalid {
        /// All problems found.
        problems: Vec<Problem>,
    },
}

/// An accepted change.
#[record]
pub struct HistoryEntry {
    /// Revision that the change created.
    pub revision: u64,
    /// Author of the change.
    pub author: String,
    /// Unix time of the change.
    pub at: Millis,
    /// Identifier of the operator request.
    pub request: String,
    /// Differences from the previous revision.
    pub differences: Vec<Difference>,
}

/// An operator request with its outcome, stored for retries.
#[record]
pub(crate) struct RememberedRequest {
    fingerprint: Fingerprint,
    at: Millis,
    outcome: ConfigurationOutcome,
}

/// The current configuration, its history and recent operator requests.
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

    /// Returns the number of stored operator requests.
    pub(crate) fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the changes after a revision, oldest first.
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

    /// Applies an operator request, or returns its first outcome for a retry.
    ///
    /// # Errors
    ///
    /// Returns an error if the request identifier was already used with different content.
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
            let detail = "the request identifier was already used with different content";
            return Err(Refusal::not_run(Reason::KeyReused, detail));
        }
        let outcome = self.change(set, now);
        let stored = RememberedRequest {
            fingerprint,
            at: now,
            outcome: outcome.clone(),
        };
        self.requests.insert(set.request.clone(), stored);
        self.by_age.insert((now, set.request.clone()));
        Ok(outcome)
    }

    /// Removes operator requests past their retention and returns their number.
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

    fn change(&mut self, set: &SetConfiguration, now: Millis) -> ConfigurationOutcome {
        if set.expected_revision != self.current.revision {
            return ConfigurationOutcome::Conflict {
                revision: self.current.revision,
                author: self.changed_by.clone(),
                at: self.changed_at,
            };
        }
        let (next, problems) = self.build_next(set, now);
        if !problems.is_empty() {
            return ConfigurationOutcome::Invalid { problems };
        }
        self.commit(set, next, now);
        ConfigurationOutcome::Accepted {
            revision: self.current.revision,
        }
    }

    fn build_next(&self, set: &SetConfiguration, now: Millis) -> (Configuration, Vec<Problem>) {
        let mut problems = Vec::new();
        if set.changes.is_empty() {
            problems.push(Problem::new("changes", "*", "there is no change"));
        }
        if set.author.trim().is_empty() {
            problems.push(Problem::new("author", "*", "an author is required"));
        }
        let mut next = self.current.clone();
        next.revision += 1;
        let authorship = Authorship {
            author: &set.author,
            revision: next.revision,
        };
        for change in &set.changes {
            next.apply_change(change, &authorship, &mut problems);
        }
        problems.extend(next.validate(now));
        (next, problems)
    }

    fn commit(&mut self, set: &SetConfiguration, next: Configuration, now: Millis) {
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
