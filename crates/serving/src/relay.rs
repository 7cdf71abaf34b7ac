//! Relayed connections to the leader.
//!
//! An entry that cannot reach the stores but still reaches other entries follows one of these. That
//! entry forwards the leader's messages to it, and its target announcements to the leader.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::IpAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
};

use tokio::sync::mpsc;

use crate::{
    cx::Cx,
    deputies,
    follow::PendingNotifications,
    link::{
        FollowerMessage,
        Handler,
        HubReply,
        HubRequest,
        LeaderFrame,
        LeaderMessage, //
    },
    quarantine::FeatureList,
};

/// Time limit for the leader to answer a forwarded request.
const FORWARD_TIMEOUT: yuccaseam_base::Millis = yuccaseam_base::Millis(2_000);

#[derive(Default)]
struct Inner {
    /// Whether this instance has a direct connection to the leader.
    direct: bool,
    next_id: u64,
    followers: HashMap<u64, mpsc::Sender<LeaderFrame>>,
    /// Followers that understand lists of features.
    accept_features: HashSet<u64>,
    /// Followers that understand lists of flows beyond their share.
    accept_shares: HashSet<u64>,
}

/// Instances that follow the leader through this entry.
#[derive(Default)]
pub(crate) struct Relay {
    inner: Mutex<Inner>,
}

impl Relay {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics with the lock")
    }

    /// Sets whether this instance has a direct connection to the leader. If it has none, all
    /// followers are dropped and new ones refused.
    pub(crate) fn set_direct(&self, direct: bool) {
        let mut inner = self.inner();
        inner.direct = direct;
        if !direct {
            inner.followers.clear();
        }
    }

    /// Forwards a message of the leader to all followers. Drops followers whose queue is full.
    pub(crate) fn forward(&self, message: &LeaderMessage) {
        let mut inner = self.inner();
        if matches!(
            message,
            LeaderMessage::Neighbours(_) | LeaderMessage::Noted(_) | LeaderMessage::Quotas(_)
        ) {
            return;
        }
        if inner.followers.is_empty() {
            return;
        }
        let frame = LeaderFrame::from(message);
        let is_features = matches!(message, LeaderMessage::Features(_));
        let is_shares = matches!(message, LeaderMessage::Shares(_));
        let Inner {
            followers,
            accept_features,
            accept_shares,
            ..
        } = &mut *inner;
        followers.retain(|id, tx| {
            (is_features && !accept_features.contains(id))
                || (is_shares && !accept_shares.contains(id))
                || tx.try_send(frame.clone()).is_ok()
        });
        accept_features.retain(|id| followers.contains_key(id));
        accept_shares.retain(|id| followers.contains_key(id));
    }

    fn add(&self, tx: mpsc::Sender<LeaderFrame>, initial: Vec<LeaderMessage>) -> Option<u64> {
        let mut inner = self.inner();
        if !inner.direct {
            return None;
        }
        for message in initial {
            tx.try_send(LeaderFrame::from(&message)).ok()?;
        }
        inner.next_id += 1;
        let id = inner.next_id;
        inner.followers.insert(id, tx);
        Some(id)
    }

    /// Sends the list of features to a follower that accepts it, now and after each change.
    fn accept_features(&self, follower: u64, list: FeatureList) {
        let mut inner = self.inner();
        let frame = LeaderFrame::from(&LeaderMessage::Features(list));
        let tx = inner.followers.get(&follower);
        if tx.is_some_and(|tx| tx.try_send(frame).is_ok()) {
            inner.accept_features.insert(follower);
        }
    }

    /// Records that a follower understands lists of flows beyond their share.
    fn accept_shares(&self, follower: u64) {
        self.inner().accept_shares.insert(follower);
    }

    fn get(&self, follower: u64) -> Option<mpsc::Sender<LeaderFrame>> {
        self.inner().followers.get(&follower).cloned()
    }

    fn remove(&self, follower: u64) {
        self.inner().followers.remove(&follower);
    }
}

/// Handles the calls of other instances on an instance without a disk.
pub(crate) struct DisklessInstance {
    pub(crate) cx: Arc<Cx>,
    pub(crate) notifications: Arc<PendingNotifications>,
}

