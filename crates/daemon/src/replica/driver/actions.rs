//! Passes events to the core and executes the resulting actions.

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

use crate::store::CallOutcome;

use super::{
    Driver,
    waiter::Waiter, //
};

/// Size of a log entry without its command.
const ENTRY_OVERHEAD_BYTES: u64 = 64;

impl Driver {
    /// Passes an event to the core and executes the resulting actions.
    pub(super) fn step(&mut self, event: Event) {
        let now = self.clock.now();
        let Some(core) = &mut self.core else {
            return self.refuse_event(event);
        };
        for action in core.step(now, event) {
            self.execute(action);
        }
    }

    /// Refuses the requests of an event that arrived while there is no core.
    pub(super) fn refuse_event(&mut self, event: Event) {
        let tokens = match event {
            Event::Propose(proposals) => proposals.iter().map(|proposal| proposal.token).collect(),
            Event::Read(token) | Event::ChangeMembers { token, .. } => vec![token],
            _ => Vec::new(),
        };
        for token in tokens {
            if let Some(waiter) = self.waiters.remove(&token) {
                waiter.redirect(None);
            }
        }
    }

    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Send(envelope) => self.send(envelope),
            Action::Persist(persist) => self.send_to_disk(DiskRequest::Persist(persist)),
            Action::Commit(entries) => {
                for committed in entries {
                    self.apply(committed);
                }
            }
            Action::ReadReady { token, .. } => self.on_read_ready(token),
            Action::Rejected { token, verdict, .. } => self.reject(token, verdict),
            Action::ChangeRefused { token, error } => self.refuse_change(token, &error),
            Action::ReadChunk { to, id, offset } => {
                self.send_to_disk(DiskRequest::ReadChunk { to, id, offset });
            }
            Action::StoreChunk { chunk, .. } => self.send_to_disk(DiskRequest::StoreChunk(chunk)),
            Action::InstallSnapshot(snapshot) => {
                self.send_to_disk(DiskRequest::Install(snapshot.id))
            }
        }
    }

    pub(super) fn send(&mut self, envelope: Envelope) {
        if let Some(name) = self.name_of(envelope.to) {
            self.transport.send(&name, &envelope.into());
        }
    }

    /// Name of the instance that holds a disk, from the group or else from the instance's hello.
    pub(super) fn name_of(&self, id: DiskId) -> Option<InstanceName> {
        let member = self.group().and_then(|group| group.get(id));
        member
            .map(|member| &member.name)
            .or_else(|| self.manager.instance_of(id))
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
                reply(CallOutcome::Reply(()));
            }
            return;
        };
        self.log_bytes += ENTRY_OVERHEAD_BYTES + data.len() as u64;
        let outcome = match Command::decode(data) {
            Ok(command) => self.state.apply(LogIndex(index.0), &command),
            Err(error) => Refusal::not_run(Reason::Internal, error.to_string()).into(),
        };
        if let Some(Waiter::Propose(reply)) = waiter {
            reply(CallOutcome::Reply(outcome));
        }
    }

    pub(super) fn on_read_ready(&mut self, token: Token) {
        if let Some(Waiter::Query(query, reply)) = self.waiters.remove(&token) {
            reply(CallOutcome::Reply(self.state.query(&query)));
        }
    }

    pub(super) fn reject(&mut self, token: Token, verdict: Verdict) {
        let hint = self.leader_name();
        let Some(waiter) = self.waiters.remove(&token) else {
            return;
        };
        match verdict {
            Verdict::NotRun => waiter.redirect(hint),
            Verdict::MayHaveRun | Verdict::Ran => waiter.fail_unknown("the leader changed"),
        }
    }

    pub(super) fn refuse_change(&mut self, token: Token, error: &ChangeError) {
        log::debug!("group change refused: {error}");
        let hint = self.leader_name();
        let Some(Waiter::Change(reply)) = self.waiters.remove(&token) else {
            return;
        };
        if *error == ChangeError::IsLeader {
            // The caller retries until the next leader executes the change.
            self.step(Event::TransferLeadership);
        }
        let replied = match error {
            ChangeError::IsLeader => CallOutcome::NotLeader(None),
            // Happens right after an election, such as the transfer from a leader that is to be
            // removed. The caller retries until the new leader can decide.
            ChangeError::NotLeader(_) | ChangeError::TermNotCommitted => {
                CallOutcome::NotLeader(hint)
            }
            ChangeError::Unknown(_) => CallOutcome::Unknown(error.to_string()),
            _ => CallOutcome::Refused(Refusal::not_run(Reason::UnsafeChange, error.to_string())),
        };
        reply(replied);
    }

    pub(super) fn leader_name(&self) -> Option<InstanceName> {
        let leader = self.core.as_ref().and_then(Core::leader)?;
        self.name_of(leader)
    }
}
