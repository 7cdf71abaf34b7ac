//! The system under test: its processes, the targets behind proxies, and the injection of faults.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use anyhow::Context as _;
use tokio::{
    sync::Mutex as AsyncMutex,
    time::sleep, //
};
use yuccaseam_base::Millis;
use yuccaseam_testing::{
    Relay, Shape, Shapes, Signal,
    platform::{
        Behaviour,
        Crash,
        PlatformSystem,
        PlatformTarget,
        Run, //
    },
};

use crate::{
    ledger::Ledger,
    prompts::DEADLY_PARTS,
    quarantine::InstanceFault,
    schedule::Fault, //
};

/// Time allowed for a stopped entry to exit: the platform's grace period plus detection time.
const STOP_TIMEOUT: Duration = Duration::from_millis(8_500);
/// How long a draining target keeps serving.
const DRAIN_DURATION: Duration = Duration::from_millis(2_500);

const CUT: Shape = Shape {
    cut: true,
    delay: Millis::ZERO,
    bytes_per_second: 0,
};
/// A link with a delay above that between regions.
const DELAYED: Shape = Shape {
    cut: false,
    delay: Millis(60),
    bytes_per_second: 0,
};

struct ProxiedTarget {
    target: PlatformTarget,
    proxy: Relay,
}

/// Processes and targets of one run.
pub(crate) struct Cluster {
    pub(crate) system: AsyncMutex<PlatformSystem>,
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) control: Vec<SocketAddr>,
    targets: AsyncMutex<Vec<ProxiedTarget>>,
    /// Runs recorded by targets that have ended.
    past_runs: Mutex<Vec<Run>>,
    /// Crashes of targets that have ended.
    past_crashes: Mutex<Vec<Crash>>,
    /// Number of deadly parts that callers add to prompts.
    deadly_parts: AtomicUsize,
    next_target: AtomicU64,
    version: AtomicU64,
    ledger: Arc<Ledger>,
    behaviour: Behaviour,
}

impl Cluster {
    pub(crate) async fn start(
        entries: usize,
        targets: usize,
        ledger: Arc<Ledger>,
    ) -> anyhow::Result<Self> {
        let system = PlatformSystem::start_behind_relays(entries, 3);
        let callers = system.entries.iter().map(|entry| entry.callers()).collect();
        let control = system.control();
        let cluster = Self {
            system: AsyncMutex::new(system),
            callers,
            control,
            targets: AsyncMutex::default(),
            past_runs: Mutex::default(),
            past_crashes: Mutex::default(),
            deadly_parts: AtomicUsize::new(0),
            next_target: AtomicU64::new(0),
            version: AtomicU64::new(1),
            ledger,
            behaviour: Behaviour {
                events: 20,
                pause: Duration::from_millis(8),
                crashing_parts: DEADLY_PARTS,
                ..Behaviour::default()
            },
        };
        for at in 0..targets {
            let target = cluster.start_target(at).await?;
            cluster.targets.lock().await.push(target);
        }
        let mut system = cluster.system.lock().await;
        anyhow::ensure!(
            system.put_manifest(1).await,
            "the first manifest was not accepted"
        );
        anyhow::ensure!(
            system.wait_until_serving().await,
            "an entry did not start serving"
        );
        system.end_first_start();
        drop(system);
        Ok(cluster)
    }

    async fn start_target(&self, at: usize) -> anyhow::Result<ProxiedTarget> {
        let number = self.next_target.fetch_add(1, Ordering::Relaxed);
        let name = format!("engine-{number}");
        let domain = ["a1", "a2", "b1"][at % 3];
        let control = self.control.clone();
        let target = PlatformTarget::start_behind(&name, "llm", domain, 8, control, |address| {
            Relay::start("127.0.0.1:0", address).map(|proxy| (proxy.address(), proxy))
        });
        let (target, proxy) = target.await.context("failed to start a target")?;
        target.behave(self.behaviour.clone());
        Ok(ProxiedTarget { target, proxy })
    }

    /// Returns the runs of all targets, including those that have ended.
    pub(crate) async fn runs(&self) -> Vec<Run> {
        let mut runs = self
            .past_runs
            .lock()
            .expect("no thread panics while holding the lock")
            .clone();
        for proxied in self.targets.lock().await.iter() {
            runs.extend(proxied.target.runs());
        }
        runs
    }

    /// Returns the crashes of all targets, including those that have ended.
    pub(crate) async fn crashes(&self) -> Vec<Crash> {
        let mut crashes = self
            .past_crashes
            .lock()
            .expect("no thread panics while holding the lock")
            .clone();
        for proxied in self.targets.lock().await.iter() {
            crashes.extend(proxied.target.crashes());
        }
        crashes
    }

    /// Number of deadly parts that callers add to prompts at the moment.
    pub(crate) fn deadly_parts(&self) -> usize {
        self.deadly_parts.load(Ordering::Relaxed)
    }