#[tonic::async_trait]
impl Handler for DisklessInstance {
    async fn handle(&self, request: HubRequest) -> HubReply {
        match request {
            HubRequest::Gossip(entries) => HubReply::Gossip(self.cx.merge_stores(entries)),
            HubRequest::PassOn(request) => {
                let deadline = self.cx.clock.now() + FORWARD_TIMEOUT;
                let reply = self.cx.call_leader_directly(&request, deadline).await;
                reply.unwrap_or(HubReply::NotLeader(None))
            }
            HubRequest::AskDeputy { entry, ask } => deputies::answer(&self.cx, entry, &ask)
                .await
                .map_or(HubReply::NotFound, HubReply::Quotas),
            _ => HubReply::NotLeader(self.cx.leader()),
        }
    }

    fn follow(&self, tx: mpsc::Sender<LeaderFrame>) -> Result<u64, Option<IpAddr>> {
        let records: Vec<_> = self.cx.targets().records().cloned().collect();
        let manifest = self.cx.manifest().map(LeaderMessage::Manifest);
        let initial = manifest
            .into_iter()
            .chain([LeaderMessage::Targets(records)]);
        self.cx.relay.add(tx, initial.collect()).ok_or(None)
    }

    fn on_message(&self, follower: u64, message: FollowerMessage) {
        let (notice, change) = match message {
            FollowerMessage::Announced(record) => {
                // A lost announcement is replaced by the target's next one.
                let _ = self.cx.send_to_leader(FollowerMessage::Announced(record));
                return;
            }
            FollowerMessage::Drains(target) => {
                self.cx.mark_draining(target);
                // Without a connection, the leader is told once it sends its targets.
                self.cx.send_to_leader(FollowerMessage::Drains(target));
                return;
            }
            FollowerMessage::AcceptsFeatures => {
                let list = self.cx.feature_guard().list().clone();
                return self.cx.relay.accept_features(follower, list);
            }
            // The leader leaves an entry that it does not hear its share.
            FollowerMessage::AskQuotas(_) => return,
            FollowerMessage::AcceptsShares => return self.cx.relay.accept_shares(follower),
            // The leader counts only the loads and the demand of its direct followers.
            FollowerMessage::Hello { .. }
            | FollowerMessage::Loads(_)
            | FollowerMessage::Demand(_) => return,
            FollowerMessage::Started { record, notice } => (notice, TargetChange::Started(record)),
            FollowerMessage::Draining { record, notice } => {
                (notice, TargetChange::Draining(record))
            }
            FollowerMessage::Leaving { name, notice } => {
                (notice, TargetChange::Leaving(name, None))
            }
            FollowerMessage::StartLeaving {
                name,
                started_at,
                notice,
            } => (notice, TargetChange::Leaving(name, Some(started_at))),
        };
        let Some(tx) = self.cx.relay.get(follower) else {
            return;
        };
        let (cx, notifications) = (Arc::clone(&self.cx), Arc::clone(&self.notifications));
        tokio::spawn(async move {
            let confirmed = match change {
                TargetChange::Started(record) => notifications.notify_started(&cx, record).await,
                TargetChange::Draining(record) => notifications.notify_draining(&cx, record).await,
                TargetChange::Leaving(name, started_at) => {
                    notifications.notify_leaving(&cx, name, started_at).await
                }
            };
            if confirmed {
                // The follower may have disconnected.
                let frame = LeaderFrame::from(&LeaderMessage::Noted(notice));
                let _ = tx.send(frame).await;
            }
        });
    }

    fn unfollow(&self, follower: u64) {
        self.cx.relay.remove(follower);
    }

    fn on_packet(&self, from: String, _message: Vec<u8>) {
        log::warn!(peer:% = from; "replicated log message dropped: no disk here");
    }
}

/// A change of a target that the leader confirms.
enum TargetChange {
    Started(crate::targets::TargetRecord),
    Draining(crate::targets::TargetRecord),
    /// The start that leaves, in ms since the Unix epoch, if it is known.
    Leaving(yuccaseam_base::TargetName, Option<u64>),
}
