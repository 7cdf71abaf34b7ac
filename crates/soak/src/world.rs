//! The processes, the targets behind proxies, and the faults that are done to them.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
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
        PlatformSystem,
        PlatformTarget,
        Run, //
    },
};

use crate::{
    ledger::Ledger,
    schedule::Fault, //
};

/// How long a stopped entry may take to end: the platform's grace and some time to be noticed.
const GRACE: Duration = Duration::from_millis(8_500);
/// How long a draining target goes on.
const DRAIN: Duration = Duration::from_millis(2_500);

const CUT: Shape = Shape {
    cut: true,
    delay: Millis::ZERO,
    bytes_per_second: 0,
};
/// A link that is late by more than a region is far.
const LATE: Shape = Shape {
    cut: false,
    delay: Millis(60),
    bytes_per_second: 0,
};

struct Behind {
    target: PlatformTarget,
    proxy: Relay,
}

/// The processes and targets of one run.
pub(crate) struct World {
    pub(crate) system: AsyncMutex<PlatformSystem>,
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) control: Vec<SocketAddr>,
    targets: AsyncMutex<Vec<Behind>>,
    /// Runs of targets that have ended.
    past: Mutex<Vec<Run>>,
    names: AtomicU64,
    version: AtomicU64,
    ledger: Arc<Ledger>,
    behaviour: Behaviour,
}

impl World {
    pub(crate) async fn start(
        number: u8,
        entries: usize,
        targets: usize,
        ledger: Arc<Ledger>,
    ) -> anyhow::Result<Self> {
        let system = PlatformSystem::start_behind_relays(number, entries, 3);
        let callers = system.entries.iter().map(|entry| entry.callers()).collect();
        let control = system.control();
        let world = Self {
            system: AsyncMutex::new(system),
            callers,
            control,
            targets: AsyncMutex::default(),
            past: Mutex::default(),
            names: AtomicU64::new(0),
            version: AtomicU64::new(1),
            ledger,
            behaviour: Behaviour {
                events: 20,
                pause: Duration::from_millis(8),
                ..Behaviour::default()
            },
        };
        for at in 0..targets {
            let behind = world.new_target(at).await?;
            world.targets.lock().await.push(behind);
        }
        let mut system = world.system.lock().await;
        anyhow::ensure!(system.put_manifest(1).await, "no manifest was accepted");
        anyhow::ensure!(system.wait_until_serving().await, "an entry does not serve");
        system.end_first_start();
        drop(system);
        Ok(world)
    }

    async fn new_target(&self, at: usize) -> anyhow::Result<Behind> {
        let number = self.names.fetch_add(1, Ordering::Relaxed);
        let name = format!("engine-{number}");
        let domain = ["a1", "a2", "b1"][at % 3];
        let control = self.control.clone();
        let target = PlatformTarget::start_behind(&name, "llm", domain, 8, control, |address| {
            Relay::start("127.0.0.1:0", address).map(|proxy| (proxy.address(), proxy))
        });
        let (target, proxy) = target.await.context("a target does not start")?;
        target.behave(self.behaviour.clone());
        Ok(Behind { target, proxy })
    }

    /// Every run of every target.
    pub(crate) async fn runs(&self) -> Vec<Run> {
        let mut runs = self
            .past
            .lock()
            .expect("no thread panics with the lock")
            .clone();
        for behind in self.targets.lock().await.iter() {
            runs.extend(behind.target.runs());
        }
        runs
    }

