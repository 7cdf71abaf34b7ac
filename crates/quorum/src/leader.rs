//! Leader: proposals, replication, commitment, lease and leadership transfer.

use yuccaseam_base::{
    Millis,
    Verdict, //
};

use crate::{
    Action,
    AppendResult,
    Body,
    ChangeError,
    Committed,
    Core,
    DiskId,
    Echo,
    Entry,
    Envelope,
    Index,
    MemberRole,
    Payload,
    Proposal,
    ReplicationStep,
    Token,
    progress::{
        AppendHeader,
        Progress, //
    },
    role::{
        LeaderState,
        LeadershipTransfer,
        Pending,
        Role, //
    }, //
};

/// Maximum number of uncommitted entries. Further proposals are rejected.
const MAX_UNCOMMITTED: u64 = 64 * 1024;

impl Core {
    /// Becomes the leader of the current term.
    pub(crate) fn become_leader(&mut self) {
        let first = self.log.last_index().next();
        self.role = Role::Leader(Box::new(LeaderState::new(self.now, first)));
        self.leader = Some(self.id);
        self.append_own(Payload::Empty);
        self.refresh_peers();
        self.send_heartbeats();
    }

    /// Ends leadership, if this replica is the leader, and rejects all pending requests.
    pub(crate) fn abandon_leadership(&mut self) {
        let Role::Leader(state) = std::mem::replace(&mut self.role, Role::Follower(<_>::default()))
        else {
            return;
        };
        for pending in state.pending {
            self.actions.push(if pending.is_change {
                Action::ChangeRefused {
                    token: pending.token,
                    error: ChangeError::Unknown(None),
                }
            } else {
                rejected(pending.token, Verdict::MayHaveRun, None)
            });
        }
        if let Some(proposed_change) = state.proposed_change {
            self.actions.push(Action::ChangeRefused {
                token: proposed_change.token,
                error: ChangeError::NotLeader(None),
            });
        }
        if let Some(replacement) = state.replacement {
            self.actions.push(Action::ChangeRefused {
                token: replacement.token,
                error: ChangeError::Unknown(None),
            });
        }
        for token in state.reads.queued.into_iter().chain(state.reads.confirming) {
            self.actions.push(rejected(token, Verdict::NotRun, None));
        }
    }

