//! State of one lease and its items.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use yuccaseam_admit::Backoff;
use yuccaseam_base::{
    Millis,
    value, //
};
use yuccaseam_state::{
    ItemSet,
    Lease,
    LeaseRef,
    Suspect, //
};

use crate::{
    Settings,
    results::Results, //
};

/// Phase of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Items can start.
    Active,
    /// No item starts. The lease is released once its runs have ended and its results are flushed.
    Closing,
    /// The job was cancelled: results are dropped, and the lease is released once its runs have
    /// ended.
    Cancelled,
    /// The lease expired or belongs to another owner: results are dropped.
    Lost,
}

/// Item that waits for its retry.
#[value]
struct Delayed {
    retry_at: Millis,
    item: u16,
}

/// One lease. Each item is in exactly one of `ready`, `delayed`, `unmarked`, `marking`, `charging`,
/// `suspects`, `running` and `ended`.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    pub(crate) lease: Lease,
    pub(crate) phase: Phase,
    /// Items that can start now.
    ready: VecDeque<u16>,
    delayed: Vec<Delayed>,
    /// Items of a non-idempotent job that are not marked as started in the store.
    unmarked: ItemSet,
    /// Items whose request to be marked as started is pending.
    marking: ItemSet,
    /// Items that were in flight at each death of the target and whose report is pending. Replies
    /// arrive in the order of the reports.
    charging: VecDeque<ItemSet>,
    /// Items that have to run alone.
    suspects: VecDeque<u16>,
    /// Items in flight, including those of cut streams.
    pub(crate) running: ItemSet,
    /// Items that are done or failed.
    ended: ItemSet,
    /// Items marked as started whose call has not been sent.
    unsent: ItemSet,
    /// Number of tokens received by earlier runs, from which the next run resumes.
    received_tokens: BTreeMap<u16, u32>,
    attempts: BTreeMap<u16, Attempts>,
    pub(crate) results: Results,
    pub(crate) flushing: bool,
    /// Last time at which an item started, or became ready after a delay.
    pub(crate) active_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Attempts {
    count: u32,
    backoff: Backoff,
}

impl HeldLease {
    pub(crate) fn new(lease: Lease, now: Millis) -> Self {
        let suspects: VecDeque<u16> = lease.suspects.iter().map(|suspect| suspect.item).collect();
        let mut open = ItemSet::full(lease.spec.items);
        open.difference_with(&lease.ended);
        open.difference_with(&suspects.iter().copied().collect());
        let (ready, unmarked) = match lease.idempotent {
            true => (open.iter().collect(), ItemSet::new()),
            false => (VecDeque::new(), open),
        };
        Self {
            phase: Phase::Active,
            ready,
            delayed: Vec::new(),
            unmarked,
            marking: ItemSet::new(),
            charging: VecDeque::new(),
            suspects,
            running: ItemSet::new(),
            ended: lease.ended.clone(),
            unsent: ItemSet::new(),
            received_tokens: BTreeMap::new(),
            attempts: BTreeMap::new(),
            results: Results::default(),
            flushing: false,
            active_at: now,
            lease,
        }
    }

    pub(crate) fn lease_ref(&self) -> LeaseRef {
        LeaseRef {
            job: self.lease.job,
            chunk: self.lease.chunk,
            epoch: self.lease.epoch,
        }
    }

    /// Number of items that can start now and run alongside others.
    pub(crate) fn ready(&self) -> u32 {
        match self.phase {
            Phase::Active => self.ready.len() as u32,
            Phase::Closing | Phase::Cancelled | Phase::Lost => 0,
        }
    }

    /// Number of items that can start without another lease, including those to be marked first.
    pub(crate) fn available(&self) -> u32 {
        match self.phase {
            Phase::Active => self.ready.len() as u32 + self.unmarked.len() + self.marking.len(),
            Phase::Closing | Phase::Cancelled | Phase::Lost => 0,
        }
    }