    /// Does one fault and undoes it.
    pub(crate) async fn inject(&self, fault: Fault, lasts: Duration) -> anyhow::Result<()> {
        match fault {
            Fault::KillEntry(which) => self.kill_entry(which, lasts).await,
            Fault::StopEntry(which) => self.stop_entry(which).await,
            Fault::FreezeEntry(which) => self.freeze_entry(which, lasts).await,
            Fault::KillStore(which) => self.kill_stores(&[which % 3], lasts, false).await,
            Fault::WipeStore(which) => self.kill_stores(&[which % 3], lasts, true).await,
            Fault::KillAllStores => self.kill_stores(&[0, 1, 2], lasts, false).await,
            Fault::StopStore(which) => self.stop_store(which, lasts).await,
            Fault::FreezeStore(which) => self.freeze_store(which, lasts).await,
            Fault::ReplaceTarget(which) => self.replace_target(which, lasts).await?,
            Fault::DrainTarget(which) => self.drain_target(which).await?,
            Fault::BreakStreams(which) => {
                let breaks = Behaviour {
                    breaks_after: Some(3),
                    ..self.behaviour.clone()
                };
                self.misbehave(which, breaks, lasts).await;
            }
            Fault::RejectAll(which) => {
                let rejects = Behaviour {
                    rejects: true,
                    ..self.behaviour.clone()
                };
                self.misbehave(which, rejects, lasts).await;
            }
            Fault::DelayTarget(which) => {
                let delay = Shape {
                    delay: Millis(60),
                    ..Shape::default()
                };
                let shapes = Shapes {
                    forward: delay,
                    backward: delay,
                };
                self.shape(which, shapes, lasts).await;
            }
            Fault::SilenceTarget(which) => {
                let shapes = Shapes {
                    backward: Shape {
                        cut: true,
                        ..Shape::default()
                    },
                    ..Shapes::default()
                };
                self.shape(which, shapes, lasts).await;
            }
            Fault::CutInstance(which) => self.cut(which, CUT, CUT, lasts).await,
            Fault::MuteInstance(which) => self.cut(which, CUT, Shape::default(), lasts).await,
            Fault::DelayInstance(which) => self.cut(which, LATE, LATE, lasts).await,
            Fault::StepClock(which) => self.step_clock(which, lasts).await?,
            Fault::FillDisk(which) => self.disturb_disk(which, "full", lasts).await?,
            Fault::StallDisk(which) => self.disturb_disk(which, "stall", lasts).await?,
            Fault::ChangeManifest => self.change_manifest().await,
        }
        Ok(())
    }

    async fn kill_entry(&self, which: usize, lasts: Duration) {
        let at = which % self.callers.len();
        self.system.lock().await.entries[at].kill();
        sleep(lasts).await;
        self.system.lock().await.entries[at].start_if_down();
    }

    async fn stop_entry(&self, which: usize) {
        let at = which % self.callers.len();
        self.system.lock().await.entries[at].signal(Signal::Term);
        let until = tokio::time::Instant::now() + GRACE;
        while self.system.lock().await.entries[at].is_running() {
            if tokio::time::Instant::now() > until {
                self.ledger
                    .violation(format!("entry {at} did not end within its grace"));
                self.system.lock().await.entries[at].kill();
            }
            sleep(Duration::from_millis(50)).await;
        }
        self.system.lock().await.entries[at].start_if_down();
    }

    async fn freeze_entry(&self, which: usize, lasts: Duration) {
        let at = which % self.callers.len();
        self.system.lock().await.entries[at].signal(Signal::Stop);
        sleep(lasts).await;
        self.system.lock().await.entries[at].signal(Signal::Cont);
    }

    async fn freeze_store(&self, which: usize, lasts: Duration) {
        self.system.lock().await.stores[which % 3].signal(Signal::Stop);
        sleep(lasts).await;
        self.system.lock().await.stores[which % 3].signal(Signal::Cont);
    }

    /// A wipe happens only while the others run: the platform bears the loss of one disk at a time.
    async fn kill_stores(&self, which: &[usize], lasts: Duration, wipe: bool) {
        let mut system = self.system.lock().await;
        let all_run = system.stores.iter_mut().all(|store| store.is_running());
        for at in which {
            system.stores[*at].kill();
            if wipe && all_run && system.may_wipe() {
                system.wipe(*at);
            }
        }
        drop(system);
        sleep(lasts).await;
        let mut system = self.system.lock().await;
        for at in which {
            system.stores[*at].start_if_down();
        }
    }

    async fn stop_store(&self, which: usize, lasts: Duration) {
        self.system.lock().await.stores[which % 3].signal(Signal::Term);
        sleep(lasts + Duration::from_millis(600)).await;
        self.system.lock().await.stores[which % 3].start_if_down();
    }

