//! Changes of the group, one at a time.
//!
//! Two groups that differ by one voter share a member of any two majorities. A leader therefore
//! changes one voter at a time, only after the last change is committed, and only after it has
//! committed an entry of its own term: otherwise an uncommitted change of an earlier leader, two
//! steps away, might still win.

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
        Proposed,
        Replacing,
        Role, //
    }, //
};

impl Core {
    /// Takes a change in. One that concerns voters waits until a quorum of the changed group has
    /// answered a heartbeat sent after it was asked for: a group of which too few answer could
    /// commit nothing more, not even the way back.
    pub(crate) fn on_change(&mut self, token: Token, change: Change) {
        let result = self.check_may_change().and_then(|()| self.changed(&change));
        match (result, &change) {
            (Err(error), _) => self.actions.push(Action::ChangeRefused { token, error }),
            (Ok(next), Change::AddLearner { .. }) => self.append_members(token, next),
            (Ok(_), _) => self.ask_group(token, change),
        }
    }

    fn ask_group(&mut self, token: Token, change: Change) {
        let until = self.now + self.timing.election;
        if let Role::Leader(leading) = &mut self.role {
            leading.round = leading.round.next();
            leading.proposed = Some(Proposed {
                token,
                change,
                round: leading.round,
                until,
            });
        }
        self.send_heartbeats();
    }

    /// Makes the change that waits, once enough of the changed group has answered.
    pub(crate) fn continue_change(&mut self) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let Some(Proposed {
            token,
            change,
            round,
            ..
        }) = &leading.proposed
        else {
            return;
        };
        let (token, change) = (*token, change.clone());
        let next = match self.changed(&change) {
            Ok(next) if !self.has_answered(&next, *round) => return,
            next => next,
        };
        self.end_change();
        match (next, change) {
            (Err(error), _) => self.actions.push(Action::ChangeRefused { token, error }),
            (Ok(next), Change::Replace { new, .. }) => self.remove_then_promote(token, next, new),
            (Ok(next), _) => self.append_members(token, next),
        }
    }

    fn has_answered(&self, group: &Membership, round: Round) -> bool {
        group.is_quorum(|id| self.answered_round(id) >= round)
    }

    /// Refuses the change that waits if too few have answered in time.
    pub(crate) fn expire_change(&mut self) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let Some(proposed) = &leading.proposed else {
            return;
        };
        if self.now < proposed.until {
            return;
        }
        let (token, round) = (proposed.token, proposed.round);
        let error = match self.changed(&proposed.change) {
            Ok(next) => ChangeError::WouldLoseQuorum {
                active: next
                    .voters()
                    .filter(|&id| self.answered_round(id) >= round)
                    .count(),
                needed: next.majority(),
            },
            Err(error) => error,
        };
        self.end_change();
        self.actions.push(Action::ChangeRefused { token, error });
    }

    fn end_change(&mut self) {
        if let Role::Leader(leading) = &mut self.role {
            leading.proposed = None;
        }
    }

    /// Removes the lost voter; [`Core::continue_replacing`] promotes the learner after that.
    fn remove_then_promote(&mut self, token: Token, next: Membership, new: DiskId) {
        self.append_own(Payload::Members(next));
        self.refresh_peers();
        if let Role::Leader(leading) = &mut self.role {
            leading.replacing = Some(Replacing { new, token });
        }
    }

    /// Takes the second step of a replacement once the first is committed and the learner has
    /// synced everything committed.
    pub(crate) fn continue_replacing(&mut self) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let Some(Replacing { new, token }) = leading.replacing else {
            return;
        };
        if self.log.membership_index() > self.commit {
            return;
        }
        let next = match self.changed(&Change::Promote(new)) {
            Ok(next) if self.is_active(new) => next,
            Ok(_) | Err(ChangeError::NotSynced { .. }) => return,
            Err(error) => {
                self.end_replacing();
                return self.actions.push(Action::ChangeRefused { token, error });
            }
        };
        self.end_replacing();
        self.append_members(token, next);
    }

    fn end_replacing(&mut self) {
        if let Role::Leader(leading) = &mut self.role {
            leading.replacing = None;
        }
    }

    fn append_members(&mut self, token: Token, next: Membership) {
        let index = self.append_own(Payload::Members(next));
        self.await_commit(index, token, true);
        self.refresh_peers();
    }

    fn check_may_change(&self) -> Result<(), ChangeError> {
        let Role::Leader(leading) = &self.role else {
            return Err(ChangeError::NotLeader(self.leader));
        };
        if self.commit < leading.first {
            return Err(ChangeError::TermNotCommitted);
        }
        let is_committed = self.log.membership_index() <= self.commit;
        let is_busy = leading.proposed.is_some() || leading.replacing.is_some();
        if !is_committed || is_busy || leading.hand_over.is_some() {
            return Err(ChangeError::InProgress);
        }
        Ok(())
    }

    /// The group after a change of one member.
    fn changed(&self, change: &Change) -> Result<Membership, ChangeError> {
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
                self.check_name_free(id)?;
                Ok(group.with_voter(id))
            }
            Change::Remove(id) => self.check_removal(id),
            Change::Replace { old, new } => {
                self.check_learner_synced(new)?;
                self.check_removal(old)
            }
        }
    }

    fn check_removal(&self, id: DiskId) -> Result<Membership, ChangeError> {
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
        let matched = match &self.role {
            Role::Leader(leading) => leading.progress.get(&id).map(|progress| progress.matched),
            _ => None,
        };
        let matched = matched.unwrap_or(Index::ZERO);
        if matched < self.commit {
            return Err(ChangeError::NotSynced {
                matched,
                commit: self.commit,
            });
        }
        Ok(())
    }

    /// An instance votes with one disk at most.
    fn check_name_free(&self, id: DiskId) -> Result<(), ChangeError> {
        let group = self.log.membership();
        let voter = group
            .get(id)
            .and_then(|member| group.voter_named(&member.name));
        match voter {
            Some(voter) => Err(ChangeError::NameVotes(voter)),
            None => Ok(()),
        }
    }
}