    /// Whether only items that have to run alone are left to start.
    pub(crate) fn needs_isolation(&self) -> bool {
        let others = self.ready.len() + self.delayed.len();
        let unstarted = self.unmarked.len() + self.marking.len();
        self.phase == Phase::Active && !self.suspects.is_empty() && others == 0 && unstarted == 0
    }

    /// Starts the next item that can run alongside others.
    pub(crate) fn start_ready(&mut self, now: Millis) -> Option<u16> {
        if self.phase != Phase::Active {
            return None;
        }
        let item = self.ready.pop_front()?;
        self.record_run(item, now);
        Some(item)
    }

    /// Starts the next item that has to run alone.
    pub(crate) fn start_suspect(&mut self, now: Millis) -> Option<u16> {
        if !self.needs_isolation() {
            return None;
        }
        let item = self.suspects.pop_front()?;
        self.record_run(item, now);
        Some(item)
    }

    /// Removes and returns the number of tokens received by earlier runs of an item.
    pub(crate) fn take_received_tokens(&mut self, item: u16) -> u32 {
        self.received_tokens.remove(&item).unwrap_or(0)
    }

    /// Number of non-idempotent items that are marked, or being marked, as started but not running.
    pub(crate) fn marked_ahead(&self) -> u32 {
        self.unsent.len() + self.marking.len()
    }

    /// Removes and returns up to `max` items to mark as started. Only one such request is pending
    /// at a time.
    pub(crate) fn take_unmarked(&mut self, max: u32) -> ItemSet {
        if self.phase != Phase::Active || !self.marking.is_empty() {
            return ItemSet::new();
        }
        let items: ItemSet = self.unmarked.iter().take(max as usize).collect();
        self.unmarked.difference_with(&items);
        self.marking.union_with(&items);
        items
    }

    /// Records the items that were marked as started. The other requested ones have ended at
    /// another owner.
    pub(crate) fn record_started(&mut self, items: &ItemSet) {
        let mut ended_elsewhere = std::mem::take(&mut self.marking);
        ended_elsewhere.difference_with(items);
        self.ended.union_with(&ended_elsewhere);
        self.unsent.union_with(items);
        self.ready.extend(items.iter());
    }

    /// Removes and returns the items that were in flight when the target died.
    pub(crate) fn take_running(&mut self) -> ItemSet {
        let items = std::mem::take(&mut self.running);
        if !items.is_empty() {
            self.charging.push_back(items.clone());
        }
        items
    }

    /// Records the suspects among the items of the oldest pending report of a death. The other
    /// items of that report have failed permanently.
    pub(crate) fn record_suspects(&mut self, suspects: Vec<Suspect>) {
        let isolated: ItemSet = suspects.iter().map(|suspect| suspect.item).collect();
        let mut failed = self.charging.pop_front().unwrap_or_default();
        failed.difference_with(&isolated);
        self.ended.union_with(&failed);
        self.suspects.extend(isolated.iter());
        self.lease.suspects.extend(suspects);
    }

    /// Records that a run stopped. Its item resumes before other items start.
    pub(crate) fn record_stopped(&mut self, item: u16, tokens: u32) {
        self.running.remove(item);
        self.record_tokens(item, tokens);
        match self.is_suspect(item) {
            true => self.suspects.push_front(item),
            false => self.ready.push_front(item),
        }
    }

    /// Records the tokens that a run received, from which the item's next run resumes.
    pub(crate) fn record_tokens(&mut self, item: u16, tokens: u32) {
        if tokens > 0 {
            self.received_tokens.insert(item, tokens);
        }
    }

    /// Records that an item is done or failed.
    pub(crate) fn record_end(&mut self, item: u16) {
        self.running.remove(item);
        self.ended.insert(item);
        self.received_tokens.remove(&item);
        self.attempts.remove(&item);
    }

