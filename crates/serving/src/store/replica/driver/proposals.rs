//! Commands on their way into the log, some of which are subject to a bound.

use yuccaseam_base::InstanceName;
use yuccaseam_quorum::{
    Event,
    Proposal,
    Token, //
};

use crate::state::{
    Command,
    NewJob, //
};

use super::{
    super::{
        super::BoundDecision,
        CommandReply,
        JobProposal,
        ProposeError,
        REPLY_TIMEOUT,
        Waiter,
        encode, //
    },
    Driver,
    answer, //
};

impl Driver {
    pub(super) fn propose(&mut self, data: Vec<u8>, reply: CommandReply) {
        let Some(reply) = still_awaited(reply) else {
            return;
        };
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
        let Some(reply) = still_awaited(reply) else {
            return;
        };
        if self.refuses_commands() || !self.checks_bounds() {
            return answer(reply, Err(ProposeError::NotLeader));
        }
        let token = self.next_token();
        let decision = self.decide_on_job(token, &job);
        if let Err(error) = permission(decision, ProposeError::NoCapacity) {
            return answer(reply, Err(error));
        }
        let command = match team {
            Some(team) => Command::SubmitForTeam { team, job },
            None => Command::Submit(job),
        };
        let waiter = Waiter::Propose {
            reply,
            _submission: Some(submission),
        };
        self.propose_admitted(token, &command, waiter);
    }

    fn decide_on_job(&mut self, token: Token, job: &NewJob) -> BoundDecision {
        let published = self
            .shared
            .published
            .lock()
            .expect("no thread panics with the lock");
        let state = &published.state;
        let max_bytes = self.cx.join_budget().max_state_bytes(state.link_rate());
        let decision = self.in_progress.admit_job(token, job, state, max_bytes);
        if decision != BoundDecision::Admitted {
            log::info!(
                job = job.id.as_str(), state_bytes = state.expected_bytes(),
                in_progress_bytes = self.in_progress.job_bytes(), growth_bytes = state.expected_growth(job),
                max_bytes, decision:? = decision; "state has no capacity for a job");
        }
        decision
    }

    pub(super) fn propose_retirement(&mut self, name: InstanceName, reply: CommandReply) {
        let Some(reply) = still_awaited(reply) else {
            return;
        };
        if self.refuses_commands() || !self.checks_bounds() {
            return answer(reply, Err(ProposeError::NotLeader));
        }
        let token = self.next_token();
        let decision = self.decide_on_retirement(token, &name);
        if let Err(error) = permission(decision, ProposeError::TooFewLeft) {
            return answer(reply, Err(error));
        }
        let waiter = Waiter::Propose {
            reply,
            _submission: None,
        };
        self.propose_admitted(token, &Command::Retire(name), waiter);
    }

    fn decide_on_retirement(&mut self, token: Token, name: &InstanceName) -> BoundDecision {
        let now = self.cx.clock.now();
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
        let can_retire = |retiring: &_| manager.can_retire(name, retiring, now) == Some(true);
        let decision = self
            .in_progress
            .admit_retirement(token, name, &published.state, can_retire);
        if decision != BoundDecision::Admitted {
            let retiring = self.in_progress.retiring(&published.state);
            log::info!(
                instance:% = name, retiring = retiring.len(),
                tolerated_losses = self.cx.settings.tolerated_losses, decision:? = decision;
                "too few stores would remain for an instance to retire");
        }
        decision
    }

    /// Proposes a command in the step in which it was admitted: in a later step, this replica may lead another term.
    fn propose_admitted(&mut self, token: Token, command: &Command, waiter: Waiter) {
        self.waiters.insert(token, waiter);
        self.queue_proposal(token, encode(command));
        self.flush_proposals();
    }

    pub(super) fn flush_proposals(&mut self) {
        if !self.proposals.is_empty() {
            let proposals = std::mem::take(&mut self.proposals);
            self.step(Event::Propose(proposals));
        }
    }
}

/// What a decision means for a command, where `refusal` tells its proposer that the bound would be exceeded.
fn permission(decision: BoundDecision, refusal: ProposeError) -> Result<(), ProposeError> {
    match decision {
        BoundDecision::Admitted => Ok(()),
        BoundDecision::Refused => Err(refusal),
        BoundDecision::Undecided => Err(ProposeError::Unknown),
        BoundDecision::NotCurrent => Err(ProposeError::NotLeader),
    }
}

/// Drops a command whose proposer waits no longer, as after this process was frozen. The proposer has said that the
/// outcome is unknown, and the command must not run later than what it says next.
fn still_awaited(reply: CommandReply) -> Option<CommandReply> {
    if reply.is_closed() {
        log::warn!(
            timeout_ms = REPLY_TIMEOUT.0; "command not proposed: its proposer has timed out");
        return None;
    }
    Some(reply)
}
