//! What the driver does as time passes: ticks, signs of life, the group, snapshots.

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
        Status,
        frame::{
            Frame,
            Hello, //
        }, //
    },
    Driver,
    Mark, //
};

/// The least growth of the log, in bytes, after which the state machine is written to a snapshot.
/// A larger snapshot waits until the log has grown by its size, so that snapshots cost a constant
/// share of the writes and a restart reads no more than twice the state.
const SNAPSHOT_BYTES: u64 = 4 << 20;
/// How often they are told while this replica does not vote.
const HELLO_JOINING: Millis = Millis(200);
/// How often the other replicas are told who this one is.
const HELLO: Millis = Millis(1_000);
/// How often the leader looks after the group.
const UPKEEP: Millis = Millis(200);
/// How far back the entry lies whose blobs a learner must hold to be promoted. A blob may reach
/// the learner only after the entry that refers to it.
const BLOB_LAG: Millis = Millis(2_000);

impl Driver {
    pub(super) fn tick_if_due(&mut self) {
        let now = self.clock.now();
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + Timing::default().tick_interval;
        self.step(Event::Tick);
        self.begin_group_if_first();
        if now >= self.hello_at {
            self.say_hello(now);
        }
        if now >= self.upkeep_at {
            self.upkeep_at = now + UPKEEP;
            self.upkeep(now);
            self.refresh_members();
        }
    }

    pub(super) fn votes(&self) -> bool {
        self.group().is_some_and(|group| group.is_voter(self.id))
    }

    pub(super) fn has_group(&self) -> bool {
        self.core
            .as_ref()
            .is_none_or(|core| !core.membership().is_empty() || core.last_index() > Index::ZERO)
    }

    pub(super) fn begin_group_if_first(&mut self) {
        if self.has_group() || !self.formation.may_begin_group() {
            return;
        }
        log::info!("no configured voter belongs to a group: a new one begins here");
        let group = Membership::of_voters([(self.id, self.own.clone())]);
        self.core = None;
        self.ask_disk(DiskRequest::Bootstrap(group));
    }

    /// Tells every replica that is known who this one is.
    pub(super) fn say_hello(&mut self, now: Millis) {
        self.hello_at = now + if self.votes() { HELLO } else { HELLO_JOINING };
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

    /// What the leader does about the configured voters without being asked.
    pub(super) fn upkeep(&mut self, now: Millis) {
        let Some(core) = self.core.as_ref().filter(|core| core.is_leader()) else {
            return self.marks.clear();
        };
        let last = core.last_index();
        self.marks.push_back(Mark { at: now, last });
        while self.marks.len() > 1 && self.marks[0].at + BLOB_LAG < now {
            self.marks.pop_front();
        }
        let needed = self.marks[0].last;
        let change = self
            .presence
            .upkeep(&self.configured, core.membership(), needed, now);
        if let Some(change) = change {
            log::debug!("the group is to change: {change:?}");
            self.next_token += 1;
            let token = Token(self.next_token);
            self.step(Event::ChangeMembers { token, change });
        }
    }

    pub(super) fn refresh_members(&mut self) {
        if let Some(core) = &self.core {
            self.members = self.presence.list(core, self.clock.now());
        }
    }

    pub(super) fn snapshot_if_due(&mut self) {
        let Some(core) = &self.core else {
            return;
        };
        let due = self.log_bytes >= SNAPSHOT_BYTES.max(self.snapshot_bytes);
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
        self.ask_disk(request);
    }

    pub(super) fn publish(&mut self) {
        let Some(core) = &self.core else {
            return self.status.set(Status::default());
        };
        let group = core.membership();
        let name = |id| group.get(id).map(|member| member.name.clone());
        self.status.set(Status {
            leader: self.leader_name(),
            lease_until: core.lease_until(),
            term: core.term().0,
            applied: self.applied.0,
            members: self.members.clone(),
            voters: group.voters().filter_map(name).collect(),
            votes: self.votes(),
            forming: self.is_forming(),
        });
    }
}
