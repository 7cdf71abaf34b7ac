//! Detects that a target has died.

use std::net::TcpStream;

use yuccaseam_admit::Event as GateEvent;
use yuccaseam_base::Millis;
use yuccaseam_batch::Event;

use super::TargetThread;
use crate::fleet::Announcement;

/// Time-out of a probe connection to a target.
const PROBE_TIMEOUT: Millis = Millis(500);

impl TargetThread {
    /// Probes a target that failed a call. One that does not accept a connection is dead, and with
    /// it everything that ran there.
    pub(super) fn probe(&mut self) {
        let is_reachable =
            TcpStream::connect_timeout(&self.target.address, PROBE_TIMEOUT.duration()).is_ok();
        if is_reachable {
            self.suspect = false;
            self.slots.set_refuses_connections(false);
        } else {
            self.slots.set_refuses_connections(true);
            self.handle_death();
        }
    }

    pub(super) fn handle_death(&mut self) {
        for run in std::mem::take(&mut self.runs).into_keys() {
            self.notify_gate(GateEvent::BatchFinished(run));
        }
        self.handle(Event::TargetDied);
    }

    /// Applies a changed announcement. A new incarnation means that the previous process died.
    pub(super) fn apply_announcement(&mut self, target: Announcement) {
        let is_restarted = target.incarnation != self.target.incarnation;
        self.target = target;
        if is_restarted {
            self.handle_death();
            self.suspect = true;
            self.probe();
        }
    }
}
