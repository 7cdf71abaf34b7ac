//! What every part of the daemon shares.

use yuccaseam_base::Clock;

use crate::{
    admission::Admission,
    entry::Unanswered,
    fleet::{
        Membership,
        Targets, //
    },
    health::Health,
    peers::Links,
    settings::Settings,
    store::Store,
    upstream::Upstream, //
};

/// The parts of one daemon. It lives as long as the process.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) health: Health,
    pub(crate) links: Links,
    pub(crate) store: Store,
    pub(crate) fleet: Membership,
    pub(crate) targets: Targets,
    pub(crate) upstream: Upstream,
    pub(crate) admission: Admission,
    /// Claims of keys that ran nothing and are to be ended.
    pub(crate) unanswered: Unanswered,
    pub(crate) metrics: metrics_exporter_prometheus::PrometheusHandle,
}
