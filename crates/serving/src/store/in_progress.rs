//! Bounds on the replicated state, and what the leader has proposed within them.
//!
//! A bound that is checked against the applied state does not hold: whatever arrives before the first command is
//! applied passes as well. The leader counts what its own log holds beyond the applied state too.
//!
//! # Invariants
//!
//! - The applied state, together with all commands in the leader's log, stays within its bounds. A leader checks them
//!   only once its state is current: it has then applied all that earlier leaders left in its log, and what else they
//!   proposed never takes effect. Until then it admits nothing.
//! - What is refused does not run: no command of the same job is in the log of the leader that refuses it.
//! - A command counts until its outcome is known, also if nobody waits for that any more.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use yuccaseam_base::InstanceName;
use yuccaseam_quorum::{
    Term,
    Token, //
};

use crate::state::{
    NewJob,
    State, //
};

/// Decision on a command that is subject to a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundDecision {
    /// It may be proposed, and counts from now on.
    Admitted,
    /// It exceeds the bound, and certainly does not run.
    Refused,
    /// It exceeds the bound, but an earlier command of the same job may still run.
    Undecided,
    /// The state of this leader is not current.
    NotCurrent,
}

/// Commands of one job.
#[derive(Debug, Default)]
struct JobInProgress {
    /// Growth of the state if one of them takes effect, in bytes.
    growth: u64,
    /// Number of commands whose outcome is not known.
    commands: usize,
}

/// Commands in the leader's log that are subject to a bound and not applied yet.
#[derive(Debug, Default)]
pub struct InProgress {
    /// Term of this leader, once its state is current.
    term: Option<Term>,
    jobs: BTreeMap<String, JobInProgress>,
    /// Job of each command.
    job_of: HashMap<Token, String>,
    retirements: HashMap<Token, InstanceName>,
}

impl InProgress {
    /// Starts to admit commands: the state of the leader of a term is current.
    pub fn start(&mut self, term: Term) {
        self.stop();
        self.term = Some(term);
    }

    /// Ends the leadership. The next leader has applied what takes effect of this one's commands before it starts.
    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// Whether commands are admitted in a term.
    pub fn is_current_in(&self, term: Term) -> bool {
        self.term == Some(term)
    }

    /// Decides on a job, where `state` is the applied state and `max_bytes` its maximum size.
    pub fn admit_job(
        &mut self,
        token: Token,
        job: &NewJob,
        state: &State,
        max_bytes: u64,
    ) -> BoundDecision {
        if self.term.is_none() {
            return BoundDecision::NotCurrent;
        }
        let growth = state.expected_growth(job);
        let counted = self.jobs.get(&job.id).map_or(0, |known| known.growth);
        let others = self.job_bytes() - counted;
        let needed = state.expected_bytes() + others + growth.max(counted);
        // A job in the state is not accepted again, unless it is removed first.
        if state.job(&job.id).is_none() && needed > max_bytes {
            let has_earlier = self.jobs.contains_key(&job.id);
            return if has_earlier {
                BoundDecision::Undecided
            } else {
                BoundDecision::Refused
            };
        }
        let known = self.jobs.entry(job.id.clone()).or_default();
        known.growth = growth.max(counted);
        known.commands += 1;
        self.job_of.insert(token, job.id.clone());
        BoundDecision::Admitted
    }

    /// Growth of the state by all jobs in progress, in bytes.
    pub fn job_bytes(&self) -> u64 {
        self.jobs.values().map(|job| job.growth).sum()
    }

    /// The instances that retire, or are about to, where `state` is the applied state.
    pub fn retiring(&self, state: &State) -> BTreeSet<InstanceName> {
        let proposed = self.retirements.values().cloned();
        state.retiring().iter().cloned().chain(proposed).collect()
    }

    /// Decides on the retirement of an instance. `can_retire` tells whether it may retire beside those that it is
    /// given.
    pub fn admit_retirement<F>(
        &mut self,
        token: Token,
        name: &InstanceName,
        state: &State,
        can_retire: F,
    ) -> BoundDecision
    where
        F: FnOnce(&BTreeSet<InstanceName>) -> bool,
    {
        if self.term.is_none() {
            return BoundDecision::NotCurrent;
        }
        let retiring = self.retiring(state);
        if !retiring.contains(name) && !can_retire(&retiring) {
            return BoundDecision::Refused;
        }
        self.retirements.insert(token, name.clone());
        BoundDecision::Admitted
    }

    /// Records that a command was applied, or certainly never is.
    pub fn end(&mut self, token: Token) {
        self.retirements.remove(&token);
        let Some(id) = self.job_of.remove(&token) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.commands -= 1;
            if job.commands == 0 {
                self.jobs.remove(&id);
            }
        }
    }
}
