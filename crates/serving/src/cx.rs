//! What all parts of one process share.

use std::{
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
    NodeSettings, //
};

use crate::{
    admission::Patience,
    balance::{
        Balancer,
        Place, //
    },
    link::{
        AddressBook,
        Answer,
        Ask,
        AskError,
        Links,
        StoreEntry,
        Up,
        pause, //
    },
    neighbours::Neighbours,
    relay::Relay,
    routes::RouteTable,
    seams::Seams,
    state::StoredManifest,
    targets::{
        TargetRecord,
        Targets, //
    },
    upstream::Upstream,
};

/// How long one instance may take to answer a question to the leader.
const ONE_ANSWER: Millis = Millis(2_100);
/// The pause after an instance that does not lead was asked.
const ASK_AGAIN: Millis = Millis(60);

/// What all parts of one process share.
pub(crate) struct Cx {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) seams: Seams,
    pub(crate) links: Links,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) neighbours: Neighbours,
    pub(crate) relay: Relay,
    /// Wakes those who wait for a slot.
    pub(crate) room: Notify,
    /// Whether a planned stop has begun.
    pub(crate) stopping: AtomicBool,
    seeds: Mutex<Vec<IpAddr>>,
    book: Mutex<AddressBook>,
    manifest: Mutex<Option<StoredManifest>>,
    table: Mutex<Option<Arc<RouteTable>>>,
    targets: Mutex<Targets>,
    balancer: Mutex<Balancer>,
    patience: Mutex<Patience>,
    leader: Mutex<Option<IpAddr>>,
    ups: Mutex<Option<mpsc::Sender<Up>>>,
    started_at: Millis,
    beat: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}

fn read_manifest(stored: &StoredManifest) -> anyhow::Result<RouteTable> {
    let manifest = Manifest::decode(&stored.unpack()?)?;
    Ok(RouteTable::new(manifest)?)
}

fn seed_ips(settings: &NodeSettings) -> Vec<IpAddr> {
    settings.seeds.iter().map(|seed| seed.ip()).collect()
}

impl Cx {
    pub(crate) fn new(settings: NodeSettings) -> Self {
        let clock = Clock::start();
        let seams = Seams::from_env();
        let started_at = seams.unix_now();
        let place = Place {
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            regions: settings.regions.clone(),
        };
        Self {
            links: Links::new(seams.relay_port.unwrap_or(settings.first_port)),
            upstream: Arc::new(Upstream::new(clock)),
            relay: Relay::default(),
            neighbours: Neighbours::new(settings.first_port, started_at),
            room: Notify::new(),
            stopping: AtomicBool::new(false),
            seeds: Mutex::new(seed_ips(&settings)),
            book: Mutex::default(),
            manifest: Mutex::default(),
            table: Mutex::default(),
            targets: Mutex::default(),
            balancer: Mutex::new(Balancer::new(place)),
            patience: Mutex::default(),
            leader: Mutex::default(),
            ups: Mutex::default(),
            started_at,
            beat: AtomicU64::new(0),
            clock,
            seams,
            settings,
        }
    }

    /// Addresses of other instances, as the settings name them now.
    pub(crate) fn seeds(&self) -> Vec<IpAddr> {
        lock(&self.seeds).clone()
    }

    /// Takes in settings that have changed. Only the seeds may.
    pub(crate) fn reload(&self, settings: &NodeSettings) {
        let seeds = seed_ips(settings);
        log::info!(seeds:? = seeds; "settings reloaded");
        *lock(&self.seeds) = seeds;
    }

