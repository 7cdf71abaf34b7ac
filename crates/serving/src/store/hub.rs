//! What the leader knows of all other instances, and tells them.

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
    balance::Load,
    cx::Cx,
    link::{
        Down,
        Up,
        pause, //
    },
    neighbourhood::Neighbourhoods,
    state::Command,
    targets::{
        Effect,
        TargetKey,
        TargetRecord, //
    },
};

use super::Replica;

/// How often the leader tells loads that changed.
const TICK: Millis = Millis(40);
/// How often the leader speaks if no load changes.
const SIGN_OF_LIFE: Millis = Millis(200);
/// How often changes of targets and stores are noted in the log.
const NOTE: Millis = Millis(500);
/// How long a target may be silent. It announces itself every 1.2 s, and may be late by seconds.
const TARGET_SILENCE: Millis = Millis(6_000);

/// An entry that follows.
struct Entry {
    ip: IpAddr,
    domain: FailureDomain,
    /// The entries that it was told are its neighbours.
    neighbours: BTreeSet<IpAddr>,
}

struct Follower {
    tx: mpsc::Sender<Down>,
    entry: Option<Entry>,
    loads: Vec<(TargetKey, u32)>,
    /// What it was told that others have under way.
    told: BTreeMap<TargetKey, Load>,
    told_at: Millis,
}

impl Follower {
    /// The loads that an entry knows without the leader: its own and those of its neighbours.
    fn told_by_neighbours<'a>(
        &self,
        by_entry: &'a HashMap<IpAddr, Vec<(TargetKey, u32)>>,
    ) -> impl Iterator<Item = &'a (TargetKey, u32)> {
        let entry = self.entry.as_ref();
        let ips = entry.map(|one| one.neighbours.iter().copied().chain([one.ip]));
        let ips: Vec<_> = ips.into_iter().flatten().collect();
        ips.into_iter().filter_map(|ip| by_entry.get(&ip)).flatten()
    }
}

#[derive(Default)]
struct Inner {
    next: u64,
    followers: HashMap<u64, Follower>,
    /// Whether entries have come or gone since they were told who their neighbours are.
    neighbours_changed: bool,
    /// Items under way at each target.
    batch: BTreeMap<TargetKey, u32>,
    /// The version of the manifest that followers were told last.
    told_version: u64,
    /// Since when this instance leads, with everything that was noted in the log.
    led_since: Option<Millis>,
    /// Targets that changed since they were noted in the log.
    unnoted: BTreeMap<TargetName, TargetRecord>,
    /// Where stores were when that was noted in the log.
    noted_stores: BTreeMap<InstanceName, IpAddr>,
    note_at: Millis,
}

