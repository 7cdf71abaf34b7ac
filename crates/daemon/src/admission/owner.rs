//! The owner's side: the gates of the targets that this daemon owns.

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
    Place,
    Setting, //
};

use super::{
    names::Names,
    target::{
        Answer,
        BatchOrders,
        OwnedTarget, //
    },
};
use crate::{
    context::Context,
    fleet::{
        Announcement,
        Kind, //
    },
};

/// How often gates are told that time has passed.
const TICK: Millis = Millis(10);
/// Ticks after which the state and the settings of the targets are read again.
const TICKS_PER_REFRESH: u32 = 25;
/// Teams and classes that are told apart. Those that come later are queued as one.
const TEAMS: usize = 4_096;
const CLASSES: usize = 256;
/// The name of the teams and classes that are not told apart; callers cannot name it.
const OTHERS: &str = "\0";
/// How often targets are asked for their load.
const LOAD_EVERY: Millis = Millis(500);
/// An idle target is asked once in so many rounds.
const IDLE_ROUNDS: u64 = 4;
/// How long a target may take to report its load.
const LOAD_BOUND: Millis = Millis(300);
/// The age that a load report is taken to have.
const LOAD_AGE: Millis = Millis(200);

/// A request for a permit, as it comes from an entry.
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

/// A request for a permit that waits for its answer.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(crate) permit: PermitId,
    pub(crate) answer: oneshot::Receiver<Answer>,
}

/// The gates of the targets that this daemon owns.
pub(crate) struct OwnerSide {
    clock: Clock,
    inner: Mutex<Inner>,
}

struct Inner {
    targets: BTreeMap<TargetName, OwnedTarget>,
    entries: Names<String, Entry>,
    teams: Names<String, Team>,
    classes: Names<String, Class>,
    next_permit: u64,
}

impl OwnerSide {
    /// Permits are numbered from a random point, so that a permit of an earlier owner is never
    /// taken for one of this one.
    pub(crate) fn new(clock: Clock) -> Self {
        let inner = Inner {
            targets: BTreeMap::new(),
            entries: Names::default(),
            teams: Names::default(),
            classes: Names::default(),
            next_permit: rand::rng().random::<u64>() >> 1,
        };
        Self {
            clock,
            inner: Mutex::new(inner),
        }
    }

    /// Takes a request for a permit in.
    ///
    /// # Errors
    ///
    /// Refuses if this daemon does not know the target.
    pub(crate) fn ask(&self, cx: &Context, req: &PermitRequest) -> Result<Ticket, Refusal> {
        let now = self.clock.now();
        let Some(announcement) = cx.targets.get(&req.target) else {
            let detail = format!("{} is not known here", req.target);
            return Err(Refusal::not_run(Reason::NoTarget, detail));
        };
        let weight = cx
            .store
            .configuration()
            .team_weight(&req.team, Millis::unix_now());
        let mut inner = self.lock();
        let permit = PermitId(inner.next_permit);
        inner.next_permit += 1;
        let others = OTHERS.to_owned();
        let request = Request {
            permit,
            entry: inner.entries.key(&req.instance),
            team: inner.teams.key_within(&req.team, TEAMS, &others),
            class: inner.classes.key_within(&req.class, CLASSES, &others),
            prompt_tokens: req.prompt_tokens,
            answer_tokens: req.answer_tokens,
            weight: u32::try_from(weight).unwrap_or(u32::MAX),
            deadline: now + req.wait,
        };
        let target = inner
            .targets
            .entry(req.target.clone())
            .or_insert_with(|| own(cx, &announcement));
        let answer = target.expect(permit);
        target.handle(Event::Arrived(request), now);
        Ok(Ticket { permit, answer })
    }

    /// The one who asked for a permit is gone; the permit is returned if it was given.
    pub(crate) fn withdraw(&self, target: &TargetName, permit: PermitId) {
        self.handle(target, Event::Withdrawn(permit));
    }

    /// A call ended.
    pub(crate) fn finish(&self, target: &TargetName, permit: PermitId) {
        self.handle(target, Event::Finished(permit));
    }