    pub(crate) fn book(&self) -> MutexGuard<'_, AddressBook> {
        lock(&self.book)
    }

    pub(crate) fn targets(&self) -> MutexGuard<'_, Targets> {
        lock(&self.targets)
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// How patient callers are that came before a manifest was known.
    pub(crate) fn patience(&self) -> MutexGuard<'_, Patience> {
        lock(&self.patience)
    }

    /// The routes in force here, if a manifest is known.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.table).clone()
    }

    /// The manifest in force here.
    pub(crate) fn manifest(&self) -> Option<StoredManifest> {
        lock(&self.manifest).clone()
    }

    /// Puts a manifest in force, unless a newer one is.
    pub(crate) fn apply_manifest(&self, stored: &StoredManifest) {
        let mut table = lock(&self.table);
        let current = table.as_ref().map(|table| table.version());
        if current.is_some_and(|version| version >= stored.version) {
            return;
        }
        match read_manifest(stored) {
            Ok(new) => {
                log::info!(version = stored.version, before = current; "manifest in force");
                *table = Some(Arc::new(new));
                *lock(&self.manifest) = Some(stored.clone());
                drop(table);
                self.room.notify_waiters();
            }
            // It was checked before it was stored.
            Err(error) => {
                log::error!(version = stored.version, error:% = error; "manifest unusable");
            }
        }
    }

    /// Takes in what is known of targets.
    pub(crate) fn merge_targets(&self, records: Vec<TargetRecord>) {
        let now = self.clock.now();
        let mut targets = self.targets();
        let mut balancer = self.balancer();
        for record in records {
            balancer.set_target(&record);
            if targets.merge(record.clone(), now) {
                log::info!(
                    target_name:% = record.name, service:% = record.service, number = record.number,
                    draining = record.draining, left = record.left; "target changed");
            }
        }
        drop(balancer);
        self.room.notify_waiters();
    }

    /// Exchanges known stores.
    pub(crate) fn gossip(&self, entries: Vec<StoreEntry>) -> Vec<StoreEntry> {
        let now = self.clock.now();
        let mut book = self.book();
        if self.settings.is_store {
            let own = StoreEntry {
                name: self.settings.instance.clone(),
                ip: self.settings.ip,
                domain: self.settings.domain.clone(),
                started_at: self.started_at.0,
                beat: self.beat.fetch_add(1, Ordering::Relaxed),
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

    /// Connects or disconnects the way to the leader.
    pub(crate) fn set_ups(&self, ups: Option<mpsc::Sender<Up>>) {
        *lock(&self.ups) = ups;
    }

    /// Tells the leader something. False if there is no way to it.
    pub(crate) fn tell_leader(&self, up: Up) -> bool {
        let ups = lock(&self.ups);
        ups.as_ref().is_some_and(|ups| ups.try_send(up).is_ok())
    }

    /// The leader, or some store that may know it.
    fn whom_to_ask(&self) -> Option<IpAddr> {
        self.leader().or_else(|| self.some_store())
    }

    fn some_store(&self) -> Option<IpAddr> {
        let book = self.book();
        let stores = book.alive(self.clock.now()).map(|entry| entry.ip);
        stores.choose(&mut rand::rng())
    }

    /// Whether the leader itself answers. Asks one store, and the leader that it names.
    pub(crate) async fn reaches_leader(&self, wait: Millis) -> bool {
        let mut next = self.some_store();
        for _ in 0..2 {
            let Some(ip) = next else {
                return false;
            };
            match self.links.ask(ip, &Ask::Leads, wait).await {
                Ok(Answer::Done) => return true,
                Ok(Answer::NotLeader(leader)) => next = leader,
                Ok(_) | Err(_) => return false,
            }
        }
        false
    }

    /// Another entry, which may have a way to the leader that this one lacks.
    pub(crate) fn other_entry(&self) -> Option<IpAddr> {
        let mut entries = self.neighbours.ips();
        entries.extend(self.seeds());
        entries.retain(|ip| *ip != self.settings.ip);
        entries.choose(&mut rand::rng()).copied()
    }

    /// Asks the leader, through another entry if it cannot be reached.
    pub(crate) async fn ask_leader(&self, ask: &Ask, until: Millis) -> Option<Answer> {
        let now = self.clock.now();
        let direct = now + Millis((until - now).0 / 2);
        let answer = self.ask_leader_directly(ask, direct).await;
        if !matches!(answer, None | Some(Answer::Unknown)) {
            return answer;
        }
        let pass_on = Ask::PassOn(Box::new(ask.clone()));
        let mut heard = answer.is_some();
        while self.clock.now() < until {
            let Some(ip) = self.other_entry() else {
                break;
            };
            let wait = until - self.clock.now();
            match self.links.ask(ip, &pass_on, wait).await {
                Ok(Answer::NotLeader(_)) | Err(AskError::NotSent) => {}
                Ok(Answer::Unknown) | Err(AskError::Lost) => heard = true,
                Ok(answer) => return Some(answer),
            }
            pause(ASK_AGAIN).await;
        }
        heard.then_some(Answer::Unknown)
    }

    /// Asks the leader, whoever that is, until it answers or the time is up. Questions may be asked
    /// twice. `None` if none was heard by a leader.
    pub(crate) async fn ask_leader_directly(&self, ask: &Ask, until: Millis) -> Option<Answer> {
        let mut heard = false;
        loop {
            let now = self.clock.now();
            if now >= until {
                return heard.then_some(Answer::Unknown);
            }
            let Some(ip) = self.whom_to_ask() else {
                pause(ASK_AGAIN).await;
                continue;
            };
            let wait = ONE_ANSWER.min(until - now);
            match self.links.ask(ip, ask, wait).await {
                Ok(Answer::NotLeader(hint)) => {
                    self.set_leader(hint.filter(|hint| *hint != ip));
                    pause(ASK_AGAIN).await;
                }
                Ok(Answer::Unknown) => heard = true,
                Ok(answer) => return Some(answer),
                Err(error) => {
                    heard |= matches!(error, AskError::Lost);
                    self.set_leader(None);
                    pause(ASK_AGAIN).await;
                }
            }
        }
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
