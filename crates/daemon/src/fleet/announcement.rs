//! What a target says of itself, on the wire and in the daemon.

use std::net::SocketAddr;

use yuccaseam_base::{
    FailureDomain,
    Region,
    TargetName,
    record, //
};
use yuccaseam_fleet::{
    self as fleet,
    TargetKind,
    TargetRecord,
    TargetState, //
};

/// What a target says of itself.
#[record]
pub(crate) struct Announcement {
    pub(crate) name: TargetName,
    pub(crate) address: SocketAddr,
    pub(crate) kind: Kind,
    /// The model that an engine serves.
    #[serde(default)]
    pub(crate) model: Option<String>,
    /// The name of the plain service.
    #[serde(default)]
    pub(crate) service: Option<String>,
    pub(crate) region: Region,
    pub(crate) failure_domain: FailureDomain,
    /// How many calls it runs at once.
    pub(crate) slots: u32,
    pub(crate) state: State,
    /// Grows with each start of the target's process.
    pub(crate) incarnation: u64,
}

/// What a target is.
#[record]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// A worker of a model engine.
    Engine,
    /// A copy of a plain service.
    Service,
}

/// Whether a target takes new work.
#[record]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    /// It takes new work.
    Live,
    /// It missed renewals, or the daemon that held its record is dead.
    Suspect,
    /// It finishes what it runs and takes nothing new.
    Leaving,
}

impl From<Announcement> for fleet::Announcement {
    fn from(said: Announcement) -> Self {
        let (kind, serves) = match said.kind {
            Kind::Engine => (TargetKind::Engine, said.model),
            Kind::Service => (TargetKind::Service, said.service),
        };
        Self {
            name: said.name,
            address: said.address.to_string(),
            kind,
            serves: serves.unwrap_or_default(),
            domain: said.failure_domain,
            region: said.region,
            slots: said.slots,
            incarnation: said.incarnation,
        }
    }
}

/// A target that is gone or whose address is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unusable;

impl TryFrom<TargetRecord> for Announcement {
    type Error = Unusable;

    fn try_from(record: TargetRecord) -> Result<Self, Unusable> {
        let state = match record.state {
            TargetState::Live => State::Live,
            TargetState::Suspect => State::Suspect,
            TargetState::Leaving => State::Leaving,
            TargetState::Gone => return Err(Unusable),
        };
        let said = record.announcement;
        let (kind, model, service) = match said.kind {
            TargetKind::Engine => (Kind::Engine, Some(said.serves), None),
            TargetKind::Service => (Kind::Service, None, Some(said.serves)),
        };
        Ok(Self {
            name: said.name,
            address: said.address.parse().map_err(|_| Unusable)?,
            kind,
            model,
            service,
            region: said.region,
            failure_domain: said.domain,
            slots: said.slots,
            state,
            incarnation: said.incarnation,
        })
    }
}
