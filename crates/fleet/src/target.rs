//! Records of targets.

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
    /// Key of a target in the tables of one daemon.
    pub(crate) struct Target;
}

/// Kind of workload that a target runs.
#[key]
pub enum TargetKind {
    /// A model engine, which generates tokens.
    Engine,
    /// A plain service, some of whose calls must not be repeated.
    Service,
}

/// Availability of a target.
#[key]
pub enum TargetState {
    /// Renews its announcement in time.
    Live,
    /// Missed renewals, or the daemon that holds its record is dead.
    Suspect,
    /// Accepts no new work.
    Leaving,
    /// Has ended.
    Gone,
}

/// Description that a target sends when it announces itself or renews.
#[value]
pub struct Announcement {
    /// Name of the target.
    pub name: TargetName,
    /// Address on which it accepts calls.
    pub address: String,
    /// Kind of workload.
    pub kind: TargetKind,
    /// Name of the model or service.
    pub serves: String,
    /// Failure domain of the target.
    pub domain: FailureDomain,
    /// Region of the target.
    pub region: Region,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Increases with each start of the target.
    pub incarnation: u64,
}

/// Change to a target whose announcement the receiver already has.
#[value]
pub(crate) struct TargetClaim {
    pub(crate) name: TargetName,
    /// Incarnation of the target that the claim is about.
    pub(crate) incarnation: u64,
    pub(crate) state: TargetState,
    /// Whether the target announced that it is leaving.
    pub(crate) leaving: bool,
    /// Version of the record.
    pub(crate) version: u64,
    /// Daemon that receives the target's renewals.
    pub(crate) holder: InstanceName,
}

impl Announcement {
    /// Hash of all fields of the announcement.
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

/// Gossiped record of a target.
#[value]
pub struct TargetRecord {
    /// Latest announcement of the target.
    pub announcement: Announcement,
    /// Availability of the target.
    pub state: TargetState,
    /// Whether the target announced that it is leaving. Only a new incarnation clears this.
    pub leaving: bool,
    /// Increases with each change of the record within one incarnation.
    pub version: u64,
    /// Daemon that receives the target's renewals.
    pub holder: InstanceName,
}

impl TargetRecord {
    /// Name of the target.
    pub fn name(&self) -> &TargetName {
        &self.announcement.name
    }

    /// Whether this record replaces `other`, a record of the same target. Leaving stands until the
    /// target's next incarnation. The holder's name breaks ties between independently made records,
    /// so that all daemons select the same one.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        match self.precedence().cmp(&other.precedence()) {
            Ordering::Equal => self.announcement.fingerprint() > other.announcement.fingerprint(),
            ordering => ordering.is_gt(),
        }
    }

    /// Record of an announcement by a previously unknown target.
    pub(crate) fn initial(announcement: Announcement, holder: InstanceName) -> Self {
        Self {
            announcement,
            state: TargetState::Live,
            leaving: false,
            version: 1,
            holder,
        }
    }

    /// Record after the target renewed its announcement.
    pub(crate) fn renewed(&self, announcement: Announcement, holder: InstanceName) -> Self {
        if announcement.incarnation > self.announcement.incarnation {
            return Self::initial(announcement, holder);
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

    /// Record after the target announced that it is leaving.
    pub(crate) fn with_leaving(&self, holder: InstanceName) -> Self {
        Self {
            announcement: self.announcement.clone(),
            state: TargetState::Leaving,
            leaving: true,
            version: self.version + 1,
            holder,
        }
    }

    /// Delta for receivers that already have the announcement.
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

    /// Record with a claim applied, or `None` if the claim is about another incarnation. Changes to
    /// the announcement are not part of a claim; digest comparison repairs those.
    pub(crate) fn with_claim(&self, claim: TargetClaim) -> Option<Self> {
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

    fn precedence(&self) -> (u64, bool, u64, &InstanceName) {
        (
            self.announcement.incarnation,
            self.leaving,
            self.version,
            &self.holder,
        )
    }
}

/// Load reported by a target.
#[key]
pub struct TargetLoad {
    /// Number of running calls.
    pub running: u32,
    /// Number of calls accepted but not started.
    pub waiting: u32,
    /// Use of the prefix cache memory, in thousandths.
    pub cache_permille: u32,
}