/// What the leader knows of all other instances.
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

    /// Takes a follower in. `None` if this instance does not lead.
    pub(crate) fn follow(&self, tx: mpsc::Sender<Down>) -> Option<u64> {
        // Before the hub has taken up what was noted, a follower would miss targets.
        if self.inner().led_since.is_none() || !self.replica.holds_lease() {
            return None;
        }
        let records: Vec<_> = self.cx.targets().records().cloned().collect();
        let mut first = vec![Down::Targets(records)];
        if let Some(manifest) = self.replica.read(|state| state.manifest().cloned()) {
            first.insert(0, Down::Manifest(manifest));
        }
        for down in first {
            tx.try_send(down).ok()?;
        }
        let mut inner = self.inner();
        inner.next += 1;
        let number = inner.next;
        let follower = Follower {
            tx,
            entry: None,
            loads: Vec::new(),
            told: BTreeMap::new(),
            told_at: Millis::ZERO,
        };
        inner.followers.insert(number, follower);
        Some(number)
    }

    pub(crate) fn unfollow(&self, follower: u64) {
        let gone = self.inner().followers.remove(&follower);
        if gone.is_some_and(|gone| gone.entry.is_some()) {
            self.inner().neighbours_changed = true;
        }
    }

    /// Tells each entry who its neighbours are, if these have changed. Many entries come and go at once.
    fn tell_neighbours(&self) {
        let mut inner = self.inner();
        if !std::mem::take(&mut inner.neighbours_changed) {
            return;
        }
        let entries = inner
            .followers
            .values()
            .filter_map(|one| one.entry.as_ref());
        let places: Vec<_> = entries.map(|one| (one.ip, one.domain.clone())).collect();
        let neighbourhoods = Neighbourhoods::new(&places, &self.cx.settings.regions);
        inner.followers.retain(|_, follower| {
            let Some(entry) = &mut follower.entry else {
                return true;
            };
            let neighbourhood = neighbourhoods.of(entry.ip, &entry.domain);
            if neighbourhood.ips == entry.neighbours {
                return true;
            }
            entry.neighbours.clone_from(&neighbourhood.ips);
            follower
                .tx
                .try_send(Down::Neighbours(neighbourhood))
                .is_ok()
        });
    }

    /// A follower said something.
    pub(crate) fn on_up(&self, follower: u64, up: Up) {
        match up {
            Up::Announced(record) => self.announce(record),
            Up::Draining { record, notice } => {
                self.announce(record);
                self.tell(follower, Down::Noted(notice));
            }
            Up::Leaving { name, notice } => {
                let now = self.cx.clock.now();
                let left = self.cx.targets().leave(&name, now);
                if let Some(record) = left {
                    self.tell_all_targets(vec![record]);
                }
                self.tell(follower, Down::Noted(notice));
            }
            Up::Hello {
                ip,
                domain,
                is_entry,
            } => {
                if !is_entry {
                    return;
                }
                if let Some(follower) = self.inner().followers.get_mut(&follower) {
                    follower.entry = Some(Entry {
                        ip,
                        domain,
                        neighbours: BTreeSet::new(),
                    });
                }
                self.inner().neighbours_changed = true;
            }
            Up::Loads(loads) => {
                if let Some(follower) = self.inner().followers.get_mut(&follower) {
                    follower.loads = loads;
                }
            }
        }
    }

    fn announce(&self, record: TargetRecord) {
        let now = self.cx.clock.now();
        let effect = self.cx.targets().announce(record, now);
        if let Effect::Changed(record) = effect {
            log::info!(
                target_name:% = record.name, service:% = record.service, number = record.number,
                address:% = record.address, draining = record.draining; "target announced");
            self.tell_all_targets(vec![record]);
        }
    }

    fn tell_all_targets(&self, records: Vec<TargetRecord>) {
        let mut balancer = self.cx.balancer();
        for record in &records {
            balancer.set_target(record);
        }
        drop(balancer);
        let named = records
            .iter()
            .map(|record| (record.name.clone(), record.clone()));
        self.inner().unnoted.extend(named);
        self.tell_all(&Down::Targets(records));
    }

    fn tell(&self, follower: u64, down: Down) {
        let mut inner = self.inner();
        let told = inner
            .followers
            .get(&follower)
            .is_some_and(|follower| follower.tx.try_send(down).is_ok());
        if !told {
            inner.followers.remove(&follower);
        }
    }

    /// Tells every follower. One that is too far behind is cut off and follows anew.
    fn tell_all(&self, down: &Down) {
        self.inner()
            .followers
            .retain(|_, follower| follower.tx.try_send(down.clone()).is_ok());
    }

    /// Requests of callers under way at each target.
    pub(super) fn online(&self) -> BTreeMap<TargetKey, u32> {
        let mut online = BTreeMap::new();
        for follower in self.inner().followers.values() {
            for (key, count) in &follower.loads {
                *online.entry(*key).or_default() += count;
            }
        }
        online
    }

    /// How long this instance has led.
    pub(super) fn leading_for(&self, now: Millis) -> Millis {
        let since = self.inner().led_since;
        since.map_or(Millis::ZERO, |since| now - since)
    }

    /// Notes the items that are under way at each target.
    pub(super) fn set_batch(&self, batch: BTreeMap<TargetKey, u32>) {
        self.inner().batch = batch;
    }

    /// Tells each follower what the others have under way, where that changed. Neighbours tell each
    /// other.
    fn tell_loads(&self, now: Millis) {
        let mut inner = self.inner();
        let mut all = BTreeMap::<TargetKey, Load>::new();
        let mut by_entry = HashMap::<IpAddr, Vec<(TargetKey, u32)>>::new();
        for follower in inner.followers.values() {
            for (key, count) in &follower.loads {
                all.entry(*key).or_default().online += count;
            }
            if let Some(entry) = &follower.entry {
                by_entry.insert(entry.ip, follower.loads.clone());
            }
        }
        for (key, count) in &inner.batch {
            all.entry(*key).or_default().batch = *count;
        }
        inner.followers.retain(|_, follower| {
            let mut loads = all.clone();
            for (key, count) in follower.told_by_neighbours(&by_entry) {
                if let Some(load) = loads.get_mut(key) {
                    load.online = load.online.saturating_sub(*count);
                }
            }
            let changed = changes(&follower.told, &loads);
            if changed.is_empty() && now < follower.told_at + SIGN_OF_LIFE {
                return true;
            }
            follower.told = loads;
            follower.told_at = now;
            follower.tx.try_send(Down::Loads(changed)).is_ok()
        });
    }

    fn tick(&self) {
        self.take_manifest();
        let leads = self.replica.holds_lease();
        let led = self.inner().led_since.is_some();
        if !leads {
            let mut inner = self.inner();
            inner.led_since = None;
            inner.followers.clear();
            return;
        }
        let now = self.cx.clock.now();
        if !led {
            self.begin_to_lead(now);
        }
        self.note(now);
        let gone = self.cx.targets().expire(TARGET_SILENCE, now);
        if !gone.is_empty() {
            for record in &gone {
                log::info!(target_name:% = record.name; "target is silent and taken for gone");
            }
            self.tell_all_targets(gone);
        }
        self.tell_neighbours();
        self.tell_loads(now);
    }

    /// Takes up the targets that were noted in the log, which may be gone since.
    fn begin_to_lead(&self, now: Millis) {
        let noted: Vec<_> = self
            .replica
            .read(|state| state.targets().cloned().collect());
        self.cx.merge_targets(noted);
        self.cx.targets().forgive_silence(now);
        self.inner().led_since = Some(now);
    }

    /// Notes in the log what a system that lost power has to find again.
    fn note(&self, now: Millis) {
        let mut inner = self.inner();
        if now < inner.note_at {
            return;
        }
        inner.note_at = now + NOTE;
        let places = self.cx.book().places(now);
        if places.len() > 1 && places != inner.noted_stores {
            inner.noted_stores = places.clone();
            self.propose(Command::NoteStores(places));
        }
        if !inner.unnoted.is_empty() {
            let records = std::mem::take(&mut inner.unnoted);
            self.propose(Command::NoteTargets(records.into_values().collect()));
        }
    }

    /// What is lost here is learnt again from announcements.
    fn propose(&self, command: Command) {
        let replica = Arc::clone(&self.replica);
        tokio::spawn(async move {
            if let Err(error) = replica.propose(command).await {
                log::warn!(error:? = error; "the log did not take a note");
            }
        });
    }

    /// Puts the newest manifest in force here and tells it to followers.
    fn take_manifest(&self) {
        let told = self.inner().told_version;
        let newer = self.replica.read(|state| {
            let manifest = state.manifest()?;
            (manifest.version > told).then(|| manifest.clone())
        });
        if let Some(manifest) = newer {
            self.cx.apply_manifest(&manifest);
            self.inner().told_version = manifest.version;
            self.tell_all(&Down::Manifest(manifest));
        }
    }
}

/// The loads that differ, with those that are gone as none.
fn changes(
    told: &BTreeMap<TargetKey, Load>,
    loads: &BTreeMap<TargetKey, Load>,
) -> Vec<(TargetKey, Load)> {
    let gone = told.keys().filter(|key| !loads.contains_key(key));
    let gone = gone.map(|key| (*key, Load::default()));
    let news = loads
        .iter()
        .filter(|(key, load)| told.get(key) != Some(load));
    gone.chain(news.map(|(key, load)| (*key, *load))).collect()
}

/// Looks after followers for the life of the process.
pub(crate) async fn run(hub: Arc<Hub>) {
    let mut tick_at = Millis::ZERO;
    loop {
        let changed = hub.replica.changed();
        let now = hub.cx.clock.now();
        if now >= tick_at {
            tick_at = now + TICK;
            hub.tick();
        } else {
            hub.take_manifest();
        }
        tokio::select! {
            () = changed => {}
            () = pause(tick_at - hub.cx.clock.now()) => {}
        }
    }
}
