//! Membership changes, one at a time.
//!
//! Any majorities of two groups that differ by one voter overlap. A leader therefore changes one
//! voter at a time, only after the previous change is committed, and only after it has committed
//! an entry of its own term: otherwise an uncommitted change of an earlier leader, which differs
//! by two voters, might still be committed.

use crate::{
    Action,
    Change,
    ChangeError,
    Core,
    DiskId,
    Index,
    Membership,
    Payload,
    Round,
    Token,
    role::{
        ProposedChange,
        Replacement,
        Role, //
    }, //
};

impl Core {
    /// Handles a requested change. A change of voters waits until a quorum of the changed group has
    /// acknowledged a heartbeat sent after the request: a group without a reachable quorum could
    /// commit nothing, not even the reversal of the change. A replacement also waits for the learner:
    /// between its two steps no voter may be lost. If members that the change depends on have been
    /// silent for an election timeout, it is refused at once: no other change can be made meanwhile.
    pub(crate) fn on_change(&mut self, token: Token, change: Change) {
        let result = self
            .check_can_change()
            .and_then(|()| self.membership_after(&change))
            .and_then(|next| {
                self.check_confirmable(&next, &change, |id| self.is_active(id))?;
                Ok(next)
            });
        match (result, &change) {
            (Err(error), _) => self.actions.push(Action::ChangeRefused { token, error }),
            (Ok(next), Change::AddLearner { .. }) => self.append_membership(token, next),
            (Ok(_), _) => self.start_change_round(token, change),
        }
    }

    fn start_change_round(&mut self, token: Token, change: Change) {
        let expires_at = self.now + self.timing.election_timeout;
        if let Role::Leader(state) = &mut self.role {
            state.round = state.round.next();
            state.proposed_change = Some(ProposedChange {
                token,
                change,
                round: state.round,
                expires_at,
            });
        }
        self.send_heartbeats();
    }

    /// Appends the proposed change once a quorum of the changed group has acknowledged its round.
    pub(crate) fn continue_change(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let Some(ProposedChange {
            token,
            change,
            round,
            ..
        }) = &state.proposed_change
        else {
            return;
        };
        let (token, change) = (*token, change.clone());
        let next = match self.membership_after(&change) {
            Ok(next) if self.check_round(&next, &change, *round).is_err() => return,
            next => next,
        };
        self.end_change();
        match (next, change) {
            (Err(error), _) => self.actions.push(Action::ChangeRefused { token, error }),
            (Ok(next), Change::Replace { new, .. }) => self.start_replacement(token, next, new),
            (Ok(next), _) => self.append_membership(token, next),
        }
    }

    /// Checks that the members on which a change depends respond. A learner is added without them.
    fn check_confirmable<F>(
        &self,
        next: &Membership,
        change: &Change,
        responds: F,
    ) -> Result<(), ChangeError>
    where
        F: Fn(DiskId) -> bool,
    {
        match *change {
            Change::AddLearner { .. } => Ok(()),
            _ if !next.is_quorum(&responds) => Err(ChangeError::WouldLoseQuorum {
                active: next.voters().filter(|&id| responds(id)).count(),
                needed: next.majority(),
            }),
            Change::Replace { new, .. } if !responds(new) => Err(ChangeError::Unresponsive(new)),
            _ => Ok(()),
        }
    }

    /// Checks that the members on which a change depends have acknowledged its round.
    fn check_round(
        &self,
        next: &Membership,
        change: &Change,
        round: Round,
    ) -> Result<(), ChangeError> {
        self.check_confirmable(next, change, |id| self.acked_round(id) >= round)
    }

    /// Refuses the proposed change if its round found no quorum in time.
    pub(crate) fn expire_change(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let Some(proposed_change) = &state.proposed_change else {
            return;
        };
        if self.now < proposed_change.expires_at {
            return;
        }
        let (token, round) = (proposed_change.token, proposed_change.round);
        let change = &proposed_change.change;
        let checked = self
            .membership_after(change)
            .and_then(|next| self.check_round(&next, change, round));
        // A round that was acknowledged has started the change already.
        let Err(error) = checked else {
            return;
        };
        self.end_change();
        self.actions.push(Action::ChangeRefused { token, error });
    }

    fn end_change(&mut self) {
        if let Role::Leader(state) = &mut self.role {
            state.proposed_change = None;
        }
    }

