//! A small model of an engine with continuous batching.
//!
//! It admits on arrival, first come first served, and runs steps: a step takes a base time, a
//! time for each stream that decodes, and a time for each prompt token of its prefill chunk. A
//! cancelled stream leaves one whole step after the one that runs.

use std::collections::VecDeque;

/// A length or point of time in the model, in microseconds.
pub(crate) type Micros = u64;

/// The slots of an engine.
pub(crate) const SLOTS: u32 = 32;

const CHUNK_TOKENS: u32 = 512;
const CANCEL_STEPS: u32 = 2;

/// What a step of an engine costs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    pub(crate) name: &'static str,
    pub(crate) base: Micros,
    pub(crate) per_stream: Micros,
    pub(crate) per_prompt_token: Micros,
}

impl Cost {
    /// The time that one token takes of an engine whose slots are full.
    pub(crate) fn per_token(&self) -> f64 {
        self.per_stream as f64 + self.base as f64 / f64::from(SLOTS)
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    pub(crate) id: u64,
    pub(crate) prompt_left: u32,
    pub(crate) answer_left: u32,
    cancel: Option<u32>,
}

impl Stream {
    pub(crate) fn new(id: u64, prompt: u32, answer: u32) -> Self {
        Self {
            id,
            prompt_left: prompt.max(1),
            answer_left: answer.max(1),
            cancel: None,
        }
    }
}

/// What one step gave a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Output {
    Token { id: u64, last: bool },
    Left { id: u64 },
}

#[derive(Debug)]
pub(crate) struct Engine {
    cost: Cost,
    waiting: VecDeque<Stream>,
    running: Vec<Stream>,
    /// The prompt tokens that the step in progress takes, by index of the running stream.
    prefill: Vec<u32>,
    pub(crate) stepping: bool,
}

impl Engine {
    pub(crate) fn new(cost: Cost) -> Self {
        Self {
            cost,
            waiting: VecDeque::new(),
            running: Vec::new(),
            prefill: Vec::new(),
            stepping: false,
        }
    }

    pub(crate) fn submit(&mut self, stream: Stream) {
        self.waiting.push_back(stream);
    }

    pub(crate) fn cancel(&mut self, id: u64) {
        let streams = self.running.iter_mut().chain(&mut self.waiting);
        for stream in streams.filter(|stream| stream.id == id) {
            stream.cancel = Some(CANCEL_STEPS);
        }
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Starts a step and returns how long it takes, unless there is nothing to do.
    pub(crate) fn begin_step(&mut self) -> Option<Micros> {
        while self.running.len() < SLOTS as usize {
            let Some(stream) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(stream);
        }
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        let mut left = CHUNK_TOKENS;
        let mut decoding = 0;
        self.prefill.clear();
        for stream in &self.running {
            let tokens = stream.prompt_left.min(left);
            left -= tokens;
            decoding += u64::from(stream.prompt_left == 0);
            self.prefill.push(tokens);
        }
        let prompt_tokens = u64::from(CHUNK_TOKENS - left);
        let prefill = self.cost.per_prompt_token * prompt_tokens;
        Some(self.cost.base + self.cost.per_stream * decoding + prefill)
    }

    /// Ends the step in progress.
    pub(crate) fn end_step(&mut self, out: &mut Vec<Output>) {
        self.stepping = false;
        for (stream, tokens) in self.running.iter_mut().zip(&self.prefill) {
            stream.prompt_left -= tokens;
            if stream.prompt_left > 0 {
                continue;
            }
            stream.answer_left -= 1;
            let last = stream.answer_left == 0;
            out.push(Output::Token {
                id: stream.id,
                last,
            });
        }
        self.running.retain_mut(|stream| {
            let left = stream.cancel.as_mut().is_some_and(|steps| {
                *steps -= 1;
                *steps == 0
            });
            if left && stream.answer_left > 0 {
                out.push(Output::Left { id: stream.id });
            }
            !left && stream.answer_left > 0
        });
        self.waiting.retain(|stream| {
            if stream.cancel.is_some() {
                out.push(Output::Left { id: stream.id });
            }
            stream.cancel.is_none()
        });
    }
}
