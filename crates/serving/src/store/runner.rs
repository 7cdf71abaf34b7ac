//! Runs batch items at targets while this instance leads.
//!
//! # Invariants
//!
//! - Items run only while this instance holds the lease, and only where the manifest sends them.
//! - A result is proposed only if the stream of its item was whole.
//! - A run that goes on after event n was asked for with n.

mod job_views;
mod progress;
mod stream;

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc,
};

use tokio::{
    sync::mpsc,
    task::AbortHandle, //
};
use yuccaseam_base::Millis;

use crate::{
    cx::Cx,
    link::pause,
    routes::choose_destination,
    schedule::{
        Capacity,
        ItemKey,
        Running,
        Waiting,
        are_loads_known,
        plan, //
    },
    state::{
        Advance,
        Command,
        FinishedItem,
        Outcome,
        Output, //
    },
    targets::{
        TargetKey,
        TargetRecord, //
    },
};

use super::{
    Hub,
    Replica, //
};

use job_views::{
    DUE,
    JobViews, //
};
use progress::Progress;
use stream::{
    End,
    Report,
    request, //
};

/// How often the runner looks for work if nothing happens.
const LOOK: Millis = Millis(30);
/// How long an item waits after a run that failed.
const RETRY: Millis = Millis(300);
/// How long a target takes no items after one failed there.
const AVOIDED: Millis = Millis(1_000);
/// How long the results of a job are kept beyond the time promised.
const KEPT_LONGER: Millis = Millis::from_secs(30);
/// How often the output of items is kept in the log.
const KEEP: Millis = Millis(500);
/// How often jobs are looked for that can be forgotten.
const FORGET: Millis = Millis::from_secs(5);

struct Run {
    key: ItemKey,
    target: TargetKey,
    task: AbortHandle,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Runner {
    cx: Arc<Cx>,
    replica: Arc<Replica>,
    hub: Arc<Hub>,
    reports: mpsc::UnboundedSender<Report>,
    jobs: JobViews,
    progress: HashMap<ItemKey, Progress>,
    runs: HashMap<u64, Run>,
    next_run: u64,
    avoided: HashMap<TargetKey, Millis>,
    forget_at: Millis,
    keep_at: Millis,
}

/// Runs items for the life of the process.
pub(crate) async fn run(cx: Arc<Cx>, replica: Arc<Replica>, hub: Arc<Hub>) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut runner = Runner {
        cx,
        replica,
        hub,
        reports: tx,
        jobs: JobViews::default(),
        progress: HashMap::new(),
        runs: HashMap::new(),
        next_run: 0,
        avoided: HashMap::new(),
        forget_at: Millis::ZERO,
        keep_at: Millis::ZERO,
    };
    let mut look_at = Millis::ZERO;
    loop {
        let now = runner.cx.clock.now();
        if now >= look_at {
            look_at = now + LOOK;
            runner.look(now);
        }
        tokio::select! {
            report = rx.recv() => {
                let mut next = report;
                while let Some(report) = next {
                    look_at = if runner.take_in(report) { Millis::ZERO } else { look_at };
                    next = rx.try_recv().ok();
                }
            }
            () = pause(look_at - now) => {}
        }
    }
}

impl Runner {
    fn look(&mut self, now: Millis) {
        if !self.replica.holds_lease() {
            self.runs.clear();
            self.progress.clear();
            self.jobs.clear();
            return;
        }
        let replica = Arc::clone(&self.replica);
        let waiting = replica.read(|state| self.waiting(state, now));
        self.drop_stale_runs();
        for (service, waiting) in waiting {
            self.schedule(&service, &waiting, now);
        }
        let mut batch = BTreeMap::new();
        for run in self.runs.values() {
            *batch.entry(run.target).or_default() += 1;
        }
        self.hub.set_batch(batch);
        if now >= self.keep_at {
            self.keep_at = now + KEEP;
            self.keep();
        }
        if now >= self.forget_at {
            self.forget_at = now + FORGET;
            self.forget(now);
        }
    }

