//! Periodic work of the driver: ticks, hellos, group maintenance and snapshots.

use yuccaseam_base::Millis;
use yuccaseam_journal::Position;
use yuccaseam_quorum::{
    Event,
    Index,
    Membership,
    Timing,
    Token, //
};
use yuccaseam_replica::DiskRequest;

use super::{
    super::{
        ReplicaStatus,
        frame::{
            Frame,
            Hello, //
        }, //
    },
    Driver,
    LogSample, //
};

/// Minimum growth of the log before a snapshot is written. If the last snapshot is larger, the log
/// must grow by that size, so that snapshots cost a constant share of the writes and a restart
/// reads no more than twice the state.
const MIN_SNAPSHOT_LOG_BYTES: u64 = 4 << 20;
/// Interval between hellos while this replica is not a voter.
const JOINING_HELLO_INTERVAL: Millis = Millis(200);
/// Interval between hellos of a voter.
const HELLO_INTERVAL: Millis = Millis(1_000);
/// How often the leader maintains the group and the member list is refreshed.
const MAINTENANCE_INTERVAL: Millis = Millis(200);
/// Age of the log position up to which a learner must hold all blobs to be promoted. A blob may
/// reach the learner later than the entry that refers to it.
const BLOB_REPLICATION_DELAY: Millis = Millis(2_000);

impl Driver {
    pub(super) fn tick_if_due(&mut self) {
        let now = self.clock.now();
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + Timing::default().tick_interval;
        self.step(Event::Tick);
        self.bootstrap_if_possible();
        if now >= self.hello_at {
            self.send_hello(now);
        }
        if now >= self.maintain_at {
            self.maintain_at = now + MAINTENANCE_INTERVAL;
            self.maintain(now);
            self.refresh_members();
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        self.group().is_some_and(|group| group.is_voter(self.id))
    }

    pub(super) fn has_group(&self) -> bool {
        self.core
            .as_ref()
            .is_none_or(|core| !core.membership().is_empty() || core.last_index() > Index::ZERO)
    }

    pub(super) fn bootstrap_if_possible(&mut self) {
        if self.has_group() || !self.formation.can_bootstrap() {
            return;
        }
        log::info!("no configured voter belongs to a group; bootstrapping a new one");
        let group = Membership::of_voters([(self.id, self.own.clone())]);
        self.core = None;
        self.send_to_disk(DiskRequest::Bootstrap(group));
    }

    /// Sends a hello to every known replica.
    pub(super) fn send_hello(&mut self, now: Millis) {
        self.hello_at = now
            + if self.is_voter() {
                HELLO_INTERVAL
            } else {
                JOINING_HELLO_INTERVAL
            };
        let hello = Frame::Hello(Hello {
            disk: self.id.0,
            has_group: self.has_group(),
            blobs_upto: self.blobs_upto,
        });
        let members = self.group().into_iter().flat_map(Membership::iter);
        let mut names: Vec<_> = members.map(|(_, member)| member.name.clone()).collect();
        names.extend(self.configured.iter().cloned());
        names.sort_unstable();
        names.dedup();
        for name in names.iter().filter(|&name| *name != self.own) {
            self.transport.send(name, &hello);
        }
    }

    /// Proposes the next change, if any, that brings configured voters into the group. A change that is refused does
    /// not keep the others from their turns.
    pub(super) fn maintain(&mut self, now: Millis) {
        let Some(core) = self.core.as_ref().filter(|core| core.is_leader()) else {
            self.rotation.clear();
            return self.log_samples.clear();
        };
        let last = core.last_index();
        self.log_samples.push_back(LogSample { at: now, last });
        while self.log_samples.len() > 1 && self.log_samples[0].at + BLOB_REPLICATION_DELAY < now {
            self.log_samples.pop_front();
        }
        let blobs_needed = self.log_samples[0].last;
        if !core.accepts_changes() {
            return;
        }
        let open =
            self.manager
                .open_changes(&self.configured, core.membership(), blobs_needed, now);
        if let Some(change) = self.rotation.next(open) {
            log::debug!("proposing a group change: {change:?}");
            self.next_token += 1;
            let token = Token(self.next_token);
            self.step(Event::ChangeMembers { token, change });
        }
    }

    pub(super) fn refresh_members(&mut self) {
        if let Some(core) = &self.core {
            self.members = self.manager.list(core, self.clock.now());
        }
    }

    pub(super) fn snapshot_if_due(&mut self) {
        let Some(core) = &self.core else {
            return;
        };
        let due = self.log_bytes >= MIN_SNAPSHOT_LOG_BYTES.max(self.snapshot_bytes);
        if !due || self.snapshot_running {
            return;
        }
        let Some((term, members)) = core.term_and_membership_at(self.applied) else {
            return;
        };
        let state = self.state.snapshot();
        self.snapshot_bytes = state.len() as u64;
        let request = DiskRequest::Snapshot {
            position: Position {
                index: self.applied.0,
                term: term.0,
            },
            members: members.clone(),
            state,
        };
        self.snapshot_running = true;
        self.log_bytes = 0;
        self.send_to_disk(request);
    }

    pub(super) fn publish(&mut self) {
        let Some(core) = &self.core else {
            return self.status.set(ReplicaStatus::default());
        };
        let group = core.membership();
        let name = |id| group.get(id).map(|member| member.name.clone());
        self.status.set(ReplicaStatus {
            leader: self.leader_name(),
            lease_until: core.lease_until(),
            term: core.term().0,
            applied: self.applied.0,
            members: self.members.clone(),
            voters: group.voters().filter_map(name).collect(),
            votes: self.is_voter(),
            forming: self.is_forming(),
        });
    }
}
