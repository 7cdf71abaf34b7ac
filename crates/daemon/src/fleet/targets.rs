//! The view of targets that requests read.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        RwLock, //
    },
};

use yuccaseam_base::TargetName;
use yuccaseam_fleet::TargetRecord;

use super::{
    Announcement,
    State, //
};

/// Every target that is not gone. Readers share one map, which is copied only when it changes
/// while somebody reads it.
#[derive(Default)]
pub(crate) struct Targets {
    known: RwLock<Arc<BTreeMap<TargetName, Announcement>>>,
}

impl Targets {
    /// Takes a change in.
    pub(super) fn apply(&self, record: TargetRecord) {
        let mut known = self.known.write().expect("no thread panics with the lock");
        let known = Arc::make_mut(&mut known);
        let name = record.name().clone();
        match Announcement::try_from(record) {
            Ok(announcement) => drop(known.insert(name, announcement)),
            Err(_) => drop(known.remove(&name)),
        }
    }

    /// Every target.
    pub(crate) fn all(&self) -> Arc<BTreeMap<TargetName, Announcement>> {
        Arc::clone(&self.known.read().expect("no thread panics with the lock"))
    }

    /// A target by its name.
    pub(crate) fn get(&self, name: &TargetName) -> Option<Announcement> {
        self.all().get(name).cloned()
    }

    /// The targets that take new work for this model.
    pub(crate) fn of_model(&self, model: &str) -> Vec<Announcement> {
        self.usable(|target| target.model.as_deref() == Some(model))
    }

    /// The targets that take new work for this plain service.
    pub(crate) fn of_service(&self, service: &str) -> Vec<Announcement> {
        self.usable(|target| target.service.as_deref() == Some(service))
    }

    /// The live targets that match; suspects only if none of them is live, because most suspects
    /// are targets whose daemon failed and that announce themselves to the next one.
    fn usable<F>(&self, matches: F) -> Vec<Announcement>
    where
        F: Fn(&Announcement) -> bool,
    {
        let all = self.all();
        let in_state = |state| {
            let found = all.values().filter(|target| target.state == state);
            found.filter(|target| matches(target)).cloned().collect()
        };
        let live: Vec<_> = in_state(State::Live);
        if live.is_empty() {
            return in_state(State::Suspect);
        }
        live
    }
}
