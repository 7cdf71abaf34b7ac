//! Random schedule of faults.

use std::time::Duration;

use rand::{
    Rng as _,
    SeedableRng as _, //
};
use rand_chacha::ChaCha8Rng;

use crate::prompts::DEADLY_PARTS;

/// Minimum time between the starts of two faults.
const MIN_FAULT_INTERVAL_MS: u64 = 150;
/// Upper bound of the time between the starts of two faults.
const MAX_FAULT_INTERVAL_MS: u64 = 1_800;
/// Upper bound of a fault's duration.
const MAX_FAULT_DURATION_MS: u64 = 2_500;

/// Upper bound of the time from the start of the run until prompts are tainted.
const MAX_TAINT_START_MS: u64 = 4_000;
/// Stream of the generator for tainted prompts. The other faults of a seed do not depend on them.
const TAINT_STREAM: u64 = 1;

/// A fault. Numbers select an instance or target, modulo the number of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry is killed and restarted.
    KillEntry(usize),
    /// An entry receives a stop signal and is restarted after it has exited.
    StopEntry(usize),
    /// An entry is suspended and resumed.
    FreezeEntry(usize),
    /// A store is killed and restarted.
    KillStore(usize),
    /// A store receives a stop signal and is restarted.
    StopStore(usize),
    /// A store is suspended and resumed.
    FreezeStore(usize),
    /// A store is killed and restarted with an empty disk.
    WipeStore(usize),
    /// All stores are killed and restarted.
    KillAllStores,
    /// A target ends without deregistering, and a new one starts.
    ReplaceTarget(usize),
    /// A target drains and ends, and a new one starts.
    DrainTarget(usize),
    /// A target breaks off its streams.
    BreakStreams(usize),
    /// A target rejects every request.
    RejectAll(usize),
    /// A new version of the manifest is submitted.
    ChangeManifest,
    /// The proxy in front of a target delays traffic in both directions.
    DelayTarget(usize),
    /// The proxy in front of a target drops everything that the target sends.
    SilenceTarget(usize),
    /// An instance is cut off from all others in both directions; connections stay open.
    CutInstance(usize),
    /// An instance receives from all others, but nothing that it sends arrives.
    MuteInstance(usize),
    /// Traffic between an instance and all others is delayed.
    DelayInstance(usize),
    /// The wall clock of an instance jumps forwards or backwards.
    StepClock(usize),
    /// Every write to the disk of a store fails.
    FillDisk(usize),
    /// Operations on the disk of a store do not complete.
    StallDisk(usize),
    /// From now on, a share of the prompts has one of this many parts that crash targets.
    TaintPrompts(usize),
}

impl Fault {
    /// Whether the fault affects an entry or a store, rather than targets or what callers send.
    pub(crate) fn affects_instances(self) -> bool {
        !matches!(
            self,
            Self::ReplaceTarget(_)
                | Self::DrainTarget(_)
                | Self::BreakStreams(_)
                | Self::RejectAll(_)
                | Self::DelayTarget(_)
                | Self::SilenceTarget(_)
                | Self::ChangeManifest
                | Self::TaintPrompts(_)
        )
    }
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Start of the fault, relative to the start of the run.
    pub at: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// Generates the fault schedule of a run. The same seed and length give the same schedule.
pub fn schedule(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        let selector = rng.random_range(0..1_000);
        let fault = match rng.random_range(0..26) {
            0 | 1 => Fault::KillEntry(selector),
            2 => Fault::StopEntry(selector),
            3 | 4 => Fault::FreezeEntry(selector),
            5 | 6 => Fault::KillStore(selector),
            7 => Fault::StopStore(selector),
            8 | 9 => Fault::FreezeStore(selector),
            10 => Fault::WipeStore(selector),
            11 => Fault::KillAllStores,
            12 => Fault::ReplaceTarget(selector),
            13 => Fault::DrainTarget(selector),
            14 => Fault::BreakStreams(selector),
            15 => Fault::RejectAll(selector),
            16 => Fault::DelayTarget(selector),
            17 => Fault::SilenceTarget(selector),
            18 | 19 => Fault::CutInstance(selector),
            20 => Fault::MuteInstance(selector),
            21 => Fault::DelayInstance(selector),
            22 => Fault::StepClock(selector),
            23 => Fault::FillDisk(selector),
            24 => Fault::StallDisk(selector),
            _ => Fault::ChangeManifest,
        };
        let duration = Duration::from_millis(rng.random_range(100..MAX_FAULT_DURATION_MS));
        steps.push(Step {
            at,
            duration,
            fault,
        });
        at += Duration::from_millis(rng.random_range(MIN_FAULT_INTERVAL_MS..MAX_FAULT_INTERVAL_MS));
    }
    steps.push(taint(seed));
    steps.sort_by_key(|step| step.at);
    steps
}

fn taint(seed: u64) -> Step {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(TAINT_STREAM);
    Step {
        at: Duration::from_millis(rng.random_range(500..MAX_TAINT_START_MS)),
        duration: Duration::ZERO,
        fault: Fault::TaintPrompts(rng.random_range(1..=DEADLY_PARTS.len())),
    }
}
