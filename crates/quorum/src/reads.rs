//! Linearizable reads, confirmed by a heartbeat round to a quorum.

use std::mem;

use yuccaseam_base::Verdict;

use crate::{
    Action,
    Core,
    DiskId,
    Round,
    Token,
    leader::rejected,
    role::{
        FIRST_ROUND,
        Role, //
    }, //
};

impl Core {
    pub(crate) fn on_read(&mut self, token: Token) {
        match &mut self.role {
            Role::Leader(state) => state.reads.queued.push(token),
            _ => {
                let rejected = rejected(token, Verdict::NotRun, self.leader);
                self.actions.push(rejected);
            }
        }
    }

    /// Completes the reads whose round a quorum has acknowledged, then starts the next round with
    /// all reads that arrived in the meantime.
    pub(crate) fn confirm_reads(&mut self) {
        self.finish_round();
        if self.start_round() {
            self.send_heartbeats();
            self.finish_round();
        }
    }

    fn finish_round(&mut self) {
        let acked = self.quorum_round();
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if acked < state.reads.round {
            return;
        }
        let index = state.reads.index;
        for token in mem::take(&mut state.reads.confirming) {
            self.actions.push(Action::ReadReady { token, index });
        }
    }

    /// Starts a round for the queued reads. A new leader waits until an entry of its own term is
    /// committed: its commit index is not current before that.
    fn start_round(&mut self) -> bool {
        let Role::Leader(state) = &mut self.role else {
            return false;
        };
        let reads = &mut state.reads;
        let must_wait = !reads.confirming.is_empty() || self.commit < state.first;
        if must_wait || reads.queued.is_empty() {
            return false;
        }
        state.round = state.round.next();
        reads.round = state.round;
        reads.index = self.commit;
        reads.confirming = mem::take(&mut reads.queued);
        true
    }

    fn quorum_round(&self) -> Round {
        self.log
            .membership()
            .quorum_value(|id| self.acked_round(id))
            .unwrap_or_default()
    }

    /// Latest round that a member has acknowledged.
    pub(crate) fn acked_round(&self, id: DiskId) -> Round {
        let Role::Leader(state) = &self.role else {
            return Round::default();
        };
        match state.progress.get(&id) {
            _ if id == self.id => state.round,
            Some(progress) => progress.round,
            None => Round::default(),
        }
    }

    /// Number of rounds that this leader has started in its term for reads and membership changes;
    /// 0 if this replica is not the leader.
    pub fn rounds_started(&self) -> u64 {
        match &self.role {
            Role::Leader(state) => state.round.0 - FIRST_ROUND.0,
            _ => 0,
        }
    }
}