    /// Injects a fault for `duration`, then reverts it.
    pub(crate) async fn inject(&self, fault: Fault, duration: Duration) -> anyhow::Result<()> {
        let from = Instant::now();
        match fault {
            Fault::KillEntry(selector) => self.kill_entry(selector, duration).await,
            Fault::StopEntry(selector) => self.stop_entry(selector).await,
            Fault::FreezeEntry(selector) => self.freeze_entry(selector, duration).await,
            Fault::KillStore(selector) => self.kill_stores(&[selector % 3], duration, false).await,
            Fault::WipeStore(selector) => self.kill_stores(&[selector % 3], duration, true).await,
            Fault::KillAllStores => self.kill_stores(&[0, 1, 2], duration, false).await,
            Fault::StopStore(selector) => self.stop_store(selector, duration).await,
            Fault::FreezeStore(selector) => self.freeze_store(selector, duration).await,
            Fault::ReplaceTarget(selector) => self.replace_target(selector, duration).await?,
            Fault::DrainTarget(selector) => self.drain_target(selector).await?,
            Fault::BreakStreams(selector) => {
                let breaks_streams = Behaviour {
                    breaks_after: Some(3),
                    ..self.behaviour.clone()
                };
                self.change_behaviour(selector, breaks_streams, duration)
                    .await;
            }
            Fault::RejectAll(selector) => {
                let rejects_all = Behaviour {
                    rejects: true,
                    ..self.behaviour.clone()
                };
                self.change_behaviour(selector, rejects_all, duration).await;
            }
            Fault::DelayTarget(selector) => {
                let delay = Shape {
                    delay: Millis(60),
                    ..Shape::default()
                };
                let shapes = Shapes {
                    forward: delay,
                    backward: delay,
                };
                self.shape_target(selector, shapes, duration).await;
            }
            Fault::SilenceTarget(selector) => {
                let shapes = Shapes {
                    backward: Shape {
                        cut: true,
                        ..Shape::default()
                    },
                    ..Shapes::default()
                };
                self.shape_target(selector, shapes, duration).await;
            }
            Fault::CutInstance(selector) => self.shape_instance(selector, CUT, CUT, duration).await,
            Fault::MuteInstance(selector) => {
                self.shape_instance(selector, CUT, Shape::default(), duration)
                    .await
            }
            Fault::DelayInstance(selector) => {
                self.shape_instance(selector, DELAYED, DELAYED, duration)
                    .await
            }
            Fault::StepClock(selector) => self.step_clock(selector, duration).await?,
            Fault::FillDisk(selector) => {
                self.set_disk_condition(selector, "full", duration).await?
            }
            Fault::StallDisk(selector) => {
                self.set_disk_condition(selector, "stall", duration).await?
            }
            Fault::ChangeManifest => self.change_manifest().await,
            Fault::TaintPrompts(count) => self.deadly_parts.store(count, Ordering::Relaxed),
        }
        if fault.affects_instances() {
            let until = Instant::now();
            self.ledger
                .record_instance_fault(InstanceFault { from, until });
        }
        Ok(())
    }

    async fn kill_entry(&self, selector: usize, duration: Duration) {
        let at = selector % self.callers.len();
        self.system.lock().await.entries[at].kill();
        sleep(duration).await;
        self.system.lock().await.entries[at].start_if_down();
    }

