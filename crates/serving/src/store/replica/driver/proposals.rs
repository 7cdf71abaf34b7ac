//! Commands on their way into the log, some of which are subject to a bound.

use yuccaseam_base::InstanceName;
use yuccaseam_quorum::{
    Event,
    Proposal,
    Token, //
};

use crate::{
    intake::Submission,
    state::Command, //
};

use super::{
    super::{
        super::Admission,
        CommandReply,
        JobProposal,
        ProposeError,
        Waiter,
        encode, //
    },
    Driver,
    answer, //
};

impl Driver {
    pub(super) fn propose(&mut self, data: Vec<u8>, reply: CommandReply) {
        if is_late(&reply) {
            return;
        }
        if self.refuses_commands() {
            return answer(reply, Err(ProposeError::NotLeader));
        }
        let token = self.register_waiter(Waiter::Propose {
            reply,
            _submission: None,
        });
        self.queue_proposal(token, data);
    }

    fn queue_proposal(&mut self, token: Token, data: Vec<u8>) {
        let data = data.into();
        self.proposals.push(Proposal { token, data });
    }

    fn refuses_commands(&self) -> bool {
        self.cx.clock.now() < self.refuse_until || self.is_forming()
    }

    /// Whether this replica leads, and has applied all that earlier leaders left in its log.
    fn checks_bounds(&self) -> bool {
        let core = self.core.as_ref().filter(|core| core.is_leader());
        core.is_some_and(|core| self.in_progress.is_current_in(core.term()))
    }

    pub(super) fn propose_job(&mut self, proposal: JobProposal) {
        let JobProposal {
            team,
            job,
            submission,
            reply,
        } = proposal;
        if is_late(&reply) {
            return;
        }
        if self.refuses_commands() || !self.checks_bounds() {
            return answer(reply, Err(ProposeError::NotLeader));
        }
        let token = self.next_token();
        let budget = self.cx.join_budget();
        let admission = {
            let published = self
                .shared
                .published
                .lock()
                .expect("no thread panics with the lock");
            let state = &published.state;
            let max_bytes = budget.max_state_bytes(state.link_rate());
            let admission = self.in_progress.admit_job(token, &job, state, max_bytes);
            if admission != Admission::Admitted {
                log::info!(
                    job = job.id.as_str(), state_bytes = state.expected_bytes(),
                    in_progress_bytes = self.in_progress.job_bytes(), new_bytes = job.stored_bytes(),
                    max_bytes, admission:? = admission; "state has no capacity for a job");
            }
            admission
        };
        let command = match team {
            Some(team) => Command::SubmitForTeam { team, job },
            None => Command::Submit(job),
        };
        self.propose_admitted(token, admission, &command, reply, Some(submission));
    }

    pub(super) fn propose_retirement(&mut self, name: InstanceName, reply: CommandReply) {
        if is_late(&reply) {
            return;
        }
        if self.refuses_commands() || !self.checks_bounds() {
            return answer(reply, Err(ProposeError::NotLeader));
        }
        let token = self.next_token();
        let now = self.cx.clock.now();
        let admission = {
            let published = self
                .shared
                .published
                .lock()
                .expect("no thread panics with the lock");
            let manager = self
                .shared
                .manager
                .lock()
                .expect("no thread panics with the lock");
            let can_retire = |retiring: &_| manager.can_retire(&name, retiring, now) == Some(true);
            self.in_progress
                .admit_retirement(token, &name, &published.state, can_retire)
        };
        self.propose_admitted(token, admission, &Command::Retire(name), reply, None);
    }

    /// Proposes a command in the step in which it was admitted: in a later step, this replica may lead another term.
    fn propose_admitted(
        &mut self,
        token: Token,
        admission: Admission,
        command: &Command,
        reply: CommandReply,
        submission: Option<Submission>,
    ) {
        let error = match (admission, command) {
            (Admission::Admitted, _) => {
                self.waiters.insert(
                    token,
                    Waiter::Propose {
                        reply,
                        _submission: submission,
                    },
                );
                self.queue_proposal(token, encode(command));
                return self.flush_proposals();
            }
            (Admission::Refused, Command::Retire(_)) => ProposeError::TooFewLeft,
            (Admission::Refused, _) => ProposeError::NoCapacity,
            (Admission::Undecided, _) => ProposeError::Unknown,
            (Admission::NotCurrent, _) => ProposeError::NotLeader,
        };
        answer(reply, Err(error));
    }

    pub(super) fn flush_proposals(&mut self) {
        if !self.proposals.is_empty() {
            let proposals = std::mem::take(&mut self.proposals);
            self.step(Event::Propose(proposals));
        }
    }
}

/// Whether the proposer of a command waits no longer, as after this process was frozen. It has said that the outcome is
/// unknown, and the command must not run later than what it says next.
fn is_late(reply: &CommandReply) -> bool {
    let is_late = reply.is_closed();
    if is_late {
        log::warn!("command not proposed: its proposer has timed out");
    }
    is_late
}
