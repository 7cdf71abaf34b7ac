//! Runs batch items at targets while this instance leads.
//!
//! # Invariants
//!
//! - Items run only while this instance holds the lease, and only where the manifest sends them.
//! - A result is proposed only if the stream of its item was complete.
//! - A run that resumes after event n sends n as its last event id.

mod demand;
mod ends;
mod job_views;
mod persistence;
mod progress;
mod quarantine;
mod stream;

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    sync::Arc,
};

use tokio::{
    sync::mpsc,
    task::AbortHandle, //
};
use yuccaseam_base::Millis;

use crate::{
    cx::Cx,
    events::parse_event_id,
    link::pause,
    quarantine::Feature,
    refusals::{
        RETRY_BACKOFF,
        Refusals, //
    },
    routes::choose_destination,
    schedule::{
        ItemKey,
        ItemTimes,
        RunningItem,
        TargetCapacity,
        WaitingItem,
        are_loads_known,
        plan, //
    },
    state::Command,
    targets::{
        TargetKey,
        TargetRecord, //
    },
    waves::CallerWaves,
};

use super::{
    Hub,
    Replica, //
};

use ends::finished;
use job_views::{
    DEFAULT_COMPLETION_OBJECTIVE,
    JobViews, //
};
use progress::Progress;
use quarantine::{
    HeldItem,
    refused_features, //
};
use stream::{
    Arrived,
    Report,
    RunsFor,
    build_request, //
};

/// How often items are scheduled if no slot becomes free in between.
const SCHEDULE_INTERVAL: Millis = Millis(30);
/// How much longer than its lifetime an item is kept that no target takes: the clocks of the instances that
/// its age is counted by may differ.
const LIFETIME_MARGIN: Millis = Millis::from_secs(10);
/// How long a target gets no items after it rejected one or a run there was interrupted.
const TARGET_COOLDOWN: Millis = Millis(1_000);
/// How long results are retained beyond the promised lifetime.
const EXTRA_RETENTION: Millis = Millis::from_secs(30);
/// How often partial output of items is persisted in the log.
const PERSIST_INTERVAL: Millis = Millis(500);
/// How often jobs are checked for removal.
const REMOVE_INTERVAL: Millis = Millis::from_secs(5);

/// A running item. Aborted on drop.
struct Run {
    key: ItemKey,
    target: TargetKey,
    address: SocketAddr,
    started_at: Millis,
    /// What it may have in common with requests that crash targets.
    features: Vec<Feature>,
    /// The quarantined feature of which it is a trial.
    trial: Option<Feature>,
    task: AbortHandle,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Items without a listed result that may run now.
#[derive(Default)]
struct Waiting {
    by_service: BTreeMap<String, Vec<WaitingItem>>,
    held: Vec<HeldItem>,
}

/// Schedules batch items and collects their output.
struct Runner {
    cx: Arc<Cx>,
    replica: Arc<Replica>,
    hub: Arc<Hub>,
    reports: mpsc::UnboundedSender<Report>,
    jobs: JobViews,
    progress: HashMap<ItemKey, Progress>,
    times: ItemTimes,
    runs: HashMap<u64, Run>,
    next_run: u64,
    cooldowns: HashMap<TargetKey, Millis>,
    /// Demand of callers on each service with targets.
    waves: HashMap<String, CallerWaves>,
    sample_at: Millis,
    remove_at: Millis,
    persist_at: Millis,
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
        times: ItemTimes::default(),
        runs: HashMap::new(),
        next_run: 0,
        cooldowns: HashMap::new(),
        waves: HashMap::new(),
        sample_at: Millis::ZERO,
        remove_at: Millis::ZERO,
        persist_at: Millis::ZERO,
    };
    let mut next_at = Millis::ZERO;
    loop {
        let now = runner.cx.clock.now();
        if now >= next_at {
            next_at = now + SCHEDULE_INTERVAL;
            runner.schedule_all(now);
        }
        tokio::select! {
            report = rx.recv() => {
                let mut next = report;
                while let Some(report) = next {
                    next_at = if runner.handle_report(report) { Millis::ZERO } else { next_at };
                    next = rx.try_recv().ok();
                }
            }
            () = pause(next_at - now) => {}
        }
    }
}