    /// Appends an entry of the current term and returns its index.
    pub(crate) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index().next();
        self.append(Entry {
            index,
            term: self.hard_state.term,
            payload,
        });
        index
    }

    /// Aligns the replication progress records with the membership.
    pub(crate) fn refresh_peers(&mut self) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let membership = self.log.membership();
        state.progress.retain(|&id, _| membership.contains(id));
        let last = self.log.last_index().max(Index(1));
        for (id, member) in membership.iter().filter(|(id, _)| *id != self.id) {
            // A learner is offered the snapshot at once: it most likely needs it, and says if it does not. A probe
            // would cost a round trip, behind other traffic on the link.
            let next = match member.role {
                MemberRole::Learner => Index(1),
                MemberRole::Voter => last,
            };
            let progress = state.progress.entry(id);
            progress.or_insert_with(|| Progress::new(next));
        }
    }

    pub(crate) fn on_propose(&mut self, proposals: Vec<Proposal>) {
        let leader = self.leader;
        let uncommitted = self.log.last_index().0 - self.commit.0;
        let is_accepting = match &self.role {
            Role::Leader(state) => {
                state.leadership_transfer.is_none() && uncommitted < MAX_UNCOMMITTED
            }
            _ => false,
        };
        for proposal in proposals {
            if !is_accepting {
                let rejected = rejected(proposal.token, Verdict::NotRun, leader);
                self.actions.push(rejected);
                continue;
            }
            let index = self.append_own(Payload::Command(proposal.data));
            self.add_pending(index, proposal.token, false);
        }
    }

    /// Registers the token to report when an entry is committed.
    pub(crate) fn add_pending(&mut self, index: Index, token: Token, is_change: bool) {
        if let Role::Leader(state) = &mut self.role {
            state.pending.push_back(Pending {
                index,
                token,
                is_change,
            });
        }
    }

    /// Attaches the pending token, if any, to a committed entry.
    pub(crate) fn attach_token(&mut self, entry: Entry) -> Committed {
        let mut token = None;
        if let Role::Leader(state) = &mut self.role {
            let pending = &mut state.pending;
            if pending
                .front()
                .is_some_and(|first| first.index == entry.index)
            {
                token = pending.pop_front().map(|first| first.token);
            }
        }
        Committed { entry, token }
    }

    pub(crate) fn on_append_reply(&mut self, from: DiskId, result: AppendResult, echo: Echo) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(&from) else {
            return;
        };
        progress.record_echo(echo, self.now);
        match result {
            AppendResult::Matched(index) => progress.on_matched(index, &self.log, self.now),
            AppendResult::Rejected { prev, hint } => progress.on_rejected(prev, hint, echo),
        }
        let limit = self.timing.election_timeout;
        progress.measure_catch_up(self.log.last_index(), limit, self.now);
        self.continue_leadership_transfer();
    }

    /// Commits the entries that a majority of the voters has synced. An entry of an earlier term is
    /// committed only together with a later one of the current term.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let synced = self.log.synced();
        let matched = |id| match state.progress.get(&id) {
            _ if id == self.id => synced,
            Some(progress) => progress.matched,
            None => Index::ZERO,
        };
        let Some(index) = self.log.membership().quorum_value(matched) else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit = index;
        }
    }

    /// Sends missing entries to every follower.
    pub(crate) fn replicate(&mut self) {
        self.offer_snapshots();
        let commit = self.commit;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let header = AppendHeader {
            commit,
            echo: Echo {
                round: state.round,
                sent_at: self.now,
            },
        };
        for (&to, progress) in &mut state.progress {
            while let Some(append) = progress.next_entries(&self.log, header) {
                self.actions.push(Action::Send(Envelope {
                    from: self.id,
                    to,
                    term: self.hard_state.term,
                    body: Body::Append(append),
                }));
            }
        }
    }

    pub(crate) fn send_heartbeats(&mut self) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        state.heartbeat_at = self.now + self.timing.heartbeat_interval;
        let header = AppendHeader {
            commit: self.commit,
            echo: Echo {
                round: state.round,
                sent_at: self.now,
            },
        };
        for (&to, progress) in &mut state.progress {
            if let Some(append) = progress.heartbeat(&self.log, header) {
                self.actions.push(Action::Send(Envelope {
                    from: self.id,
                    to,
                    term: self.hard_state.term,
                    body: Body::Append(append),
                }));
            }
        }
    }

    pub(crate) fn on_leader_tick(&mut self) {
        let now = self.now;
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if state
            .leadership_transfer
            .as_ref()
            .is_some_and(|transfer| transfer.expires_at <= now)
        {
            state.leadership_transfer = None;
        }
        if state.heartbeat_at <= now {
            self.send_heartbeats();
        }
        self.restart_stalled_transfers();
        self.expire_change();
    }

    /// Sending time of the latest messages that a majority of the voters has acknowledged.
    fn quorum_contact(&self) -> Option<Millis> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let contact = |id| match state.progress.get(&id) {
            _ if id == self.id => Some(self.now),
            Some(progress) => progress.contact,
            None => None,
        };
        self.log.membership().quorum_value(contact).flatten()
    }

    /// End of this leader's lease; `None` without a lease.
    ///
    /// No other replica can win an election before that time: a majority of the voters received a
    /// message from this leader within the election timeout and refuses to vote.
    pub fn lease_until(&self) -> Option<Millis> {
        self.quorum_contact()
            .map(|contact| contact + self.timing.lease_duration)
    }

    /// Steps down if no quorum has replied within the election timeout.
    pub(crate) fn check_quorum(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let contact = self.quorum_contact().unwrap_or_default();
        let last_contact = contact.max(state.since);
        if self.now >= last_contact + self.timing.election_timeout {
            self.become_follower(self.hard_state.term);
        }
    }

    /// Whether a member acknowledged a message sent within the election timeout.
    pub fn is_active(&self, id: DiskId) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let contact = state
            .progress
            .get(&id)
            .and_then(|progress| progress.contact);
        id == self.id
            || contact.is_some_and(|contact| self.now < contact + self.timing.election_timeout)
    }

    /// Last entry known to be synced at a member; `None` if this replica is not the leader or the
    /// disk is not a member.
    pub fn synced_index_of(&self, id: DiskId) -> Option<Index> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if id == self.id {
            return Some(self.log.synced());
        }
        state.progress.get(&id).map(|progress| progress.matched)
    }

    /// Sending time of the last message that a member has acknowledged, by the clock of this replica;
    /// `None` as for [`Core::synced_index_of`], or if there is none.
    pub fn last_contact(&self, id: DiskId) -> Option<Millis> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        state.progress.get(&id)?.contact
    }

    /// Position of a member, which changes while it catches up: the number of entries that it has synced, plus the
    /// bytes of the snapshot that is being sent to it. `None` as for [`Core::synced_index_of`].
    pub fn position_of(&self, id: DiskId) -> Option<u64> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        state.progress.get(&id).map(Progress::position)
    }

    /// Step of the replication to a member; `None` as for [`Core::synced_index_of`].
    pub fn replication_step(&self, id: DiskId) -> Option<ReplicationStep> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        state.progress.get(&id).map(Progress::step)
    }

    /// Whether a snapshot is being sent to a member.
    pub fn is_sending_snapshot(&self) -> bool {
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let mut progress = state.progress.values();
        progress.any(|progress| progress.step() == ReplicationStep::Snapshot)
    }

    /// Lowest measured rate of the links to the other voters, in bytes per ms; `None` as for
    /// [`Core::synced_index_of`], or if the link to one of them was not measured yet.
    pub fn link_rate(&self) -> Option<u64> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let rate = |id| state.progress.get(&id)?.link_rate.bytes_per_ms();
        let voters = self.other_voters().into_iter();
        let rates: Option<Vec<_>> = voters.map(rate).collect();
        rates?.into_iter().min()
    }

    /// Replication progress of a member, for log lines; `None` as for [`Core::synced_index_of`].
    pub fn progress_of(&self, id: DiskId) -> Option<String> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        state.progress.get(&id).map(Progress::to_string)
    }

    /// Whether a member has synced the committed entries, or follows them within an election timeout;
    /// false if this replica is not the leader or the disk is not a member. Committed entries do not
    /// depend on a learner: the voters hold them, also when it is promoted.
    pub fn keeps_up(&self, id: DiskId) -> bool {
        if self.synced_index_of(id) >= Some(self.commit) {
            return true;
        }
        let Role::Leader(state) = &self.role else {
            return false;
        };
        let progress = state.progress.get(&id);
        progress.is_some_and(|progress| progress.keeps_up(self.timing.election_timeout, self.now))
    }

    /// Starts a leadership transfer to the active voter with the most synced entries. Proposals are
    /// rejected while it is in progress.
    pub(crate) fn on_transfer_leadership(&mut self) {
        let voters = self.other_voters();
        let Role::Leader(state) = &self.role else {
            return;
        };
        let best = voters
            .into_iter()
            .filter(|&id| self.is_active(id))
            .max_by_key(|id| state.progress.get(id).map(|progress| progress.matched));
        let expires_at = self.now + self.timing.election_timeout;
        if let Role::Leader(state) = &mut self.role {
            state.leadership_transfer = best.map(|to| LeadershipTransfer { to, expires_at });
        }
        self.continue_leadership_transfer();
    }

    /// Completes the leadership transfer once the target has synced the complete log. This replica
    /// steps down before the message is sent, because the target may be elected before the lease
    /// ends.
    fn continue_leadership_transfer(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let Some(to) = state
            .leadership_transfer
            .as_ref()
            .map(|transfer| transfer.to)
        else {
            return;
        };
        let matched = state.progress.get(&to).map(|progress| progress.matched);
        if matched == Some(self.log.last_index()) && self.commit == self.log.last_index() {
            self.become_follower(self.hard_state.term);
            self.send(to, Body::Transfer);
        }
    }
}

/// Builds the rejection of a proposal or read.
pub(crate) fn rejected(token: Token, verdict: Verdict, leader: Option<DiskId>) -> Action {
    Action::Rejected {
        token,
        verdict,
        leader,
    }
}
