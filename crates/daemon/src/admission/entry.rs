//! The entry's side: choosing targets and asking their owners.

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
    Place,
    Setting, //
};
use yuccaseam_wire::admission::AcquireRequest;

use super::{
    ask::{
        Ask,
        Needs, //
    },
    owner::{
        OwnerSide,
        PermitRequest, //
    },
    peers::Peers,
    permit::Permit,
    remote,
    target::Answer,
    view::View,
};
use crate::{
    context::Context,
    fleet::{
        Announcement,
        State, //
    },
    measures,
};

/// How long a target is passed over after its owner refused without saying when to come back.
const PASS_OVER: Millis = Millis(100);

/// How many owners of one target are asked for one request.
const OWNERS: u32 = 3;

/// A permit that this entry holds.
#[derive(Clone, Debug)]
pub(super) struct HeldPermit {
    pub(super) target: TargetName,
    pub(super) owner: InstanceName,
}

/// The permits of this entry, and what its owners must hear.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    pub(super) held: BTreeMap<PermitId, HeldPermit>,
    pub(super) finished: Vec<(PermitId, HeldPermit)>,
    /// When each owner was last asked.
    pub(super) asked: BTreeMap<InstanceName, Millis>,
}

/// Chooses targets and asks their owners.
pub(crate) struct EntrySide {
    pub(super) instance: InstanceName,
    pub(super) peers: Peers,
    clock: Clock,
    owner: Arc<OwnerSide>,
    view: Mutex<Option<View>>,
    holdings: Mutex<Holdings>,
    /// Wakes the thread that reports, once a permit is to be returned.
    pub(super) returned: Condvar,
}

impl EntrySide {
    pub(crate) fn new(instance: InstanceName, clock: Clock, owner: Arc<OwnerSide>) -> Self {
        Self {
            instance,
            peers: Peers::default(),
            clock,
            owner,
            view: Mutex::new(None),
            holdings: Mutex::default(),
            returned: Condvar::new(),
        }
    }

    /// Asks the owners of suitable targets, best first, until one gives a permit.
    ///
    /// # Errors
    ///
    /// Returns the refusal that says to come back soonest. It is always "not run".
    pub(crate) fn acquire(self: &Arc<Self>, cx: &Context, ask: &Ask) -> Result<Permit, Refusal> {
        let start = self.clock.now();
        let deadline = start + wait_of(cx, ask);
        let mut refusal: Option<Refusal> = None;
        for target in self.choose(cx, ask, start) {
            let now = self.clock.now();
            if now >= deadline {
                break;
            }
            if let Some(refusal) = &refusal {
                measures::count_retry(refusal.reason);
            }
            match self.ask_owners(cx, ask, &target, deadline) {
                Ok(permit) => {
                    measures::record_queue_wait(self.clock.now() - start);
                    return Ok(permit);
                }
                Err(other) => refusal = Some(sooner(refusal, other)),
            }
        }
        Err(refusal.unwrap_or_else(|| ask.needs.no_target()))
    }

    /// The targets to ask, best first. Those that failed the request come last.
    fn choose(&self, cx: &Context, ask: &Ask, now: Millis) -> Vec<Announcement> {
        let names = self.with_view(cx, |view| view.choose(cx, ask, now));
        let known = names.iter().filter_map(|name| cx.targets.get(name));
        let mut targets: Vec<_> = known.filter(|found| found.state == State::Live).collect();
        let failed = |target: &Announcement| ask.avoid.contains(&target.name);
        if targets.iter().all(failed) {
            let others = match &ask.needs {
                Needs::Model(model) => cx.targets.of_model(model),
                Needs::Service(service) => cx.targets.of_service(service),
            };
            targets.extend(others.into_iter().filter(|other| !failed(other)));
        }
        targets.sort_by_key(failed);
        targets
    }

    /// Asks the owner of a target. One that does not answer is down, and the target has another
    /// owner at once.
    fn ask_owners(
        self: &Arc<Self>,
        cx: &Context,
        ask: &Ask,
        target: &Announcement,
        deadline: Millis,
    ) -> Result<Permit, Refusal> {
        let mut owners = 1;
        loop {
            let left = deadline - self.clock.now();
            match self.ask_owner(cx, ask, target, left) {
                Err(refusal) if refusal.reason == Reason::OwnerUnreachable && owners < OWNERS => {
                    owners += 1;
                    measures::count_retry(refusal.reason);
                }
                result => return result,
            }
        }
    }

    fn ask_owner(
        self: &Arc<Self>,
        cx: &Context,
        ask: &Ask,
        target: &Announcement,
        wait: Millis,
    ) -> Result<Permit, Refusal> {
        let name = &target.name;
        let owner = self.owner_of(cx, name);
        let now = self.clock.now();
        self.holdings().asked.insert(owner.clone(), now);
        self.with_view(cx, |view| view.sent(name, ask, now));
        let answer = if owner == self.instance {
            self.ask_here(cx, ask, name, wait)
        } else {
            self.ask_there(cx, ask, name, &owner, wait)
        };
        let now = self.clock.now();
        match answer.result {
            Ok(id) => {
                self.with_view(cx, |view| view.report(name, answer.busy, now));
                let permit = Permit {
                    target: target.clone(),
                    id,
                    owner,
                    entry: Arc::clone(self),
                };
                self.holdings().held.insert(id, held(&permit));
                Ok(permit)
            }
            Err(refusal) if refusal.reason == Reason::OwnerUnreachable => {
                self.with_view(cx, |view| view.ended(name));
                Err(refusal)
            }
            Err(refusal) => {
                let pass_over = refusal.retry_after.unwrap_or(PASS_OVER);
                self.with_view(cx, |view| view.refused(name, pass_over, now));
                Err(refusal)
            }
        }
    }

