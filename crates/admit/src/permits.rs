//! The permits of one target: those that wait and those in use.

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

/// How long a grant may travel before its entry must list it as in use.
const GRANT_GRACE: Millis = Millis(1_000);

#[derive(Clone, Copy, Debug)]
struct InUse {
    entry: Entry,
    since: Millis,
    /// Whether this gate granted it, so that its duration is known.
    granted: bool,
}

/// The permits of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permits {
    waiting: HashMap<PermitId, Request>,
    deadlines: BTreeSet<(Millis, PermitId)>,
    in_use: BTreeMap<PermitId, InUse>,
    heard: HashMap<Entry, Millis>,
}

impl Permits {
    pub(crate) fn running(&self) -> u32 {
        self.in_use.len() as u32
    }

    pub(crate) fn knows(&self, permit: PermitId) -> bool {
        self.waiting.contains_key(&permit) || self.in_use.contains_key(&permit)
    }

    pub(crate) fn wait(&mut self, request: Request, now: Millis) {
        self.heard.insert(request.entry, now);
        self.deadlines.insert((request.deadline, request.permit));
        self.waiting.insert(request.permit, request);
    }

    /// Takes a waiting request out.
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

    /// Ends a permit in use; the duration of the call if this gate saw its start.
    pub(crate) fn finish(&mut self, permit: PermitId, now: Millis) -> Option<Millis> {
        let in_use = self.in_use.remove(&permit)?;
        in_use.granted.then(|| now - in_use.since)
    }

    /// A request whose deadline has passed.
    pub(crate) fn expired(&self, now: Millis) -> Option<PermitId> {
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

    /// Compares what an entry uses with what is known: takes up the permits of an earlier owner,
    /// drops those whose end was lost, and returns how many were taken up.
    pub(crate) fn renew(&mut self, entry: Entry, listed: &[PermitId], now: Millis) -> u32 {
        self.heard.insert(entry, now);
        let listed: BTreeSet<_> = listed.iter().copied().collect();
        self.in_use.retain(|permit, in_use| {
            let settled = in_use.since + GRANT_GRACE <= now;
            in_use.entry != entry || !settled || listed.contains(permit)
        });
        let mut adopted = 0;
        for permit in listed {
            if self.knows(permit) {
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

    /// Drops all permits of an entry and returns those that waited.
    pub(crate) fn lose(&mut self, entry: Entry) -> Vec<Request> {
        self.heard.remove(&entry);
        self.in_use.retain(|_, in_use| in_use.entry != entry);
        let of_entry = |request: &&Request| request.entry == entry;
        let lost: Vec<_> = self.waiting.values().filter(of_entry).copied().collect();
        for request in &lost {
            self.take_waiting(request.permit);
        }
        lost
    }

    /// Entries that hold permits and were silent for too long.
    pub(crate) fn silent(&self, ttl: Millis, now: Millis) -> Vec<Entry> {
        let late = |heard: &Millis| *heard + ttl < now;
        let silent = self.heard.iter().filter(|(_, heard)| late(heard));
        silent.map(|(entry, _)| *entry).collect()
    }
}
