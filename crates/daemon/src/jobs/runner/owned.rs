//! Starts and stops the threads of the targets that this daemon owns.

use std::{
    collections::BTreeMap,
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
    Millis,
    TargetName, //
};

use crate::{
    context::Context,
    fleet::{
        Announcement,
        State, //
    },
    health::Phase,
};

use super::{
    Handle,
    Input,
    Registry,
    lock,
    target, //
};

/// How often the set of owned targets is polled.
const POLL_INTERVAL: Millis = Millis(250);

/// Counter that makes the seeds of runners differ.
static SEED: AtomicU64 = AtomicU64::new(0);

/// Starts and stops the threads of targets for the life of the process.
pub(super) fn run(cx: &Arc<Context>, registry: &Registry) {
    loop {
        let owned = owned_targets(cx);
        update(cx, registry, &owned);
        thread::sleep(POLL_INTERVAL.duration());
    }
}

/// Targets at which this daemon runs items; none during its planned stop.
fn owned_targets(cx: &Context) -> BTreeMap<TargetName, Announcement> {
    if cx.health.phase() != Phase::Serving {
        return BTreeMap::new();
    }
    let targets = cx.targets.all();
    targets
        .values()
        .filter(|target| target.state != State::Leaving && target.slots > 0)
        .filter(|target| cx.admission.owns(cx, &target.name))
        .map(|target| (target.name.clone(), target.clone()))
        .collect()
}

fn update(cx: &Arc<Context>, registry: &Registry, owned: &BTreeMap<TargetName, Announcement>) {
    let mut shared = lock(registry);
    shared
        .targets
        .retain(|_, handle| !handle.thread.is_finished());
    for (name, handle) in &mut shared.targets {
        match owned.get(name) {
            None => handle.send(Input::Drain),
            Some(target) if *target != handle.announcement => {
                handle.announcement = target.clone();
                handle.send(Input::Announced(target.clone()));
            }
            Some(_) => (),
        }
    }
    for (name, target) in owned {
        if shared.targets.contains_key(name) {
            continue;
        }
        let seed = SEED.fetch_add(1, Ordering::Relaxed) ^ xxh3_64(name.as_str().as_bytes());
        match target::start(cx, target, &shared.validity, seed) {
            Ok(handle) => drop(shared.targets.insert(name.clone(), handle)),
            Err(error) => log::error!("cannot run batch items at target {name}: {error:#}"),
        }
    }
}

impl Handle {
    fn send(&self, input: Input) {
        // A thread that has ended is replaced at the next poll.
        let _ = self.tx.send(input);
    }
}
