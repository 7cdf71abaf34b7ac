//! Queue of deltas to gossip.

use crate::{
    instance::Instance,
    target::Target, //
};

/// Subject of a delta. The record is read when the delta is sent, so that it is the latest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Subject {
    Instance(Instance),
    Target(Target),
}

#[derive(Debug)]
struct QueuedDelta {
    subject: Subject,
    /// Number of times that the delta was sent within the region.
    region_sends: u32,
    /// Number of times that the delta is still to be sent to every other region.
    remote_sends_left: u32,
}

/// Deltas to send, each a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    queued: Vec<QueuedDelta>,
}

impl GossipQueue {
    /// Queues a change to be sent `remote_sends` times to every other region, replacing a queued
    /// change of the same subject.
    pub(crate) fn push(&mut self, subject: Subject, remote_sends: u32) {
        self.queued.retain(|queued| queued.subject != subject);
        self.queued.push(QueuedDelta {
            subject,
            region_sends: 0,
            remote_sends_left: remote_sends,
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Subjects to send within the region, least sent first.
    pub(crate) fn region_pending(&mut self, limit: u32) -> Vec<Subject> {
        self.queued.sort_by_key(|queued| queued.region_sends);
        let waiting = self
            .queued
            .iter()
            .filter(|queued| queued.region_sends < limit);
        waiting.map(|queued| queued.subject).collect()
    }

    /// Counts a transmission of the first `count` subjects of [`GossipQueue::region_pending`].
    pub(crate) fn mark_sent_in_region(&mut self, count: usize, limit: u32) {
        let waiting = self
            .queued
            .iter_mut()
            .filter(|queued| queued.region_sends < limit);
        for queued in waiting.take(count) {
            queued.region_sends += 1;
        }
        self.remove_finished(limit);
    }

    /// Subjects to send to other regions.
    pub(crate) fn remote_pending(&self) -> Vec<Subject> {
        let waiting = self
            .queued
            .iter()
            .filter(|queued| queued.remote_sends_left > 0);
        waiting.map(|queued| queued.subject).collect()
    }

    /// Counts a transmission of the first `count` subjects of [`GossipQueue::remote_pending`] to
    /// every other region.
    pub(crate) fn mark_sent_remote(&mut self, count: usize, limit: u32) {
        let waiting = self
            .queued
            .iter_mut()
            .filter(|queued| queued.remote_sends_left > 0);
        for queued in waiting.take(count) {
            queued.remote_sends_left -= 1;
        }
        self.remove_finished(limit);
    }

    fn remove_finished(&mut self, limit: u32) {
        self.queued
            .retain(|queued| queued.region_sends < limit || queued.remote_sends_left > 0);
    }
}