    /// Every item that is not listed, by the service that runs it. Items without a route are given
    /// up.
    fn waiting(
        &mut self,
        state: &crate::state::State,
        now: Millis,
    ) -> BTreeMap<String, Vec<Waiting>> {
        let mut by_service = BTreeMap::<String, Vec<Waiting>>::new();
        let Some(table) = self.cx.table() else {
            return by_service;
        };
        let mut lost = Vec::new();
        for job in state.jobs().filter(|job| !job.is_settled()) {
            let view = self.jobs.see(job, now, self.cx.seams.unix_now());
            for (at, item) in job.waiting() {
                let key = ItemKey {
                    job: view.number,
                    item: at,
                };
                let Some(route) = table.find(&job.host, &item.path) else {
                    lost.push((job.id.clone(), at));
                    continue;
                };
                // The draw is the same each time, so that an item that goes on stays in its share.
                let draw = key.job.wrapping_mul(31).wrapping_add(u64::from(at)) * 7_919;
                let Some(service) = choose_destination(route, draw) else {
                    continue;
                };
                let begun = self.progress.get(&key);
                let waits = begun.is_some_and(|progress| now < progress.retry_at);
                let entry = by_service.entry(service.to_owned()).or_default();
                if !waits {
                    entry.push(Waiting {
                        key,
                        due_at: view.due_at(route.completion_objective),
                        begun: item.last_id.is_some()
                            || begun.is_some_and(|progress| progress.last_id.is_some()),
                    });
                }
            }
        }
        for (job, item) in lost {
            self.propose(finished(job, item, None), Vec::new());
        }
        by_service
    }

    /// Ends runs whose item is listed or whose job was ended.
    fn drop_stale_runs(&mut self) {
        let jobs = &self.jobs;
        let replica = &self.replica;
        self.runs.retain(|_, run| {
            let Some(name) = jobs.name(run.key.job) else {
                return false;
            };
            replica.read(|state| {
                let job = state.job(name);
                job.is_some_and(|job| {
                    let item = job.items().get(run.key.item as usize);
                    !job.is_ended() && item.is_some_and(|item| !item.is_listed())
                })
            })
        });
    }

    fn schedule(&mut self, service: &str, waiting: &[Waiting], now: Millis) {
        let due: HashMap<_, _> = waiting.iter().map(|one| (one.key, one.due_at)).collect();
        let running = self.runs.values().map(|run| Running {
            key: run.key,
            target: run.target,
            due_at: due.get(&run.key).copied().unwrap_or(now + DUE),
        });
        let running: Vec<_> = running.collect();
        let is_running = |key| running.iter().any(|run| run.key == key);
        let waiting: Vec<_> = waiting
            .iter()
            .copied()
            .filter(|one| !is_running(one.key))
            .collect();
        let online = self.hub.online();
        let known = are_loads_known(self.hub.leading_for(now));
        let records: HashMap<TargetKey, TargetRecord> = {
            let targets = self.cx.targets();
            let of_service = targets.records().filter(|one| one.service == service);
            of_service.map(|one| (one.key(), one.clone())).collect()
        };
        let capacities: Vec<_> = records
            .values()
            .map(|record| {
                let key = record.key();
                let avoided = self.avoided.get(&key).is_some_and(|until| now < *until);
                Capacity {
                    target: key,
                    slots: record.slots,
                    online: online.get(&key).copied().unwrap_or(0),
                    accepts: known && !record.draining && !avoided,
                }
            })
            .collect();
        let plan = plan(&waiting, &running, &capacities, now);
        for key in plan.pause {
            let job = self.jobs.name(key.job);
            log::info!(job, item = key.item; "batch item makes way");
            self.runs.retain(|_, run| run.key != key);
            metrics::counter!("yuccaseam_batch_runs_total", "outcome" => "paused").increment(1);
        }
        for (key, target) in plan.start {
            if let Some(record) = records.get(&target) {
                self.start(key, record);
            }
        }
    }

    fn start(&mut self, key: ItemKey, target: &TargetRecord) {
        let Some(name) = self.jobs.name(key.job) else {
            return;
        };
        let progress = self.progress.entry(key).or_insert_with(|| {
            self.replica.read(|state| {
                let item = state
                    .job(name)
                    .and_then(|job| job.items().get(key.item as usize));
                item.map(Progress::from).unwrap_or_default()
            })
        });
        let last_id = progress.last_id.clone();
        let req = self.replica.read(|state| {
            let job = state.job(name)?;
            let item = job.items().get(key.item as usize)?;
            request(&job.host, item, target, last_id.as_deref())
        });
        let Some(req) = req else {
            return;
        };
        self.next_run += 1;
        let number = self.next_run;
        let task = tokio::spawn(stream::stream(
            Arc::clone(&self.cx),
            target.clone(),
            req,
            number,
            self.reports.clone(),
        ));
        log::info!(
            job:% = name, item = key.item, target_name:% = target.name, after = last_id.as_deref();
            "batch item started");
        let run = Run {
            key,
            target: target.key(),
            task: task.abort_handle(),
        };
        self.runs.insert(number, run);
    }

    /// Proposes the output that has arrived, so that another leader goes on from there.
    fn keep(&mut self) {
        let mut advances = Vec::new();
        let mut keys = Vec::new();
        for (key, progress) in &mut self.progress {
            if progress.lines.is_empty() || progress.retry_at == Millis::MAX {
                continue;
            }
            if let Some(job) = self.jobs.name(key.job) {
                advances.push(Advance {
                    job: job.to_owned(),
                    item: key.item,
                    output: progress.take_output(),
                });
                keys.push(*key);
            }
        }
        if !advances.is_empty() {
            self.propose(Command::Advance(advances), keys);
        }
    }

