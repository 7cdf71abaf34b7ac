//! Which faults come when.

use std::time::Duration;

use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

/// The shortest time between two faults.
const MIN_PAUSE_MS: u64 = 150;
/// The longest time between two faults.
const MAX_PAUSE_MS: u64 = 1_800;
/// How long a process stays down or frozen at most.
const MAX_DOWN_MS: u64 = 2_500;

/// One fault. Numbers name instances and targets, and wrap around.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry is killed and starts again.
    KillEntry(usize),
    /// An entry gets a stop signal and starts again once it has ended.
    StopEntry(usize),
    /// An entry is frozen and woken.
    FreezeEntry(usize),
    /// A store is killed and starts again.
    KillStore(usize),
    /// A store gets a stop signal and starts again.
    StopStore(usize),
    /// A store is frozen and woken.
    FreezeStore(usize),
    /// A store loses its disk and starts again with an empty one.
    WipeStore(usize),
    /// Every store is killed and starts again.
    KillAllStores,
    /// A target ends without notice, and another one starts.
    ReplaceTarget(usize),
    /// A target drains and then ends, and another one starts.
    DrainTarget(usize),
    /// A target breaks streams for a while.
    BreakStreams(usize),
    /// A target turns everything away for a while.
    RejectAll(usize),
    /// The manifest changes.
    ChangeManifest,
    /// A proxy before a target delays what passes.
    DelayTarget(usize),
    /// A proxy before a target lets nothing back for a while.
    SilenceTarget(usize),
    /// Nothing passes between an instance and all others, which hold their connections.
    CutInstance(usize),
    /// What others send reaches an instance, and nothing that it sends reaches them.
    MuteInstance(usize),
    /// What passes between an instance and all others is late.
    DelayInstance(usize),
    /// The time of day of an instance jumps ahead or back.
    StepClock(usize),
    /// The disk of a store refuses every write.
    FillDisk(usize),
    /// The disk of a store answers nothing.
    StallDisk(usize),
}

/// A fault and its place in the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What happens.
    pub fault: Fault,
}

/// The faults of a run of some length.
pub fn schedule(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        let which = rng.random_range(0..1_000);
        let fault = match rng.random_range(0..26) {
            0 | 1 => Fault::KillEntry(which),
            2 => Fault::StopEntry(which),
            3 | 4 => Fault::FreezeEntry(which),
            5 | 6 => Fault::KillStore(which),
            7 => Fault::StopStore(which),
            8 | 9 => Fault::FreezeStore(which),
            10 => Fault::WipeStore(which),
            11 => Fault::KillAllStores,
            12 => Fault::ReplaceTarget(which),
            13 => Fault::DrainTarget(which),
            14 => Fault::BreakStreams(which),
            15 => Fault::RejectAll(which),
            16 => Fault::DelayTarget(which),
            17 => Fault::SilenceTarget(which),
            18 | 19 => Fault::CutInstance(which),
            20 => Fault::MuteInstance(which),
            21 => Fault::DelayInstance(which),
            22 => Fault::StepClock(which),
            23 => Fault::FillDisk(which),
            24 => Fault::StallDisk(which),
            _ => Fault::ChangeManifest,
        };
        let lasts = Duration::from_millis(rng.random_range(100..MAX_DOWN_MS));
        steps.push(Step { at, lasts, fault });
        at += Duration::from_millis(rng.random_range(MIN_PAUSE_MS..MAX_PAUSE_MS));
    }
    steps
}
