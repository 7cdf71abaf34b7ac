//! Elections: pre-votes, votes and role changes.

use yuccaseam_base::Millis;

use crate::{
    Body,
    Core,
    DiskId,
    HardState,
    LastEntry,
    Term,
    role::{
        FollowerState,
        Role,
        VoteTally, //
    }, //
};

impl Core {
    /// Becomes a follower in the current term or a later one.
    pub(crate) fn become_follower(&mut self, term: Term) {
        self.abandon_leadership();
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        self.leader = None;
        self.role = Role::Follower(FollowerState::default());
        self.reset_election_timer();
    }

    /// Records a message from the leader of the current term.
    pub(crate) fn on_leader_contact(&mut self, leader: DiskId) {
        if !matches!(self.role, Role::Follower(_)) {
            self.become_follower(self.hard_state.term);
        }
        self.leader = Some(leader);
        self.last_leader_contact = Some(self.now);
        self.reset_election_timer();
    }

    /// Whether a lease may depend on this replica, so that it must not vote for another leader.
    fn supports_lease(&self) -> bool {
        if self.is_leader() && self.holds_lease(self.now) {
            return true;
        }
        self.last_leader_contact
            .is_some_and(|contact| self.now < contact + self.timing.election_timeout)
    }

    /// Whether this disk can vote. A disk that is not a member of the group in its log cannot: its
    /// earlier votes and entries may have been lost.
    fn can_vote(&self) -> bool {
        self.log.membership().contains(self.id)
    }

    /// Requests pre-votes, so that a replica that was partitioned does not raise the term when it
    /// reconnects.
    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        if !self.log.membership().is_voter(self.id) || self.installing {
            return;
        }
        self.leader = None;
        self.schedule_pre_vote_retry();
        self.role = Role::PreCandidate(VoteTally {
            granted: [self.id].into(),
        });
        let last = self.log.last();
        for id in self.other_voters() {
            self.send(id, Body::PreVote { last });
        }
        self.count_pre_votes();
    }

    /// Schedules the next pre-vote earlier than an election: a pre-vote changes no replica's state.
    fn schedule_pre_vote_retry(&mut self) {
        let election = self.timing.election_timeout.0;
        self.election_at = self.now + self.random_duration(election / 4, election / 2);
    }

    pub(crate) fn on_pre_vote(&mut self, from: DiskId, term: Term, last: LastEntry) {
        if !self.can_vote() {
            return;
        }
        let granted =
            term >= self.hard_state.term && last >= self.log.last() && !self.supports_lease();
        let asked = term;
        self.send(from, Body::PreVoteReply { asked, granted });
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: DiskId,
        term: Term,
        asked: Term,
        granted: bool,
    ) {
        if term > self.hard_state.term {
            return self.become_follower(term);
        }
        if !granted || asked != self.hard_state.term {
            return;
        }
        if let Role::PreCandidate(tally) = &mut self.role {
            tally.granted.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate(tally) = &self.role else {
            return;
        };
        if self.has_majority(tally) {
            self.start_election(false);
        }
    }

    /// Becomes a candidate in the next term. Votes are requested once term and own vote are synced:
    /// a replica that lost them in a crash might be a candidate twice in one term with different
    /// logs.
    pub(crate) fn start_election(&mut self, transfer: bool) {
        self.leader = None;
        self.set_hard_state(HardState {
            term: self.hard_state.term.next(),
            vote: Some(self.id),
        });
        self.role = Role::Candidate(VoteTally::default());
        self.reset_election_timer();
        let last = self.log.last();
        for id in self.other_voters() {
            self.send_after_sync(id, Body::Vote { last, transfer });
        }
    }

    pub(crate) fn on_vote(&mut self, from: DiskId, term: Term, last: LastEntry, transfer: bool) {
        if !self.can_vote() {
            return;
        }
        if term > self.hard_state.term {
            if self.supports_lease() && !transfer {
                return;
            }
            self.become_follower(term);
        }
        let vote_available = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard_state.term
            && vote_available
            && self.leader.is_none()
            && last >= self.log.last();
        if granted && self.hard_state.vote.is_none() {
            self.set_hard_state(HardState {
                term,
                vote: Some(from),
            });
            self.reset_election_timer();
        }
        self.send_after_sync(from, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: DiskId, granted: bool) {
        if let Role::Candidate(tally) = &mut self.role
            && granted
        {
            tally.granted.insert(from);
            self.count_votes();
        }
    }

    /// Counts a candidate's own vote once it is synced.
    pub(crate) fn count_own_vote(&mut self) {
        let synced = self.writer.is_hard_state_synced();
        if let Role::Candidate(tally) = &mut self.role
            && synced
        {
            tally.granted.insert(self.id);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate(tally) = &self.role else {
            return;
        };
        if self.has_majority(tally) {
            self.become_leader();
        }
    }

    fn has_majority(&self, tally: &VoteTally) -> bool {
        self.log
            .membership()
            .is_quorum(|id| tally.granted.contains(&id))
    }

    /// Starts an election at once, because the leader transferred leadership to this replica.
    pub(crate) fn on_transfer(&mut self) {
        if self.log.membership().is_voter(self.id) && !self.installing {
            self.start_election(true);
        }
    }

    pub(crate) fn other_voters(&self) -> Vec<DiskId> {
        self.log
            .membership()
            .voters()
            .filter(|&id| id != self.id)
            .collect()
    }

    /// Whether this replica is the leader and its lease is valid at `now`: the precondition for any
    /// effect outside the log.
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }
}
