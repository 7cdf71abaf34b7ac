//! The promises that are checked after every step of a schedule.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use yuccaseam_base::Millis;
use yuccaseam_quorum::{
    Committed,
    Core,
    DiskId,
    Entry,
    Index,
    Membership,
    Payload,
    Term, //
};

/// What is known of the whole group, whichever replica showed it.
#[derive(Default)]
pub(crate) struct Checks {
    leaders: BTreeMap<Term, DiskId>,
    pub(crate) committed: BTreeMap<Index, Entry>,
    /// The acknowledged writes: index and term.
    acknowledged: BTreeMap<Index, Term>,
    /// The values whose refusal said that they did not run.
    pub(crate) not_run: BTreeSet<u64>,
}

pub(crate) fn value_of(entry: &Entry) -> Option<u64> {
    match &entry.payload {
        Payload::Command(data) => Some(u64::from_le_bytes(data[..].try_into().ok()?)),
        _ => None,
    }
}

impl Checks {
    /// A committed entry never changes, and nothing that was refused as not run is committed.
    pub(crate) fn on_commit(&mut self, committed: &Committed) {
        let entry = &committed.entry;
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "a committed entry changed");
        if let Some(value) = value_of(entry) {
            assert!(
                !self.not_run.contains(&value),
                "value {value} was refused as not run and is committed"
            );
        }
        if committed.token.is_some() {
            self.acknowledged.insert(entry.index, entry.term);
        }
    }

    /// One leader a term, and each has every write acknowledged in an earlier term.
    pub(crate) fn on_elected(&mut self, core: &Core) {
        let term = core.term();
        let leader = *self.leaders.entry(term).or_insert(core.id());
        assert_eq!(leader, core.id(), "two leaders in {term:?}");
        for (&index, &made_in) in &self.acknowledged {
            if made_in >= term || index <= core.snapshot_index() {
                continue;
            }
            let held = core.describe(index).map(|(term, _)| term);
            assert_eq!(
                held,
                Some(made_in),
                "the leader of {term:?} lacks the acknowledged {index:?}"
            );
        }
    }

    /// No two leases at one time. A frozen replica counts: it may wake and act at any moment.
    pub(crate) fn leases<'a, I>(&self, cores: I, now: Millis)
    where
        I: Iterator<Item = &'a Core>,
    {
        let holders: Vec<DiskId> = cores
            .filter(|core| core.holds_lease(now))
            .map(Core::id)
            .collect();
        assert!(holders.len() <= 1, "two leases at {now}: {holders:?}");
    }

    /// The state of a replica is what was committed up to an index.
    pub(crate) fn state(&self, index: Index, values: &[u64]) {
        let expected: Vec<u64> = self
            .committed
            .range(..=index)
            .filter_map(|(_, entry)| value_of(entry))
            .collect();
        assert_eq!(values, expected, "the state at {index:?} differs");
    }

    /// The last index that a client was told of.
    pub(crate) fn last_acknowledged(&self) -> Index {
        self.acknowledged
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default()
    }

    /// The latest committed group.
    pub(crate) fn membership(&self) -> Option<&Membership> {
        self.committed
            .values()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Members(membership) => Some(membership),
                _ => None,
            })
    }
}
