//! The queue of deltas that are still to be sent.

use crate::{
    instance::Instance,
    target::Target, //
};

/// What a delta is about. The record is read when the delta is sent, so that it is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// An instance.
    Instance(Instance),
    /// A target.
    Target(Target),
}

#[derive(Debug)]
struct Queued {
    subject: Subject,
    /// How often it was sent within the region.
    sent: u32,
    /// How often it is still to be sent to every other region.
    remote_left: u32,
}

/// The deltas to send, each a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    queued: Vec<Queued>,
}

impl Queue {
    /// Queues a change that is to be sent `remote` times to every other region. One of the same
    /// subject that waits is replaced.
    pub(crate) fn push(&mut self, subject: Subject, remote: u32) {
        self.queued.retain(|queued| queued.subject != subject);
        self.queued.push(Queued {
            subject,
            sent: 0,
            remote_left: remote,
        });
    }

    /// Whether there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// The subjects to send within the region, those that were sent least first.
    pub(crate) fn near(&mut self, limit: u32) -> Vec<Subject> {
        self.queued.sort_by_key(|queued| queued.sent);
        let waiting = self.queued.iter().filter(|queued| queued.sent < limit);
        waiting.map(|queued| queued.subject).collect()
    }

    /// Counts that the first `count` subjects of [`Queue::near`] were sent.
    pub(crate) fn count_near(&mut self, count: usize, limit: u32) {
        let waiting = self.queued.iter_mut().filter(|queued| queued.sent < limit);
        for queued in waiting.take(count) {
            queued.sent += 1;
        }
        self.remove_finished(limit);
    }

    /// The subjects to send to other regions.
    pub(crate) fn remote(&self) -> Vec<Subject> {
        let waiting = self.queued.iter().filter(|queued| queued.remote_left > 0);
        waiting.map(|queued| queued.subject).collect()
    }

    /// Counts that the first `count` subjects of [`Queue::remote`] were sent to every region.
    pub(crate) fn count_remote(&mut self, count: usize, limit: u32) {
        let waiting = self
            .queued
            .iter_mut()
            .filter(|queued| queued.remote_left > 0);
        for queued in waiting.take(count) {
            queued.remote_left -= 1;
        }
        self.remove_finished(limit);
    }

    fn remove_finished(&mut self, limit: u32) {
        self.queued
            .retain(|queued| queued.sent < limit || queued.remote_left > 0);
    }
}