    /// An entry says which permits it holds. Targets that it does not name take back what it held
    /// there; targets that are not owned here yet are taken over.
    pub(crate) fn renew(
        &self,
        cx: &Context,
        instance: &str,
        held: &HashMap<TargetName, Vec<PermitId>>,
    ) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let entry = inner.entries.key(&instance.to_owned());
        for target in held.keys() {
            if inner.targets.contains_key(target) {
                continue;
            }
            if let Some(announcement) = cx.targets.get(target) {
                inner.targets.insert(target.clone(), own(cx, &announcement));
            }
        }
        for (name, target) in &mut inner.targets {
            let in_use = held.get(name).cloned().unwrap_or_default();
            target.handle(Event::Renewed { entry, in_use }, now);
        }
    }

    /// Online requests at a target, if it is owned here.
    pub(crate) fn busy(&self, target: &TargetName) -> Option<u32> {
        self.lock().targets.get(target).map(OwnedTarget::busy)
    }

    /// Begins a session of batch at a target, whose orders go to `orders`.
    pub(crate) fn open_batch(&self, cx: &Context, target: &Announcement, orders: BatchOrders) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let name = target.name.clone();
        let target = inner.targets.entry(name).or_insert_with(|| own(cx, target));
        target.open_batch(orders, now);
    }

    /// Ends the session of batch at a target.
    pub(crate) fn end_batch(&self, target: &TargetName) {
        let now = self.clock.now();
        if let Some(target) = self.lock().targets.get_mut(target) {
            target.end_batch(now);
        }
    }

    /// The side that runs batch has found out whether a target takes connections.
    pub(crate) fn set_refuses(&self, target: &TargetName, refuses: bool) {
        let now = self.clock.now();
        if let Some(target) = self.lock().targets.get_mut(target) {
            target.set_refuses(refuses, now);
        }
    }

    /// Gives a target's gate an event.
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

    /// Reads the state and the settings of all targets again, and forgets those that are gone.
    fn refresh(&self, cx: &Context) {
        let now = self.clock.now();
        self.lock().targets.retain(|name, target| {
            let announcement = cx.targets.get(name);
            target.set_state(announcement.as_ref().map(|found| found.state), now);
            if let Some(announcement) = &announcement {
                target.configure(settings(cx, announcement));
            }
            announcement.is_some() || !target.is_idle()
        });
    }

    fn names(&self) -> Vec<TargetName> {
        self.lock().targets.keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics with the lock")
    }
}

fn own(cx: &Context, announcement: &Announcement) -> OwnedTarget {
    OwnedTarget::new(announcement.name.clone(), settings(cx, announcement))
}

/// The settings of a target's gate, by the configuration in force where the target stands.
fn settings(cx: &Context, announcement: &Announcement) -> Settings {
    let place = Place {
        region: Some(announcement.region.to_string()),
        failure_domain: Some(announcement.failure_domain.to_string()),
        model: announcement.model.clone(),
        ..Place::default()
    };
    let configuration = cx.store.configuration();
    let at = Millis::unix_now();
    let get = |setting| {
        let value = configuration.effective(setting, &place, at);
        u32::try_from(value).unwrap_or(u32::MAX)
    };
    Settings {
        queue_limit: get(Setting::QueueLimit),
        headroom: get(Setting::OnlineHeadroom),
        balance: Balance::percent(get(Setting::Balance).min(100) as u8),
        ..Settings::for_slots(announcement.slots.max(1))
    }
}

/// Passes time to the gates for as long as the process lives.
pub(super) fn run_ticks(cx: &Arc<Context>) {
    let owner = &cx.admission.owner;
    loop {
        owner.refresh(cx);
        for _ in 0..TICKS_PER_REFRESH {
            thread::sleep(TICK.duration());
            owner.tick();
        }
    }
}

/// What an engine reports of its load.
#[derive(Debug, Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
    #[serde(default)]
    kv_permille: u32,
}

/// Asks the engines that are owned here for their load for as long as the process lives.
pub(super) fn run_loads(cx: &Arc<Context>) {
    let owner = &cx.admission.owner;
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(LOAD_BOUND.duration()))
        .proxy(None)
        .build()
        .new_agent();
    let mut idle: BTreeSet<TargetName> = BTreeSet::new();
    for round in 0_u64.. {
        thread::sleep(LOAD_EVERY.duration());
        for name in owner.names() {
            let may_skip = idle.contains(&name) && owner.busy(&name) == Some(0);
            if may_skip && !round.is_multiple_of(IDLE_ROUNDS) {
                continue;
            }
            let Some(target) = cx.targets.get(&name) else {
                continue;
            };
            if target.kind != Kind::Engine {
                continue;
            }
            idle.remove(&name);
            if let Some(load) = ask_load(&agent, &target) {
                if load.running + load.waiting == 0 {
                    idle.insert(name.clone());
                }
                owner.handle(&name, Event::Load(load));
            }
        }
    }
}

fn ask_load(agent: &ureq::Agent, target: &Announcement) -> Option<LoadReport> {
    let url = format!("http://{}/load", target.address);
    let mut answer = agent.get(&url).call().ok()?;
    let load: Load = answer.body_mut().read_json().ok()?;
    Some(LoadReport {
        running: load.running,
        waiting: load.waiting,
        kv_permille: load.kv_permille,
        age: LOAD_AGE,
    })
}
