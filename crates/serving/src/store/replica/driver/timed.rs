//! Periodic work of the driver: ticks of the core, hellos, group changes and snapshots.

use std::collections::BTreeSet;

use yuccaseam_base::{
    InstanceName,
    Machine as _,
    Millis, //
};
use yuccaseam_journal::Position;
use yuccaseam_quorum::{
    Change,
    ChangeError,
    Core,
    DiskId,
    Event,
    Index,
    Membership,
    Token, //
};
use yuccaseam_replica::DiskRequest;

use super::{
    super::super::{
        JoinStep, MemberStatus, StoreStatus,
        transport::{
            Frame,
            Hello, //
        },
    },
    Driver, //
};

/// How often a store without a group sends its hello.
const JOINING_HELLO_INTERVAL: Millis = Millis(200);
/// How often a member of a group sends its hello.
const HELLO_INTERVAL: Millis = Millis(1_000);
/// How often the leader checks for a group change.
const MAINTENANCE_INTERVAL: Millis = Millis(50);
/// How often the leader reports learners that do not keep up with the log.
const LAG_REPORT_INTERVAL: Millis = Millis(1_000);
/// Time without a known leader, longer than an election, after which each such time is reported.
const NO_LEADER_REPORT_INTERVAL: Millis = Millis(2_000);
/// Minimum growth of the log before the state is written to a snapshot.
const MIN_SNAPSHOT_BYTES: u64 = 1 << 20;
/// Growth of the log before the state is written to a snapshot, as a divisor of the size of the last one:
/// a store that joins receives both.
const SNAPSHOT_GROWTH_DIVISOR: u64 = 4;
/// Growth of the log up to which a snapshot that is being sent is not replaced by a newer one, with which
/// the transfer would start again.
const MAX_HELD_LOG_BYTES: u64 = 8 << 20;
/// Pause after a snapshot that was not written.
const SNAPSHOT_BACKOFF: Millis = Millis(1_000);

impl Driver {
    pub(super) fn on_tick(&mut self) {
        let now = self.cx.clock.now();
        self.step(Event::Tick);
        if now >= self.hello_at {
            self.send_hello(now);
        }
        if now >= self.maintain_at {
            self.maintain_at = now + MAINTENANCE_INTERVAL;
            self.maintain_group(now);
        }
        self.report_missing_leader(now);
    }

    /// Logs that this member of a group knows of no leader, as while most voters are lost.
    fn report_missing_leader(&mut self, now: Millis) {
        let core = self.core.as_ref();
        let Some(core) =
            core.filter(|core| core.leader().is_none() && !core.membership().is_empty())
        else {
            self.leader_known_at = now;
            return;
        };
        if now < self.leader_known_at + NO_LEADER_REPORT_INTERVAL {
            return;
        }
        self.leader_known_at = now;
        let group = core.membership();
        let voters: Vec<_> = group.voters().map(|id| id.to_string()).collect();
        log::warn!(
            voters:% = voters.join(","), votes = group.is_voter(self.id), term = core.term().0,
            last = core.last_index().0; "no leader known");
    }

    fn has_group(&self) -> bool {
        self.core
            .as_ref()
            .is_none_or(|core| !core.membership().is_empty() || core.last_index() > Index::ZERO)
    }

    fn send_hello(&mut self, now: Millis) {
        let has_group = self.has_group();
        self.hello_at = now
            + if has_group {
                HELLO_INTERVAL
            } else {
                JOINING_HELLO_INTERVAL
            };
        let own = self.cx.settings.instance.clone();
        let hello = self.hello();
        let status = StoreStatus {
            disk: self.id,
            domain: hello.domain.clone(),
            has_group,
            founder: hello.founder.clone(),
            received_at: now,
        };
        self.manager().record_hello(own.clone(), status);
        let frame = Frame::Hello(hello);
        let mut recipients: BTreeSet<_> = {
            let book = self.cx.address_book();
            book.entries().into_iter().map(|entry| entry.name).collect()
        };
        let group = self.core.as_ref().map(Core::membership);
        let members = group.into_iter().flat_map(Membership::iter);
        recipients.extend(members.map(|(_, member)| member.name.clone()));
        recipients.remove(&own);
        for recipient in recipients {
            self.transport.send(&recipient, &frame);
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            disk: self.id.0,
            domain: self.cx.settings.domain.clone(),
            has_group: self.has_group(),
            founder: self.manager().founder(),
        }
    }

