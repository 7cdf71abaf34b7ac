//! What is known of a target.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;
use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    Region,
    TargetName,
    key,
    value, //
};

slotmap::new_key_type! {
    /// The key of a target in the tables of one daemon.
    pub(crate) struct Target;
}

/// What a target runs.
#[key]
pub enum TargetKind {
    /// A model engine, which generates tokens.
    Engine,
    /// A plain service, of which some calls may not be repeated.
    Service,
}

/// Whether a target can be used.
#[key]
pub enum TargetState {
    /// It renews its announcement.
    Live,
    /// It has missed renewals, or the daemon that holds its record is dead.
    Suspect,
    /// It takes no new work.
    Leaving,
    /// It has ended.
    Gone,
}

/// What a target says of itself when it announces or renews.
#[value]
pub struct Announcement {
    /// Its name.
    pub name: TargetName,
    /// Where it takes calls.
    pub address: String,
    /// What it runs.
    pub kind: TargetKind,
    /// The name of the model or service.
    pub serves: String,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// How many calls it runs at once.
    pub slots: u32,
    /// Grows with each start of the target.
    pub incarnation: u64,
}

/// What changed of a target of which the receiver knows the announcement.
#[value]
pub(crate) struct TargetClaim {
    /// The target.
    pub(crate) name: TargetName,
    /// The target's incarnation.
    pub(crate) incarnation: u64,
    /// Whether it can be used.
    pub(crate) state: TargetState,
    /// Whether it said that it is leaving.
    pub(crate) leaving: bool,
    /// The version of the record.
    pub(crate) version: u64,
    /// The daemon that takes its renewals.
    pub(crate) holder: InstanceName,
}

impl Announcement {
    /// A hash of all that the target says.
    pub(crate) fn fingerprint(&self) -> u64 {
        let numbers = [self.incarnation, u64::from(self.slots), self.kind as u64];
        let texts = [
            self.name.as_str(),
            &self.address,
            &self.serves,
            self.domain.as_str(),
            self.region.as_str(),
        ];
        let hash = |seed, text: &str| xxh3_64_with_seed(text.as_bytes(), seed);
        let seed = numbers.into_iter().fold(0, |seed, number| {
            xxh3_64_with_seed(&number.to_le_bytes(), seed)
        });
        texts.into_iter().fold(seed, hash)
    }
}

/// A target as daemons know it.
#[value]
pub struct TargetRecord {
    /// What the target says of itself.
    pub announcement: Announcement,
    /// Whether it can be used.
    pub state: TargetState,
    /// Whether it said that it is leaving. It takes a new incarnation to come back.
    pub leaving: bool,
    /// Grows with each change of the record in one incarnation.
    pub version: u64,
    /// The daemon that takes its renewals.
    pub holder: InstanceName,
}

impl TargetRecord {
    /// The target's name.
    pub fn name(&self) -> &TargetName {
        &self.announcement.name
    }

    /// Whether this record replaces another one of the same target. What a target said of its
    /// leaving stands until its next incarnation. The holder's name decides between two records
    /// that were made independently, so that all daemons choose the same one.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        match self.order().cmp(&other.order()) {
            Ordering::Equal => self.announcement.fingerprint() > other.announcement.fingerprint(),
            order => order.is_gt(),
        }
    }

    /// The first record of an announcement that nothing was known of.
    pub(crate) fn first(announcement: Announcement, holder: InstanceName) -> Self {
        Self {
            announcement,
            state: TargetState::Live,
            leaving: false,
            version: 1,
            holder,
        }
    }

    /// The record after the target announced itself again.
    pub(crate) fn renewed(&self, announcement: Announcement, holder: InstanceName) -> Self {
        if announcement.incarnation > self.announcement.incarnation {
            return Self::first(announcement, holder);
        }
        Self {
            announcement,
            state: match self.leaving {
                true => TargetState::Leaving,
                false => TargetState::Live,
            },
            leaving: self.leaving,
            version: self.version + 1,
            holder,
        }
    }

    /// The record after the target said that it is leaving.
    pub(crate) fn leaving(&self, holder: InstanceName) -> Self {
        Self {
            announcement: self.announcement.clone(),
            state: TargetState::Leaving,
            leaving: true,
            version: self.version + 1,
            holder,
        }
    }

    /// What is sent of the record to those that know the announcement.
    pub(crate) fn claim(&self) -> TargetClaim {
        TargetClaim {
            name: self.name().clone(),
            incarnation: self.announcement.incarnation,
            state: self.state,
            leaving: self.leaving,
            version: self.version,
            holder: self.holder.clone(),
        }
    }

    /// The record that a claim is of, if it is of this incarnation. If the announcement has changed
    /// beside, a comparison of digests repairs that.
    pub(crate) fn claimed(&self, claim: TargetClaim) -> Option<Self> {
        (claim.incarnation == self.announcement.incarnation).then(|| Self {
            announcement: self.announcement.clone(),
            state: claim.state,
            leaving: claim.leaving,
            version: claim.version,
            holder: claim.holder,
        })
    }

    /// Whether the last renewal was in time.
    pub(crate) fn is_current(&self) -> bool {
        matches!(self.state, TargetState::Live | TargetState::Leaving)
    }

    fn order(&self) -> (u64, bool, u64, &InstanceName) {
        (
            self.announcement.incarnation,
            self.leaving,
            self.version,
            &self.holder,
        )
    }
}

/// What a target reported of its load.
#[key]
pub struct TargetLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that the target has accepted and not begun.
    pub waiting: u32,
    /// Use of the memory for prefixes, in thousandths.
    pub cache_permille: u32,
}
