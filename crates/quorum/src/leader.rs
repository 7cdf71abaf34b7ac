//! The leader: proposals, replication, commit and lease.

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
    Payload,
    Proposal,
    Token,
    progress::{
        Progress,
        Stamp, //
    },
    role::{
        HandOver,
        Leading,
        Pending,
        Role, //
    }, //
};

/// The entries that may wait for commitment before proposals are refused.
const MAX_UNCOMMITTED: u64 = 64 * 1024;

impl Core {
    /// Begins to lead the present term.
    pub(crate) fn lead(&mut self) {
        let first = self.log.last_index().next();
        self.role = Role::Leader(Box::new(Leading::new(self.now, first)));
        self.leader = Some(self.id);
        self.append_own(Payload::Empty);
        self.refresh_peers();
        self.send_heartbeats();
    }

    /// Ends leadership, if this replica leads, and answers everyone who waits for it.
    pub(crate) fn abandon_leadership(&mut self) {
        let Role::Leader(leading) =
            std::mem::replace(&mut self.role, Role::Follower(<_>::default()))
        else {
            return;
        };
        for pending in leading.pending {
            self.actions.push(if pending.is_change {
                Action::ChangeRefused {
                    token: pending.token,
                    error: ChangeError::Unknown(None),
                }
            } else {
                rejected(pending.token, Verdict::MayHaveRun, None)
            });
        }
        if let Some(proposed) = leading.proposed {
            self.actions.push(Action::ChangeRefused {
                token: proposed.token,
                error: ChangeError::NotLeader(None),
            });
        }
        if let Some(replacing) = leading.replacing {
            self.actions.push(Action::ChangeRefused {
                token: replacing.token,
                error: ChangeError::Unknown(None),
            });
        }
        for token in leading.reads.queued.into_iter().chain(leading.reads.asked) {
            self.actions.push(rejected(token, Verdict::NotRun, None));
        }
    }

