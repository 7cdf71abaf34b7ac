//! The slots of a target that batch may use.

use std::sync::{
    Mutex,
    mpsc::Sender, //
};

use yuccaseam_admit::{
    Balance,
    Event,
    Gate,
    Settings, //
};
use yuccaseam_base::Millis;

use super::{
    Input,
    lock, //
};

/// The gate of one target, as the batch side tells it what happens. Its orders come back as
/// [`Input::Gate`].
pub(super) struct Slots {
    gate: Mutex<Gate>,
    tx: Sender<Input>,
}

impl Slots {
    pub(super) fn new(slots: u32, balance: u64, tx: Sender<Input>) -> Self {
        let percent = u8::try_from(balance).unwrap_or(u8::MAX);
        let cfg = Settings {
            balance: Balance::percent(percent),
            ..Settings::for_slots(slots)
        };
        Self {
            gate: Mutex::new(Gate::new(cfg)),
            tx,
        }
    }

    /// Tells the gate what happened.
    pub(super) fn tell(&self, event: Event, now: Millis) {
        let actions = lock(&self.gate).handle(event, now);
        for action in actions {
            // The thread that is gone needs no slots.
            let _ = self.tx.send(Input::Gate(action));
        }
    }
}
