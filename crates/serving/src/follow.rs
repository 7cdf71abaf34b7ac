//! The connection to the leader: receives manifests, targets and loads, and sends announcements of
//! targets and the load of this instance.

use std::{
    collections::{
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

use rand::seq::SliceRandom as _;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::timeout, //
};
use tokio_stream::{
    StreamExt as _,
    wrappers::ReceiverStream, //
};
use tonic::{
    Code,
    Streaming, //
};
use yuccaseam_base::{
    Millis,
    TargetName, //
};
use yuccaseam_wire::hub::{
    Parcel,
    hub_client::HubClient, //
};

use crate::{
    crash_reports,
    cx::Cx,
    leader_search::{
        LeaderSearch,
        SearchOutcome,
        SearchTally,
        StoreAnswer, //
    },
    link::{
        FollowerMessage,
        HubReply,
        HubRequest,
        LeaderMessage,
        MAX_MESSAGE_BYTES,
        decode,
        encode,
        pause, //
    },
    quota::{
        self,
        HEARTBEAT_INTERVAL, //
    },
    shares::{
        REPORT_FILL_PERCENT,
        SHARES_INTERVAL, //
    },
    targets::TargetRecord,
};

/// Time since the leader's last message after which the connection is dropped. The leader sends
/// several messages a second.
const LEADER_TIMEOUT: Millis = Millis(800);
/// Time limit for the first message, which holds all targets. After a loss of power, the leader sends it to
/// all followers at the same moment; one that gave up and came back would be sent it once more.
const FIRST_MESSAGE_TIMEOUT: Millis = Millis(2_500);
/// Time limit for a leader to accept a follower.
const ACCEPT_TIMEOUT: Millis = Millis(400);
/// Stores queried for the leader before a relayed connection through another entry is tried.
const MAX_STORES_QUERIED: usize = 3;
/// Pause before the next search for the leader.
const RETRY_BACKOFF: Millis = Millis(80);
/// How often a changing load is reported to the leader by an entry with few neighbours.
const LOAD_REPORT_INTERVAL: Millis = Millis(30);
/// Number of neighbours for each further [`LOAD_REPORT_INTERVAL`]. In large fleets, the reports of all
/// entries would keep the leader busy, and neighbours know each other's requests without it.
const NEIGHBOURS_PER_INTERVAL: u64 = 16;
/// How often a direct connection is probed for while the leader is followed through another entry.
/// The leader does not receive the load of this entry over a relayed connection.
const DIRECT_PROBE_INTERVAL: Millis = Millis(500);
/// Pause while no store is known yet, as at the start of a process: a round trip in its region.
const NO_STORE_BACKOFF: Millis = Millis(10);
/// Capacity of the queue of messages to the leader.
const QUEUE_CAPACITY: usize = 256;
/// How often known stores are exchanged during [`STARTUP_PHASE`].
const STARTUP_GOSSIP_INTERVAL: Millis = Millis(100);
/// How often known stores are exchanged after [`STARTUP_PHASE`].
const GOSSIP_INTERVAL: Millis = Millis(1_500);
/// Time after the start of a process in which stores are exchanged more often.
const STARTUP_PHASE: Millis = Millis::from_secs(3);
/// Time in which requests are gathered that need tokens of quotas.
const ASK_INTERVAL: Millis = Millis(5);
/// Time limit for the leader to confirm that all followers were notified of a draining or
/// leaving target.
const CONFIRM_TIMEOUT: Millis = Millis(800);

/// Why a connection is dropped on which the leader sends nothing any more.
const NO_MESSAGE: &str = "no message within the time limit";

/// Notifications to the leader that await its confirmation.
#[derive(Default)]
pub(crate) struct PendingNotifications {
    pending: Mutex<(u64, HashMap<u64, oneshot::Sender<()>>)>,
    /// Start of each target, in ms since the Unix epoch, that the leader has confirmed to this instance: it is in the
    /// log.
    confirmed_starts: Mutex<HashMap<TargetName, u64>>,
}

impl PendingNotifications {
    fn add(&self) -> (u64, oneshot::Receiver<()>) {
        let (tx, rx) = oneshot::channel();
        let mut pending = self.pending.lock().expect("no thread panics with the lock");
        pending.0 += 1;
        let notice = pending.0;
        pending.1.retain(|_, tx| !tx.is_closed());
        pending.1.insert(notice, tx);
        (notice, rx)
    }

    fn confirm(&self, notice: u64) {
        let mut pending = self.pending.lock().expect("no thread panics with the lock");
        if let Some(tx) = pending.1.remove(&notice) {
            // The receiver is dropped after a time-out.
            let _ = tx.send(());
        }
    }

    /// Notifies the leader that a target drains, and waits until the leader has notified all
    /// followers. False on a time-out or without a connection to the leader.
    pub(crate) async fn notify_draining(&self, cx: &Cx, record: TargetRecord) -> bool {
        let (notice, rx) = self.add();
        cx.send_to_leader(FollowerMessage::Draining { record, notice })
            && await_confirmation(rx).await
    }

    /// Notifies the leader of a start of a target, with the same result as [`Self::notify_draining`].
    pub(crate) async fn notify_started(&self, cx: &Cx, record: TargetRecord) -> bool {
        let (notice, rx) = self.add();
        let (name, started_at) = (record.name.clone(), record.started_at);
        let is_confirmed = cx.send_to_leader(FollowerMessage::Started { record, notice })
            && await_confirmation(rx).await;
        if is_confirmed {
            let targets = cx.targets();
            let mut starts = self.confirmed_starts();
            starts.retain(|name, _| targets.record_named(name).is_some());
            starts.insert(name, started_at);
        }
        is_confirmed
    }

    /// Whether the leader has confirmed this start of a target, or a later one, to this instance.
    pub(crate) fn is_confirmed(&self, record: &TargetRecord) -> bool {
        let starts = self.confirmed_starts();
        let confirmed = starts.get(&record.name);
        confirmed.is_some_and(|started_at| *started_at >= record.started_at)
    }

    fn confirmed_starts(&self) -> MutexGuard<'_, HashMap<TargetName, u64>> {
        self.confirmed_starts
            .lock()
            .expect("no thread panics with the lock")
    }

    /// Notifies the leader that a target leaves, with the same result as [`Self::notify_draining`].
    /// `started_at` is the start that leaves, if the target says which.
    pub(crate) async fn notify_leaving(
        &self,
        cx: &Cx,
        name: TargetName,
        started_at: Option<u64>,
    ) -> bool {
        let (notice, rx) = self.add();
        let message = match started_at {
            None => FollowerMessage::Leaving { name, notice },
            Some(started_at) => FollowerMessage::StartLeaving {
                name,
                started_at,
                notice,
            },
        };
        cx.send_to_leader(message) && await_confirmation(rx).await
    }
}

