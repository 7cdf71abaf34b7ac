//! Changes of the group, one at a time.
//!
//! Two groups that differ by one voter share a member of any two majorities. A leader therefore
//! changes one voter at a time, only after the last change is committed, and only after it has
//! committed an entry of its own term: otherwise an uncommitted change of an earlier leader, two
//! steps away, might still win.

use crate::{
    Action, Change, ChangeError, Core, DiskId, Index, Membership, Payload, Token,
    role::{
        Replacing,
        Role, //
    },
};

impl Core {
    pub(crate) fn on_change(&mut self, token: Token, change: Change) {
        let result = match &change {
            Change::Replace { old, new } => self.replace(token, *old, *new),
            _ => self.change(token, &change),
        };
        if let Err(error) = result {
            self.actions.push(Action::ChangeRefused { token, error });
        }
    }

    fn change(&mut self, token: Token, change: &Change) -> Result<(), ChangeError> {
        self.check_may_change()?;
        let next = self.changed(change)?;
        self.append_members(token, next);
        Ok(())
    }

    /// Removes the lost voter; [`Core::continue_replacing`] promotes the learner after that.
    fn replace(&mut self, token: Token, old: DiskId, new: DiskId) -> Result<(), ChangeError> {
        self.check_may_change()?;
        self.check_learner_synced(new)?;
        let next = self.changed(&Change::Remove(old))?;
        let index = self.append_own(Payload::Members(next));
        self.refresh_peers();
        debug_assert!(index > self.commit);
        if let Role::Leader(leading) = &mut self.role {
            leading.replacing = Some(Replacing { new, token });
        }
        Ok(())
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
            Ok(next) => next,
            Err(ChangeError::NotSynced { .. } | ChangeError::WouldLoseQuorum { .. }) => return,
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
        if !is_committed || leading.replacing.is_some() || leading.hand_over.is_some() {
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
                self.check_quorum_of(group.with_voter(id))
            }
            Change::Remove(id) | Change::Replace { old: id, .. } => {
                if id == self.id {
                    return Err(ChangeError::IsLeader);
                }
                if !group.contains(id) {
                    return Err(ChangeError::NotMember(id));
                }
                self.check_quorum_of(group.without(id))
            }
        }
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

    /// Refuses a group whose voters could not commit anything now.
    fn check_quorum_of(&self, group: Membership) -> Result<Membership, ChangeError> {
        let active = group.voters().filter(|&id| self.is_active(id)).count();
        let needed = group.majority();
        if active < needed {
            return Err(ChangeError::WouldLoseQuorum { active, needed });
        }
        Ok(group)
    }
}