    async fn replace_target(&self, which: usize, lasts: Duration) -> anyhow::Result<()> {
        let gone = {
            let mut targets = self.targets.lock().await;
            let at = which % targets.len();
            targets.swap_remove(at)
        };
        let runs = gone.target.runs();
        drop(gone);
        self.past
            .lock()
            .expect("no thread panics with the lock")
            .extend(runs);
        sleep(lasts).await;
        let new = self.new_target(which).await?;
        self.targets.lock().await.push(new);
        Ok(())
    }

    async fn drain_target(&self, which: usize) -> anyhow::Result<()> {
        {
            let targets = self.targets.lock().await;
            targets[which % targets.len()].target.drain();
        }
        sleep(DRAIN).await;
        self.replace_target(which, Duration::ZERO).await
    }

    async fn misbehave(&self, which: usize, behaviour: Behaviour, lasts: Duration) {
        self.set_behaviour(which, behaviour).await;
        sleep(lasts).await;
        self.set_behaviour(which, self.behaviour.clone()).await;
    }

    async fn set_behaviour(&self, which: usize, behaviour: Behaviour) {
        let targets = self.targets.lock().await;
        targets[which % targets.len()].target.behave(behaviour);
    }

    async fn shape(&self, which: usize, shapes: Shapes, lasts: Duration) {
        let proxy = {
            let targets = self.targets.lock().await;
            targets[which % targets.len()].proxy.clone()
        };
        proxy.set(shapes);
        sleep(lasts).await;
        proxy.set(Shapes::default());
    }

    /// Shapes what an instance sends to others and what they send to it, over whichever connection.
    async fn cut(&self, which: usize, out: Shape, back: Shape, lasts: Duration) {
        let (from, to) = {
            let system = self.system.lock().await;
            system.relays_of(which % (system.entries.len() + system.stores.len()))
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
        sleep(lasts).await;
        set(Shape::default(), Shape::default());
    }

    async fn step_clock(&self, which: usize, lasts: Duration) -> anyhow::Result<()> {
        let by_ms = if which.is_multiple_of(2) {
            4_000
        } else {
            -4_000
        };
        self.step_clock_by(which, by_ms).await?;
        sleep(lasts).await;
        self.step_clock_by(which, 0).await
    }

    async fn step_clock_by(&self, which: usize, by_ms: i64) -> anyhow::Result<()> {
        let system = self.system.lock().await;
        let count = system.entries.len() + system.stores.len();
        let mut all = system.entries.iter().chain(&system.stores);
        let instance = all.nth(which % count).context("there are instances")?;
        Ok(instance.step_clock(by_ms)?)
    }

    async fn disturb_disk(
        &self,
        which: usize,
        condition: &str,
        lasts: Duration,
    ) -> anyhow::Result<()> {
        self.system.lock().await.stores[which % 3].set_disk(condition)?;
        sleep(lasts).await;
        Ok(self.system.lock().await.stores[which % 3].set_disk("")?)
    }

    async fn change_manifest(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        for to in &self.control {
            if PlatformSystem::put_manifest_at(*to, version).await {
                self.ledger.acknowledged(version);
                self.ledger.count("manifests acknowledged");
                return;
            }
        }
    }

    /// Undoes everything and waits until the system serves again.
    pub(crate) async fn heal(&self) -> anyhow::Result<()> {
        let mut system = self.system.lock().await;
        let PlatformSystem {
            entries, stores, ..
        } = &mut *system;
        for instance in entries.iter_mut().chain(stores) {
            instance.signal(Signal::Cont);
            instance.start_if_down();
        }
        anyhow::ensure!(
            system.wait_until_serving().await,
            "an entry does not serve after the faults have ended"
        );
        Ok(())
    }

    /// Keeps the logs of a run that broke a promise.
    pub(crate) async fn keep_logs(&self, seed: u64) {
        let folder = std::env::temp_dir().join(format!("yuccaseam-soak-{seed}"));
        let system = self.system.lock().await;
        match system.keep_logs(&folder) {
            Ok(()) => eprintln!("logs of seed {seed} are in {}", folder.display()),
            Err(error) => eprintln!("logs of seed {seed} cannot be kept: {error}"),
        }
    }
}