    /// Records a failed run and returns whether the item is retried after a delay. A run that did
    /// not reach the target is not charged as an attempt.
    pub(crate) fn schedule_retry<R>(
        &mut self,
        item: u16,
        charged: bool,
        cfg: &Settings,
        now: Millis,
        rng: &mut R,
    ) -> bool
    where
        R: rand::Rng,
    {
        let attempts = self.attempts.entry(item).or_insert(Attempts {
            count: 0,
            backoff: Backoff::new(cfg.backoff),
        });
        attempts.count += u32::from(charged);
        if attempts.count >= cfg.max_attempts {
            return false;
        }
        let retry_at = now + attempts.backoff.next(rng);
        self.running.remove(item);
        self.delayed.push(Delayed { retry_at, item });
        true
    }

    /// Makes items ready whose retry is due.
    pub(crate) fn ready_delayed(&mut self, now: Millis) {
        let due: Vec<u16> = self
            .delayed
            .iter()
            .filter(|delayed| delayed.retry_at <= now)
            .map(|delayed| delayed.item)
            .collect();
        self.delayed.retain(|delayed| delayed.retry_at > now);
        if !due.is_empty() {
            self.active_at = now;
        }
        for item in due {
            match self.is_suspect(item) {
                true => self.suspects.push_back(item),
                false => self.ready.push_back(item),
            }
        }
    }

    /// Time of the next retry.
    pub(crate) fn next_retry_at(&self) -> Option<Millis> {
        self.delayed.iter().map(|delayed| delayed.retry_at).min()
    }

    /// Whether every item has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.len() >= u32::from(self.lease.spec.items)
    }

    /// Whether results of its runs are dropped.
    pub(crate) fn drops_results(&self) -> bool {
        matches!(self.phase, Phase::Cancelled | Phase::Lost)
    }

    /// Whether the lease has ended, with no run, request or result pending.
    pub(crate) fn can_be_released(&self) -> bool {
        let finished = self.has_ended() || self.phase != Phase::Active;
        let reply_pending = !self.marking.is_empty() || !self.charging.is_empty();
        finished
            && self.running.is_empty()
            && !reply_pending
            && !self.flushing
            && self.results.is_empty()
    }

    /// Whether no item has started for `idle_lease_timeout`, although items are left.
    pub(crate) fn is_idle(&self, cfg: &Settings, now: Millis) -> bool {
        self.idle_at(cfg).is_some_and(|at| at <= now)
    }

    /// Time at which the lease becomes idle, unless an item starts before.
    pub(crate) fn idle_at(&self, cfg: &Settings) -> Option<Millis> {
        let inactive = self.running.is_empty() && self.delayed.is_empty();
        let is_waiting = self.phase == Phase::Active && inactive && !self.has_ended();
        is_waiting.then(|| self.active_at + cfg.idle_lease_timeout)
    }

    /// Latest time for the next flush of results.
    pub(crate) fn flush_due_at(&self, cfg: &Settings) -> Option<Millis> {
        let due_at = self.results.due_at(cfg)?;
        (!self.flushing).then_some(due_at)
    }

    /// Whether results have to be flushed now.
    pub(crate) fn is_flush_due(&self, cfg: &Settings, now: Millis) -> bool {
        let is_final = self.has_ended() || self.phase == Phase::Closing;
        let can_flush = !self.flushing && !self.results.is_empty();
        can_flush && (is_final || self.results.is_due(cfg, now))
    }

    /// Items marked as started whose call was not sent, so that another owner can run them.
    pub(crate) fn not_run(&self) -> ItemSet {
        self.unsent.clone()
    }

    fn record_run(&mut self, item: u16, now: Millis) {
        self.running.insert(item);
        self.unsent.remove(item);
        self.active_at = now;
    }

    fn is_suspect(&self, item: u16) -> bool {
        self.lease
            .suspects
            .iter()
            .any(|suspect| suspect.item == item)
    }
}
