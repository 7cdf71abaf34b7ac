//! What every part of the daemon shares.

use yuccaseam_base::Clock;

use crate::{
    admission::Admission,
    health::Health,
    peers::Links,
    settings::Settings,
    store::Store,
    targets::Targets,
    upstream::Upstream, //
};

/// The parts of one daemon. It lives as long as the process.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) health: Health,
    pub(crate) links: Links,
    pub(crate) store: Store,
    pub(crate) targets: Targets,
    pub(crate) upstream: Upstream,
    pub(crate) admission: Admission,
    pub(crate) metrics: metrics_exporter_prometheus::PrometheusHandle,
}