    /// Removes the lost voter; [`Core::continue_replacement`] then promotes the learner.
    fn start_replacement(&mut self, token: Token, next: Membership, new: DiskId) {
        self.append_own(Payload::Members(next));
        self.refresh_peers();
        let expires_at = self.now + self.timing.election_timeout;
        if let Role::Leader(state) = &mut self.role {
            state.replacement = Some(Replacement {
                new,
                token,
                expires_at,
            });
        }
    }

    /// Promotes the learner of a replacement once the removal is committed and the learner keeps up
    /// with the log. Gives up if the learner does not respond in time, so that
    /// another one can take its place.
    pub(crate) fn continue_replacement(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let Some(Replacement {
            new,
            token,
            expires_at,
        }) = state.replacement
        else {
            return;
        };
        if self.log.membership_index() > self.commit {
            return;
        }
        let next = match self.membership_after(&Change::Promote(new)) {
            Ok(_) if !self.is_active(new) => Err(ChangeError::Unresponsive(new)),
            next => next,
        };
        let may_recover = matches!(
            next,
            Err(ChangeError::NotSynced { .. } | ChangeError::Unresponsive(_))
        );
        if may_recover && self.now < expires_at {
            return;
        }
        self.end_replacement();
        match next {
            Ok(next) => self.append_membership(token, next),
            Err(error) => self.actions.push(Action::ChangeRefused { token, error }),
        }
    }

    fn end_replacement(&mut self) {
        if let Role::Leader(state) = &mut self.role {
            state.replacement = None;
        }
    }

    fn append_membership(&mut self, token: Token, next: Membership) {
        let index = self.append_own(Payload::Members(next));
        self.add_pending(index, token, true);
        self.refresh_peers();
    }

    /// Whether this replica is a leader that could begin a change now, unless the change itself is refused.
    pub fn accepts_changes(&self) -> bool {
        self.check_can_change().is_ok()
    }

    fn check_can_change(&self) -> Result<(), ChangeError> {
        let Role::Leader(state) = &self.role else {
            return Err(ChangeError::NotLeader(self.leader));
        };
        if self.commit < state.first {
            return Err(ChangeError::TermNotCommitted);
        }
        let is_committed = self.log.membership_index() <= self.commit;
        let is_busy = state.proposed_change.is_some() || state.replacement.is_some();
        if !is_committed || is_busy || state.leadership_transfer.is_some() {
            return Err(ChangeError::InProgress);
        }
        Ok(())
    }

    /// Membership that results from a change; for a replacement, from its first step.
    fn membership_after(&self, change: &Change) -> Result<Membership, ChangeError> {
        let group = self.log.membership();
        match *change {
            Change::AddLearner { id, ref name } => {
                if group.contains(id) {
                    return Err(ChangeError::AlreadyMember(id));
                }
                Ok(group.with_learner(id, name.clone()))
            }
            Change::Promote(id) => {
                self.check_learner_synced(id)?;
                self.check_instance_has_no_voter(id)?;
                Ok(group.with_voter(id))
            }
            Change::Remove(id) => self.membership_after_removal(id),
            Change::Replace { old, new } => {
                self.check_learner_synced(new)?;
                self.membership_after_removal(old)
            }
        }
    }

    fn membership_after_removal(&self, id: DiskId) -> Result<Membership, ChangeError> {
        let group = self.log.membership();
        if id == self.id {
            return Err(ChangeError::IsLeader);
        }
        if !group.contains(id) {
            return Err(ChangeError::NotMember(id));
        }
        Ok(group.without(id))
    }

    fn check_learner_synced(&self, id: DiskId) -> Result<(), ChangeError> {
        let group = self.log.membership();
        if !group.contains(id) {
            return Err(ChangeError::NotMember(id));
        }
        if group.is_voter(id) {
            return Err(ChangeError::NotLearner(id));
        }
        if !self.keeps_up(id) {
            return Err(ChangeError::NotSynced {
                matched: self.synced_index_of(id).unwrap_or(Index::ZERO),
                commit: self.commit,
            });
        }
        Ok(())
    }

    /// Checks that the learner's instance does not vote with another disk: an instance has at most
    /// one voter.
    fn check_instance_has_no_voter(&self, id: DiskId) -> Result<(), ChangeError> {
        let group = self.log.membership();
        let voter = group
            .get(id)
            .and_then(|member| group.voter_named(&member.name));
        match voter {
            Some(voter) => Err(ChangeError::InstanceHasVoter(voter)),
            None => Ok(()),
        }
    }
}
