//! Entry side of admission: chooses targets and requests permits from their owners.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard, //
    },
};

use yuccaseam_admit::PermitId;
use yuccaseam_base::{
    Clock,
    InstanceName,
    Millis,
    Reason,
    Refusal,
    TargetName, //
};
use yuccaseam_state::{
    Setting,
    SettingContext, //
};
use yuccaseam_wire::admission::AcquireRequest;

use super::{
    owner::{
        OwnerAdmission,
        PermitRequest, //
    },
    owner_selector::OwnerSelector,
    permit::Permit,
    remote,
    requirements::{
        RequiredKind,
        TargetRequirements, //
    },
    target::PermitReply,
    view::View,
};
use crate::{
    context::Context,
    fleet::{
        Announcement,
        State, //
    },
    telemetry,
};

/// How long a target is skipped after its owner refused without a retry time.
const DEFAULT_REFUSAL_COOLDOWN: Millis = Millis(100);

/// Maximum number of owners of one target that are tried for one request.
const MAX_OWNERS_TRIED: u32 = 3;

/// A permit that this entry holds.
#[derive(Clone, Debug)]
pub(super) struct HeldPermit {
    pub(super) target: TargetName,
    pub(super) owner: InstanceName,
}

/// The permits of this entry, and what is to be reported to their owners.
#[derive(Debug, Default)]
pub(super) struct EntryPermits {
    pub(super) held: BTreeMap<PermitId, HeldPermit>,
    pub(super) finished: Vec<(PermitId, HeldPermit)>,
    /// When a permit was last requested from each owner.
    pub(super) last_request_at: BTreeMap<InstanceName, Millis>,
}

/// Chooses targets and requests permits from their owners.
pub(crate) struct EntryAdmission {
    pub(super) instance: InstanceName,
    pub(super) owner_selector: OwnerSelector,
    clock: Clock,
    owner: Arc<OwnerAdmission>,
    view: Mutex<Option<View>>,
    permits: Mutex<EntryPermits>,
    /// Wakes the reporting thread when a permit has been returned.
    pub(super) permit_returned: Condvar,
}

impl EntryAdmission {
    pub(crate) fn new(instance: InstanceName, clock: Clock, owner: Arc<OwnerAdmission>) -> Self {
        Self {
            instance,
            owner_selector: OwnerSelector::default(),
            clock,
            owner,
            view: Mutex::new(None),
            permits: Mutex::default(),
            permit_returned: Condvar::new(),
        }
    }

    /// Requests a permit from the owners of suitable targets, best first, until one is granted.
    ///
    /// # Errors
    ///
    /// Returns the refusal with the earliest retry time. Its verdict is always "not run".
    pub(crate) fn acquire(
        self: &Arc<Self>,
        cx: &Context,
        requirements: &TargetRequirements,
    ) -> Result<Permit, Refusal> {
        let start = self.clock.now();
        let deadline = start + max_wait(cx, requirements);
        let mut refusal: Option<Refusal> = None;
        for target in self.choose(cx, requirements, start) {
            let now = self.clock.now();
            if now >= deadline {
                break;
            }
            if let Some(refusal) = &refusal {
                telemetry::count_retry(refusal.reason);
            }
            match self.request_permit_with_failover(cx, requirements, &target, deadline) {
                Ok(permit) => {
                    telemetry::record_queue_wait(self.clock.now() - start);
                    return Ok(permit);
                }
                Err(next) => refusal = Some(earlier_retry(refusal, next)),
            }
        }
        Err(refusal.unwrap_or_else(|| requirements.kind.no_target()))
    }

    /// Chooses the targets to try, best first. Those that already failed the request come last.
    fn choose(
        &self,
        cx: &Context,
        requirements: &TargetRequirements,
        now: Millis,
    ) -> Vec<Announcement> {
        let names = self.with_view(cx, |view| view.choose(cx, requirements, now));
        let known = names.iter().filter_map(|name| cx.targets.get(name));
        let mut targets: Vec<_> = known.filter(|target| target.state == State::Live).collect();
        let failed = |target: &Announcement| requirements.failed_targets.contains(&target.name);
        if targets.iter().all(failed) {
            let others = match &requirements.kind {
                RequiredKind::Model(model) => cx.targets.serving_model(model),
                RequiredKind::Service(service) => cx.targets.serving_service(service),
            };
            targets.extend(others.into_iter().filter(|other| !failed(other)));
        }
        targets.sort_by_key(failed);
        targets
    }

