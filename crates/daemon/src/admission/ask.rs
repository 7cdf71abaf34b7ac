//! What a request asks of a target.

use yuccaseam_base::{
    Reason,
    Refusal,
    TargetName, //
};

/// What a request asks of a target.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) needs: Needs,
    pub(crate) team: String,
    pub(crate) class: String,
    /// An estimate, in tokens.
    pub(crate) prompt_tokens: u32,
    /// The largest answer, in tokens.
    pub(crate) answer_tokens: u32,
    /// The hashes of the prompt's prefixes, shortest first.
    pub(crate) prefix: Vec<u64>,
    /// Targets that failed this request before. They are used only if there is no other.
    pub(crate) avoid: Vec<TargetName>,
}

/// What a target must serve.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Needs {
    /// A model of this name.
    Model(String),
    /// A plain service of this name.
    Service(String),
}

impl Needs {
    /// The refusal of a request that no target can serve.
    pub(crate) fn no_target(&self) -> Refusal {
        match self {
            Self::Model(model) => Refusal::not_run(
                Reason::NoTarget,
                format!("no target serves the model {model}"),
            ),
            Self::Service(service) => Refusal::not_run(
                Reason::UnknownService,
                format!("no target serves {service}"),
            ),
        }
    }
}
