//! The targets that announced themselves to any daemon.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Mutex, //
};

use yuccaseam_base::{
    FailureDomain,
    Millis,
    Region,
    TargetName,
    record, //
};

/// How long a target is used after its last announcement.
const EXPIRY: Millis = Millis(5_000);

/// What a target says of itself.
#[record]
pub(crate) struct Announcement {
    pub(crate) name: TargetName,
    pub(crate) address: SocketAddr,
    pub(crate) kind: Kind,
    /// The model that an engine serves.
    #[serde(default)]
    pub(crate) model: Option<String>,
    /// The name of the plain service.
    #[serde(default)]
    pub(crate) service: Option<String>,
    pub(crate) region: Region,
    pub(crate) failure_domain: FailureDomain,
    /// How many calls it runs at once.
    pub(crate) slots: u32,
    pub(crate) state: State,
    /// Grows with each start of the target's process.
    pub(crate) incarnation: u64,
}

/// What a target is.
#[record]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// A worker of a model engine.
    Engine,
    /// A copy of a plain service.
    Service,
}

/// Whether a target takes new work.
#[record]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    /// It takes new work.
    Live,
    /// It finishes what it runs and takes nothing new.
    Leaving,
}

struct Known {
    announcement: Announcement,
    renewed_at: Millis,
}

/// Every target that this daemon has heard of lately.
#[derive(Default)]
pub(crate) struct Targets {
    known: Mutex<BTreeMap<TargetName, Known>>,
}

impl Targets {
    /// Takes an announcement in. An older incarnation, or a target that is live again after it
    /// said in the same incarnation that it leaves, changes nothing.
    pub(crate) fn announce(&self, announcement: Announcement, now: Millis) {
        let mut known = self.known.lock().expect("no thread panics with the lock");
        if let Some(old) = known.get(&announcement.name) {
            let old = &old.announcement;
            let stale = announcement.incarnation < old.incarnation;
            let returns = announcement.incarnation == old.incarnation
                && old.state == State::Leaving
                && announcement.state == State::Live;
            if stale || returns {
                return;
            }
        }
        known.insert(
            announcement.name.clone(),
            Known {
                announcement,
                renewed_at: now,
            },
        );
    }

    /// Every target whose announcement is not too old.
    pub(crate) fn all(&self, now: Millis) -> Vec<Announcement> {
        let known = self.known.lock().expect("no thread panics with the lock");
        known
            .values()
            .filter(|known| now - known.renewed_at < EXPIRY)
            .map(|known| known.announcement.clone())
            .collect()
    }

    /// A target by its name, if its announcement is not too old.
    pub(crate) fn get(&self, name: &TargetName, now: Millis) -> Option<Announcement> {
        let known = self.known.lock().expect("no thread panics with the lock");
        let known = known.get(name)?;
        (now - known.renewed_at < EXPIRY).then(|| known.announcement.clone())
    }

    /// The targets that take new work for this model.
    pub(crate) fn of_model(&self, model: &str, now: Millis) -> Vec<Announcement> {
        self.live(now, |target| target.model.as_deref() == Some(model))
    }

    /// The targets that take new work for this plain service.
    pub(crate) fn of_service(&self, service: &str, now: Millis) -> Vec<Announcement> {
        self.live(now, |target| target.service.as_deref() == Some(service))
    }

    fn live<F>(&self, now: Millis, matches: F) -> Vec<Announcement>
    where
        F: Fn(&Announcement) -> bool,
    {
        let mut targets = self.all(now);
        targets.retain(|target| target.state == State::Live && matches(target));
        targets
    }
}
