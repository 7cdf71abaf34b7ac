//! Elections: pre-vote, votes and the change of roles.

use yuccaseam_base::Millis;

use crate::{
    Body,
    Core,
    DiskId,
    HardState,
    LastEntry,
    Term,
    role::{
        Ballot,
        Following,
        Role, //
    }, //
};

impl Core {
    /// Becomes a follower, in a later term or in the present one.
    pub(crate) fn follow(&mut self, term: Term) {
        self.abandon_leadership();
        if term > self.hard.term {
            self.set_hard(HardState { term, vote: None });
        }
        self.leader = None;
        self.role = Role::Follower(Following::default());
        self.reset_election_timer();
    }

    /// Notes that the leader of the present term was heard.
    pub(crate) fn on_leader_heard(&mut self, leader: DiskId) {
        if !matches!(self.role, Role::Follower(_)) {
            self.follow(self.hard.term);
        }
        self.leader = Some(leader);
        self.heard_at = Some(self.now);
        self.reset_election_timer();
    }

    /// Whether a lease may rest on this replica, so that it must not help to elect another
    /// leader.
    fn supports_lease(&self) -> bool {
        if self.is_leader() && self.holds_lease(self.now) {
            return true;
        }
        self.heard_at
            .is_some_and(|heard_at| self.now < heard_at + self.timing.election)
    }

    /// Whether this disk may vote at all. One that belongs to no group it knows of must not: its
    /// former votes and entries may be lost.
    fn may_vote(&self) -> bool {
        self.log.membership().contains(self.id)
    }

    /// Asks the voters whether they would elect this replica, so that one that was cut off does
    /// not raise the term when it returns.
    pub(crate) fn stand_pre_vote(&mut self) {
        self.reset_election_timer();
        if !self.log.membership().is_voter(self.id) || self.installing {
            return;
        }
        self.leader = None;
        self.retry_pre_vote_soon();
        self.role = Role::PreCandidate(Ballot {
            granted: [self.id].into(),
        });
        let last = self.log.last();
        for id in self.other_voters() {
            self.send(id, Body::PreVote { last });
        }
        self.count_pre_votes();
    }

    /// A pre-vote changes nothing, so that it may be repeated sooner than an election.
    fn retry_pre_vote_soon(&mut self) {
        let election = self.timing.election.0;
        self.election_at = self.now + self.draw(election / 4, election / 2);
    }

    pub(crate) fn on_pre_vote(&mut self, from: DiskId, term: Term, last: LastEntry) {
        if !self.may_vote() {
            return;
        }
        let granted = term >= self.hard.term && last >= self.log.last() && !self.supports_lease();
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
        if term > self.hard.term {
            return self.follow(term);
        }
        if !granted || asked != self.hard.term {
            return;
        }
        if let Role::PreCandidate(ballot) = &mut self.role {
            ballot.granted.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate(ballot) = &self.role else {
            return;
        };
        if self.wins(ballot) {
            self.stand(false);
        }
    }

    /// Stands for election in the next term. The votes are asked for once term and own vote are
    /// synced: a replica that forgot them might stand twice in one term with different logs.
    pub(crate) fn stand(&mut self, transfer: bool) {
        self.leader = None;
        self.set_hard(HardState {
            term: self.hard.term.next(),
            vote: Some(self.id),
        });
        self.role = Role::Candidate(Ballot::default());
        self.reset_election_timer();
        let last = self.log.last();
        for id in self.other_voters() {
            self.send_synced(id, Body::Vote { last, transfer });
        }
    }

    pub(crate) fn on_vote(&mut self, from: DiskId, term: Term, last: LastEntry, transfer: bool) {
        if !self.may_vote() {
            return;
        }
        if term > self.hard.term {
            if self.supports_lease() && !transfer {
                return;
            }
            self.follow(term);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted =
            term == self.hard.term && free && self.leader.is_none() && last >= self.log.last();
        if granted && self.hard.vote.is_none() {
            self.set_hard(HardState {
                term,
                vote: Some(from),
            });
            self.reset_election_timer();
        }
        self.send_synced(from, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: DiskId, granted: bool) {
        if let Role::Candidate(ballot) = &mut self.role
            && granted
        {
            ballot.granted.insert(from);
            self.count_votes();
        }
    }

    /// Counts this candidate's vote for itself once it is synced.
    pub(crate) fn count_own_vote(&mut self) {
        let synced = self.writer.is_hard_synced();
        if let Role::Candidate(ballot) = &mut self.role
            && synced
        {
            ballot.granted.insert(self.id);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate(ballot) = &self.role else {
            return;
        };
        if self.wins(ballot) {
            self.lead();
        }
    }

    fn wins(&self, ballot: &Ballot) -> bool {
        self.log
            .membership()
            .is_quorum(|id| ballot.granted.contains(&id))
    }

    /// The leader handed over to this replica.
    pub(crate) fn on_transfer(&mut self) {
        if self.log.membership().is_voter(self.id) && !self.installing {
            self.stand(true);
        }
    }

    pub(crate) fn other_voters(&self) -> Vec<DiskId> {
        self.log
            .membership()
            .voters()
            .filter(|&id| id != self.id)
            .collect()
    }

    /// Whether this replica leads and its lease lasts: the condition for every act outside the
    /// log.
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }
}
