//! State shared by all components of a process.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
};

use rand::seq::{
    IndexedRandom as _,
    IteratorRandom as _, //
};
use tokio::sync::{
    Notify,
    mpsc, //
};
use yuccaseam_base::{
    Clock,
    Millis, //
};
use yuccaseam_platform::{
    Manifest,
    NodeSettings,
    headers::ReportedLoad, //
};

use crate::{
    admission::{
        QueueCredits,
        RetryDetector,
        ServiceTimes, //
    },
    balance::{
        Balancer,
        Location, //
    },
    call_tries::{
        CallTries,
        TryResult, //
    },
    capacity::JoinBudget,
    entry::EntryShares,
    intake::Intake,
    link::{
        AddressBook,
        CallError,
        FollowerMessage,
        HubReply,
        HubRequest,
        Links,
        StoreEntry,
        pause, //
    },
    neighbours::Neighbours,
    pace::PaceCost,
    quarantine::FeatureGuard,
    quota::{
        Ledger,
        Purse, //
    },
    relay::Relay,
    routes::RouteTable,
    state::StoredManifest,
    targets::{
        TargetKey,
        TargetRecord,
        Targets, //
    },
    test_hooks::TestHooks,
    upstream::Upstream,
};

/// Time-out of a single call to an instance that may be the leader.
const CALL_TIMEOUT: Millis = Millis(2_100);
/// Pause before the next attempt to call the leader.
const CALL_BACKOFF: Millis = Millis(60);

/// Times of a complete answer to a request that found a free slot.
pub(crate) struct Answer {
    pub(crate) target: TargetKey,
    /// Pace of the target, in percent of the usual time, if it reports one.
    pub(crate) pace: Option<u32>,
    /// Time from sending the request until the response began.
    pub(crate) response: Millis,
    /// Time for which the request occupied its slot.
    pub(crate) occupancy: Millis,
}

/// State shared by all components of a process.
pub(crate) struct Cx {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) test_hooks: TestHooks,
    pub(crate) links: Links,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) intake: Intake,
    pub(crate) neighbours: Neighbours,
    pub(crate) relay: Relay,
    pub(crate) shares: EntryShares,
    /// Wakes requests that wait for the manifest.
    pub(crate) manifest_changed: Notify,
    /// Wakes one request that waits for a slot, when a request of this instance has ended.
    pub(crate) slot_released: Notify,
    /// Wakes the task that asks the leader for tokens of quotas.
    pub(crate) quota_wanted: Notify,
    /// Set when the connection to the leader is lost.
    pub(crate) leader_lost: Notify,
    /// Wakes requests that wait for a token of a quota.
    pub(crate) quota_answered: Notify,
    /// Set when a planned stop begins.
    pub(crate) stopping: AtomicBool,
    /// Set when a planned stop has closed idle connections. What is read from then on could only be cut off.
    pub(crate) closing: AtomicBool,
    seeds: Mutex<Vec<IpAddr>>,
    address_book: Mutex<AddressBook>,
    manifest: Mutex<Option<StoredManifest>>,
    table: Mutex<Option<Arc<RouteTable>>>,
    targets: Mutex<Targets>,
    balancer: Mutex<Balancer>,
    retry_detector: Mutex<RetryDetector>,
    service_times: Mutex<HashMap<String, ServiceTimes>>,
    queue_credits: Mutex<HashMap<String, QueueCredits>>,
    feature_guard: Mutex<FeatureGuard>,
    quota_purse: Mutex<Purse>,
    deputy_ledger: Mutex<Ledger>,
    leader: Mutex<Option<IpAddr>>,
    leader_sender: Mutex<Option<mpsc::Sender<FollowerMessage>>>,
    started_at: Millis,
    heartbeat: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}

fn decode_manifest(stored: &StoredManifest) -> anyhow::Result<RouteTable> {
    let manifest = Manifest::decode(&stored.unpack()?)?;
    Ok(RouteTable::new(manifest)?)
}

fn seed_ips(settings: &NodeSettings) -> Vec<IpAddr> {
    settings.seeds.iter().map(|seed| seed.ip()).collect()
}