    /// Appends an entry of the present term and returns its index.
    pub(crate) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index().next();
        self.append(Entry {
            index,
            term: self.hard.term,
            payload,
        });
        index
    }

    /// Keeps one progress for each member of the group.
    pub(crate) fn refresh_peers(&mut self) {
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let membership = self.log.membership();
        leading.progress.retain(|&id, _| membership.contains(id));
        let next = self.log.last_index().max(Index(1));
        for (id, _) in membership.iter().filter(|(id, _)| *id != self.id) {
            let progress = leading.progress.entry(id);
            progress.or_insert_with(|| Progress::new(next));
        }
    }

    pub(crate) fn on_propose(&mut self, proposals: Vec<Proposal>) {
        let leader = self.leader;
        let backlog = self.log.last_index().0 - self.commit.0;
        let accepts = match &self.role {
            Role::Leader(leading) => leading.hand_over.is_none() && backlog < MAX_UNCOMMITTED,
            _ => false,
        };
        for proposal in proposals {
            if !accepts {
                let rejected = rejected(proposal.token, Verdict::NotRun, leader);
                self.actions.push(rejected);
                continue;
            }
            let index = self.append_own(Payload::Command(proposal.data));
            self.await_commit(index, proposal.token, false);
        }
    }

    /// Remembers who waits for an entry.
    pub(crate) fn await_commit(&mut self, index: Index, token: Token, is_change: bool) {
        if let Role::Leader(leading) = &mut self.role {
            leading.pending.push_back(Pending {
                index,
                token,
                is_change,
            });
        }
    }

    /// A committed entry with the token that waits for it.
    pub(crate) fn with_token(&mut self, entry: Entry) -> Committed {
        let mut token = None;
        if let Role::Leader(leading) = &mut self.role {
            let pending = &mut leading.pending;
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
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(progress) = leading.progress.get_mut(&from) else {
            return;
        };
        progress.on_contact(echo);
        match result {
            AppendResult::Matched(index) => progress.on_matched(index, &self.log),
            AppendResult::Rejected { prev, hint } => progress.on_rejected(prev, hint),
        }
        self.continue_hand_over();
    }

    /// Commits what a majority of the voters has synced. An entry of an earlier term is committed
    /// only by one of the present term after it.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let synced = self.log.synced();
        let matched = |id| match leading.progress.get(&id) {
            _ if id == self.id => synced,
            Some(progress) => progress.matched,
            None => Index::ZERO,
        };
        let Some(index) = self.log.membership().quorum_value(matched) else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit = index;
        }
    }

    /// Sends every follower the entries that it lacks.
    pub(crate) fn replicate(&mut self) {
        self.offer_snapshots();
        let commit = self.commit;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let stamp = Stamp {
            commit,
            echo: Echo {
                round: leading.round,
                sent_at: self.now,
            },
        };
        for (&to, progress) in &mut leading.progress {
            while let Some(append) = progress.next_entries(&self.log, stamp) {
                self.actions.push(Action::Send(Envelope {
                    from: self.id,
                    to,
                    term: self.hard.term,
                    body: Body::Append(append),
                }));
            }
        }
    }

    pub(crate) fn send_heartbeats(&mut self) {
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        leading.heartbeat_at = self.now + self.timing.heartbeat;
        let stamp = Stamp {
            commit: self.commit,
            echo: Echo {
                round: leading.round,
                sent_at: self.now,
            },
        };
        for (&to, progress) in &mut leading.progress {
            if let Some(append) = progress.heartbeat(&self.log, stamp) {
                self.actions.push(Action::Send(Envelope {
                    from: self.id,
                    to,
                    term: self.hard.term,
                    body: Body::Append(append),
                }));
            }
        }
    }

    pub(crate) fn on_leader_tick(&mut self) {
        let now = self.now;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        if leading
            .hand_over
            .as_ref()
            .is_some_and(|hand_over| hand_over.until <= now)
        {
            leading.hand_over = None;
        }
        if leading.heartbeat_at <= now {
            self.send_heartbeats();
        }
        self.retry_transfers();
        self.expire_change();
    }

    /// When the latest message was sent that a majority of the voters has answered.
    fn quorum_contact(&self) -> Option<Millis> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let contact = |id| match leading.progress.get(&id) {
            _ if id == self.id => Some(self.now),
            Some(progress) => progress.contact,
            None => None,
        };
        self.log.membership().quorum_value(contact).flatten()
    }

    /// When the lease of this leader ends; `None` without a lease.
    ///
    /// No other replica can win an election before that: a majority of the voters heard from this
    /// leader less than the election timeout ago and refuses to vote.
    pub fn lease_until(&self) -> Option<Millis> {
        self.quorum_contact()
            .map(|contact| contact + self.timing.lease)
    }

    /// Steps down if no quorum has answered for an election timeout.
    pub(crate) fn check_quorum(&mut self) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let contact = self.quorum_contact().unwrap_or_default();
        let heard = contact.max(leading.since);
        if self.now >= heard + self.timing.election {
            self.follow(self.hard.term);
        }
    }

    /// Whether a member answered of late.
    pub(crate) fn is_active(&self, id: DiskId) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        let contact = leading
            .progress
            .get(&id)
            .and_then(|progress| progress.contact);
        id == self.id || contact.is_some_and(|contact| self.now < contact + self.timing.election)
    }

    /// The last entry that is synced at a member, as far as this leader knows; `None` if this
    /// replica does not lead.
    pub fn synced_index_of(&self, id: DiskId) -> Option<Index> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        if id == self.id {
            return Some(self.log.synced());
        }
        leading.progress.get(&id).map(|progress| progress.matched)
    }

    /// Picks the voter with the longest log to lead next. Proposals are refused from here on.
    pub(crate) fn on_hand_over(&mut self) {
        let voters = self.other_voters();
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let best = voters
            .into_iter()
            .filter(|&id| self.is_active(id))
            .max_by_key(|id| leading.progress.get(id).map(|progress| progress.matched));
        let until = self.now + self.timing.election;
        if let Role::Leader(leading) = &mut self.role {
            leading.hand_over = best.map(|to| HandOver { to, until });
        }
        self.continue_hand_over();
    }

    /// Hands over once the chosen voter has the whole log. Leadership ends before the message
    /// leaves, because the next leader may be elected before this lease would have ended.
    fn continue_hand_over(&mut self) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let Some(to) = leading.hand_over.as_ref().map(|hand_over| hand_over.to) else {
            return;
        };
        let matched = leading.progress.get(&to).map(|progress| progress.matched);
        if matched == Some(self.log.last_index()) && self.commit == self.log.last_index() {
            self.follow(self.hard.term);
            self.send(to, Body::Transfer);
        }
    }
}

/// The refusal of a proposal or read.
pub(crate) fn rejected(token: Token, verdict: Verdict, leader: Option<DiskId>) -> Action {
    Action::Rejected {
        token,
        verdict,
        leader,
    }
}