impl Runner {
    fn schedule_all(&mut self, now: Millis) {
        if !self.replica.holds_lease() {
            self.runs.clear();
            self.progress.clear();
            self.jobs.clear();
            self.waves.clear();
            return;
        }
        self.sample_waves(now);
        let replica = Arc::clone(&self.replica);
        let waiting = replica.read(|state| self.waiting(state, now));
        self.abort_stale_runs();
        let has_work = !self.runs.is_empty()
            || !waiting.held.is_empty()
            || waiting.by_service.values().any(|items| !items.is_empty());
        if has_work {
            let online = self.hub.online(now);
            for (service, items) in waiting.by_service {
                self.schedule(&service, &items, &online, now);
            }
            self.try_held_items(waiting.held, &online, now);
        }
        let mut batch = BTreeMap::new();
        for run in self.runs.values() {
            *batch.entry(run.target).or_default() += 1;
        }
        self.hub.set_batch_loads(batch);
        if now >= self.persist_at {
            self.persist_at = now + PERSIST_INTERVAL;
            self.persist_output();
        }
        if now >= self.remove_at {
            self.remove_at = now + REMOVE_INTERVAL;
            self.remove_expired_jobs(now);
            // Leaders that have not measured all links, and those after this one, use the recorded rate.
            if let Some(rate) = self.replica.new_link_rate() {
                self.propose(Command::NoteLinkRate(rate), Vec::new());
            }
        }
    }

    /// Items without a listed result that may run now. Items without a route, and those whose lifetime is
    /// over and that all targets refuse or that have a quarantined feature, are finished as errored.
    fn waiting(&mut self, state: &crate::state::State, now: Millis) -> Waiting {
        let mut waiting = Waiting::default();
        let Some(table) = self.cx.table() else {
            return waiting;
        };
        let mut abandoned = Vec::new();
        for job in state.jobs().filter(|job| !job.is_settled()) {
            let unix_now = self.cx.test_hooks.unix_now();
            let team = state.team_of(&job.id);
            let view = self.jobs.get_or_insert(job, team, now, unix_now);
            for (index, item) in job.waiting() {
                let key = ItemKey {
                    job: view.number,
                    item: index,
                };
                let Some(route) = table.find(&job.host, &item.path) else {
                    abandoned.push((key, job.id.clone()));
                    continue;
                };
                // Deterministic, so that an item that resumes stays with the same service.
                let hash = key.job.wrapping_mul(31).wrapping_add(u64::from(index)) * 7_919;
                let Some(service) = choose_destination(route, hash) else {
                    continue;
                };
                let progress = self.progress.get(&key);
                let backs_off = progress.is_some_and(|progress| now < progress.retry_at);
                let is_refused = progress.is_some_and(|item| item.refusals.is_refused_by_all());
                let lifetime = route.item_lifetime.map(|time| time + LIFETIME_MARGIN);
                if is_refused && lifetime.is_some_and(|lifetime| view.age(now) > lifetime) {
                    abandoned.push((key, job.id.clone()));
                    continue;
                }
                let refused = refused_features(&self.cx, item, now);
                if let Some(feature) = refused.first() {
                    if route.item_lifetime.is_some_and(|most| view.age(now) > most) {
                        abandoned.push((key, job.id.clone()));
                    } else if refused.len() == 1 && !backs_off {
                        waiting.held.push(HeldItem {
                            key,
                            service: service.to_owned(),
                            feature: *feature,
                            due_at: view.due_at(route.completion_objective),
                        });
                    }
                    continue;
                }
                let entry = waiting.by_service.entry(service.to_owned()).or_default();
                if !backs_off {
                    entry.push(WaitingItem {
                        key,
                        due_at: view.due_at(route.completion_objective),
                        started: item.last_id.is_some()
                            || progress.is_some_and(|progress| progress.last_id.is_some()),
                        remaining: self.times.remaining(
                            progress.map_or(Millis::ZERO, |progress| progress.ran),
                            item.last_id.is_some(),
                        ),
                        is_refused,
                        team: view.team,
                    });
                }
            }
        }
        for (key, job) in abandoned {
            let progress = self.progress.entry(key).or_default();
            if progress.retry_at != Millis::MAX {
                progress.retry_at = Millis::MAX;
                self.propose(finished(job, key.item, None), vec![key]);
            }
        }
        waiting
    }