async fn await_confirmation(rx: oneshot::Receiver<()>) -> bool {
    matches!(timeout(CONFIRM_TIMEOUT.duration(), rx).await, Ok(Ok(())))
}

/// Exchanges known stores with one peer. One that does not reply is asked again at random.
async fn exchange_stores(cx: &Cx, ip: IpAddr) {
    let entries = cx.merge_stores(Vec::new());
    let request = HubRequest::Gossip(entries);
    match cx.links.call(ip, &request, LEADER_TIMEOUT).await {
        Ok(HubReply::Gossip(entries)) => {
            cx.merge_stores(entries);
        }
        Ok(reply) => {
            log::warn!(peer:% = ip, reply:? = reply; "reply of another kind to the stores that are known here");
        }
        Err(error) => {
            log::debug!(
                peer:% = ip, error:% = error, timeout_ms = LEADER_TIMEOUT.0; "known stores not exchanged");
        }
    }
}

/// Exchanges known stores with random peers, for the life of the process. A store also introduces itself to each other
/// store once, as soon as it knows of it: the leader sends a store that joins nothing before it has its address.
pub(crate) async fn gossip(cx: Arc<Cx>) {
    let own = cx.settings.ip;
    let mut position = 0;
    let mut introduced = BTreeSet::from([own]);
    loop {
        let mut peers = cx.seeds();
        peers.extend(cx.address_book().ips());
        peers.retain(|ip| *ip != own);
        peers.sort_unstable();
        peers.dedup();
        if !peers.is_empty() {
            let ip = peers[position % peers.len()];
            position = position.wrapping_add(1 + rand::random_range(0..peers.len()));
            exchange_stores(&cx, ip).await;
        }
        if cx.settings.is_store {
            let known = cx.address_book().ips();
            for ip in known {
                if introduced.insert(ip) {
                    let cx = Arc::clone(&cx);
                    tokio::spawn(async move { exchange_stores(&cx, ip).await });
                }
            }
        }
        let is_startup = cx.clock.now() < STARTUP_PHASE;
        pause(if is_startup {
            STARTUP_GOSSIP_INTERVAL
        } else {
            GOSSIP_INTERVAL
        })
        .await;
    }
}

