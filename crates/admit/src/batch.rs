//! Batch runs at one target.

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
    /// Discards the runs of an earlier session.
    pub(crate) fn open(&mut self) {
        self.runs.clear();
        self.ready = 0;
        self.closed = false;
    }

    /// Prevents new runs until the next session.
    pub(crate) fn close(&mut self) {
        self.ready = 0;
        self.closed = true;
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.closed
    }

    /// Number of runs that hold a slot, including pausing ones.
    pub(crate) fn holding(&self) -> u32 {
        self.runs.len() as u32
    }

    /// Number of runs that are not pausing.
    pub(crate) fn active(&self) -> u32 {
        self.runs.iter().filter(|run| !run.pausing).count() as u32
    }

    /// Number of runs that wait for their first token.
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

    /// Time of the last pause.
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

    /// Marks the youngest run as pausing, since it loses the least work.
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