    /// Aborts runs whose item has a listed result or whose job has ended.
    fn abort_stale_runs(&mut self) {
        let jobs = &self.jobs;
        let replica = &self.replica;
        self.runs.retain(|_, run| {
            let Some(job_id) = jobs.job_id(run.key.job) else {
                return false;
            };
            replica.read(|state| {
                let job = state.job(job_id);
                job.is_some_and(|job| {
                    let item = job.items().get(run.key.item as usize);
                    !job.is_ended() && item.is_some_and(|item| !item.is_listed())
                })
            })
        });
    }

    fn schedule(
        &mut self,
        service: &str,
        waiting: &[WaitingItem],
        online: &BTreeMap<TargetKey, u32>,
        now: Millis,
    ) {
        let items: HashMap<_, _> = waiting.iter().map(|item| (item.key, item)).collect();
        let running = self.runs.values().map(|run| {
            let item = items.get(&run.key);
            RunningItem {
                key: run.key,
                target: run.target,
                due_at: item.map_or(now + DEFAULT_COMPLETION_OBJECTIVE, |item| item.due_at),
                remaining: item
                    .map_or(Millis::ZERO, |item| item.remaining - (now - run.started_at)),
                team: item.and_then(|item| item.team),
            }
        });
        let running: Vec<_> = running.collect();
        let running_keys: HashSet<_> = running.iter().map(|run| run.key).collect();
        let waiting: Vec<_> = waiting
            .iter()
            .copied()
            .filter(|item| !running_keys.contains(&item.key))
            .collect();
        let loads_known = are_loads_known(self.hub.leader_for(now));
        let capacities: Vec<_> = {
            let targets = self.cx.targets();
            let of_service = targets.records().filter(|record| record.service == service);
            let capacities = of_service.map(|record| {
                let key = record.key();
                let in_cooldown = self.cooldowns.get(&key).is_some_and(|until| now < *until);
                TargetCapacity {
                    target: key,
                    slots: record.slots,
                    online: online.get(&key).copied().unwrap_or(0),
                    accepts: loads_known && record.takes_work() && !in_cooldown,
                }
            });
            capacities.collect()
        };
        let refuses = |key, target| {
            let progress = self.progress.get(&key);
            progress.is_some_and(|progress| progress.refusals.is_refused_by(target))
        };
        let slots = capacities.iter().map(|capacity| capacity.slots).sum();
        let waves = self.waves.get(service);
        let outlook = waves.and_then(|waves| waves.outlook(slots, now));
        let plan = plan(&waiting, &running, &capacities, outlook, refuses, now);
        for key in plan.pause {
            let job = self.jobs.job_id(key.job);
            log::info!(job, item = key.item; "batch item preempted");
            self.preempt(key, now);
            metrics::counter!("yuccaseam_batch_runs_total", "outcome" => "paused").increment(1);
        }
        for (key, target) in plan.start {
            let record = self.cx.targets().record(target).cloned();
            if let Some(record) = record {
                self.start(key, &record, None);
            }
        }
    }

    /// Ends the run of an item, which resumes later.
    fn preempt(&mut self, key: ItemKey, now: Millis) {
        for (_, run) in self.runs.extract_if(|_, run| run.key == key) {
            let progress = self.progress.entry(key).or_default();
            progress.ran += now - run.started_at;
        }
    }

