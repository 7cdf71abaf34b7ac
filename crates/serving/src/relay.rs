//! An entry that follows the leader lets others follow it.
//!
//! An entry may lose its way to the stores and still reach other entries. It then follows one of
//! these: what the leader tells that one is passed on, and announcements of targets go the other way.

use std::{
    collections::HashMap,
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
    follow::Notices,
    link::{
        Answer,
        Ask,
        Down,
        Handler,
        Up, //
    },
};

/// How long the leader may take with a question that is passed on.
const PASSED_ON: yuccaseam_base::Millis = yuccaseam_base::Millis(2_000);

#[derive(Default)]
struct Inner {
    /// Whether this instance follows the leader itself.
    direct: bool,
    next: u64,
    followers: HashMap<u64, mpsc::Sender<Down>>,
}

/// Those who follow this entry.
#[derive(Default)]
pub(crate) struct Relay {
    inner: Mutex<Inner>,
}

impl Relay {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics with the lock")
    }

    /// Notes whether this instance follows the leader itself. If not, nobody can follow it.
    pub(crate) fn set_direct(&self, direct: bool) {
        let mut inner = self.inner();
        inner.direct = direct;
        if !direct {
            inner.followers.clear();
        }
    }

    /// Passes on what the leader said.
    pub(crate) fn pass_on(&self, down: &Down) {
        let mut inner = self.inner();
        if matches!(down, Down::Neighbours(_) | Down::Noted(_)) {
            return;
        }
        inner
            .followers
            .retain(|_, tx| tx.try_send(down.clone()).is_ok());
    }

    fn add(&self, tx: mpsc::Sender<Down>, first: Vec<Down>) -> Option<u64> {
        let mut inner = self.inner();
        if !inner.direct {
            return None;
        }
        for down in first {
            tx.try_send(down).ok()?;
        }
        inner.next += 1;
        let number = inner.next;
        inner.followers.insert(number, tx);
        Some(number)
    }

    fn get(&self, follower: u64) -> Option<mpsc::Sender<Down>> {
        self.inner().followers.get(&follower).cloned()
    }

    fn remove(&self, follower: u64) {
        self.inner().followers.remove(&follower);
    }
}

/// An instance without a disk, as others see it.
pub(crate) struct Bystander {
    pub(crate) cx: Arc<Cx>,
    pub(crate) notices: Arc<Notices>,
}

#[tonic::async_trait]
impl Handler for Bystander {
    async fn answer(&self, ask: Ask) -> Answer {
        match ask {
            Ask::Gossip(entries) => Answer::Gossip(self.cx.gossip(entries)),
            Ask::PassOn(ask) => {
                let until = self.cx.clock.now() + PASSED_ON;
                let answer = self.cx.ask_leader_directly(&ask, until).await;
                answer.unwrap_or(Answer::NotLeader(None))
            }
            _ => Answer::NotLeader(self.cx.leader()),
        }
    }

    fn follow(&self, tx: mpsc::Sender<Down>) -> Result<u64, Option<IpAddr>> {
        let records: Vec<_> = self.cx.targets().records().cloned().collect();
        let manifest = self.cx.manifest().map(Down::Manifest);
        let first = manifest.into_iter().chain([Down::Targets(records)]);
        self.cx.relay.add(tx, first.collect()).ok_or(None)
    }

    fn on_up(&self, follower: u64, up: Up) {
        let (notice, told) = match up {
            Up::Announced(record) => {
                // A target that is not heard of announces itself again.
                let _ = self.cx.tell_leader(Up::Announced(record));
                return;
            }
            // The leader counts loads of those who follow it directly.
            Up::Hello { .. } | Up::Loads(_) => return,
            Up::Draining { record, notice } => (notice, Told::Draining(record)),
            Up::Leaving { name, notice } => (notice, Told::Leaving(name)),
        };
        let Some(tx) = self.cx.relay.get(follower) else {
            return;
        };
        let (cx, notices) = (Arc::clone(&self.cx), Arc::clone(&self.notices));
        tokio::spawn(async move {
            let noted = match told {
                Told::Draining(record) => notices.tell_draining(&cx, record).await,
                Told::Leaving(name) => notices.tell_leaving(&cx, name).await,
            };
            if noted {
                // A follower that is gone has no use for it.
                let _ = tx.send(Down::Noted(notice)).await;
            }
        });
    }

    fn unfollow(&self, follower: u64) {
        self.cx.relay.remove(follower);
    }

    fn on_packet(&self, from: String, _message: Vec<u8>) {
        log::warn!(peer:% = from; "a message of the replicated log reached an instance without a disk");
    }
}

enum Told {
    Draining(crate::targets::TargetRecord),
    Leaving(yuccaseam_base::TargetName),
}