    /// Takes a report in. True if a slot became free.
    fn take_in(&mut self, report: Report) -> bool {
        match report {
            Report::Events {
                run,
                lines,
                last_id,
            } => {
                // A run that was paused meanwhile reports into the void: its events come again.
                if let Some(run) = self.runs.get(&run) {
                    let progress = self.progress.entry(run.key).or_default();
                    progress.lines.extend(lines);
                    progress.last_id = last_id.or(progress.last_id.take());
                }
                false
            }
            Report::Lost(keys) => {
                for key in keys {
                    self.progress.remove(&key);
                    self.runs.retain(|_, run| run.key != key);
                }
                true
            }
            Report::Ended { run, end } => {
                if let Some(run) = self.runs.remove(&run) {
                    self.ended(&run, &end);
                }
                true
            }
        }
    }

    fn ended(&mut self, run: &Run, end: &End) {
        let now = self.cx.clock.now();
        let Some(job) = self.jobs.name(run.key.job).map(str::to_owned) else {
            return;
        };
        let item = run.key.item;
        let progress = self.progress.entry(run.key).or_default();
        let outcome = match end {
            End::Whole => "done",
            End::Impossible => "impossible",
            End::FailedByTarget => "failed",
            End::Rejected => "rejected",
            End::Broken(failure) => failure.code(),
        };
        metrics::counter!("yuccaseam_batch_runs_total", "outcome" => outcome).increment(1);
        log::info!(job:%, item, outcome, failures = progress.failures; "batch run ended");
        match end {
            End::Whole => {
                progress.retry_at = Millis::MAX;
                let output = progress.take_output();
                self.propose(finished(job, item, Some(output)), vec![run.key]);
            }
            End::Impossible => {
                progress.retry_at = Millis::MAX;
                self.propose(finished(job, item, None), vec![run.key]);
            }
            End::FailedByTarget => {
                self.note_failed(job, run.key);
            }
            End::Rejected | End::Broken(_) => {
                progress.retry_at = now + RETRY;
                self.avoided.insert(run.target, now + AVOIDED);
            }
        }
    }

    /// Counts a failed run, and gives the item up after the last one that is allowed. The count here
    /// goes before that in the state, which a slow disk delays.
    fn note_failed(&mut self, job: String, key: ItemKey) {
        let max_attempts = self
            .replica
            .read(|state| state.job(&job).map(|job| job.max_attempts));
        let progress = self.progress.entry(key).or_default();
        progress.failures += 1;
        let item = key.item;
        if max_attempts.is_some_and(|most| progress.failures >= most) {
            progress.retry_at = Millis::MAX;
            return self.propose(finished(job, item, None), vec![key]);
        }
        progress.retry_at = self.cx.clock.now() + RETRY;
        self.propose(Command::FailedRun { job, item }, Vec::new());
    }

    /// Proposes a command. Items whose output did not take effect go on from what the state has.
    fn propose(&self, command: Command, keys: Vec<ItemKey>) {
        let replica = Arc::clone(&self.replica);
        let reports = self.reports.clone();
        tokio::spawn(async move {
            match replica.propose(command).await {
                Ok(Outcome::Done) => {}
                Ok(outcome) => {
                    log::warn!(outcome:? = outcome, items = keys.len(); "output of items is discarded");
                    // The runner ends only with the process.
                    let _ = reports.send(Report::Lost(keys));
                }
                Err(error) => {
                    log::warn!(error:? = error, items = keys.len(); "output of items is not kept");
                    // The runner ends only with the process.
                    let _ = reports.send(Report::Lost(keys));
                }
            }
        });
    }

    /// Forgets jobs that nobody may read any more.
    fn forget(&mut self, now: Millis) {
        let lifetime = self.cx.settings.bounds.result_lifetime + KEPT_LONGER;
        let wall = self.cx.seams.unix_now();
        let replica = Arc::clone(&self.replica);
        let old: Vec<_> = replica.read(|state| {
            let over = state.jobs().filter(|job| {
                let seen_at = self.jobs.see(job, now, wall).seen_at;
                job.is_settled() && now > seen_at + lifetime
            });
            over.map(|job| job.id.clone()).collect()
        });
        if !old.is_empty() {
            self.propose(Command::Forget { jobs: old }, Vec::new());
        }
    }
}

fn finished(job: String, item: u32, output: Option<Output>) -> Command {
    Command::Finish(FinishedItem { job, item, output })
}
