//! Announcements of targets, on the wire and in the daemon.

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

/// A target's announcement of itself.
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
    /// Maximum number of concurrent calls.
    pub(crate) slots: u32,
    pub(crate) state: State,
    /// Increases with each start of the target's process.
    pub(crate) incarnation: u64,
}

/// The kind of a target.
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
    /// It missed renewals, or the daemon that holds its record is dead.
    Suspect,
    /// It is draining: it finishes running calls and takes no new work.
    Leaving,
}

impl From<Announcement> for fleet::Announcement {
    fn from(announcement: Announcement) -> Self {
        let (kind, serves) = match announcement.kind {
            Kind::Engine => (TargetKind::Engine, announcement.model),
            Kind::Service => (TargetKind::Service, announcement.service),
        };
        Self {
            name: announcement.name,
            address: announcement.address.to_string(),
            kind,
            serves: serves.unwrap_or_default(),
            domain: announcement.failure_domain,
            region: announcement.region,
            slots: announcement.slots,
            incarnation: announcement.incarnation,
        }
    }
}

/// The record is of a target that is gone, or its address is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnusableRecord;

impl TryFrom<TargetRecord> for Announcement {
    type Error = UnusableRecord;

    fn try_from(record: TargetRecord) -> Result<Self, UnusableRecord> {
        let state = match record.state {
            TargetState::Live => State::Live,
            TargetState::Suspect => State::Suspect,
            TargetState::Leaving => State::Leaving,
            TargetState::Gone => return Err(UnusableRecord),
        };
        let announcement = record.announcement;
        let (kind, model, service) = match announcement.kind {
            TargetKind::Engine => (Kind::Engine, Some(announcement.serves), None),
            TargetKind::Service => (Kind::Service, None, Some(announcement.serves)),
        };
        Ok(Self {
            name: announcement.name,
            address: announcement.address.parse().map_err(|_| UnusableRecord)?,
            kind,
            model,
            service,
            region: announcement.region,
            failure_domain: announcement.domain,
            slots: announcement.slots,
            state,
            incarnation: announcement.incarnation,
        })
    }
}
