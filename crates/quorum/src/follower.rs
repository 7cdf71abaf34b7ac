//! Follower: appends entries received from the leader.

use crate::{
    Append,
    AppendResult,
    Body,
    Core,
    DiskId,
    Echo,
    Entry,
    Envelope,
    Index,
    role::Role, //
};

impl Core {
    /// Replies to a leader of an earlier term with the current term, so that it steps down.
    pub(crate) fn on_stale(&mut self, envelope: &Envelope) {
        if !envelope.body.is_from_leader() {
            return;
        }
        let reply = Body::AppendReply {
            result: AppendResult::Rejected {
                prev: Index::ZERO,
                hint: Index::ZERO,
            },
            echo: Echo::default(),
        };
        self.send_after_sync(envelope.from, reply);
    }

    pub(crate) fn on_append(&mut self, from: DiskId, append: Append) {
        let Role::Follower(state) = &mut self.role else {
            return;
        };
        state.echo = state.echo.max(append.echo);
        if self.installing {
            return self.reply_matched(from);
        }
        if !self.matches_previous(&append) {
            let result = self.rejection(append.prev_index);
            return self.reply(from, result);
        }
        let last = Index(append.prev_index.0 + append.entries.len() as u64);
        for entry in append.entries {
            self.append_if_missing(entry);
        }
        self.advance_verified(last, append.commit);
        self.reply_matched(from);
    }

    /// Whether the log contains the entry that precedes the message's first. Entries covered by
    /// the snapshot are committed and therefore match the log of any leader.
    fn matches_previous(&self, append: &Append) -> bool {
        append.prev_index < self.log.base()
            || self.log.term_at(append.prev_index) == Some(append.prev_term)
    }

    /// Rejection with a hint at the last index that can match: the one before the first entry of
    /// the conflicting term.
    fn rejection(&self, prev: Index) -> AppendResult {
        let mut hint = prev.prev().min(self.log.last_index());
        if let Some(term) = self.log.term_at(prev) {
            while hint > self.commit && self.log.term_at(hint) == Some(term) {
                hint = hint.prev();
            }
        }
        AppendResult::Rejected { prev, hint }
    }

    /// Appends an entry unless the log contains it. Truncates the log at a conflicting entry.
    fn append_if_missing(&mut self, entry: Entry) {
        if entry.index <= self.log.base() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                assert!(
                    entry.index > self.commit,
                    "leader conflicts with a committed entry"
                );
                self.log.truncate(entry.index);
                self.writer.truncate(entry.index);
            }
            None => {}
        }
        self.append(entry);
    }

    fn advance_verified(&mut self, last: Index, commit: Index) {
        let Role::Follower(state) = &mut self.role else {
            return;
        };
        state.verified = state.verified.max(last);
        self.commit = self.commit.max(commit.min(state.verified));
    }

    /// Reports to the leader up to which index its log is synced here.
    pub(crate) fn reply_matched(&mut self, leader: DiskId) {
        let Role::Follower(state) = &mut self.role else {
            return;
        };
        let matched = state.verified.min(self.log.synced());
        state.reported = matched;
        self.reply(leader, AppendResult::Matched(matched));
    }

    /// Replies to the leader, after the next sync if the hard state is not synced yet.
    fn reply(&mut self, leader: DiskId, result: AppendResult) {
        let Role::Follower(state) = &mut self.role else {
            return;
        };
        if !self.writer.is_hard_state_synced() {
            state.reply_pending = true;
            return;
        }
        let echo = state.echo;
        self.send(leader, Body::AppendReply { result, echo });
    }

    /// Reports entries covered by a sync to the leader, and sends a deferred reply.
    pub(crate) fn reply_after_sync(&mut self) {
        let Some(leader) = self.leader else {
            return;
        };
        let synced = self.log.synced();
        let Role::Follower(state) = &mut self.role else {
            return;
        };
        let has_unreported = state.verified.min(synced) > state.reported;
        if has_unreported || state.reply_pending {
            state.reply_pending = false;
            self.reply_matched(leader);
        }
    }
}
