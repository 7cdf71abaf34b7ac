//! The items of one lease.

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

/// What a lease does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its items run.
    Active,
    /// Nothing starts any more; it is returned when its runs have ended and its results are
    /// flushed.
    Closing,
    /// Its job was cancelled: what its runs bring is dropped, and it is returned when they have
    /// ended.
    Cancelled,
    /// It is not ours any more: what its runs bring is dropped.
    Lost,
}

/// An item that waits before it is sent again.
#[value]
struct Delayed {
    at: Millis,
    item: u16,
}

/// One lease with its items, each in just one of `ready`, `delayed`, `unmarked`, `marking`,
/// `charging`, `suspects`, `running` and `ended`.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) lease: Lease,
    pub(crate) phase: Phase,
    /// Items that may start now.
    ready: VecDeque<u16>,
    delayed: Vec<Delayed>,
    /// Items of a non-idempotent job that are not marked as started.
    unmarked: ItemSet,
    /// Items that are being marked as started.
    marking: ItemSet,
    /// Items that were in flight at each death of the target, until the answer about them. The
    /// answers come in order.
    charging: VecDeque<ItemSet>,
    /// Items that run alone.
    suspects: VecDeque<u16>,
    /// Items in flight, those of cut streams included.
    pub(crate) running: ItemSet,
    /// Items that are done or failed.
    ended: ItemSet,
    /// Marked items of which no call has been sent.
    unsent: ItemSet,
    /// Tokens that earlier runs received.
    resume: BTreeMap<u16, u32>,
    attempts: BTreeMap<u16, Attempts>,
    pub(crate) results: Results,
    pub(crate) flushing: bool,
    /// When something of it last ran, or became ready after a wait.
    pub(crate) active_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Attempts {
    count: u32,
    backoff: Backoff,
}

