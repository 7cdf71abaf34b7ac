//! Reads that a quorum confirms.

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
            Role::Leader(leading) => leading.reads.queued.push(token),
            _ => {
                let rejected = rejected(token, Verdict::NotRun, self.leader);
                self.actions.push(rejected);
            }
        }
    }

    /// Answers the reads whose round a quorum has answered, then begins the next round with all
    /// that arrived meanwhile.
    pub(crate) fn confirm_reads(&mut self) {
        self.finish_round();
        if self.begin_round() {
            self.send_heartbeats();
            self.finish_round();
        }
    }

    fn finish_round(&mut self) {
        let answered = self.quorum_round();
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        if answered < leading.reads.round {
            return;
        }
        let index = leading.reads.index;
        for token in mem::take(&mut leading.reads.asked) {
            self.actions.push(Action::ReadReady { token, index });
        }
    }

    /// A new leader knows what is committed only after its first own entry.
    fn begin_round(&mut self) -> bool {
        let Role::Leader(leading) = &mut self.role else {
            return false;
        };
        let reads = &mut leading.reads;
        let waits = !reads.asked.is_empty() || self.commit < leading.first;
        if waits || reads.queued.is_empty() {
            return false;
        }
        leading.round = leading.round.next();
        reads.round = leading.round;
        reads.index = self.commit;
        reads.asked = mem::take(&mut reads.queued);
        true
    }

    fn quorum_round(&self) -> Round {
        self.log
            .membership()
            .quorum_value(|id| self.answered_round(id))
            .unwrap_or_default()
    }

    /// The latest round that a member answered.
    pub(crate) fn answered_round(&self, id: DiskId) -> Round {
        let Role::Leader(leading) = &self.role else {
            return Round::default();
        };
        match leading.progress.get(&id) {
            _ if id == self.id => leading.round,
            Some(progress) => progress.round,
            None => Round::default(),
        }
    }

    /// How many rounds this leader has begun in its term, for reads and for changes of the group.
    pub fn rounds(&self) -> u64 {
        match &self.role {
            Role::Leader(leading) => leading.round.0 - FIRST_ROUND.0,
            _ => 0,
        }
    }
}
