//! What a request requires of a target.

use yuccaseam_base::{
    Reason,
    Refusal,
    TargetName, //
};

/// What a request requires of a target, and on whose behalf.
#[derive(Clone, Debug)]
pub(crate) struct TargetRequirements {
    pub(crate) kind: RequiredKind,
    pub(crate) team: String,
    pub(crate) class: String,
    /// Estimated length of the prompt, in tokens.
    pub(crate) prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub(crate) answer_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first.
    pub(crate) prefix_hashes: Vec<u64>,
    /// Targets that already failed this request. They are used only if there is no other.
    pub(crate) failed_targets: Vec<TargetName>,
}

/// What a target must serve.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequiredKind {
    /// The model of this name.
    Model(String),
    /// The plain service of this name.
    Service(String),
}

impl RequiredKind {
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