/// Follows the leader for the life of the process, except while `is_leader` returns true.
pub(crate) async fn run<F>(cx: Arc<Cx>, notifications: Arc<PendingNotifications>, is_leader: F)
where
    F: Fn() -> bool + Send + 'static,
{
    let mut search = LeaderSearch::default();
    loop {
        if is_leader() {
            pause(RETRY_BACKOFF).await;
            continue;
        }
        let outcome = find_and_follow(&cx, &notifications).await;
        if outcome == SearchOutcome::NoStoreKnown {
            pause(NO_STORE_BACKOFF).await;
            continue;
        }
        if search.wants_relay(outcome, cx.clock.now())
            && cx.settings.callers.is_some()
            && let Some(ip) = cx.random_other_entry()
        {
            follow(&cx, &notifications, ip, Connection::Relayed).await;
        }
        pause(RETRY_BACKOFF).await;
    }
}

/// Tries the last known leader and up to [`MAX_STORES_QUERIED`] stores, and follows the leader that
/// one of them is or names.
async fn find_and_follow(cx: &Arc<Cx>, notifications: &PendingNotifications) -> SearchOutcome {
    let mut stores: Vec<IpAddr> = {
        let book = cx.address_book();
        book.alive(cx.clock.now()).map(|entry| entry.ip).collect()
    };
    stores.retain(|ip| *ip != cx.settings.ip);
    if stores.is_empty() {
        return SearchOutcome::NoStoreKnown;
    }
    stores.shuffle(&mut rand::rng());
    let known_leader = cx.leader();
    let mut tally = SearchTally::default();
    for ip in known_leader
        .into_iter()
        .chain(stores.into_iter().take(MAX_STORES_QUERIED))
    {
        let leader = match follow(cx, notifications, ip, Connection::Direct).await {
            FollowOutcome::Ended => return SearchOutcome::Followed,
            FollowOutcome::NotLeader(leader) => leader.filter(|leader| *leader != ip),
            FollowOutcome::Unreachable => {
                tally.record(StoreAnswer::Silent);
                continue;
            }
        };
        let Some(leader) = leader else {
            tally.record(StoreAnswer::KnowsNoLeader);
            continue;
        };
        match follow(cx, notifications, leader, Connection::Direct).await {
            FollowOutcome::Ended => return SearchOutcome::Followed,
            FollowOutcome::NotLeader(_) => tally.record(StoreAnswer::KnowsNoLeader),
            FollowOutcome::Unreachable => tally.record(StoreAnswer::LeaderSilent),
        }
    }
    tally.outcome()
}

/// Result of an attempt to follow an instance.
enum FollowOutcome {
    /// The instance accepted, and was followed until the connection ended.
    Ended,
    /// The instance does not lead. Holds the leader that it knows of.
    NotLeader(Option<IpAddr>),
    /// The instance did not answer.
    Unreachable,
}

/// Kind of connection to the leader.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Connection {
    Direct,
    Relayed,
}

