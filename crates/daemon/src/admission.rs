//! Which target runs a call, and when.

use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

use yuccaseam_base::{
    Reason,
    Refusal,
    TargetName, //
};

use crate::{
    context::Context,
    measures,
    targets::Announcement, //
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
    /// Targets that failed this request before. They are used only if there is no other.
    pub(crate) avoid: Vec<TargetName>,
}

/// What a target must serve.
#[derive(Clone, Debug)]
pub(crate) enum Needs {
    /// A model of this name.
    Model(String),
    /// A plain service of this name.
    Service(String),
}

/// Leave to run one call at a target. Dropping it returns it.
pub(crate) struct Permit {
    pub(crate) target: Announcement,
}

/// The entry's side of admission.
#[derive(Default)]
pub(crate) struct Admission {
    next: AtomicUsize,
}

impl Admission {
    /// Waits for a permit at one of the suitable targets.
    ///
    /// # Errors
    ///
    /// The refusal is always "not run".
    pub(crate) fn acquire(&self, cx: &Context, ask: &Ask) -> Result<Permit, Refusal> {
        let now = cx.clock.now();
        log::trace!(
            team = ask.team.as_str(),
            class = ask.class.as_str(),
            prompt_tokens = ask.prompt_tokens,
            answer_tokens = ask.answer_tokens;
            "a request asks for a permit"
        );
        let mut targets = match &ask.needs {
            Needs::Model(model) => cx.targets.of_model(model, now),
            Needs::Service(service) => cx.targets.of_service(service, now),
        };
        if targets
            .iter()
            .any(|target| !ask.avoid.contains(&target.name))
        {
            targets.retain(|target| !ask.avoid.contains(&target.name));
        }
        if targets.is_empty() {
            return Err(no_target(&ask.needs));
        }
        measures::record_queue_wait(cx.clock.now() - now);
        let index = self.next.fetch_add(1, Ordering::Relaxed) % targets.len();
        Ok(Permit {
            target: targets.swap_remove(index),
        })
    }
}

fn no_target(needs: &Needs) -> Refusal {
    match needs {
        Needs::Model(model) => Refusal::not_run(
            Reason::NoTarget,
            format!("no target serves the model {model}"),
        ),
        Needs::Service(service) => Refusal::not_run(
            Reason::UnknownService,
            format!("no target serves {service}"),
        ),
    }
}
