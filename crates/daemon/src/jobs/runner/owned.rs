//! Which targets this daemon owns.

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

/// How often the targets are looked at.
const PERIOD: Millis = Millis(250);

/// Makes the seeds of runners differ.
static SEED: AtomicU64 = AtomicU64::new(0);

/// Starts and stops the threads of targets for the life of the process.
pub(super) fn watch(cx: &Arc<Context>, registry: &Registry) {
    loop {
        let owned = owned(cx);
        update(cx, registry, &owned);
        thread::sleep(PERIOD.duration());
    }
}

/// The targets that this daemon should run items at; none while it stops.
fn owned(cx: &Context) -> BTreeMap<TargetName, Announcement> {
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
        match target::start(cx, target, &shared.validity, seed) {
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
