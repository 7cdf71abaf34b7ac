//! The batch runs at one target.

use yuccaseam_base::Millis;

use crate::event::RunId;

#[derive(Clone, Copy, Debug)]
struct Run {
    id: RunId,
    prefilling: bool,
    pausing: bool,
}

/// Batch runs at one target, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct BatchRuns {
    runs: Vec<Run>,
    next: u64,
    ready: u32,
    paused_at: Option<Millis>,
    closed: bool,
}

impl BatchRuns {
    /// Forgets the runs of an earlier session.
    pub(crate) fn open(&mut self) {
        self.runs.clear();
        self.ready = 0;
        self.closed = false;
    }

    /// No run starts until batch is opened again.
    pub(crate) fn close(&mut self) {
        self.ready = 0;
        self.closed = true;
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.closed
    }

    /// Runs that hold a slot, those that are told to pause included.
    pub(crate) fn holding(&self) -> u32 {
        self.runs.len() as u32
    }

    /// Runs that go on.
    pub(crate) fn active(&self) -> u32 {
        self.runs.iter().filter(|run| !run.pausing).count() as u32
    }

    /// Runs that wait for their first token.
    pub(crate) fn prefilling(&self) -> u32 {
        let prefilling = |run: &&Run| run.prefilling && !run.pausing;
        self.runs.iter().filter(prefilling).count() as u32
    }

    pub(crate) fn ready(&self) -> u32 {
        self.ready
    }

    pub(crate) fn set_ready(&mut self, items: u32) {
        self.ready = items;
    }

    /// When a run was last told to pause.
    pub(crate) fn paused_at(&self) -> Option<Millis> {
        self.paused_at
    }

    pub(crate) fn start(&mut self) -> RunId {
        let id = RunId(self.next);
        self.next += 1;
        self.ready -= 1;
        self.runs.push(Run {
            id,
            prefilling: true,
            pausing: false,
        });
        id
    }

    /// Tells the youngest run to pause: it has the least work to lose.
    pub(crate) fn pause_youngest(&mut self, now: Millis) -> Option<RunId> {
        let run = self.runs.iter_mut().rev().find(|run| !run.pausing)?;
        run.pausing = true;
        self.paused_at = Some(now);
        Some(run.id)
    }

    pub(crate) fn first_token(&mut self, id: RunId) {
        if let Some(run) = self.runs.iter_mut().find(|run| run.id == id) {
            run.prefilling = false;
        }
    }

    pub(crate) fn end(&mut self, id: RunId) {
        self.runs.retain(|run| run.id != id);
    }
}