    /// Requests a permit from the owner of a target. An owner that does not reply is marked
    /// unresponsive, which gives the target another owner at once.
    fn request_permit_with_failover(
        self: &Arc<Self>,
        cx: &Context,
        requirements: &TargetRequirements,
        target: &Announcement,
        deadline: Millis,
    ) -> Result<Permit, Refusal> {
        let mut owners_tried = 1;
        loop {
            let remaining = deadline - self.clock.now();
            match self.request_permit(cx, requirements, target, remaining) {
                Err(refusal)
                    if refusal.reason == Reason::OwnerUnreachable
                        && owners_tried < MAX_OWNERS_TRIED =>
                {
                    owners_tried += 1;
                    telemetry::count_retry(refusal.reason);
                }
                result => return result,
            }
        }
    }

    fn request_permit(
        self: &Arc<Self>,
        cx: &Context,
        requirements: &TargetRequirements,
        target: &Announcement,
        max_wait: Millis,
    ) -> Result<Permit, Refusal> {
        let name = &target.name;
        let owner = self.owner_of(cx, name);
        let now = self.clock.now();
        self.permits().last_request_at.insert(owner.clone(), now);
        self.with_view(cx, |view| view.record_request(name, requirements, now));
        let reply = if owner == self.instance {
            self.request_local_permit(cx, requirements, name, max_wait)
        } else {
            self.request_remote_permit(cx, requirements, name, &owner, max_wait)
        };
        let now = self.clock.now();
        match reply.result {
            Ok(id) => {
                self.with_view(cx, |view| view.update_load(name, reply.busy, now));
                let permit = Permit {
                    target: target.clone(),
                    id,
                    owner,
                    entry: Arc::clone(self),
                };
                self.permits().held.insert(id, held(&permit));
                Ok(permit)
            }
            Err(refusal) if refusal.reason == Reason::OwnerUnreachable => {
                self.with_view(cx, |view| view.record_end(name));
                Err(refusal)
            }
            Err(refusal) => {
                let cooldown = refusal.retry_after.unwrap_or(DEFAULT_REFUSAL_COOLDOWN);
                self.with_view(cx, |view| view.record_refusal(name, cooldown, now));
                Err(refusal)
            }
        }
    }

    fn request_local_permit(
        &self,
        cx: &Context,
        requirements: &TargetRequirements,
        target: &TargetName,
        max_wait: Millis,
    ) -> PermitReply {
        let req = PermitRequest {
            instance: self.instance.to_string(),
            target: target.clone(),
            class: requirements.class.clone(),
            team: requirements.team.clone(),
            prompt_tokens: requirements.prompt_tokens,
            answer_tokens: requirements.answer_tokens,
            wait: max_wait,
        };
        let pending = self.owner.request_permit(cx, &req);
        let reply = pending.and_then(|pending| {
            let dropped = |_| Refusal::not_run(Reason::NoTarget, format!("{target} was removed"));
            pending.reply.blocking_recv().map_err(dropped)
        });
        reply.unwrap_or_else(|refusal| PermitReply {
            result: Err(refusal),
            busy: 0,
        })
    }

