//! The follower: entries from the leader.

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
    /// Tells the leader of an earlier term that its term has passed.
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
        self.send_synced(envelope.from, reply);
    }

    pub(crate) fn on_append(&mut self, from: DiskId, append: Append) {
        let Role::Follower(following) = &mut self.role else {
            return;
        };
        following.echo = following.echo.max(append.echo);
        if self.installing {
            return self.reply_matched(from);
        }
        if !self.agrees_at(&append) {
            let result = self.rejection(append.prev_index);
            return self.reply(from, result);
        }
        let last = Index(append.prev_index.0 + append.entries.len() as u64);
        for entry in append.entries {
            self.accept(entry);
        }
        self.on_verified(last, append.commit);
        self.reply_matched(from);
    }

    /// Whether the log holds the entry before the message's first. Everything that the snapshot
    /// covers is committed, so that it agrees with any leader.
    fn agrees_at(&self, append: &Append) -> bool {
        append.prev_index < self.log.base()
            || self.log.term_at(append.prev_index) == Some(append.prev_term)
    }

    /// Says from where on the logs may agree: before the first entry of the term that differs.
    fn rejection(&self, prev: Index) -> AppendResult {
        let mut hint = prev.prev().min(self.log.last_index());
        if let Some(term) = self.log.term_at(prev) {
            while hint > self.commit && self.log.term_at(hint) == Some(term) {
                hint = hint.prev();
            }
        }
        AppendResult::Rejected { prev, hint }
    }

    /// Takes one entry in, unless the log has it.
    fn accept(&mut self, entry: Entry) {
        if entry.index <= self.log.base() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                assert!(entry.index > self.commit, "a committed entry would change");
                self.log.truncate(entry.index);
                self.writer.truncate(entry.index);
            }
            None => {}
        }
        self.append(entry);
    }

    fn on_verified(&mut self, last: Index, commit: Index) {
        let Role::Follower(following) = &mut self.role else {
            return;
        };
        following.verified = following.verified.max(last);
        self.commit = self.commit.max(commit.min(following.verified));
    }

    /// Tells the leader how much of its log is synced here.
    pub(crate) fn reply_matched(&mut self, leader: DiskId) {
        let Role::Follower(following) = &mut self.role else {
            return;
        };
        let matched = following.verified.min(self.log.synced());
        following.told = matched;
        self.reply(leader, AppendResult::Matched(matched));
    }

    /// Answers the leader, at once if the term is synced and with the next sync otherwise.
    fn reply(&mut self, leader: DiskId, result: AppendResult) {
        let Role::Follower(following) = &mut self.role else {
            return;
        };
        if !self.writer.is_hard_synced() {
            following.owes_reply = true;
            return;
        }
        let echo = following.echo;
        self.send(leader, Body::AppendReply { result, echo });
    }

    /// Tells the leader of entries that this sync covered.
    pub(crate) fn reply_after_sync(&mut self) {
        let Some(leader) = self.leader else {
            return;
        };
        let synced = self.log.synced();
        let Role::Follower(following) = &mut self.role else {
            return;
        };
        let grew = following.verified.min(synced) > following.told;
        if grew || following.owes_reply {
            following.owes_reply = false;
            self.reply_matched(leader);
        }
    }
}