impl Held {
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
            resume: BTreeMap::new(),
            attempts: BTreeMap::new(),
            results: Results::default(),
            flushing: false,
            active_at: now,
            lease,
        }
    }

    pub(crate) fn id(&self) -> LeaseRef {
        LeaseRef {
            job: self.lease.job,
            chunk: self.lease.chunk,
            epoch: self.lease.epoch,
        }
    }

    /// Items that may start beside others.
    pub(crate) fn ready(&self) -> u32 {
        match self.phase {
            Phase::Active => self.ready.len() as u32,
            Phase::Closing | Phase::Cancelled | Phase::Lost => 0,
        }
    }

    /// Items that will be ready without another lease.
    pub(crate) fn at_hand(&self) -> u32 {
        match self.phase {
            Phase::Active => self.ready.len() as u32 + self.unmarked.len() + self.marking.len(),
            Phase::Closing | Phase::Cancelled | Phase::Lost => 0,
        }
    }

    /// Whether all that is left to start are items that run alone.
    pub(crate) fn waits_for_isolation(&self) -> bool {
        let others = self.ready.len() + self.delayed.len();
        let marking = self.unmarked.len() + self.marking.len();
        self.phase == Phase::Active && !self.suspects.is_empty() && others == 0 && marking == 0
    }

    /// Takes the next item that may run beside others.
    pub(crate) fn start(&mut self, now: Millis) -> Option<u16> {
        if self.phase != Phase::Active {
            return None;
        }
        let item = self.ready.pop_front()?;
        self.run(item, now);
        Some(item)
    }

    /// Takes the next item that runs alone.
    pub(crate) fn start_suspect(&mut self, now: Millis) -> Option<u16> {
        if !self.waits_for_isolation() {
            return None;
        }
        let item = self.suspects.pop_front()?;
        self.run(item, now);
        Some(item)
    }

    /// Takes the number of tokens that earlier runs of an item received.
    pub(crate) fn take_tokens(&mut self, item: u16) -> u32 {
        self.resume.remove(&item).unwrap_or(0)
    }

    /// Items that may not be repeated and are marked, or being marked, as started without a run.
    pub(crate) fn marked(&self) -> u32 {
        self.unsent.len() + self.marking.len()
    }

    /// Takes items to be marked as started, one request at a time.
    pub(crate) fn take_unmarked(&mut self, most: u32) -> ItemSet {
        if self.phase != Phase::Active || !self.marking.is_empty() {
            return ItemSet::new();
        }
        let items: ItemSet = self.unmarked.iter().take(most as usize).collect();
        self.unmarked.difference_with(&items);
        self.marking.union_with(&items);
        items
    }

    /// Items that are marked as started. Others that were asked for ended elsewhere.
    pub(crate) fn marked_started(&mut self, items: &ItemSet) {
        let mut gone = std::mem::take(&mut self.marking);
        gone.difference_with(items);
        self.ended.union_with(&gone);
        self.unsent.union_with(items);
        self.ready.extend(items.iter());
    }

    /// Takes the items that were in flight when the target died.
    pub(crate) fn take_running(&mut self) -> ItemSet {
        let items = std::mem::take(&mut self.running);
        if !items.is_empty() {
            self.charging.push_back(items.clone());
        }
        items
    }

    /// Items that run alone from now on. Others that were in flight have failed for good.
    pub(crate) fn marked_suspects(&mut self, suspects: Vec<Suspect>) {
        let kept: ItemSet = suspects.iter().map(|suspect| suspect.item).collect();
        let mut failed = self.charging.pop_front().unwrap_or_default();
        failed.difference_with(&kept);
        self.ended.union_with(&failed);
        self.suspects.extend(kept.iter());
        self.lease.suspects.extend(suspects);
    }

    /// A run that stopped with tokens received resumes before other items start.
    pub(crate) fn stopped(&mut self, item: u16, tokens: u32) {
        self.running.remove(item);
        self.keep_tokens(item, tokens);
        match self.is_suspect(item) {
            true => self.suspects.push_front(item),
            false => self.ready.push_front(item),
        }
    }

    /// Notes the tokens that a run received, for the next run of its item.
    pub(crate) fn keep_tokens(&mut self, item: u16, tokens: u32) {
        if tokens > 0 {
            self.resume.insert(item, tokens);
        }
    }

    /// The item has its end.
    pub(crate) fn end(&mut self, item: u16) {
        self.running.remove(item);
        self.ended.insert(item);
        self.resume.remove(&item);
        self.attempts.remove(&item);
    }

    /// Notes a failed run; tells whether the item is sent again after a while. A run that did not
    /// reach the target is not charged.
    pub(crate) fn retry<R>(
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
        if attempts.count >= cfg.attempts {
            return false;
        }
        let at = now + attempts.backoff.next(rng);
        self.running.remove(item);
        self.delayed.push(Delayed { at, item });
        true
    }

    /// Items whose wait is over become ready.
    pub(crate) fn wake(&mut self, now: Millis) {
        let due: Vec<u16> = self
            .delayed
            .iter()
            .filter(|delayed| delayed.at <= now)
            .map(|delayed| delayed.item)
            .collect();
        self.delayed.retain(|delayed| delayed.at > now);
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

    /// When the next item becomes ready.
    pub(crate) fn wakes_at(&self) -> Option<Millis> {
        self.delayed.iter().map(|delayed| delayed.at).min()
    }

    /// Whether every item has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.len() >= u32::from(self.lease.spec.items)
    }

    /// Whether what its runs bring is dropped.
    pub(crate) fn drops_results(&self) -> bool {
        matches!(self.phase, Phase::Cancelled | Phase::Lost)
    }

    /// Whether it is over, and nothing of it is under way.
    pub(crate) fn may_be_returned(&self) -> bool {
        let over = self.has_ended() || self.phase != Phase::Active;
        let asked = !self.marking.is_empty() || !self.charging.is_empty();
        over && self.running.is_empty() && !asked && !self.flushing && self.results.is_empty()
    }

    /// Whether nothing has run for a while, although something could.
    pub(crate) fn is_idle(&self, cfg: &Settings, now: Millis) -> bool {
        self.idles_at(cfg).is_some_and(|at| at <= now)
    }

    /// When it has been idle for too long, if nothing runs until then.
    pub(crate) fn idles_at(&self, cfg: &Settings) -> Option<Millis> {
        let still = self.running.is_empty() && self.delayed.is_empty();
        let waits = self.phase == Phase::Active && still && !self.has_ended();
        waits.then(|| self.active_at + cfg.idle_release)
    }

    /// When its results are to be flushed at the latest.
    pub(crate) fn flushes_at(&self, cfg: &Settings) -> Option<Millis> {
        let due_at = self.results.due_at(cfg)?;
        (!self.flushing).then_some(due_at)
    }

    /// Whether results are to be flushed now.
    pub(crate) fn is_flush_due(&self, cfg: &Settings, now: Millis) -> bool {
        let last = self.has_ended() || self.phase == Phase::Closing;
        let waiting = !self.flushing && !self.results.is_empty();
        waiting && (last || self.results.is_due(cfg, now))
    }

    /// Marked items of which no call was sent: another owner may run them.
    pub(crate) fn not_run(&self) -> ItemSet {
        self.unsent.clone()
    }

    fn run(&mut self, item: u16, now: Millis) {
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
