//! Finding out whether a target lives.

use std::net::TcpStream;

use yuccaseam_admit::Event as GateEvent;
use yuccaseam_base::Millis;
use yuccaseam_batch::Event;

use super::TargetThread;
use crate::fleet::Announcement;

/// How long a target may take to accept a connection.
const PROBE: Millis = Millis(500);

impl TargetThread {
    /// Finds out whether a target that failed a call is there. One that refuses connections is
    /// dead, with everything that ran there.
    pub(super) fn probe(&mut self) {
        let found = TcpStream::connect_timeout(&self.target.address, PROBE.duration()).is_ok();
        if found {
            self.suspect = false;
            self.slots.set_refuses(false);
        } else {
            self.slots.set_refuses(true);
            self.died();
        }
    }

    pub(super) fn died(&mut self) {
        for run in std::mem::take(&mut self.runs).into_keys() {
            self.tell(GateEvent::BatchFinished(run));
        }
        self.handle(Event::TargetDied);
    }

    /// A new incarnation means that the process before it died.
    pub(super) fn announced(&mut self, target: Announcement) {
        let restarted = target.incarnation != self.target.incarnation;
        self.target = target;
        if restarted {
            self.died();
            self.suspect = true;
            self.probe();
        }
    }
}
