//! Owner side of admission: the gates of the targets that this daemon owns.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
};

use rand::Rng;
use serde::Deserialize;
use tokio::sync::oneshot;
use yuccaseam_admit::{
    Balance,
    Class,
    Entry,
    Event,
    LoadReport,
    PermitId,
    Request,
    Settings,
    Team, //
};
use yuccaseam_base::{
    Clock,
    Millis,
    Reason,
    Refusal,
    TargetName, //
};
use yuccaseam_state::{
    Setting,
    SettingContext, //
};

use super::{
    interner::Interner,
    target::{
        BatchActionSink,
        OwnedTarget,
        PermitReply, //
    },
};
use crate::{
    context::Context,
    fleet::{
        Announcement,
        Kind, //
    },
};

/// Interval between two ticks of the gates.
const TICK_INTERVAL: Millis = Millis(10);
/// Number of ticks between two refreshes of the state and the settings of the targets.
const TICKS_PER_REFRESH: u32 = 25;
/// Maximum number of distinct teams; further ones are queued as one.
const MAX_TEAMS: usize = 4_096;
/// Maximum number of distinct request classes; further ones are queued as one.
const MAX_CLASSES: usize = 256;
/// The name that stands for further teams and classes; callers cannot send it.
const OVERFLOW_NAME: &str = "\0";
/// How often targets are polled for their load.
const LOAD_POLL_INTERVAL: Millis = Millis(500);
/// An idle target is polled only once in this many rounds.
const IDLE_POLL_ROUNDS: u64 = 4;
/// Time-out of one load poll.
const LOAD_POLL_TIMEOUT: Millis = Millis(300);
/// Assumed age of a load report.
const ASSUMED_LOAD_AGE: Millis = Millis(200);

/// A permit request of an entry.
#[derive(Debug)]
pub(crate) struct PermitRequest {
    pub(crate) instance: String,
    pub(crate) target: TargetName,
    pub(crate) class: String,
    pub(crate) team: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) wait: Millis,
}

/// A permit request that awaits its reply.
#[derive(Debug)]
pub(crate) struct PendingPermit {
    pub(crate) permit: PermitId,
    pub(crate) reply: oneshot::Receiver<PermitReply>,
}

/// The gates of the targets that this daemon owns.
pub(crate) struct OwnerAdmission {
    clock: Clock,
    inner: Mutex<Inner>,
}

struct Inner {
    targets: BTreeMap<TargetName, OwnedTarget>,
    entries: Interner<String, Entry>,
    teams: Interner<String, Team>,
    classes: Interner<String, Class>,
    next_permit: u64,
}

impl OwnerAdmission {
    /// Permits are numbered from a random start, so that a permit of an earlier owner is never
    /// mistaken for one of this owner.
    pub(crate) fn new(clock: Clock) -> Self {
        let inner = Inner {
            targets: BTreeMap::new(),
            entries: Interner::default(),
            teams: Interner::default(),
            classes: Interner::default(),
            next_permit: rand::rng().random::<u64>() >> 1,
        };
        Self {
            clock,
            inner: Mutex::new(inner),
        }
    }

    /// Passes a permit request to the gate of its target.
    ///
    /// # Errors
    ///
    /// Refuses if this daemon does not know the target.
    pub(crate) fn request_permit(
        &self,
        cx: &Context,
        req: &PermitRequest,
    ) -> Result<PendingPermit, Refusal> {
        let now = self.clock.now();
        let Some(announcement) = cx.targets.get(&req.target) else {
            let detail = format!("target {} is not known to its owner", req.target);
            return Err(Refusal::not_run(Reason::NoTarget, detail));
        };
        let weight = cx
            .store
            .configuration()
            .team_weight(&req.team, Millis::unix_now());
        let mut inner = self.lock();
        let permit = PermitId(inner.next_permit);
        inner.next_permit += 1;
        let overflow_name = OVERFLOW_NAME.to_owned();
        let request = Request {
            permit,
            entry: inner.entries.intern(&req.instance),
            team: inner
                .teams
                .intern_within(&req.team, MAX_TEAMS, &overflow_name),
            class: inner
                .classes
                .intern_within(&req.class, MAX_CLASSES, &overflow_name),
            prompt_tokens: req.prompt_tokens,
            answer_tokens: req.answer_tokens,
            weight: u32::try_from(weight).unwrap_or(u32::MAX),
            deadline: now + req.wait,
        };
        let target = inner
            .targets
            .entry(req.target.clone())
            .or_insert_with(|| new_owned_target(cx, &announcement));
        let reply = target.register_waiter(permit);
        target.handle(Event::Arrived(request), now);
        Ok(PendingPermit { permit, reply })
    }

    /// Withdraws a permit request whose requester is gone; a permit already granted is returned.
    pub(crate) fn withdraw(&self, target: &TargetName, permit: PermitId) {
        self.handle(target, Event::Withdrawn(permit));
    }

    /// Returns a permit whose call ended.
    pub(crate) fn finish(&self, target: &TargetName, permit: PermitId) {
        self.handle(target, Event::Finished(permit));
    }

