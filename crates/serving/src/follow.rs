//! Following the leader: what it believes comes here, and what this instance learns goes there.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{
        Arc,
        Mutex, //
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
    cx::Cx,
    link::{
        Ask,
        Down,
        MAX_MESSAGE,
        Up,
        decode,
        encode,
        pause, //
    },
    targets::TargetRecord,
};

/// The leader speaks several times a second. After this silence it is followed no more.
const SILENCE: Millis = Millis(800);
/// How long a leader may take to accept a follower.
const ACCEPT: Millis = Millis(400);
/// Stores that are asked for the leader before a way through another entry is tried.
const TRIES: usize = 3;
/// The pause after a store did not accept a follower.
const RETRY: Millis = Millis(80);
/// How often load is told while it changes.
const REPORT: Millis = Millis(30);
/// How often a direct way is looked for while the leader is followed through another entry. Until it
/// is found, the leader does not see the load of this entry.
const LOOK_FOR_DIRECT: Millis = Millis(500);
/// The pause of a process that has not learnt of any store yet: a round trip in its region.
const UNTIL_KNOWN: Millis = Millis(10);
/// Messages to the leader that may wait.
const WAITING: usize = 256;
/// How often known stores are exchanged during the first seconds of a process.
const GOSSIP_EARLY: Millis = Millis(100);
/// How often they are exchanged later.
const GOSSIP: Millis = Millis(1_500);
/// How long a process is in its first seconds.
const EARLY: Millis = Millis::from_secs(3);
/// How long the leader may take to confirm that everyone was told of a target that drains.
const NOTICE: Millis = Millis(800);

/// Notices that wait for the leader's confirmation.
#[derive(Default)]
pub(crate) struct Notices {
    waiting: Mutex<(u64, HashMap<u64, oneshot::Sender<()>>)>,
}

impl Notices {
    fn add(&self) -> (u64, oneshot::Receiver<()>) {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.waiting.lock().expect("no thread panics with the lock");
        waiting.0 += 1;
        let notice = waiting.0;
        waiting.1.retain(|_, tx| !tx.is_closed());
        waiting.1.insert(notice, tx);
        (notice, rx)
    }

    fn confirm(&self, notice: u64) {
        let mut waiting = self.waiting.lock().expect("no thread panics with the lock");
        if let Some(tx) = waiting.1.remove(&notice) {
            // Nobody waits any more if this fails.
            let _ = tx.send(());
        }
    }

    /// Tells the leader that a target drains, and waits until everyone was told.
    pub(crate) async fn tell_draining(&self, cx: &Cx, record: TargetRecord) -> bool {
        let (notice, rx) = self.add();
        cx.tell_leader(Up::Draining { record, notice }) && is_confirmed(rx).await
    }

    /// Tells the leader that a target leaves, and waits until everyone was told.
    pub(crate) async fn tell_leaving(&self, cx: &Cx, name: TargetName) -> bool {
        let (notice, rx) = self.add();
        cx.tell_leader(Up::Leaving { name, notice }) && is_confirmed(rx).await
    }
}

async fn is_confirmed(rx: oneshot::Receiver<()>) -> bool {
    matches!(timeout(NOTICE.duration(), rx).await, Ok(Ok(())))
}

/// Learns the stores, for the life of the process.
pub(crate) async fn gossip(cx: Arc<Cx>) {
    let own = cx.settings.ip;
    let mut turn = 0;
    loop {
        let mut peers = cx.seeds();
        peers.extend(cx.book().ips());
        peers.retain(|ip| *ip != own);
        peers.sort_unstable();
        peers.dedup();
        if !peers.is_empty() {
            let ip = peers[turn % peers.len()];
            turn = turn.wrapping_add(1 + rand::random_range(0..peers.len()));
            let entries = cx.gossip(Vec::new());
            if let Ok(crate::link::Answer::Gossip(entries)) =
                cx.links.ask(ip, &Ask::Gossip(entries), SILENCE).await
            {
                cx.gossip(entries);
            }
        }
        let early = cx.clock.now() < EARLY;
        pause(if early { GOSSIP_EARLY } else { GOSSIP }).await;
    }
}

/// Follows the leader, for the life of the process. `leads` says whether this instance itself does.
pub(crate) async fn run<F>(cx: Arc<Cx>, notices: Arc<Notices>, leads: F)
where
    F: Fn() -> bool + Send + 'static,
{
    loop {
        if leads() {
            pause(RETRY).await;
            continue;
        }
        let reached = follow_directly(&cx, &notices).await;
        if reached == Reached::NoneKnown {
            pause(UNTIL_KNOWN).await;
            continue;
        }
        // Stores that name no leader have none, and then other entries have none either.
        if reached == Reached::Nobody
            && cx.settings.callers.is_some()
            && let Some(ip) = cx.other_entry()
        {
            follow(&cx, &notices, ip, Way::ThroughEntry).await;
        }
        pause(RETRY).await;
    }
}

/// Whom an instance that looked for the leader found.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reached {
    /// No store is known yet, as at the start of a process.
    NoneKnown,
    /// No store answered, or only those that named a leader which did not answer.
    Nobody,
    /// A store answered that knows of no leader.
    NoLeader,
    /// The leader, which was followed until now.
    Leader,
}

