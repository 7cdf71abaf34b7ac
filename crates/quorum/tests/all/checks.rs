//! Invariants that are checked throughout a simulated schedule.

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

/// Observations of the group, collected over all replicas.
#[derive(Default)]
pub(crate) struct Checks {
    leaders: BTreeMap<Term, DiskId>,
    pub(crate) committed: BTreeMap<Index, Entry>,
    /// Index and term of the acknowledged writes.
    acknowledged: BTreeMap<Index, Term>,
    /// Values whose proposals were rejected as not run.
    pub(crate) not_run: BTreeSet<u64>,
}

pub(crate) fn value_of(entry: &Entry) -> Option<u64> {
    match &entry.payload {
        Payload::Command(data) => data.first_chunk().copied().map(u64::from_le_bytes),
        _ => None,
    }
}

impl Checks {
    /// Checks that a committed entry never changes and that no proposal rejected as not run is
    /// committed.
    pub(crate) fn on_commit(&mut self, committed: &Committed) {
        let entry = &committed.entry;
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "committed entry changed");
        if let Some(value) = value_of(entry) {
            assert!(
                !self.not_run.contains(&value),
                "value {value} was rejected as not run but is committed"
            );
        }
        if committed.token.is_some() {
            self.acknowledged.insert(entry.index, entry.term);
        }
    }

    /// Checks that a term has one leader and that it has every write acknowledged in earlier terms.
    pub(crate) fn on_elected(&mut self, core: &Core) {
        let term = core.term();
        let leader = *self.leaders.entry(term).or_insert(core.id());
        assert_eq!(leader, core.id(), "two leaders in {term:?}");
        for (&index, &made_in) in &self.acknowledged {
            if made_in >= term || index <= core.snapshot_index() {
                continue;
            }
            let held = core.term_and_membership_at(index).map(|(term, _)| term);
            assert_eq!(
                held,
                Some(made_in),
                "the leader of {term:?} lacks acknowledged entry {index:?}"
            );
        }
    }

    /// Checks that at most one replica holds a lease. A frozen replica counts, because it may
    /// resume and act at any time.
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

    /// Checks that the state of a replica consists of the values committed up to an index.
    pub(crate) fn state(&self, index: Index, values: &[u64]) {
        let expected: Vec<u64> = self
            .committed
            .range(..=index)
            .filter_map(|(_, entry)| value_of(entry))
            .collect();
        assert_eq!(values, expected, "the state at {index:?} differs");
    }

    /// Last index acknowledged to a client.
    pub(crate) fn last_acknowledged(&self) -> Index {
        self.acknowledged
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default()
    }

    /// Latest committed membership.
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