    /// Requests a permit from another daemon, which is marked unresponsive if it does not reply.
    fn request_remote_permit(
        &self,
        cx: &Context,
        requirements: &TargetRequirements,
        target: &TargetName,
        owner: &InstanceName,
        max_wait: Millis,
    ) -> PermitReply {
        let req = AcquireRequest {
            instance: self.instance.to_string(),
            request: 0,
            target: target.to_string(),
            class: requirements.class.clone(),
            team: requirements.team.clone(),
            prompt_tokens: requirements.prompt_tokens,
            answer_tokens: requirements.answer_tokens,
            wait_ms: max_wait.0,
        };
        let reply = match cx.links.channel(owner) {
            Some(channel) => cx.links.block_on(remote::acquire(channel, req)),
            None => Err(remote::Unreachable("no address is known".to_owned())),
        };
        reply.unwrap_or_else(|unreachable| {
            self.mark_unresponsive(cx, owner);
            let detail = format!(
                "cannot reach {owner}, the owner of {target}: {}",
                unreachable.0
            );
            PermitReply {
                result: Err(Refusal::not_run(Reason::OwnerUnreachable, detail)),
                busy: 0,
            }
        })
    }

    /// Returns a permit to its owner.
    pub(super) fn return_permit(&self, permit: &Permit) {
        if let Some(view) = self.view().as_mut() {
            view.record_end(&permit.target.name);
        }
        let held = held(permit);
        if permit.owner == self.instance {
            self.owner.finish(&held.target, permit.id);
        }
        let mut permits = self.permits();
        permits.held.remove(&permit.id);
        permits.finished.push((permit.id, held));
        self.permit_returned.notify_one();
    }

    pub(super) fn owner_of(&self, cx: &Context, target: &TargetName) -> InstanceName {
        let candidates = cx.fleet.owners(cx, target);
        self.owner_selector
            .owner_of(target, &self.instance, &candidates, self.clock.now())
    }

    /// Skips a daemon that did not reply as an owner, and has membership probe it.
    pub(super) fn mark_unresponsive(&self, cx: &Context, peer: &InstanceName) {
        self.owner_selector
            .mark_unresponsive(peer, self.clock.now());
        cx.fleet.report_peer_failure(cx, peer);
    }

    pub(super) fn permits(&self) -> MutexGuard<'_, EntryPermits> {
        self.permits.lock().expect("no thread panics with the lock")
    }

    /// Records a target's load as reported by its owner.
    pub(super) fn update_load(&self, target: &TargetName, busy: u32) {
        let now = self.clock.now();
        if let Some(view) = self.view().as_mut() {
            view.update_load(target, busy, now);
        }
    }

    /// Records whether a call to a target failed.
    pub(super) fn record_result(&self, target: &TargetName, failed: bool) {
        let now = self.clock.now();
        if let Some(view) = self.view().as_mut() {
            view.record_result(target, failed, now);
        }
    }

    fn with_view<F, T>(&self, cx: &Context, f: F) -> T
    where
        F: FnOnce(&mut View) -> T,
    {
        let mut view = self.view();
        let settings = &cx.settings;
        let new = || View::new(&settings.region, &settings.failure_domain, rand::random());
        f(view.get_or_insert_with(new))
    }

    fn view(&self) -> MutexGuard<'_, Option<View>> {
        self.view.lock().expect("no thread panics with the lock")
    }
}

fn held(permit: &Permit) -> HeldPermit {
    HeldPermit {
        target: permit.target.name.clone(),
        owner: permit.owner.clone(),
    }
}

/// How long a request may wait for a permit according to the configuration.
fn max_wait(cx: &Context, requirements: &TargetRequirements) -> Millis {
    let settings = &cx.settings;
    let model = match &requirements.kind {
        RequiredKind::Model(model) => Some(model.clone()),
        RequiredKind::Service(_) => None,
    };
    let context = SettingContext {
        region: Some(settings.region.to_string()),
        failure_domain: Some(settings.failure_domain.to_string()),
        instance: Some(settings.instance.to_string()),
        class: Some(requirements.class.clone()),
        team: Some(requirements.team.clone()),
        model,
    };
    let configuration = cx.store.configuration();
    Millis(configuration.effective(Setting::OnlineWaitMs, &context, Millis::unix_now()))
}

/// The refusal with the earlier retry time. A refusal without one is the later of the two.
fn earlier_retry(first: Option<Refusal>, second: Refusal) -> Refusal {
    let after = |refusal: &Refusal| refusal.retry_after.unwrap_or(Millis::MAX);
    match first {
        Some(first) if after(&first) <= after(&second) => first,
        _ => second,
    }
}