/// Asks some stores for the leader and follows it.
async fn follow_directly(cx: &Arc<Cx>, notices: &Notices) -> Reached {
    let mut stores: Vec<IpAddr> = {
        let book = cx.book();
        book.alive(cx.clock.now()).map(|entry| entry.ip).collect()
    };
    stores.retain(|ip| *ip != cx.settings.ip);
    if stores.is_empty() {
        return Reached::NoneKnown;
    }
    stores.shuffle(&mut rand::rng());
    let hinted = cx.leader();
    let mut reached = Reached::Nobody;
    for ip in hinted.into_iter().chain(stores.into_iter().take(TRIES)) {
        let leader = match follow(cx, notices, ip, Way::Direct).await {
            Followed::Until => return Reached::Leader,
            Followed::Refused(leader) => leader.filter(|leader| *leader != ip),
            Followed::Unreachable => continue,
        };
        let Some(leader) = leader else {
            reached = Reached::NoLeader;
            continue;
        };
        match follow(cx, notices, leader, Way::Direct).await {
            Followed::Until => return Reached::Leader,
            Followed::Refused(_) => reached = Reached::NoLeader,
            Followed::Unreachable => {}
        }
    }
    reached
}

/// What came of following an instance.
enum Followed {
    /// It was followed as long as it spoke.
    Until,
    /// It does not lead. The leader, as far as it knows.
    Refused(Option<IpAddr>),
    /// It did not answer.
    Unreachable,
}

/// How the leader is followed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Direct,
    ThroughEntry,
}

/// Follows an instance as long as it speaks.
async fn follow(cx: &Arc<Cx>, notices: &Notices, ip: IpAddr, way: Way) -> Followed {
    let mut client =
        HubClient::new(cx.links.own_channel(ip)).max_decoding_message_size(MAX_MESSAGE);
    let (tx, rx) = mpsc::channel(WAITING);
    let ups = ReceiverStream::new(rx).map(|up: Up| Parcel {
        message: encode(&up),
    });
    let mut downs = match timeout(ACCEPT.duration(), client.follow(ups)).await {
        Ok(Ok(accepted)) => accepted.into_inner(),
        Ok(Err(status)) if status.code() == Code::FailedPrecondition => {
            return Followed::Refused(status.message().parse().ok());
        }
        Ok(Err(_)) | Err(_) => return Followed::Unreachable,
    };
    cx.balancer().forget_loads();
    let direct = way == Way::Direct;
    cx.set_leader(direct.then_some(ip));
    cx.set_ups(Some(tx.clone()));
    cx.relay.set_direct(direct);
    log::info!(leader:% = ip, direct; "following the leader");
    let hello = Up::Hello {
        ip: cx.settings.ip,
        domain: cx.settings.domain.clone(),
        is_entry: cx.settings.callers.is_some(),
    };
    // If this fails, the stream ends.
    let _ = tx.send(hello).await;
    let why = tokio::select! {
        why = take_in(cx, notices, &mut downs) => why,
        () = report(cx, &tx) => "the way to it is closed",
        () = until_direct(cx, way) => "the leader can be reached directly",
    };
    log::warn!(leader:% = ip, why; "the leader is followed no more");
    cx.relay.set_direct(false);
    cx.set_leader(None);
    cx.set_ups(None);
    Followed::Until
}

async fn take_in(cx: &Cx, notices: &Notices, downs: &mut Streaming<Parcel>) -> &'static str {
    loop {
        let parcel = match timeout(SILENCE.duration(), downs.message()).await {
            Ok(Ok(Some(parcel))) => parcel,
            Ok(Ok(None)) => return "it ended the stream",
            Ok(Err(_)) => return "the stream broke",
            Err(_) => return "it is silent",
        };
        let down = decode(&parcel.message);
        if let Ok(down) = &down {
            cx.relay.pass_on(down);
        }
        match down {
            Ok(Down::Manifest(manifest)) => cx.apply_manifest(&manifest),
            Ok(Down::Targets(records)) => cx.merge_targets(records),
            Ok(Down::Loads(loads)) => {
                let mut balancer = cx.balancer();
                balancer.set_loads(&loads);
                balancer.note_told(cx.clock.now());
                drop(balancer);
                cx.room.notify_waiters();
            }
            Ok(Down::Neighbours(neighbourhood)) => {
                cx.balancer().set_whole_region(neighbourhood.whole_region);
                cx.neighbours.set(neighbourhood.ips.into_iter().collect());
            }
            Ok(Down::Noted(notice)) => notices.confirm(notice),
            Err(_) => return "a message is malformed",
        }
    }
}

/// Ends a detour once the leader answers directly.
async fn until_direct(cx: &Cx, way: Way) {
    if way == Way::Direct {
        return std::future::pending().await;
    }
    loop {
        pause(LOOK_FOR_DIRECT).await;
        if cx.reaches_leader(ACCEPT).await {
            return;
        }
    }
}

/// Tells the leader the requests that are under way here, while that changes.
async fn report(cx: &Cx, tx: &mpsc::Sender<Up>) {
    let mut last = None;
    loop {
        let loads = cx.balancer().report();
        if last.as_ref() != Some(&loads) {
            if tx.send(Up::Loads(loads.clone())).await.is_err() {
                return;
            }
            last = Some(loads);
        }
        pause(REPORT).await;
    }
}
