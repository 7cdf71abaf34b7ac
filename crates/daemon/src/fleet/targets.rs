//! The view of the targets that request threads read.

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

/// All targets that are not gone. Readers share one map, which is copied only if it changes while
/// a reader holds it.
#[derive(Default)]
pub(crate) struct Targets {
    known: RwLock<Arc<BTreeMap<TargetName, Announcement>>>,
}

impl Targets {
    /// Applies a changed record.
    pub(super) fn apply(&self, record: TargetRecord) {
        let mut known = self.known.write().expect("no thread panics with the lock");
        let known = Arc::make_mut(&mut known);
        let name = record.name().clone();
        match Announcement::try_from(record) {
            Ok(announcement) => drop(known.insert(name, announcement)),
            Err(_) => drop(known.remove(&name)),
        }
    }

    /// All targets that are not gone, by name.
    pub(crate) fn all(&self) -> Arc<BTreeMap<TargetName, Announcement>> {
        Arc::clone(&self.known.read().expect("no thread panics with the lock"))
    }

    /// The target of this name.
    pub(crate) fn get(&self, name: &TargetName) -> Option<Announcement> {
        self.all().get(name).cloned()
    }

    /// The targets that accept new work for this model.
    pub(crate) fn serving_model(&self, model: &str) -> Vec<Announcement> {
        self.accepting(|target| target.model.as_deref() == Some(model))
    }

    /// The targets that accept new work for this plain service.
    pub(crate) fn serving_service(&self, service: &str) -> Vec<Announcement> {
        self.accepting(|target| target.service.as_deref() == Some(service))
    }

    /// The live targets that match, or the suspect ones if none is live: most suspects are targets
    /// whose daemon failed and that will announce themselves to the next one.
    fn accepting<F>(&self, matches: F) -> Vec<Announcement>
    where
        F: Fn(&Announcement) -> bool,
    {
        let all = self.all();
        let in_state = |state| {
            let matching = all.values().filter(|target| target.state == state);
            matching.filter(|target| matches(target)).cloned().collect()
        };
        let live: Vec<_> = in_state(State::Live);
        if live.is_empty() {
            return in_state(State::Suspect);
        }
        live
    }
}
