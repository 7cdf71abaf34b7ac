//! Batch access to the slots of a target.

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

/// Batch session at a target's gate. The gate's actions arrive as [`Input::Gate`]; dropping this
/// ends the session.
pub(super) struct Slots {
    owner: Arc<OwnerAdmission>,
    target: TargetName,
}

impl Slots {
    pub(super) fn new(cx: &Context, target: &Announcement, tx: Sender<Input>) -> Self {
        let owner = Arc::clone(cx.admission.owner());
        let on_action = move |action| {
            // Fails only if the thread of the target has ended.
            let _ = tx.send(Input::Gate(action));
        };
        owner.open_batch(cx, target, Box::new(on_action));
        Self {
            owner,
            target: target.name.clone(),
        }
    }

    /// Passes an event to the gate.
    pub(super) fn handle(&self, event: Event) {
        self.owner.handle(&self.target, event);
    }

    /// Sets in the gate whether the target refuses connections.
    pub(super) fn set_refuses_connections(&self, refuses: bool) {
        self.owner.set_refuses_connections(&self.target, refuses);
    }
}

impl Drop for Slots {
    fn drop(&mut self) {
        self.owner.end_batch(&self.target);
    }
}