    /// Answers the hello of a store without a group: it can reply to the leader only once it knows which
    /// instance holds the leader's disk.
    pub(super) fn answer_hello(&mut self, to: &InstanceName) {
        if self.has_group() {
            let frame = Frame::Hello(self.hello());
            self.transport.send(to, &frame);
        }
    }

    fn maintain_group(&mut self, now: Millis) {
        let known_stores = self.cx.address_book().alive(now).count();
        self.manager().record_known_stores(known_stores);
        if !self.has_group() && self.manager().can_bootstrap(now) {
            log::info!("no store belongs to a group; bootstrapping a new one");
            let group = Membership::of_voters([(self.id, self.cx.settings.instance.clone())]);
            self.core = None;
            return self.send_to_disk(DiskRequest::Bootstrap(group));
        }
        let Some(core) = self.core.as_ref().filter(|core| core.is_leader()) else {
            return;
        };
        let retiring = self.lock().state.retiring().clone();
        self.joins.observe(core, now);
        if now >= self.report_lag_at {
            self.report_lag_at = now + LAG_REPORT_INTERVAL;
            report_lagging_learners(core, now);
        }
        let is_synced = |id| core.keeps_up(id) && core.is_active(id);
        let change = {
            let mut manager = self.manager();
            manager.observe_members(member_statuses(core, self.id), now);
            if !core.accepts_changes() {
                return;
            }
            manager.next_change(core.membership(), &retiring, is_synced, now)
        };
        let Some(change) = change else {
            return;
        };
        if matches!(change, Change::AddLearner { .. }) && !self.can_join() {
            return;
        }
        if !self.manager().was_refused(&change) {
            let joining = match &change {
                Change::Promote(id) | Change::Replace { new: id, .. } => {
                    let core = self.core.as_ref();
                    core.and_then(|core| core.progress_of(*id))
                }
                Change::AddLearner { .. } | Change::Remove(_) => None,
            };
            log::info!(change:? = change, progress = joining.as_deref(); "group change proposed");
        }
        let token = self.next_token();
        self.proposed_change = Some((token, change.clone()));
        self.step(Event::ChangeMembers { token, change });
    }

    /// Handles the refusal of a change. Each change is logged once for each reason: it is proposed again for as long
    /// as the reason lasts.
    pub(super) fn on_change_refused(&mut self, token: Token, error: &ChangeError) {
        let proposed = self.proposed_change.take_if(|(other, _)| *other == token);
        let Some((_, change)) = proposed else {
            return log::info!(error:% = error; "group change refused");
        };
        if self.manager().record_refusal(&change, error) {
            log::info!(change:? = change, error:% = error; "group change refused");
        }
        if *error == ChangeError::IsLeader {
            self.step(Event::TransferLeadership);
        }
    }

    /// Whether a store can join now. Starts the snapshot for which it waits otherwise.
    fn can_join(&mut self) -> bool {
        let step = self
            .join_snapshot
            .next_step(self.log_bytes, self.snapshot_running);
        if step == JoinStep::WaitForNew {
            self.write_snapshot();
            if !self.snapshot_running {
                self.join_snapshot.record_end();
            }
        }
        step == JoinStep::Join
    }

    pub(super) fn snapshot_if_due(&mut self) {
        let Some(core) = &self.core else {
            return;
        };
        let growth = MIN_SNAPSHOT_BYTES.max(self.snapshot_bytes / SNAPSHOT_GROWTH_DIVISOR);
        let is_held = core.is_sending_snapshot() && self.log_bytes < MAX_HELD_LOG_BYTES;
        let is_due = self.log_bytes >= growth || self.has_shrunk;
        if is_due && !is_held {
            self.write_snapshot();
        }
    }

