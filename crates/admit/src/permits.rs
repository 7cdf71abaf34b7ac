//! Waiting and in-use permits of one target.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use yuccaseam_base::Millis;

use crate::event::{
    Entry,
    PermitId,
    Request, //
};

/// Time after a grant before its entry has to list the permit as in use.
const GRANT_GRACE: Millis = Millis(1_000);

#[derive(Clone, Copy, Debug)]
struct InUse {
    entry: Entry,
    since: Millis,
    /// Whether this gate granted the permit, so that the call's duration is known.
    granted: bool,
}

/// Permits of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permits {
    waiting: HashMap<PermitId, Request>,
    deadlines: BTreeSet<(Millis, PermitId)>,
    in_use: BTreeMap<PermitId, InUse>,
    last_message: HashMap<Entry, Millis>,
}

impl Permits {
    pub(crate) fn running(&self) -> u32 {
        self.in_use.len() as u32
    }

    pub(crate) fn contains(&self, permit: PermitId) -> bool {
        self.waiting.contains_key(&permit) || self.in_use.contains_key(&permit)
    }

    pub(crate) fn insert_waiting(&mut self, request: Request, now: Millis) {
        self.last_message.insert(request.entry, now);
        self.deadlines.insert((request.deadline, request.permit));
        self.waiting.insert(request.permit, request);
    }

    /// Removes and returns a waiting request.
    pub(crate) fn take_waiting(&mut self, permit: PermitId) -> Option<Request> {
        let request = self.waiting.remove(&permit)?;
        self.deadlines.remove(&(request.deadline, permit));
        Some(request)
    }

    pub(crate) fn start(&mut self, request: Request, now: Millis) {
        let entry = request.entry;
        let in_use = InUse {
            entry,
            since: now,
            granted: true,
        };
        self.in_use.insert(request.permit, in_use);
    }

    /// Ends a permit in use. Returns the call's duration if this gate granted the permit.
    pub(crate) fn finish(&mut self, permit: PermitId, now: Millis) -> Option<Millis> {
        let in_use = self.in_use.remove(&permit)?;
        in_use.granted.then(|| now - in_use.since)
    }

    /// Waiting request with the earliest deadline, if that has passed.
    pub(crate) fn next_expired(&self, now: Millis) -> Option<PermitId> {
        let (deadline, permit) = self.deadlines.first()?;
        (*deadline <= now).then_some(*permit)
    }

    pub(crate) fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    pub(crate) fn all_waiting(&self) -> Vec<PermitId> {
        let mut permits: Vec<_> = self.waiting.keys().copied().collect();
        permits.sort_unstable();
        permits
    }

    /// Reconciles the permits of an entry with those that it lists as in use: adopts permits
    /// granted by a previous owner and drops those whose end was missed. Returns the number
    /// adopted.
    pub(crate) fn renew(&mut self, entry: Entry, listed: &[PermitId], now: Millis) -> u32 {
        self.last_message.insert(entry, now);
        let listed: BTreeSet<_> = listed.iter().copied().collect();
        self.in_use.retain(|permit, in_use| {
            let past_grace = in_use.since + GRANT_GRACE <= now;
            in_use.entry != entry || !past_grace || listed.contains(permit)
        });
        let mut adopted = 0;
        for permit in listed {
            if self.contains(permit) {
                continue;
            }
            let in_use = InUse {
                entry,
                since: now,
                granted: false,
            };
            self.in_use.insert(permit, in_use);
            adopted += 1;
        }
        adopted
    }

    /// Drops all permits of an entry and returns its waiting requests.
    pub(crate) fn remove_entry(&mut self, entry: Entry) -> Vec<Request> {
        self.last_message.remove(&entry);
        self.in_use.retain(|_, in_use| in_use.entry != entry);
        let of_entry = |request: &&Request| request.entry == entry;
        let removed: Vec<_> = self.waiting.values().filter(of_entry).copied().collect();
        for request in &removed {
            self.take_waiting(request.permit);
        }
        removed
    }

    /// Entries that have sent no message within `ttl`.
    pub(crate) fn unresponsive(&self, ttl: Millis, now: Millis) -> Vec<Entry> {
        let timed_out = |last: &Millis| *last + ttl < now;
        let unresponsive = self.last_message.iter().filter(|(_, last)| timed_out(last));
        unresponsive.map(|(entry, _)| *entry).collect()
    }
}
