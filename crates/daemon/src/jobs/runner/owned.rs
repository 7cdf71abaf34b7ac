//! Which targets this daemon owns.

use std::{
    collections::BTreeMap,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread,
};

use xxhash_rust::xxh3::xxh3_64;
use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName, //
};

use crate::{
    context::Context,
    health::Phase,
    targets::{
        Announcement,
        State, //
    },
};

use super::{
    Handle,
    Input,
    Registry,
    lock,
    target, //
};

/// How often the targets are looked at.
const PERIOD: Millis = Millis(250);
/// How long another daemon may take to accept a connection.
const PROBE: Millis = Millis(300);
/// How long the result of a probe is used.
const PROBE_AGE: Millis = Millis(1_000);

/// Makes the seeds of runners differ.
static SEED: AtomicU64 = AtomicU64::new(0);

/// Starts and stops the threads of targets for the life of the process.
pub(super) fn watch(cx: &Arc<Context>, registry: &Registry) {
    let mut neighbours = Neighbours::default();
    loop {
        let owned = owned(cx, &mut neighbours);
        update(cx, registry, &owned);
        thread::sleep(PERIOD.duration());
    }
}

/// The targets that this daemon should run items at; none while it stops.
fn owned(cx: &Context, neighbours: &mut Neighbours) -> BTreeMap<TargetName, Announcement> {
    if cx.health.phase() != Phase::Serving {
        return BTreeMap::new();
    }
    let targets = cx.targets.all(cx.clock.now()).into_iter();
    targets
        .filter(|target| target.state == State::Live && target.slots > 0)
        .filter(|target| neighbours.is_owner(cx, &target.name))
        .map(|target| (target.name.clone(), target))
        .collect()
}

fn update(cx: &Arc<Context>, registry: &Registry, owned: &BTreeMap<TargetName, Announcement>) {
    let mut shared = lock(registry);
    shared
        .targets
        .retain(|_, handle| !handle.thread.is_finished());
    for (name, handle) in &mut shared.targets {
        match owned.get(name) {
            None => handle.tell(Input::Leave),
            Some(target) if *target != handle.announcement => {
                handle.announcement = target.clone();
                handle.tell(Input::Announced(target.clone()));
            }
            Some(_) => (),
        }
    }
    for (name, target) in owned {
        if shared.targets.contains_key(name) {
            continue;
        }
        let seed = SEED.fetch_add(1, Ordering::Relaxed) ^ xxh3_64(name.as_str().as_bytes());
        match target::start(cx, target, seed) {
            Ok(handle) => drop(shared.targets.insert(name.clone(), handle)),
            Err(error) => log::error!("no batch at {name}: {error:#}"),
        }
    }
}

impl Handle {
    fn tell(&self, input: Input) {
        // A thread that has ended is replaced at the next look.
        let _ = self.tx.send(input);
    }
}

/// What is known of the other daemons.
#[derive(Default)]
struct Neighbours {
    probes: BTreeMap<InstanceName, Probe>,
}

#[derive(Clone, Copy)]
struct Probe {
    at: Millis,
    alive: bool,
}

impl Neighbours {
    /// Whether this daemon is the first of those that are alive, in the order of a hash of target
    /// and daemon. Two owners for a while cost double work and no double result.
    fn is_owner(&mut self, cx: &Context, target: &TargetName) -> bool {
        let own = rank(target, &cx.settings.instance);
        let before: Vec<InstanceName> = cx
            .settings
            .peers
            .keys()
            .filter(|peer| rank(target, peer) > own)
            .cloned()
            .collect();
        !before.iter().any(|peer| self.is_alive(cx, peer))
    }

    fn is_alive(&mut self, cx: &Context, peer: &InstanceName) -> bool {
        let now = cx.clock.now();
        if let Some(probe) = self.probes.get(peer)
            && now - probe.at < PROBE_AGE
        {
            return probe.alive;
        }
        let address = &cx.settings.peers[peer];
        let alive = TcpStream::connect_timeout(address, PROBE.duration()).is_ok();
        self.probes.insert(peer.clone(), Probe { at: now, alive });
        alive
    }
}

fn rank(target: &TargetName, instance: &InstanceName) -> u64 {
    xxh3_64(format!("{target}\n{instance}").as_bytes())
}