/// Follows an instance until the connection to it ends.
async fn follow(
    cx: &Arc<Cx>,
    notifications: &PendingNotifications,
    ip: IpAddr,
    connection: Connection,
) -> FollowOutcome {
    let mut client =
        HubClient::new(cx.links.dedicated_channel(ip)).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    let outgoing = ReceiverStream::new(rx).map(|message: FollowerMessage| Parcel {
        message: encode(&message),
    });
    let mut incoming = match timeout(ACCEPT_TIMEOUT.duration(), client.follow(outgoing)).await {
        Ok(Ok(accepted)) => accepted.into_inner(),
        Ok(Err(status)) if status.code() == Code::FailedPrecondition => {
            return FollowOutcome::NotLeader(status.message().parse().ok());
        }
        Ok(Err(_)) | Err(_) => return FollowOutcome::Unreachable,
    };
    cx.balancer().reset_loads();
    let direct = connection == Connection::Direct;
    cx.set_leader(direct.then_some(ip));
    cx.set_leader_sender(Some(tx.clone()));
    cx.relay.set_direct(direct);
    log::info!(leader:% = ip, direct; "following the leader");
    let hello = FollowerMessage::Hello {
        ip: cx.settings.ip,
        domain: cx.settings.domain.clone(),
        is_entry: cx.settings.callers.is_some(),
    };
    // A failure also ends the stream of the leader.
    let _ = tx.send(hello).await;
    let _ = tx.send(FollowerMessage::AcceptsFeatures).await;
    cx.shares.reset_leader();
    if cx.settings.callers.is_some() {
        let _ = tx.send(FollowerMessage::AcceptsShares).await;
    }
    let why = tokio::select! {
        why = receive(cx, notifications, &mut incoming) => why,
        () = report_loads(cx, &tx) => "the stream to the leader closed",
        () = ask_quotas(cx, &tx, connection) => "the stream to the leader closed",
        () = report_demand(cx, &tx, connection) => "the stream to the leader closed",
        () = wait_for_direct(cx, connection) => "a direct connection is available",
    };
    log::warn!(leader:% = ip, why; "leader connection lost");
    if why != NO_MESSAGE {
        // Its items ended with its process or its leadership.
        cx.balancer().reset_batch_loads();
    }
    cx.feature_guard().end_connection();
    if direct {
        let lost = if why == NO_MESSAGE {
            quota::Connection::Silent
        } else {
            quota::Connection::Ended
        };
        connect_purse(cx, lost);
        cx.leader_lost.notify_one();
    }
    cx.relay.set_direct(false);
    cx.set_leader(None);
    cx.set_leader_sender(None);
    FollowOutcome::Ended
}

/// Receives and applies messages of the leader. Returns why the connection is to be dropped.
async fn receive(
    cx: &Arc<Cx>,
    notifications: &PendingNotifications,
    incoming: &mut Streaming<Parcel>,
) -> &'static str {
    let mut has_targets = false;
    let mut has_features = false;
    loop {
        let limit = if has_targets {
            LEADER_TIMEOUT
        } else {
            FIRST_MESSAGE_TIMEOUT
        };
        let parcel = match timeout(limit.duration(), incoming.message()).await {
            Ok(Ok(Some(parcel))) => parcel,
            Ok(Ok(None)) => return "the leader ended the stream",
            Ok(Err(_)) => return "the stream failed",
            Err(_) => return NO_MESSAGE,
        };
        let message = decode(&parcel.message);
        if let Ok(message) = &message {
            cx.relay.forward(message);
        }
        match message {
            Ok(LeaderMessage::Manifest(manifest)) => cx.apply_manifest(&manifest),
            Ok(LeaderMessage::Targets(records)) => {
                has_targets = true;
                cx.correct_leader(&records);
                drop(cx.merge_targets(records));
            }
            Ok(LeaderMessage::Loads(loads)) => {
                let mut balancer = cx.balancer();
                balancer.apply_loads(&loads);
                balancer.record_loads_received(cx.clock.now());
                metrics::gauge!("yuccaseam_others_requests").set(balancer.others_requests());
            }
            Ok(LeaderMessage::Neighbours(neighbourhood)) => {
                cx.balancer().set_whole_region(neighbourhood.whole_region);
                cx.neighbours
                    .set_peers(neighbourhood.ips.into_iter().collect());
            }
            Ok(LeaderMessage::Noted(notice)) => notifications.confirm(notice),
            Ok(LeaderMessage::Shares(list)) => cx.shares.apply(&list, cx.clock.now()),
            Ok(LeaderMessage::Features(list)) => {
                cx.feature_guard().apply(list);
                if !has_features {
                    has_features = true;
                    crash_reports::report_recent_crashes(cx);
                }
            }
            Ok(LeaderMessage::Quotas(answer)) => {
                cx.quota_purse().apply(&answer, cx.clock.now());
                cx.quota_answered.notify_waiters();
            }
            Err(_) => return "a message from the leader is malformed",
        }
    }
}