    fn ask_here(&self, cx: &Context, ask: &Ask, target: &TargetName, wait: Millis) -> Answer {
        let req = PermitRequest {
            instance: self.instance.to_string(),
            target: target.clone(),
            class: ask.class.clone(),
            team: ask.team.clone(),
            prompt_tokens: ask.prompt_tokens,
            answer_tokens: ask.answer_tokens,
            wait,
        };
        let asked = self.owner.ask(cx, &req);
        let answer = asked.and_then(|ticket| {
            let gone = |_| Refusal::not_run(Reason::NoTarget, format!("{target} is gone"));
            ticket.answer.blocking_recv().map_err(gone)
        });
        answer.unwrap_or_else(|refusal| Answer {
            result: Err(refusal),
            busy: 0,
        })
    }

    /// Asks another daemon. One that does not answer counts as down from here on.
    fn ask_there(
        &self,
        cx: &Context,
        ask: &Ask,
        target: &TargetName,
        owner: &InstanceName,
        wait: Millis,
    ) -> Answer {
        let req = AcquireRequest {
            instance: self.instance.to_string(),
            request: 0,
            target: target.to_string(),
            class: ask.class.clone(),
            team: ask.team.clone(),
            prompt_tokens: ask.prompt_tokens,
            answer_tokens: ask.answer_tokens,
            wait_ms: wait.0,
        };
        let answer = match cx.links.channel(owner) {
            Some(channel) => cx.links.wait(remote::acquire(channel, req)),
            None => Err(remote::Unreachable("no address is known".to_owned())),
        };
        answer.unwrap_or_else(|unreachable| {
            self.set_down(cx, owner);
            let detail = format!("{owner} owns {target}: {}", unreachable.0);
            Answer {
                result: Err(Refusal::not_run(Reason::OwnerUnreachable, detail)),
                busy: 0,
            }
        })
    }

    /// Returns a permit to its owner.
    pub(super) fn returned(&self, permit: &Permit) {
        if let Some(view) = self.view().as_mut() {
            view.ended(&permit.target.name);
        }
        let held = held(permit);
        if permit.owner == self.instance {
            self.owner.finish(&held.target, permit.id);
        }
        let mut holdings = self.holdings();
        holdings.held.remove(&permit.id);
        holdings.finished.push((permit.id, held));
        self.returned.notify_one();
    }

    pub(super) fn owner_of(&self, cx: &Context, target: &TargetName) -> InstanceName {
        let candidates = cx.fleet.owners(cx, target);
        self.peers
            .owner_of(target, &self.instance, &candidates, self.clock.now())
    }

    /// Passes over a daemon that did not answer, and lets membership look after it.
    pub(super) fn set_down(&self, cx: &Context, peer: &InstanceName) {
        self.peers.set_down(peer, self.clock.now());
        cx.fleet.peer_failed(cx, peer);
    }

    pub(super) fn holdings(&self) -> MutexGuard<'_, Holdings> {
        self.holdings
            .lock()
            .expect("no thread panics with the lock")
    }

    /// Takes news of a target's load from an owner.
    pub(super) fn report(&self, target: &TargetName, busy: u32) {
        let now = self.clock.now();
        if let Some(view) = self.view().as_mut() {
            view.report(target, busy, now);
        }
    }

    /// Notes whether a call to a target failed.
    pub(super) fn note_result(&self, target: &TargetName, failed: bool) {
        let now = self.clock.now();
        if let Some(view) = self.view().as_mut() {
            view.note_result(target, failed, now);
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

/// How long a request may wait for a permit, by the configuration.
fn wait_of(cx: &Context, ask: &Ask) -> Millis {
    let settings = &cx.settings;
    let model = match &ask.needs {
        Needs::Model(model) => Some(model.clone()),
        Needs::Service(_) => None,
    };
    let place = Place {
        region: Some(settings.region.to_string()),
        failure_domain: Some(settings.failure_domain.to_string()),
        instance: Some(settings.instance.to_string()),
        class: Some(ask.class.clone()),
        team: Some(ask.team.clone()),
        model,
    };
    let configuration = cx.store.configuration();
    Millis(configuration.effective(Setting::OnlineWaitMs, &place, Millis::unix_now()))
}

/// The refusal that says to come back sooner; one that says when goes before one that does not.
fn sooner(first: Option<Refusal>, second: Refusal) -> Refusal {
    let after = |refusal: &Refusal| refusal.retry_after.unwrap_or(Millis::MAX);
    match first {
        Some(first) if after(&first) <= after(&second) => first,
        _ => second,
    }
}
