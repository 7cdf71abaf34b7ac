//! Model of an engine with continuous batching.
//!
//! It admits streams first come first served and runs steps. A step takes a base time, plus a time
//! for each decoding stream, plus a time for each prompt token of its prefill chunk. A cancelled
//! stream is removed one full step after the current one.

use std::collections::VecDeque;

/// Duration or point in time of the model, in microseconds.
pub(crate) type Micros = u64;

pub(crate) const SLOTS: u32 = 32;

const CHUNK_TOKENS: u32 = 512;
const CANCEL_DELAY_STEPS: u32 = 2;

/// Cost model of an engine step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    pub(crate) name: &'static str,
    pub(crate) base: Micros,
    pub(crate) per_stream: Micros,
    pub(crate) per_prompt_token: Micros,
}

impl Cost {
    /// Engine time per token when all slots are occupied.
    pub(crate) fn per_token(&self) -> f64 {
        self.per_stream as f64 + self.base as f64 / f64::from(SLOTS)
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    pub(crate) id: u64,
    pub(crate) prompt_left: u32,
    pub(crate) answer_left: u32,
    cancel_in: Option<u32>,
}

impl Stream {
    pub(crate) fn new(id: u64, prompt: u32, answer: u32) -> Self {
        Self {
            id,
            prompt_left: prompt.max(1),
            answer_left: answer.max(1),
            cancel_in: None,
        }
    }
}

/// Result of a step for one stream.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Output {
    Token { id: u64, last: bool },
    Cancelled { id: u64 },
}

#[derive(Debug)]
pub(crate) struct Engine {
    cost: Cost,
    waiting: VecDeque<Stream>,
    running: Vec<Stream>,
    /// Prompt tokens that the current step processes, by index of the running stream.
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
            stream.cancel_in = Some(CANCEL_DELAY_STEPS);
        }
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Starts a step and returns its duration, or `None` if there is no stream.
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

    /// Ends the current step.
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
            let cancelled = stream.cancel_in.as_mut().is_some_and(|steps| {
                *steps -= 1;
                *steps == 0
            });
            if cancelled && stream.answer_left > 0 {
                out.push(Output::Cancelled { id: stream.id });
            }
            !cancelled && stream.answer_left > 0
        });
        self.waiting.retain(|stream| {
            if stream.cancel_in.is_some() {
                out.push(Output::Cancelled { id: stream.id });
            }
            stream.cancel_in.is_none()
        });
    }
}