    /// Starts an item, as a trial of a quarantined feature if one is given.
    fn start(&mut self, key: ItemKey, target: &TargetRecord, trial: Option<Feature>) {
        let Some(job_id) = self.jobs.job_id(key.job) else {
            return;
        };
        let progress = self.progress.entry(key).or_insert_with(|| {
            self.replica.read(|state| {
                let item = state
                    .job(job_id)
                    .and_then(|job| job.items().get(key.item as usize));
                item.map(Progress::from).unwrap_or_default()
            })
        });
        let last_id = progress.last_id.clone();
        let arrived = Arrived {
            last_id: last_id.as_deref().and_then(parse_event_id),
            bytes: progress.bytes,
        };
        let has_teams = self.cx.table().is_some_and(|table| table.teams().is_some());
        let prepared = self.replica.read(|state| {
            let runs_for = match state.team_of(job_id) {
                Some(team) => RunsFor::Team(team),
                None if has_teams => RunsFor::Nobody,
                None => RunsFor::Anyone,
            };
            let job = state.job(job_id)?;
            let item = job.items().get(key.item as usize)?;
            let req = build_request(&job.host, item, runs_for, target, last_id.as_deref())?;
            Some((req, Feature::of_item(&item.headers)))
        });
        let Some((req, features)) = prepared else {
            // No target can be sent such a request.
            log::warn!(job:% = job_id, item = key.item; "batch item is not valid in HTTP");
            progress.retry_at = self.cx.clock.now() + progress.refusals.record_by_all();
            return;
        };
        let is_admitted = match trial {
            Some(feature) => self.hub.grant_item_trial(feature),
            None => self.take_admission(&features),
        };
        if !is_admitted {
            let progress = self.progress.entry(key).or_default();
            progress.retry_at = self.cx.clock.now() + RETRY_BACKOFF;
            return;
        }
        self.next_run += 1;
        let run_id = self.next_run;
        let task = tokio::spawn(stream::stream(
            Arc::clone(&self.cx),
            target.clone(),
            req,
            arrived,
            run_id,
            self.reports.clone(),
        ));
        log::info!(
            job:% = job_id, item = key.item, target_name:% = target.name,
            after = last_id.as_deref();
            "batch item started");
        let run = Run {
            key,
            target: target.key(),
            address: target.address,
            started_at: self.cx.clock.now(),
            features,
            trial,
            task: task.abort_handle(),
        };
        self.runs.insert(run_id, run);
    }

    /// Handles a report. True if a slot may have become free.
    fn handle_report(&mut self, report: Report) -> bool {
        match report {
            Report::Events {
                run,
                lines,
                last_id,
            } => {
                // Events of a run that was preempted meanwhile are dropped: the item's next run
                // repeats them.
                if let Some(run) = self.runs.get(&run) {
                    let progress = self.progress.entry(run.key).or_default();
                    progress.bytes += lines.iter().map(String::len).sum::<usize>();
                    progress.lines.extend(lines);
                    progress.refusals = Refusals::default();
                    progress.last_id = Some(last_id.to_string());
                }
                false
            }
            Report::NotPersisted(keys) => {
                for key in keys {
                    self.progress.remove(&key);
                    self.runs.retain(|_, run| run.key != key);
                }
                true
            }
            Report::Ended { run, end } => {
                if let Some(run) = self.runs.remove(&run) {
                    self.on_run_ended(&run, &end);
                }
                true
            }
            Report::TargetDrains(target) => {
                self.hub.mark_draining(target);
                false
            }
        }
    }

    /// Removes settled jobs whose results have expired.
    fn remove_expired_jobs(&mut self, now: Millis) {
        let lifetime = self.cx.settings.bounds.result_lifetime + EXTRA_RETENTION;
        let unix_now = self.cx.test_hooks.unix_now();
        let replica = Arc::clone(&self.replica);
        let removable: Vec<_> = replica.read(|state| {
            let expired = state.jobs().filter(|job| {
                let team = state.team_of(&job.id);
                let view = self.jobs.get_or_insert(job, team, now, unix_now);
                let first_seen_at = view.first_seen_at;
                job.is_settled() && now > first_seen_at + lifetime
            });
            expired.map(|job| job.id.clone()).collect()
        });
        if !removable.is_empty() {
            self.propose(Command::Forget { jobs: removable }, Vec::new());
        }
    }
}
