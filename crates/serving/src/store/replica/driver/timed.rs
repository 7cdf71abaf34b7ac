//! What the driver does as time passes: ticks, signs of life, the group, snapshots.

use std::collections::BTreeSet;

use yuccaseam_base::{
    Machine as _,
    Millis, //
};
use yuccaseam_journal::Position;
use yuccaseam_quorum::{
    Core,
    Event,
    Index,
    Membership,
    Token, //
};
use yuccaseam_replica::DiskRequest;

use super::{
    super::super::{
        Seen,
        transport::{
            Frame,
            Hello, //
        },
    },
    Driver, //
};

/// How often a store without a group says who it is.
const HELLO_JOINING: Millis = Millis(200);
/// How often a store of a group says who it is.
const HELLO: Millis = Millis(1_000);
/// How often the leader looks after the group. A learner in another region holds the whole log only
/// between two writes.
const UPKEEP: Millis = Millis(50);
/// The least growth of the log, in bytes, after which the state is written to a snapshot.
const SNAPSHOT_BYTES: u64 = 4 << 20;

impl Driver {
    pub(super) fn on_tick(&mut self) {
        let now = self.cx.clock.now();
        self.step(Event::Tick);
        if now >= self.hello_at {
            self.say_hello(now);
        }
        if now >= self.upkeep_at {
            self.upkeep_at = now + UPKEEP;
            self.upkeep(now);
        }
    }

    fn has_group(&self) -> bool {
        self.core
            .as_ref()
            .is_none_or(|core| !core.membership().is_empty() || core.last_index() > Index::ZERO)
    }

    fn say_hello(&mut self, now: Millis) {
        let has_group = self.has_group();
        self.hello_at = now + if has_group { HELLO } else { HELLO_JOINING };
        let own = self.cx.settings.instance.clone();
        let founder = self.keeper().founder();
        let hello = Hello {
            disk: self.id.0,
            domain: self.cx.settings.domain.clone(),
            has_group,
            founder: founder.clone(),
        };
        let seen = Seen {
            disk: self.id,
            domain: hello.domain.clone(),
            has_group,
            founder,
            at: now,
        };
        self.keeper().on_hello(own.clone(), seen);
        let frame = Frame::Hello(hello);
        let mut others: BTreeSet<_> = {
            let book = self.cx.book();
            book.entries().into_iter().map(|entry| entry.name).collect()
        };
        let group = self.core.as_ref().map(Core::membership);
        let members = group.into_iter().flat_map(Membership::iter);
        others.extend(members.map(|(_, member)| member.name.clone()));
        others.remove(&own);
        for other in others {
            self.transport.send(&other, &frame);
        }
    }

    fn upkeep(&mut self, now: Millis) {
        if !self.has_group() && self.keeper().may_found(now) {
            log::info!("no store belongs to a group: a new one begins here");
            let group = Membership::of_voters([(self.id, self.cx.settings.instance.clone())]);
            self.core = None;
            return self.ask_disk(DiskRequest::BeginGroup(group));
        }
        let Some(core) = self.core.as_ref().filter(|core| core.is_leader()) else {
            return;
        };
        let retiring = self.lock().state.retiring().clone();
        let is_synced = |id| core.synced_index_of(id) >= Some(core.commit_index());
        let change = self
            .keeper()
            .next_change(core.membership(), &retiring, is_synced, now);
        if let Some(change) = change {
            log::info!(change:? = change; "the group is to change");
            self.next_token += 1;
            let token = Token(self.next_token);
            self.step(Event::ChangeMembers { token, change });
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
        let Some((term, members)) = core.describe(self.applied) else {
            return;
        };
        let members = members.clone();
        let state = self.lock().state.snapshot();
        self.snapshot_bytes = state.len() as u64;
        self.snapshot_running = true;
        self.log_bytes = 0;
        self.ask_disk(DiskRequest::Snapshot {
            position: Position {
                index: self.applied.0,
                term: term.0,
            },
            members,
            state,
        });
    }

    pub(super) fn publish(&mut self) {
        let leads = self.core.as_ref().is_some_and(Core::is_leader);
        if leads != self.led {
            self.led = leads;
            self.lock().is_current = false;
            self.barrier = None;
            if !leads {
                log::info!("this instance does not lead any more");
            }
        }
        if leads && self.barrier.is_none() && !self.lock().is_current && !self.is_forming() {
            self.next_token += 1;
            let token = Token(self.next_token);
            self.barrier = Some(token);
            self.step(Event::Read(token));
        }
        let leader = self.core.as_ref().and_then(Core::leader);
        let leader = leader.and_then(|id| self.name_of(id));
        let lease_until = self.core.as_ref().and_then(Core::lease_until);
        let group = self.core.as_ref().map(Core::membership).cloned();
        let mut published = self.lock();
        published.leader = leader;
        published.lease_until = lease_until;
        if let Some(group) = group
            && published.group != group
        {
            let voters: Vec<_> = group.voters().map(|id| id.to_string()).collect();
            log::info!(voters:% = voters.join(","); "the group has changed");
            published.group = group;
        }
    }
}