impl Cx {
    pub(crate) fn new(settings: NodeSettings) -> Self {
        let clock = Clock::start();
        let test_hooks = TestHooks::from_env();
        let started_at = test_hooks.unix_now();
        let location = Location {
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            regions: settings.regions.clone(),
        };
        Self {
            links: Links::new(test_hooks.relay_port.unwrap_or(settings.first_port)),
            upstream: Arc::new(Upstream::new(clock)),
            intake: Intake::new(clock, settings.limits),
            relay: Relay::default(),
            shares: EntryShares::default(),
            neighbours: Neighbours::new(settings.first_port, started_at),
            manifest_changed: Notify::new(),
            slot_released: Notify::new(),
            quota_wanted: Notify::new(),
            quota_answered: Notify::new(),
            leader_lost: Notify::new(),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            seeds: Mutex::new(seed_ips(&settings)),
            address_book: Mutex::default(),
            manifest: Mutex::default(),
            table: Mutex::default(),
            targets: Mutex::default(),
            balancer: Mutex::new(Balancer::new(location)),
            retry_detector: Mutex::default(),
            service_times: Mutex::default(),
            queue_credits: Mutex::default(),
            feature_guard: Mutex::default(),
            quota_purse: Mutex::new(Purse::new(rand::random())),
            deputy_ledger: Mutex::new(Ledger::deputy()),
            leader: Mutex::default(),
            leader_sender: Mutex::default(),
            started_at,
            heartbeat: AtomicU64::new(0),
            clock,
            test_hooks,
            settings,
        }
    }

    /// Time in which a store with an empty disk must vote.
    pub(crate) fn join_budget(&self) -> JoinBudget {
        JoinBudget::new(self.settings.bounds.loss_recovery)
    }

    /// Seed addresses from the latest settings.
    pub(crate) fn seeds(&self) -> Vec<IpAddr> {
        lock(&self.seeds).clone()
    }

    /// Applies reloaded settings. Only the seeds can change while the process runs.
    pub(crate) fn reload(&self, settings: &NodeSettings) {
        let seeds = seed_ips(settings);
        log::info!(seeds:? = seeds; "settings reloaded");
        *lock(&self.seeds) = seeds;
    }

