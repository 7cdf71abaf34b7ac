//! The leader's followers: collects their loads and announcements, and sends them updates.

mod quarantine;
mod quota;
mod shares;
mod target_records;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::IpAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
};

use tokio::sync::mpsc;
use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    Millis,
    TargetName, //
};

use crate::{
    balance::{
        Load,
        MAX_LOADS_AGE, //
    },
    cx::Cx,
    link::{
        FollowerMessage,
        LeaderFrame,
        LeaderMessage,
        pause, //
    },
    load_fanout::{
        CurrentLoads, //
        LoadFanout,
        LoadGroup,
    },
    neighbourhood::Neighbourhoods,
    orphans::OrphanedItems,
    quarantine::{
        FeatureList,
        QuarantineManager, //
    },
    quota::Ledger,
    state::Command,
    targets::{
        AnnouncementOutcome,
        TargetKey,
        TargetRecord, //
    },
};

use super::Replica;

use shares::HubShares;
use target_records::TargetReport;

/// How often the leader sends changed loads.
const TICK_INTERVAL: Millis = Millis(40);
/// How often the leader sends a message to a follower if no load changes.
const HEARTBEAT_INTERVAL: Millis = Millis(200);
/// Time since a target's last announcement after which it expires. Targets announce themselves
/// every 1.2 s, and announcements may be seconds late.
const TARGET_TIMEOUT: Millis = Millis(6_000);

/// Properties of a follower that is an entry.
struct EntryInfo {
    ip: IpAddr,
    domain: FailureDomain,
    /// Neighbours as last sent to the entry.
    neighbours: BTreeSet<IpAddr>,
}

/// An instance that follows this one.
struct Follower {
    tx: mpsc::Sender<LeaderFrame>,
    entry: Option<EntryInfo>,
    loads: Vec<(TargetKey, u32)>,
    /// LoadGroup whose loads the follower was sent.
    group: Option<LoadGroup>,
    sent_at: Millis,
    /// Whether it understands lists of features.
    accepts_features: bool,
    /// Whether it understands lists of flows beyond their share.
    accepts_shares: bool,
}

impl Follower {
    /// Entries that know each other's requests without the leader: this one and its neighbours. Empty if
    /// the follower is no entry.
    fn load_group(&self) -> LoadGroup {
        let entry = self.entry.as_ref();
        let ips = entry.map(|entry| entry.neighbours.iter().copied().chain([entry.ip]));
        let mut ips: LoadGroup = ips.into_iter().flatten().collect();
        ips.sort_unstable();
        ips
    }

    fn try_send(&self, message: &LeaderMessage) -> bool {
        self.tx.try_send(LeaderFrame::from(message)).is_ok()
    }
}

#[derive(Default)]
struct Inner {
    next_id: u64,
    followers: HashMap<u64, Follower>,
    /// Whether entries have connected or disconnected since neighbours were last sent.
    neighbours_changed: bool,
    /// Loads sent to the followers.
    fanout: LoadFanout,
    /// All targets as sent to new followers. `None` once one has changed.
    all_targets: Option<LeaderFrame>,
    /// Failure domain of each target.
    domains: HashMap<TargetKey, FailureDomain>,
    /// Batch items running at each target.
    batch: BTreeMap<TargetKey, u32>,
    /// Items of the leader before this one, if it vanished.
    orphans: OrphanedItems,
    /// Decisions on features.
    quarantine: QuarantineManager,
    /// Features as last sent to followers.
    sent_features: FeatureList,
    /// Quotas of teams.
    quotas: Ledger,
    /// Shares of services among teams.
    shares: HubShares,
    /// Version of the manifest last sent to followers.
    sent_version: u64,
    /// When this instance became leader and loaded the recorded targets. `None` if it does not
    /// lead.
    leader_since: Option<Millis>,
    /// Targets that have changed since the last record in the log.
    unrecorded: BTreeMap<TargetName, TargetRecord>,
    /// Reports of followers to record in the log and to confirm.
    reports: Vec<TargetReport>,
    /// When time was last counted for targets that are gone.
    aged_at: Millis,
    /// Addresses of stores as last recorded in the log.
    recorded_stores: BTreeMap<InstanceName, IpAddr>,
    record_at: Millis,
}

impl Inner {
    fn set_domain(&mut self, record: &TargetRecord) {
        if record.left {
            self.domains.remove(&record.key());
        } else {
            self.domains.insert(record.key(), record.domain.clone());
        }
    }
}

