//! Giving the core its events, and carrying its actions out.

use yuccaseam_base::{
    InstanceName,
    Reason,
    Refusal,
    Verdict, //
};
use yuccaseam_quorum::{
    Action,
    ChangeError,
    Committed,
    Core,
    DiskId,
    Envelope,
    Event,
    Payload,
    Token, //
};
use yuccaseam_replica::DiskRequest;
use yuccaseam_state::{
    Command,
    LogIndex, //
};

use crate::store::Replied;

use super::{
    Driver,
    waiter::Waiter, //
};

/// What an entry costs besides its command, in bytes.
const ENTRY_BYTES: u64 = 64;

impl Driver {
    /// Gives the core an event and carries its actions out.
    pub(super) fn step(&mut self, event: Event) {
        let now = self.clock.now();
        let Some(core) = &mut self.core else {
            return self.refuse_event(event);
        };
        for action in core.step(now, event) {
            self.act(action);
        }
    }

    /// Answers those whose event came while there is no core.
    pub(super) fn refuse_event(&mut self, event: Event) {
        let tokens = match event {
            Event::Propose(proposals) => proposals.iter().map(|one| one.token).collect(),
            Event::Read(token) | Event::ChangeMembers { token, .. } => vec![token],
            _ => Vec::new(),
        };
        for token in tokens {
            if let Some(waiter) = self.waiters.remove(&token) {
                waiter.redirect(None);
            }
        }
    }

    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Send(envelope) => self.send(envelope),
            Action::Persist(persist) => self.ask_disk(DiskRequest::Persist(persist)),
            Action::Commit(entries) => {
                for committed in entries {
                    self.apply(committed);
                }
            }
            Action::ReadReady { token, .. } => self.answer_query(token),
            Action::Rejected { token, verdict, .. } => self.reject(token, verdict),
            Action::ChangeRefused { token, error } => self.refuse_change(token, &error),
            Action::ReadChunk { to, id, offset } => {
                self.ask_disk(DiskRequest::ReadChunk { to, id, offset });
            }
            Action::StoreChunk { chunk, .. } => self.ask_disk(DiskRequest::StoreChunk(chunk)),
            Action::InstallSnapshot(snapshot) => self.ask_disk(DiskRequest::Install(snapshot.id)),
        }
    }

    pub(super) fn send(&mut self, envelope: Envelope) {
        if let Some(name) = self.name_of(envelope.to) {
            self.transport.send(&name, &envelope.into());
        }
    }

    /// The instance that holds a disk, as the group knows it or as the disk's owner said.
    pub(super) fn name_of(&self, id: DiskId) -> Option<InstanceName> {
        let member = self.group().and_then(|group| group.get(id));
        member
            .map(|member| &member.name)
            .or_else(|| self.presence.name(id))
            .cloned()
    }

    pub(super) fn apply(&mut self, committed: Committed) {
        let index = committed.entry.index;
        let waiter = committed
            .token
            .and_then(|token| self.waiters.remove(&token));
        if index <= self.applied {
            return;
        }
        self.applied = index;
        let Payload::Command(data) = &committed.entry.payload else {
            self.refresh_members();
            if let Some(Waiter::Change(reply)) = waiter {
                reply(Replied::Answer(()));
            }
            return;
        };
        self.log_bytes += ENTRY_BYTES + data.len() as u64;
        let outcome = match Command::decode(data) {
            Ok(command) => self.state.apply(LogIndex(index.0), &command),
            Err(error) => Refusal::not_run(Reason::Internal, error.to_string()).into(),
        };
        if let Some(Waiter::Propose(reply)) = waiter {
            reply(Replied::Answer(outcome));
        }
    }

    pub(super) fn answer_query(&mut self, token: Token) {
        if let Some(Waiter::Query(query, reply)) = self.waiters.remove(&token) {
            reply(Replied::Answer(self.state.query(&query)));
        }
    }

    pub(super) fn reject(&mut self, token: Token, verdict: Verdict) {
        let hint = self.leader_name();
        let Some(waiter) = self.waiters.remove(&token) else {
            return;
        };
        match verdict {
            Verdict::NotRun => waiter.redirect(hint),
            Verdict::MayHaveRun | Verdict::Ran => waiter.lose("the leader changed"),
        }
    }

    pub(super) fn refuse_change(&mut self, token: Token, error: &ChangeError) {
        log::debug!("a change of the group is refused: {error}");
        let hint = self.leader_name();
        let Some(Waiter::Change(reply)) = self.waiters.remove(&token) else {
            return;
        };
        if *error == ChangeError::IsLeader {
            // The next leader carries the change out; the caller asks until one does.
            self.step(Event::TransferLeadership);
        }
        let replied = match error {
            ChangeError::IsLeader => Replied::NotLeader(None),
            // Right after an election, such as the hand-over of a leader that is to be removed. The
            // caller asks again, and soon the leader can tell.
            ChangeError::NotLeader(_) | ChangeError::TermNotCommitted => Replied::NotLeader(hint),
            ChangeError::Unknown(_) => Replied::Lost(error.to_string()),
            _ => Replied::Refused(Refusal::not_run(Reason::UnsafeChange, error.to_string())),
        };
        reply(replied);
    }

    pub(super) fn leader_name(&self) -> Option<InstanceName> {
        let leader = self.core.as_ref().and_then(Core::leader)?;
        self.name_of(leader)
    }
}