    /// Applies an entry's report of the permits that it holds. Targets that it does not name
    /// reclaim its permits; targets that are not owned here yet are taken over.
    pub(crate) fn renew(
        &self,
        cx: &Context,
        instance: &str,
        held: &HashMap<TargetName, Vec<PermitId>>,
    ) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let entry = inner.entries.intern(&instance.to_owned());
        for target in held.keys() {
            if inner.targets.contains_key(target) {
                continue;
            }
            if let Some(announcement) = cx.targets.get(target) {
                inner
                    .targets
                    .insert(target.clone(), new_owned_target(cx, &announcement));
            }
        }
        for (name, target) in &mut inner.targets {
            let in_use = held.get(name).cloned().unwrap_or_default();
            target.handle(Event::Renewed { entry, in_use }, now);
        }
    }

    /// Number of online requests that hold a slot of a target or wait for one, if it is owned here.
    pub(crate) fn busy(&self, target: &TargetName) -> Option<u32> {
        self.lock().targets.get(target).map(OwnedTarget::busy)
    }

    /// Opens a batch session at a target, whose batch actions go to `sink`.
    pub(crate) fn open_batch(&self, cx: &Context, target: &Announcement, sink: BatchActionSink) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let name = target.name.clone();
        let target = inner
            .targets
            .entry(name)
            .or_insert_with(|| new_owned_target(cx, target));
        target.open_batch(sink, now);
    }

    /// Ends the batch session at a target.
    pub(crate) fn end_batch(&self, target: &TargetName) {
        let now = self.clock.now();
        if let Some(target) = self.lock().targets.get_mut(target) {
            target.end_batch(now);
        }
    }

    /// Records whether a target refuses connections, as observed by its batch runner.
    pub(crate) fn set_refuses_connections(&self, target: &TargetName, refuses_connections: bool) {
        let now = self.clock.now();
        if let Some(target) = self.lock().targets.get_mut(target) {
            target.set_refuses_connections(refuses_connections, now);
        }
    }

    /// Passes an event to a target's gate.
    pub(crate) fn handle(&self, target: &TargetName, event: Event) {
        let now = self.clock.now();
        if let Some(target) = self.lock().targets.get_mut(target) {
            target.handle(event, now);
        }
    }

    fn tick(&self) {
        let now = self.clock.now();
        for target in self.lock().targets.values_mut() {
            target.handle(Event::Tick, now);
        }
    }

    /// Refreshes the state and the settings of all targets, and drops idle ones that are gone.
    fn refresh(&self, cx: &Context) {
        let now = self.clock.now();
        self.lock().targets.retain(|name, target| {
            let announcement = cx.targets.get(name);
            target.set_state(announcement.as_ref().map(|current| current.state), now);
            if let Some(announcement) = &announcement {
                target.configure(settings(cx, announcement));
            }
            announcement.is_some() || !target.is_idle()
        });
    }

    fn target_names(&self) -> Vec<TargetName> {
        self.lock().targets.keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics with the lock")
    }
}

fn new_owned_target(cx: &Context, announcement: &Announcement) -> OwnedTarget {
    OwnedTarget::new(announcement.name.clone(), settings(cx, announcement))
}

/// Settings of a target's gate, from the configuration in force at the target's location.
fn settings(cx: &Context, announcement: &Announcement) -> Settings {
    let context = SettingContext {
        region: Some(announcement.region.to_string()),
        failure_domain: Some(announcement.failure_domain.to_string()),
        model: announcement.model.clone(),
        ..SettingContext::default()
    };
    let configuration = cx.store.configuration();
    let at = Millis::unix_now();
    let effective_value = |setting| {
        let value = configuration.effective(setting, &context, at);
        u32::try_from(value).unwrap_or(u32::MAX)
    };
    Settings {
        queue_limit: effective_value(Setting::QueueLimit),
        headroom: effective_value(Setting::OnlineHeadroom),
        balance: Balance::percent(effective_value(Setting::Balance).min(100) as u8),
        ..Settings::for_slots(announcement.slots.max(1))
    }
}

/// Ticks the gates for the life of the process.
pub(super) fn run_ticks(cx: &Arc<Context>) {
    let owner = &cx.admission.owner;
    loop {
        owner.refresh(cx);
        for _ in 0..TICKS_PER_REFRESH {
            thread::sleep(TICK_INTERVAL.duration());
            owner.tick();
        }
    }
}

/// Load report of an engine.
#[derive(Debug, Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
    #[serde(default)]
    kv_permille: u32,
}

/// Polls the engines that are owned here for their load, for the life of the process.
pub(super) fn poll_loads(cx: &Arc<Context>) {
    let owner = &cx.admission.owner;
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(LOAD_POLL_TIMEOUT.duration()))
        .proxy(None)
        .build()
        .new_agent();
    let mut idle: BTreeSet<TargetName> = BTreeSet::new();
    for round in 0_u64.. {
        thread::sleep(LOAD_POLL_INTERVAL.duration());
        for name in owner.target_names() {
            let can_skip = idle.contains(&name) && owner.busy(&name) == Some(0);
            if can_skip && !round.is_multiple_of(IDLE_POLL_ROUNDS) {
                continue;
            }
            let Some(target) = cx.targets.get(&name) else {
                continue;
            };
            if target.kind != Kind::Engine {
                continue;
            }
            idle.remove(&name);
            if let Some(load) = poll_load(&agent, &target) {
                if load.running + load.waiting == 0 {
                    idle.insert(name.clone());
                }
                owner.handle(&name, Event::Load(load));
            }
        }
    }
}

fn poll_load(agent: &ureq::Agent, target: &Announcement) -> Option<LoadReport> {
    let url = format!("http://{}/load", target.address);
    let mut response = agent.get(&url).call().ok()?;
    let load: Load = response.body_mut().read_json().ok()?;
    Some(LoadReport {
        running: load.running,
        waiting: load.waiting,
        kv_permille: load.kv_permille,
        age: ASSUMED_LOAD_AGE,
    })
}