/// Returns once a direct connection can replace a relayed one; never, if the connection is direct.
async fn wait_for_direct(cx: &Cx, connection: Connection) {
    if connection == Connection::Direct {
        return std::future::pending().await;
    }
    loop {
        pause(DIRECT_PROBE_INTERVAL).await;
        if cx.can_reach_leader(ACCEPT_TIMEOUT).await {
            return;
        }
    }
}

/// Reports the requests in flight on this instance to the leader whenever they change.
async fn report_loads(cx: &Cx, tx: &mpsc::Sender<FollowerMessage>) {
    let mut last = None;
    loop {
        let loads = cx.balancer().load_report();
        if last.as_ref() != Some(&loads) {
            if tx
                .send(FollowerMessage::Loads(loads.clone()))
                .await
                .is_err()
            {
                return;
            }
            last = Some(loads);
        }
        let neighbours = cx.neighbours.peers().len() as u64;
        pause(LOAD_REPORT_INTERVAL * (1 + neighbours / NEIGHBOURS_PER_INTERVAL)).await;
    }
}

/// Tells the entry's purse whether the leader can be asked, and the requests that wait for an answer.
fn connect_purse(cx: &Cx, connection: quota::Connection) {
    let now = cx.clock.now();
    cx.quota_purse().set_connection(connection, now);
    cx.quota_answered.notify_waiters();
}

/// Asks the leader for tokens of quotas, if the manifest has any. An instance without callers needs none, and a
/// relayed connection gets none.
async fn ask_quotas(cx: &Cx, tx: &mpsc::Sender<FollowerMessage>, connection: Connection) {
    if cx.settings.callers.is_none() || connection == Connection::Relayed {
        return std::future::pending().await;
    }
    connect_purse(cx, quota::Connection::Open);
    loop {
        let wanted = cx.quota_wanted.notified();
        if cx.has_quotas() {
            let ask = cx.quota_purse().next_ask(cx.clock.now());
            if let Some(ask) = ask
                && tx.send(FollowerMessage::AskQuotas(ask)).await.is_err()
            {
                return;
            }
        }
        pause(ASK_INTERVAL).await;
        // On wake-up and on time-out alike, the purse decides what is due.
        let _ = timeout((HEARTBEAT_INTERVAL - ASK_INTERVAL).duration(), wanted).await;
    }
}

/// Reports the requests that arrive here to the leader, while a service is nearly full.
async fn report_demand(cx: &Cx, tx: &mpsc::Sender<FollowerMessage>, connection: Connection) {
    if connection == Connection::Relayed {
        return std::future::pending().await;
    }
    loop {
        pause(SHARES_INTERVAL).await;
        let fill_percent = |service: &str| cx.balancer().fill_percent(service);
        let demands = cx
            .shares
            .report(fill_percent, REPORT_FILL_PERCENT, cx.clock.now());
        if !demands.is_empty() && tx.send(FollowerMessage::Demand(demands)).await.is_err() {
            return;
        }
    }
}
