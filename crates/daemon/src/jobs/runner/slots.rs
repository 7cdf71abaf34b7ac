//! The slots of a target that batch may use.

use std::sync::{
    Arc,
    mpsc::Sender, //
};

use yuccaseam_admit::Event;
use yuccaseam_base::TargetName;

use super::Input;
use crate::{
    admission::OwnerAdmission,
    context::Context,
    fleet::Announcement, //
};

/// The batch side of a target's gate. The gate's orders come back as [`Input::Gate`]; dropping
/// this ends the session.
pub(super) struct Slots {
    owner: Arc<OwnerAdmission>,
    target: TargetName,
}

impl Slots {
    pub(super) fn new(cx: &Context, target: &Announcement, tx: Sender<Input>) -> Self {
        let owner = Arc::clone(cx.admission.owner());
        let orders = move |action| {
            // The thread that is gone needs no slots.
            let _ = tx.send(Input::Gate(action));
        };
        owner.open_batch(cx, target, Box::new(orders));
        Self {
            owner,
            target: target.name.clone(),
        }
    }

    /// Tells the gate what happened.
    pub(super) fn tell(&self, event: Event) {
        self.owner.handle(&self.target, event);
    }

    /// Tells the gate whether the target takes connections.
    pub(super) fn set_refuses(&self, refuses: bool) {
        self.owner.set_refuses_connections(&self.target, refuses);
    }
}

impl Drop for Slots {
    fn drop(&mut self) {
        self.owner.end_batch(&self.target);
    }
}