    pub(crate) fn address_book(&self) -> MutexGuard<'_, AddressBook> {
        lock(&self.address_book)
    }

    pub(crate) fn targets(&self) -> MutexGuard<'_, Targets> {
        lock(&self.targets)
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// Detector of retries among requests that arrive before a manifest is known.
    pub(crate) fn retry_detector(&self) -> MutexGuard<'_, RetryDetector> {
        lock(&self.retry_detector)
    }

    /// Features that are quarantined or suspected.
    pub(crate) fn feature_guard(&self) -> MutexGuard<'_, FeatureGuard> {
        lock(&self.feature_guard)
    }

    /// Tokens of teams' quotas that this instance holds.
    pub(crate) fn quota_purse(&self) -> MutexGuard<'_, Purse> {
        lock(&self.quota_purse)
    }

    /// Shares of absent entries whose deputy this instance is.
    pub(crate) fn deputy_ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.deputy_ledger)
    }

    /// Whether the manifest in force has quotas.
    pub(crate) fn has_quotas(&self) -> bool {
        lock(&self.table)
            .as_ref()
            .is_some_and(|table| table.quotas().next().is_some())
    }

    /// How long a service takes. `objective` is that of the route, from which the times are assumed
    /// while no request has been recorded.
    pub(crate) fn service_times(&self, service: &str, objective: Millis) -> ServiceTimes {
        let known = lock(&self.service_times).get(service).copied();
        known.unwrap_or_else(|| ServiceTimes::assumed(objective))
    }

    /// Whether a request of this instance may queue at a full target of a service.
    pub(crate) fn has_queue_credit(&self, service: &str) -> bool {
        let credits = lock(&self.queue_credits);
        credits.get(service).is_some_and(QueueCredits::is_available)
    }

    /// Records that a request to a service was sent.
    pub(crate) fn spend_queue_credit(&self, service: &str) {
        if let Some(credits) = lock(&self.queue_credits).get_mut(service) {
            credits.spend();
        }
    }

    /// Records that a request to a service has ended.
    pub(crate) fn add_queue_credit(&self, service: &str) {
        let mut credits = lock(&self.queue_credits);
        credits.entry(service.to_owned()).or_default().add();
    }

    /// Records a request that found a free slot.
    pub(crate) fn record_service_times(&self, service: &str, objective: Millis, answer: &Answer) {
        let mut times = lock(&self.service_times);
        let times = times.entry(service.to_owned());
        let times = times.or_insert_with(|| ServiceTimes::assumed(objective));
        times.record(answer.response, answer.occupancy);
        if let Some(pace) = answer.pace {
            times.record_pace(pace, answer.response, answer.occupancy);
        }
        let measured = times.by_pace().measured_pace(answer.occupancy);
        if times.by_pace().is_known() {
            self.balancer()
                .record_measured_pace(answer.target, measured);
        }
    }

    /// Records the load that a target reported with an answer, and tells the neighbours if its pace is
    /// not the one that they know. Returns the pace that is expected from now on, in percent of the usual
    /// time, if the target reports one.
    pub(crate) fn record_reported_load(
        &self,
        key: TargetKey,
        load: ReportedLoad,
        cost: &PaceCost,
    ) -> Option<u32> {
        let percent = load.pace_percent?;
        let now = self.clock.now();
        let mut balancer = self.balancer();
        let is_news = balancer.record_pace(key, percent, now);
        let expected = balancer.expected_pace(key, cost, now);
        drop(balancer);
        if is_news {
            metrics::counter!("yuccaseam_pace_reports_sent_total").increment(1);
            self.neighbours.publish_pace(key, percent);
        }
        expected
    }

    /// Route table of the manifest in force, if any.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.table).clone()
    }

    /// Manifest in force, if any.
    pub(crate) fn manifest(&self) -> Option<StoredManifest> {
        lock(&self.manifest).clone()
    }

    /// Applies a manifest unless the same or a newer version is in force.
    pub(crate) fn apply_manifest(&self, stored: &StoredManifest) {
        let mut table = lock(&self.table);
        let current = table.as_ref().map(|table| table.version());
        if current.is_some_and(|version| version >= stored.version) {
            return;
        }
        match decode_manifest(stored) {
            Ok(new) => {
                log::info!(version = stored.version, before = current; "manifest in force");
                *table = Some(Arc::new(new));
                *lock(&self.manifest) = Some(stored.clone());
                drop(table);
                self.manifest_changed.notify_waiters();
            }
            // Unexpected: a manifest is validated before it is stored.
            Err(error) => {
                log::error!(version = stored.version, error:% = error; "cannot apply the manifest");
            }
        }
    }

    /// Merges target records into the target table and the balancer. Returns those that changed.
    pub(crate) fn merge_targets(&self, records: Vec<TargetRecord>) -> Vec<TargetRecord> {
        let now = self.clock.now();
        let mut targets = self.targets();
        let mut balancer = self.balancer();
        let changed = targets.merge_all(records, now);
        for record in &changed {
            balancer.set_target(record);
            log::info!(
                target_name:% = record.name, service:% = record.service, number = record.number,
                draining = record.draining, left = record.left; "target changed");
        }
        drop(balancer);
        changed
    }

    /// Marks a start of a target as draining, because a response of it said so. Returns its record
    /// unless that was known.
    pub(crate) fn mark_draining(&self, key: TargetKey) -> Option<TargetRecord> {
        let mut targets = self.targets();
        let record = targets.mark_draining(key)?;
        self.balancer().set_target(&record);
        drop(targets);
        metrics::counter!("yuccaseam_draining_responses_total").increment(1);
        log::info!(
            target_name:% = record.name, service:% = record.service, address:% = record.address;
            "target drains, as its response says");
        Some(record)
    }

    /// Marks a start of a target as draining here, and tells the leader. If there is no connection, the
    /// next leader is told once it sends its targets.
    pub(crate) fn report_draining(&self, key: TargetKey) {
        if self.mark_draining(key).is_some() {
            self.send_to_leader(FollowerMessage::Drains(key));
        }
    }

    /// Tells the leader which of its targets drain without its knowledge.
    pub(crate) fn correct_leader(&self, records: &[TargetRecord]) {
        let targets = self.targets();
        let draining = records
            .iter()
            .filter(|record| targets.is_drain_unknown_to(record));
        for record in draining {
            self.send_to_leader(FollowerMessage::Drains(record.key()));
        }
    }

    /// Merges the stores known to a peer and returns all known stores, including this instance if
    /// it is one.
    pub(crate) fn merge_stores(&self, entries: Vec<StoreEntry>) -> Vec<StoreEntry> {
        let now = self.clock.now();
        let mut book = self.address_book();
        if self.settings.is_store {
            let own = StoreEntry {
                name: self.settings.instance.clone(),
                ip: self.settings.ip,
                domain: self.settings.domain.clone(),
                started_at: self.started_at.0,
                beat: self.heartbeat.fetch_add(1, Ordering::Relaxed),
            };
            book.merge(vec![own], now);
        }
        book.merge(entries, now);
        book.entries()
    }

    pub(crate) fn leader(&self) -> Option<IpAddr> {
        *lock(&self.leader)
    }

    pub(crate) fn set_leader(&self, leader: Option<IpAddr>) {
        *lock(&self.leader) = leader;
    }

    /// Sets the channel of messages to the leader; `None` while there is no connection.
    pub(crate) fn set_leader_sender(&self, leader_sender: Option<mpsc::Sender<FollowerMessage>>) {
        *lock(&self.leader_sender) = leader_sender;
    }

    /// Queues a message to the leader. Returns false without a connection or with a full queue.
    pub(crate) fn send_to_leader(&self, message: FollowerMessage) -> bool {
        let leader_sender = lock(&self.leader_sender);
        leader_sender
            .as_ref()
            .is_some_and(|leader_sender| leader_sender.try_send(message).is_ok())
    }

    /// Last known leader, or else a random live store, which may name it.
    fn leader_or_random_store(&self) -> Option<IpAddr> {
        self.leader().or_else(|| self.random_store())
    }

    fn random_store(&self) -> Option<IpAddr> {
        let book = self.address_book();
        let stores = book.alive(self.clock.now()).map(|entry| entry.ip);
        stores.choose(&mut rand::rng())
    }

    /// Whether the leader replies to a direct call: queries a random store, then the leader that it
    /// names.
    pub(crate) async fn can_reach_leader(&self, timeout: Millis) -> bool {
        let mut next = self.random_store();
        for _ in 0..2 {
            let Some(ip) = next else {
                return false;
            };
            match self.links.call(ip, &HubRequest::Leads, timeout).await {
                Ok(HubReply::Done) => return true,
                Ok(HubReply::NotLeader(leader)) => next = leader,
                Ok(_) | Err(_) => return false,
            }
        }
        false
    }

    /// Random other entry or seed, which may have a connection to the leader that this one lacks.
    pub(crate) fn random_other_entry(&self) -> Option<IpAddr> {
        let mut entries = self.neighbours.peers();
        entries.extend(self.seeds());
        entries.retain(|ip| *ip != self.settings.ip);
        entries.choose(&mut rand::rng()).copied()
    }

    /// Calls the leader directly for half of the time, then through other entries.
    ///
    /// Returns `None` if the call certainly reached no leader.
    pub(crate) async fn call_leader(
        &self,
        request: &HubRequest,
        deadline: Millis,
    ) -> Option<HubReply> {
        let now = self.clock.now();
        let direct_deadline = now + Millis((deadline - now).0 / 2);
        let mut tries = CallTries::default();
        let reply = self.call_stores(request, direct_deadline, &mut tries).await;
        if reply.is_some() {
            return reply;
        }
        let forwarded = HubRequest::PassOn(Box::new(request.clone()));
        while self.clock.now() < deadline {
            let Some(ip) = self.random_other_entry() else {
                break;
            };
            let timeout = deadline - self.clock.now();
            match self.links.call(ip, &forwarded, timeout).await {
                Ok(HubReply::NotLeader(_)) | Err(CallError::NotSent) => {
                    tries.record(TryResult::NotRun);
                }
                // The other entry may have sent it on.
                Ok(HubReply::Unknown) | Err(CallError::Broken | CallError::NoReply) => {
                    tries.record(TryResult::MayArrive);
                }
                Ok(reply) => return Some(reply.after(&tries)),
            }
            pause(CALL_BACKOFF).await;
        }
        tries.conclusion()
    }

    /// Calls the leader, following leader hints, until it replies or the deadline passes.
    ///
    /// The call may be sent more than once. Returns `None` if it certainly reached no leader.
    pub(crate) async fn call_leader_directly(
        &self,
        request: &HubRequest,
        deadline: Millis,
    ) -> Option<HubReply> {
        let mut tries = CallTries::default();
        let reply = self.call_stores(request, deadline, &mut tries).await;
        reply.or(tries.conclusion())
    }

    /// Calls the leader as [`Self::call_leader_directly`], after some tries. `None` if the deadline has passed.
    async fn call_stores(
        &self,
        request: &HubRequest,
        deadline: Millis,
        tries: &mut CallTries,
    ) -> Option<HubReply> {
        loop {
            let now = self.clock.now();
            if now >= deadline {
                return None;
            }
            let Some(ip) = self.leader_or_random_store() else {
                pause(CALL_BACKOFF).await;
                continue;
            };
            let timeout = CALL_TIMEOUT.min(deadline - now);
            match self.links.call(ip, request, timeout).await {
                Ok(HubReply::NotLeader(hint)) => {
                    self.set_leader(hint.filter(|hint| *hint != ip));
                    pause(CALL_BACKOFF).await;
                }
                Ok(HubReply::Unknown) => {
                    tries.record(TryResult::MayBeLogged);
                    pause(CALL_BACKOFF).await;
                }
                Ok(reply) => return Some(reply.after(tries)),
                Err(error) => {
                    tries.record(match error {
                        CallError::Broken => TryResult::MayBeLogged,
                        CallError::NoReply => TryResult::MayArrive,
                        CallError::NotSent => TryResult::NotRun,
                    });
                    self.set_leader(None);
                    pause(CALL_BACKOFF).await;
                }
            }
        }
    }

    /// Whether a planned stop has closed idle connections.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
