//! Continuous batching: one step loop that gives each running call one token a step.

use std::{
    collections::VecDeque,
    process,
    sync::{
        Arc,
        Mutex,
        mpsc::{
            Receiver,
            RecvTimeoutError,
            Sender,
            TryRecvError, //
        }, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use serde::Serialize;

use super::{
    cache::PrefixCache,
    config::EngineConfig, //
};
use crate::{
    record::Phase,
    text::{
        prompt_hash,
        prompt_tokens,
        token, //
    },
};

/// How many prompt tokens one step computes besides the tokens it generates.
const PREFILL_TOKENS_PER_STEP: usize = 512;

/// How often an idle loop renews its load report.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// A prompt that holds this text ends the process when it starts to run.
const POISON: &str = "POISON-KILL";

/// How a call goes on, as its connection hears of it.
pub(crate) enum Progress {
    /// The next token.
    Token(String),
    /// Every token was sent.
    Done,
    /// The call was cancelled by request.
    Cancelled,
}

/// One call that waits or runs.
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) prompt: String,
    pub(crate) from: u32,
    pub(crate) next: u32,
    pub(crate) end: u32,
    pub(crate) tx: Sender<Progress>,
    pub(crate) prefill: usize,
}

/// What reaches the step loop.
pub(crate) enum Input {
    /// A call to run.
    Call(Call),
    /// The id of a call to cancel.
    Cancel(String),
}

/// What the engine reports of its load.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) slots: u32,
    /// The part of the KV cache's memory that running calls use, in thousandths.
    pub(crate) kv_permille: u64,
}

/// Writes one entry of the engine's record.
pub(crate) type Recorder = Box<dyn Fn(&Call, Phase) + Send>;

/// The step loop.
pub(crate) struct Batching {
    pub(crate) cfg: EngineConfig,
    pub(crate) cache: Arc<Mutex<PrefixCache>>,
    pub(crate) load: Arc<Mutex<Load>>,
    pub(crate) recorder: Recorder,
    pub(crate) waiting: VecDeque<Call>,
    pub(crate) running: Vec<Call>,
    pub(crate) reported: Instant,
}

impl Batching {
    /// Runs steps until the inputs end.
    pub(crate) fn run(mut self, rx: &Receiver<Input>) {
        let mut next_step = Instant::now();
        while self.receive(rx) {
            self.start_waiting();
            self.report();
            if self.running.is_empty() {
                next_step = Instant::now();
                continue;
            }
            next_step += self.step_time();
            thread::sleep(next_step.saturating_duration_since(Instant::now()));
            self.step();
        }
    }

    /// Takes every input that is there, and waits for one while nothing runs.
    fn receive(&mut self, rx: &Receiver<Input>) -> bool {
        if self.running.is_empty() {
            match rx.recv_timeout(IDLE_TICK) {
                Ok(input) => self.accept(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
        loop {
            match rx.try_recv() {
                Ok(input) => self.accept(input),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn accept(&mut self, input: Input) {
        match input {
            Input::Call(call) => {
                (self.recorder)(&call, Phase::Arrive);
                self.waiting.push_back(call);
            }
            Input::Cancel(id) => self.cancel(&id),
        }
    }

    fn cancel(&mut self, id: &str) {
        let waiting = self.waiting.iter().position(|call| call.id == id);
        let running = self.running.iter().position(|call| call.id == id);
        let call = match (waiting, running) {
            (Some(index), _) => self.waiting.remove(index),
            (None, Some(index)) => Some(self.running.remove(index)),
            (None, None) => None,
        };
        if let Some(call) = call {
            // The connection may be gone, which is as good as cancelled.
            let _ = call.tx.send(Progress::Cancelled);
            (self.recorder)(&call, Phase::Cancel);
        }
    }

    /// Starts waiting calls, oldest first, while there are slots.
    fn start_waiting(&mut self) {
        while self.running.len() < self.cfg.slots as usize {
            let Some(mut call) = self.waiting.pop_front() else {
                return;
            };
            let mut cache = self.cache.lock().expect("no panic in the cache");
            let cached = cache.lookup(&call.prompt);
            drop(cache);
            call.prefill = prompt_tokens(&call.prompt) - cached + call.from as usize;
            (self.recorder)(&call, Phase::Start);
            if call.prompt.contains(POISON) {
                process::exit(1);
            }
            self.running.push(call);
        }
    }

    fn step_time(&self) -> Duration {
        let batch = u32::try_from(self.running.len()).expect("a batch is small");
        let prefill: usize = self.running.iter().map(|call| call.prefill).sum();
        let prefill = u32::try_from(prefill.min(PREFILL_TOKENS_PER_STEP)).expect("bounded");
        self.cfg.step + self.cfg.step_per_call * batch + self.cfg.prefill_per_token * prefill
    }

    /// Computes a share of the prompts and one token of each call whose prompt is done.
    fn step(&mut self) {
        let mut budget = PREFILL_TOKENS_PER_STEP;
        let mut index = 0;
        while index < self.running.len() {
            let call = &mut self.running[index];
            let computed = call.prefill.min(budget);
            call.prefill -= computed;
            budget -= computed;
            if call.prefill > 0 {
                index += 1;
                continue;
            }
            match emit(call) {
                None => index += 1,
                Some(phase) => {
                    let call = self.running.remove(index);
                    (self.recorder)(&call, phase);
                }
            }
        }
    }

    /// Renews the load report, if the reporting lag has passed.
    fn report(&mut self) {
        if self.reported.elapsed() < self.cfg.load_lag {
            return;
        }
        self.reported = Instant::now();
        let used: usize = self.running.iter().map(kv_tokens).sum();
        let mut load = self.load.lock().expect("no panic in the load report");
        *load = Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            slots: self.cfg.slots,
            kv_permille: (used * 1_000 / self.cfg.kv_tokens.max(1)) as u64,
        };
    }
}

/// Sends the next token of a call. Gives the phase in which the call ended, if it did.
fn emit(call: &mut Call) -> Option<Phase> {
    if call.next < call.end {
        let text = token(prompt_hash(&call.prompt), call.next);
        if call.tx.send(Progress::Token(text)).is_err() {
            return Some(Phase::Cancel);
        }
        call.next += 1;
    }
    if call.next < call.end {
        return None;
    }
    match call.tx.send(Progress::Done) {
        Ok(()) => Some(Phase::Finish),
        Err(_) => Some(Phase::Cancel),
    }
}

fn kv_tokens(call: &Call) -> usize {
    prompt_tokens(&call.prompt) + call.next as usize
}
