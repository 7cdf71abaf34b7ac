//! State that all parts of the daemon share.

use yuccaseam_base::{
    Clock,
    Reason,
    Refusal, //
};

use crate::{
    admission::Admission,
    entry::UnacknowledgedClaims,
    fleet::{
        Announcement,
        Membership,
        Targets, //
    },
    health::Health,
    peers::Links,
    settings::Settings,
    store::Store,
    upstream::Upstream, //
};

/// Components of one daemon, which live as long as the process.
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
    /// Claims of idempotency keys whose request did not run, to be ended.
    pub(crate) unacknowledged_claims: UnacknowledgedClaims,
    pub(crate) metrics: metrics_exporter_prometheus::PrometheusHandle,
}

impl Context {
    /// Checks that a model is configured, or that some target serves it.
    ///
    /// # Errors
    ///
    /// Refuses a model that is neither configured nor served.
    pub(crate) fn check_model(&self, name: &str) -> Result<(), Refusal> {
        let is_configured = self.store.configuration().models.contains_key(name);
        let targets = self.targets.all();
        let serves = |target: &Announcement| target.model.as_deref() == Some(name);
        if is_configured || targets.values().any(serves) {
            return Ok(());
        }
        let detail = format!("the model {name} is neither configured nor served");
        Err(Refusal::not_run(Reason::UnknownModel, detail))
    }
}