/// The followers of this instance while it leads, and what they reported.
pub(crate) struct Hub {
    cx: Arc<Cx>,
    replica: Arc<Replica>,
    inner: Mutex<Inner>,
}

impl Hub {
    pub(crate) fn new(cx: Arc<Cx>, replica: Arc<Replica>) -> Self {
        Self {
            cx,
            replica,
            inner: Mutex::default(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics with the lock")
    }

    /// Adds a follower and queues the current manifest and targets for it. `None` if this instance
    /// does not lead.
    pub(crate) fn follow(&self, tx: mpsc::Sender<LeaderFrame>) -> Option<u64> {
        // Until the hub has loaded the recorded targets, a follower would miss some.
        if self.inner().leader_since.is_none() || !self.replica.holds_lease() {
            return None;
        }
        if let Some(manifest) = self.replica.read(|state| state.manifest().cloned()) {
            let frame = LeaderFrame::from(&LeaderMessage::Manifest(manifest));
            tx.try_send(frame).ok()?;
        }
        tx.try_send(self.all_targets()).ok()?;
        let mut inner = self.inner();
        inner.next_id += 1;
        let id = inner.next_id;
        let follower = Follower {
            tx,
            entry: None,
            loads: Vec::new(),
            group: None,
            sent_at: Millis::ZERO,
            accepts_features: false,
            accepts_shares: false,
        };
        inner.followers.insert(id, follower);
        Some(id)
    }

    /// All targets, encoded once for all followers that connect until a target changes: after a loss of
    /// power, all of them connect at the same moment.
    fn all_targets(&self) -> LeaderFrame {
        let targets = self.cx.targets();
        let mut inner = self.inner();
        let frame = inner.all_targets.get_or_insert_with(|| {
            let records = targets.records().cloned().collect();
            LeaderFrame::from(&LeaderMessage::Targets(records))
        });
        frame.clone()
    }

    pub(crate) fn unfollow(&self, follower: u64) {
        let now = self.cx.clock.now();
        let mut inner = self.inner();
        let removed = inner.followers.remove(&follower);
        if let Some(entry) = removed.and_then(|removed| removed.entry) {
            inner.neighbours_changed = true;
            inner.quotas.leave(entry.ip, now);
        }
    }

    /// Sends each entry its neighbours, if these have changed. Called once per tick, since many
    /// entries connect and disconnect at once.
    fn send_neighbours(&self) {
        let mut inner = self.inner();
        if !std::mem::take(&mut inner.neighbours_changed) {
            return;
        }
        let entries = inner
            .followers
            .values()
            .filter_map(|follower| follower.entry.as_ref());
        let locations: Vec<_> = entries
            .map(|entry| (entry.ip, entry.domain.clone()))
            .collect();
        let neighbourhoods = Neighbourhoods::new(&locations, &self.cx.settings.regions);
        inner.followers.retain(|_, follower| {
            let Some(entry) = &mut follower.entry else {
                return true;
            };
            let neighbourhood = neighbourhoods.of(entry.ip, &entry.domain);
            if neighbourhood.ips == entry.neighbours {
                return true;
            }
            entry.neighbours.clone_from(&neighbourhood.ips);
            follower.try_send(&LeaderMessage::Neighbours(neighbourhood))
        });
    }

    /// Handles a message of a follower.
    pub(crate) fn on_message(&self, follower: u64, message: FollowerMessage) {
        match message {
            FollowerMessage::Announced(record) => self.announce(record),
            FollowerMessage::Draining { record, notice }
            | FollowerMessage::Started { record, notice } => {
                let name = record.name.clone();
                self.announce(record);
                self.confirm_target(follower, notice, &name);
            }
            FollowerMessage::Leaving { name, notice } => {
                let left = self.cx.targets().mark_left(&name, self.cx.clock.now());
                self.on_left(follower, notice, &name, left);
            }
            FollowerMessage::StartLeaving {
                name,
                started_at,
                notice,
            } => {
                let now = self.cx.clock.now();
                let left = self.cx.targets().mark_start_left(&name, started_at, now);
                self.on_left(follower, notice, &name, left);
            }
            FollowerMessage::Hello {
                ip,
                domain,
                is_entry,
            } => {
                if !is_entry {
                    return;
                }
                if let Some(follower) = self.inner().followers.get_mut(&follower) {
                    follower.entry = Some(EntryInfo {
                        ip,
                        domain,
                        neighbours: BTreeSet::new(),
                    });
                }
                self.inner().neighbours_changed = true;
            }
            FollowerMessage::AcceptsFeatures => self.send_features_to(follower),
            FollowerMessage::Drains(target) => self.mark_draining(target),
            FollowerMessage::AskQuotas(ask) => self.answer_quotas(follower, &ask),
            FollowerMessage::AcceptsShares => self.accept_shares(follower),
            FollowerMessage::Demand(demands) => self.record_demand(follower, demands),
            FollowerMessage::Loads(loads) => {
                if let Some(follower) = self.inner().followers.get_mut(&follower) {
                    follower.loads = loads;
                }
            }
        }
    }

    fn announce(&self, record: TargetRecord) {
        let now = self.cx.clock.now();
        let effect = self.cx.targets().apply_announcement(record, now);
        if let AnnouncementOutcome::Changed(records) = effect {
            for record in &records {
                log::info!(
                    target_name:% = record.name, service:% = record.service, number = record.number,
                    address:% = record.address, draining = record.draining, left = record.left;
                    "target announced");
            }
            self.broadcast_targets(records);
        }
    }

    /// Marks a start of a target as draining, because a response of it said so, and tells all followers.
    pub(super) fn mark_draining(&self, target: TargetKey) {
        if let Some(record) = self.cx.mark_draining(target) {
            self.broadcast_targets(vec![record]);
        }
    }

    fn broadcast_targets(&self, records: Vec<TargetRecord>) {
        let mut balancer = self.cx.balancer();
        for record in &records {
            balancer.set_target(record);
        }
        drop(balancer);
        let named = records
            .iter()
            .map(|record| (record.name.clone(), record.clone()));
        let mut inner = self.inner();
        inner.all_targets = None;
        inner.unrecorded.extend(named);
        for record in &records {
            inner.set_domain(record);
        }
        drop(inner);
        self.broadcast(&LeaderMessage::Targets(records));
    }

    fn send(&self, follower: u64, message: LeaderMessage) {
        let mut inner = self.inner();
        let sent = inner
            .followers
            .get(&follower)
            .is_some_and(|follower| follower.try_send(&message));
        if !sent {
            inner.followers.remove(&follower);
        }
    }

    /// Sends a message to all followers. One whose queue is full is disconnected and reconnects.
    fn broadcast(&self, message: &LeaderMessage) {
        let frame = LeaderFrame::from(message);
        self.inner()
            .followers
            .retain(|_, follower| follower.tx.try_send(frame.clone()).is_ok());
    }

    /// Requests at each target that items must leave room for: those of callers, as reported by
    /// followers, and items of a former leader.
    pub(super) fn online(&self, now: Millis) -> BTreeMap<TargetKey, u32> {
        let inner = self.inner();
        let mut online: BTreeMap<_, _> = inner.orphans.running(now).collect();
        for follower in inner.followers.values() {
            for (key, count) in &follower.loads {
                *online.entry(*key).or_default() += count;
            }
        }
        online
    }

    /// Time since this instance became leader, or zero if it does not lead.
    pub(super) fn leader_for(&self, now: Millis) -> Millis {
        let since = self.inner().leader_since;
        since.map_or(Millis::ZERO, |since| now - since)
    }

    /// Sets the number of batch items running at each target.
    pub(super) fn set_batch_loads(&self, batch: BTreeMap<TargetKey, u32>) {
        self.inner().batch = batch;
    }

    /// Sends the followers the loads of the others that have changed. Excludes neighbours, which notify
    /// each other.
    fn send_loads(&self, now: Millis) {
        let mut inner = self.inner();
        let Inner {
            followers,
            fanout,
            domains,
            batch,
            orphans,
            ..
        } = &mut *inner;
        let mut all = BTreeMap::<TargetKey, Load>::new();
        let mut groups = HashMap::<LoadGroup, Vec<u64>>::new();
        for (id, follower) in followers.iter() {
            for (key, count) in &follower.loads {
                all.entry(*key).or_default().online += count;
            }
            groups.entry(follower.load_group()).or_default().push(*id);
        }
        for (key, count) in batch.iter() {
            all.entry(*key).or_default().batch = *count;
        }
        for (key, count) in orphans.running(now) {
            all.entry(key).or_default().online += count;
        }
        let current = CurrentLoads {
            all: &all,
            domains,
            followers: followers.len(),
            now,
        };
        let mut frames = Vec::new();
        for (group, members) in &groups {
            let entries = members.iter().filter_map(|id| followers.get(id));
            let entries: Vec<_> = entries.filter(|member| member.entry.is_some()).collect();
            let domain = entries.iter().find_map(|member| member.entry.as_ref());
            let domain = domain.map(|entry| &entry.domain);
            let known = entries.iter().flat_map(|member| &member.loads);
            let changes = fanout.changes(group, known, domain, &current);
            let is_empty = changes.is_empty();
            frames.push((
                group,
                is_empty,
                LeaderFrame::from(&LeaderMessage::Loads(changes)),
            ));
        }
        let mut failed = Vec::new();
        for (group, is_empty, frame) in frames {
            for id in &groups[group] {
                let Some(follower) = followers.get_mut(id) else {
                    continue;
                };
                let sent = if follower.group.as_ref() != Some(group) {
                    let loads = fanout.joined(group, follower.group.as_ref());
                    follower.group = Some(group.clone());
                    follower.try_send(&LeaderMessage::Loads(loads))
                } else if is_empty && now < follower.sent_at + HEARTBEAT_INTERVAL {
                    continue;
                } else {
                    follower.tx.try_send(frame.clone()).is_ok()
                };
                follower.sent_at = now;
                if !sent {
                    failed.push(*id);
                }
            }
        }
        followers.retain(|id, _| !failed.contains(id));
        fanout.retain(|group| groups.contains_key(group));
    }

    fn tick(&self) {
        self.apply_newer_manifest();
        let is_leader = self.replica.holds_lease();
        let was_leader = self.inner().leader_since.is_some();
        if !is_leader {
            let mut inner = self.inner();
            inner.leader_since = None;
            inner.shares = HubShares::default();
            inner.followers.clear();
            inner.reports.clear();
            return;
        }
        let now = self.cx.clock.now();
        if !was_leader {
            self.take_over_items(now);
            self.load_recorded_features(now);
            self.load_recorded_targets(now);
        }
        self.decide_on_features(now);
        self.send_features(now);
        self.record_changes(now);
        self.age_gone_targets(now);
        let expired = self.cx.targets().expire(TARGET_TIMEOUT, now);
        if !expired.is_empty() {
            for record in &expired {
                log::info!(target_name:% = record.name; "target expired without an announcement");
            }
            self.broadcast_targets(expired);
        }
        self.send_neighbours();
        self.send_loads(now);
        self.send_shares(now);
    }

    /// Takes note of the items that a leader which vanished has left running.
    fn take_over_items(&self, now: Millis) {
        let balancer = self.cx.balancer();
        let loads_age = balancer.loads_age(now);
        let vanished = loads_age > MAX_LOADS_AGE;
        let counts: Vec<_> = if vanished {
            balancer.batch_loads().collect()
        } else {
            Vec::new()
        };
        drop(balancer);
        let items: u32 = counts.iter().map(|(_, count)| count).sum();
        if items > 0 {
            log::info!(
                items, loads_age_ms = loads_age.0; "items of the former leader may still run");
        }
        self.inner().orphans = OrphanedItems::new(counts, now - loads_age);
    }

    /// Proposes a record without a retry: announcements restore what is lost.
    fn propose(&self, command: Command) {
        let replica = Arc::clone(&self.replica);
        tokio::spawn(async move {
            if let Err(error) = replica.propose(command).await {
                log::warn!(error:? = error; "stores or targets not recorded in the log");
            }
        });
    }

    /// Applies a newer manifest to this instance and sends it to followers.
    fn apply_newer_manifest(&self) {
        let sent = self.inner().sent_version;
        let newer = self.replica.read(|state| {
            let manifest = state.manifest()?;
            (manifest.version > sent).then(|| manifest.clone())
        });
        if let Some(manifest) = newer {
            self.cx.apply_manifest(&manifest);
            self.inner().sent_version = manifest.version;
            self.broadcast(&LeaderMessage::Manifest(manifest));
        }
    }
}

/// Keeps followers up to date, for the life of the process.
pub(crate) async fn run(hub: Arc<Hub>) {
    let mut tick_at = Millis::ZERO;
    loop {
        let changed = hub.replica.changed();
        let now = hub.cx.clock.now();
        if now >= tick_at {
            tick_at = now + TICK_INTERVAL;
            hub.tick();
        } else {
            hub.apply_newer_manifest();
        }
        hub.record_reports();
        tokio::select! {
            () = changed => {}
            () = pause(tick_at - hub.cx.clock.now()) => {}
        }
    }
}