    fn write_snapshot(&mut self) {
        if self.snapshot_running || self.cx.clock.now() < self.snapshot_at {
            return;
        }
        let Some(core) = &self.core else {
            return;
        };
        let Some((term, members)) = core.term_and_membership_at(self.applied) else {
            return;
        };
        let members = members.clone();
        let state = self.lock().state.snapshot();
        self.snapshot_bytes = state.len() as u64;
        self.snapshot_running = true;
        self.has_shrunk = false;
        self.covered_log_bytes = std::mem::take(&mut self.log_bytes);
        self.send_to_disk(DiskRequest::Snapshot {
            position: Position {
                index: self.applied.0,
                term: term.0,
            },
            members,
            state,
        });
    }

    /// Counts the log that a failed snapshot would have covered again, and tries again later.
    pub(super) fn on_snapshot_not_written(&mut self) {
        self.snapshot_running = false;
        self.join_snapshot.record_end();
        self.log_bytes += std::mem::take(&mut self.covered_log_bytes);
        self.snapshot_at = self.cx.clock.now() + SNAPSHOT_BACKOFF;
    }

    pub(super) fn publish(&mut self) {
        let core = self.core.as_ref().filter(|core| core.is_leader());
        let term = core.map(Core::term);
        let is_leader = term.is_some();
        // Leadership may be lost and won again between two calls.
        if term != self.published_term {
            self.published_term = term;
            self.lock().is_current = false;
            self.in_progress.stop();
            self.barrier = None;
            if !is_leader {
                self.manager().end_leadership();
                log::info!("leadership lost");
            }
        }
        if is_leader && self.barrier.is_none() && !self.lock().is_current && !self.is_forming() {
            let token = self.next_token();
            self.barrier = Some(token);
            self.step(Event::Read(token));
        }
        let leader = self.core.as_ref().and_then(Core::leader);
        let leader = leader.and_then(|id| self.name_of(id));
        let lease_until = self.core.as_ref().and_then(Core::lease_until);
        let group = self.core.as_ref().map(Core::membership).cloned();
        let link_rate = self.core.as_ref().and_then(Core::link_rate);
        let mut published = self.lock();
        published.link_rate = link_rate;
        published.leader = leader;
        published.lease_until = lease_until;
        let committed = self.core.as_ref().map(Core::committed_membership);
        if let Some(committed) = committed
            && published.committed_group != *committed
        {
            published.committed_group.clone_from(committed);
        }
        if let Some(group) = group
            && published.group != group
        {
            let voters: Vec<_> = group.voters().map(|id| id.to_string()).collect();
            log::info!(voters:% = voters.join(","); "group changed");
            published.group = group;
        }
    }
}

/// What the leader knows of each other member.
fn member_statuses(core: &Core, own: DiskId) -> impl Iterator<Item = (DiskId, MemberStatus)> {
    let others = core.membership().iter().map(|(id, _)| id);
    others.filter(move |id| *id != own).map(|id| {
        let status = MemberStatus {
            votes: core.membership().is_voter(id),
            contact: core.last_contact(id),
            position: core.position_of(id).unwrap_or_default(),
        };
        (id, status)
    })
}

/// Logs the progress of all members while one of them cannot become a voter yet. That of the voters
/// shows whether the learner or the link to its region is late.
fn report_lagging_learners(core: &Core, now: Millis) {
    let group = core.membership();
    let lags = |id| !group.is_voter(id) && !core.keeps_up(id);
    if !group.iter().any(|(id, _)| lags(id)) {
        return;
    }
    for (id, member) in group.iter() {
        let Some(progress) = core.progress_of(id) else {
            continue;
        };
        let message = if lags(id) {
            "learner lags behind"
        } else {
            "member beside a learner that lags"
        };
        log::info!(
            store:% = member.name, disk:% = id, committed = core.commit_index().0,
            synced = core.synced_index_of(id).map(|index| index.0),
            snapshot = core.snapshot_index().0, responds = core.is_active(id),
            contact_age_ms = core.last_contact(id).map(|at| (now - at).0),
            progress:% = progress;
            "{message}");
    }
}
