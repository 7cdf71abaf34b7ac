//! Batch items at the targets of a simulation.

use yuccaseam_admit::{
    Event,
    RunId, //
};

use super::{
    BATCH_BIT,
    BATCH_PROMPT,
    BATCH_READY,
    HOP_LATENCY,
    Item,
    Mode,
    SimEvent,
    Simulation, //
};
use crate::engine::SLOTS;

impl Simulation {
    pub(super) fn start_item(&mut self, target: usize, run: RunId) {
        self.next_batch += 1;
        let id = (self.next_batch << 1) | BATCH_BIT;
        let new = Item {
            prompt: BATCH_PROMPT,
            done: 0,
            first_token: false,
            run,
        };
        let mut item = self.targets[target].paused.pop().unwrap_or(new);
        item.run = run;
        item.first_token = false;
        self.figures.recomputed_tokens += u64::from(item.done);
        self.targets[target].items.insert(id, item);
        self.after(HOP_LATENCY, SimEvent::Submit(target, id));
    }

    pub(super) fn pause_item(&mut self, target: usize, id: u64) {
        self.figures.pauses += 1;
        self.after(HOP_LATENCY, SimEvent::Cancel(target, id));
    }

    pub(super) fn batch_token(&mut self, target: usize, id: u64, last: bool) {
        self.figures.batch_tokens += 1;
        let item = self.targets[target]
            .items
            .get_mut(&id)
            .expect("run has an item");
        item.done += 1;
        let first = !item.first_token;
        item.first_token = true;
        let run = item.run;
        if first && self.mode.owned() {
            self.gate(target, Event::BatchFirstToken(run));
        }
        if last {
            self.targets[target].items.remove(&id);
            self.refill(target, Event::BatchFinished(run));
        }
    }

    pub(super) fn handle_batch_left(&mut self, target: usize, id: u64) {
        let item = self.targets[target]
            .items
            .remove(&id)
            .expect("run has an item");
        self.targets[target].paused.push(item);
        self.refill(target, Event::BatchPaused(item.run));
    }

    pub(super) fn refill(&mut self, target: usize, event: Event) {
        match self.mode {
            Mode::RoundRobin => self.start_item(target, RunId(0)),
            Mode::Alone => {}
            Mode::OwnerPath | Mode::Permits => {
                self.gate(target, event);
                self.gate(target, Event::BatchReady(BATCH_READY));
            }
        }
    }

    /// Adjusts batch by load reports alone: fills slots that appear free and cancels runs while
    /// requests wait.
    pub(super) fn dispatch_batch_by_reports(&mut self, target: usize, running: u32, waiting: u32) {
        for _ in running..SLOTS {
            self.start_item(target, RunId(0));
        }
        let mut ids: Vec<_> = self.targets[target].items.keys().copied().collect();
        ids.sort_unstable_by(|a, b| b.cmp(a));
        for id in ids.into_iter().take(waiting as usize) {
            self.pause_item(target, id);
        }
    }
}