    async fn stop_entry(&self, selector: usize) {
        let at = selector % self.callers.len();
        self.system.lock().await.entries[at].signal(Signal::Term);
        let deadline = tokio::time::Instant::now() + STOP_TIMEOUT;
        while self.system.lock().await.entries[at].is_running() {
            if tokio::time::Instant::now() > deadline {
                self.ledger
                    .record_violation(format!("entry {at} did not exit within the stop time-out"));
                self.system.lock().await.entries[at].kill();
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.system.lock().await.entries[at].start_if_down();
    }

    async fn freeze_entry(&self, selector: usize, duration: Duration) {
        let at = selector % self.callers.len();
        self.system.lock().await.entries[at].signal(Signal::Stop);
        sleep(duration).await;
        self.system.lock().await.entries[at].signal(Signal::Cont);
    }

    async fn freeze_store(&self, selector: usize, duration: Duration) {
        self.system.lock().await.stores[selector % 3].signal(Signal::Stop);
        sleep(duration).await;
        self.system.lock().await.stores[selector % 3].signal(Signal::Cont);
    }

    /// Kills stores and restarts them after `duration`. Wipes a disk only while all stores run, since
    /// the platform tolerates the loss of one disk at a time.
    async fn kill_stores(&self, stores: &[usize], duration: Duration, wipe: bool) {
        let mut system = self.system.lock().await;
        let all_running = system.stores.iter_mut().all(|store| store.is_running());
        for at in stores {
            system.stores[*at].kill();
            if wipe && all_running && system.may_wipe() {
                system.wipe(*at);
            }
        }
        drop(system);
        sleep(duration).await;
        let mut system = self.system.lock().await;
        for at in stores {
            system.stores[*at].start_if_down();
        }
    }

    async fn stop_store(&self, selector: usize, duration: Duration) {
        self.system.lock().await.stores[selector % 3].signal(Signal::Term);
        sleep(duration + Duration::from_millis(600)).await;
        self.system.lock().await.stores[selector % 3].start_if_down();
    }

    async fn replace_target(&self, selector: usize, duration: Duration) -> anyhow::Result<()> {
        let removed = {
            let mut targets = self.targets.lock().await;
            let at = selector % targets.len();
            targets.swap_remove(at)
        };
        let (runs, crashes) = (removed.target.runs(), removed.target.crashes());
        drop(removed);
        self.past_runs
            .lock()
            .expect("no thread panics while holding the lock")
            .extend(runs);
        self.past_crashes
            .lock()
            .expect("no thread panics while holding the lock")
            .extend(crashes);
        sleep(duration).await;
        let replacement = self.start_target(selector).await?;
        self.targets.lock().await.push(replacement);
        Ok(())
    }

    async fn drain_target(&self, selector: usize) -> anyhow::Result<()> {
        {
            let targets = self.targets.lock().await;
            targets[selector % targets.len()].target.drain();
        }
        sleep(DRAIN_DURATION).await;
        self.replace_target(selector, Duration::ZERO).await
    }

    async fn change_behaviour(&self, selector: usize, behaviour: Behaviour, duration: Duration) {
        self.set_behaviour(selector, behaviour).await;
        sleep(duration).await;
        self.set_behaviour(selector, self.behaviour.clone()).await;
    }

    async fn set_behaviour(&self, selector: usize, behaviour: Behaviour) {
        let targets = self.targets.lock().await;
        targets[selector % targets.len()].target.behave(behaviour);
    }

    async fn shape_target(&self, selector: usize, shapes: Shapes, duration: Duration) {
        let proxy = {
            let targets = self.targets.lock().await;
            targets[selector % targets.len()].proxy.clone()
        };
        proxy.set(shapes);
        sleep(duration).await;
        proxy.set(Shapes::default());
    }

    /// Shapes all traffic between an instance and the others: `out` what it sends, `back` what it
    /// receives, on connections opened by either side.
    async fn shape_instance(&self, selector: usize, out: Shape, back: Shape, duration: Duration) {
        let (from, to) = {
            let system = self.system.lock().await;
            system.relays_of(selector % (system.entries.len() + system.stores.len()))
        };
        let set = |out, back| {
            for relay in &from {
                relay.set(Shapes {
                    forward: out,
                    backward: back,
                });
            }
            for relay in &to {
                relay.set(Shapes {
                    forward: back,
                    backward: out,
                });
            }
        };
        set(out, back);
        sleep(duration).await;
        set(Shape::default(), Shape::default());
    }

    async fn step_clock(&self, selector: usize, duration: Duration) -> anyhow::Result<()> {
        let offset_ms = if selector.is_multiple_of(2) {
            4_000
        } else {
            -4_000
        };
        self.set_clock_offset(selector, offset_ms).await?;
        sleep(duration).await;
        self.set_clock_offset(selector, 0).await
    }

    async fn set_clock_offset(&self, selector: usize, offset_ms: i64) -> anyhow::Result<()> {
        let system = self.system.lock().await;
        let count = system.entries.len() + system.stores.len();
        let mut all = system.entries.iter().chain(&system.stores);
        let instance = all
            .nth(selector % count)
            .context("the system has no instances")?;
        Ok(instance.step_clock(offset_ms)?)
    }

    async fn set_disk_condition(
        &self,
        selector: usize,
        condition: &str,
        duration: Duration,
    ) -> anyhow::Result<()> {
        self.system.lock().await.stores[selector % 3].set_disk(condition)?;
        sleep(duration).await;
        Ok(self.system.lock().await.stores[selector % 3].set_disk("")?)
    }

    async fn change_manifest(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        for address in &self.control {
            if PlatformSystem::put_manifest_at(*address, version).await {
                self.ledger.record_acknowledged(version);
                self.ledger.count_event("manifests acknowledged");
                return;
            }
        }
    }

    /// Resumes and restarts all instances, and waits until the system serves again.
    pub(crate) async fn heal(&self) -> anyhow::Result<()> {
        let mut system = self.system.lock().await;
        let PlatformSystem {
            entries, stores, ..
        } = &mut *system;
        for instance in entries.iter_mut().chain(stores) {
            instance.signal(Signal::Cont);
            instance.start_if_down();
        }
        let now = Instant::now();
        self.ledger.record_instance_fault(InstanceFault {
            from: now,
            until: now,
        });
        anyhow::ensure!(
            system.wait_until_serving().await,
            "an entry did not resume serving after the faults ended"
        );
        Ok(())
    }

    /// Saves the logs of a run that violated a guarantee.
    pub(crate) async fn keep_logs(&self, seed: u64) {
        let directory = std::env::temp_dir().join(format!("yuccaseam-soak-{seed}"));
        let system = self.system.lock().await;
        match system.keep_logs(&directory) {
            Ok(()) => eprintln!("logs of seed {seed} are in {}", directory.display()),
            Err(error) => eprintln!("cannot save the logs of seed {seed}: {error}"),
        }
    }
}
