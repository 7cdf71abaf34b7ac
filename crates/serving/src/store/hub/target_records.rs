//! What the log has of targets. The leader confirms that a target starts, drains or leaves once it is in the log, and the
//! log forgets those that are gone once no older message of them can arrive.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use yuccaseam_base::{
    Millis,
    TargetName, //
};

use crate::{
    link::LeaderMessage,
    load_fanout::LoadFanout,
    quota::Ledger,
    state::{
        Command,
        State, //
    },
    targets::{
        GONE_AGE_INTERVAL,
        LOG_RETENTION,
        TargetRecord, //
    },
};

use super::Hub;

/// How often changes of targets and stores are recorded in the replicated log.
const RECORD_INTERVAL: Millis = Millis(500);

/// A target that has started, drains or leaves, which a follower reported.
pub(super) struct TargetReport {
    follower: u64,
    /// Number of the report, to confirm it.
    notice: u64,
    record: TargetRecord,
}

impl Hub {
    /// Tells all followers of a target that has left, and confirms it to the one that reported it. `left` is `None` if
    /// there is nothing to tell: the target is unknown, or has started again since. Then the later start must be in the
    /// log, so that no message of the one that left is taken for a new one.
    pub(super) fn on_left(
        &self,
        follower: u64,
        notice: u64,
        name: &TargetName,
        left: Option<TargetRecord>,
    ) {
        if let Some(record) = left {
            self.broadcast_targets(vec![record]);
        }
        self.confirm_target(follower, notice, name);
    }

    /// Confirms to a follower that a target has started, drains or leaves, once that is in the log: the next leader, which
    /// may know only the log, must not send work to an earlier start, or to a target that has left.
    pub(super) fn confirm_target(&self, follower: u64, notice: u64, name: &TargetName) {
        let record = self.cx.targets().record_named(name).cloned();
        let unrecorded = record.filter(|record| {
            let is_recorded = |state: &State| {
                let recorded = state.target(name);
                recorded.is_some_and(|recorded| recorded.covers(record))
            };
            !self.replica.read(is_recorded)
        });
        match unrecorded {
            None => self.send(follower, LeaderMessage::Noted(notice)),
            Some(record) => self.inner().reports.push(TargetReport {
                follower,
                notice,
                record,
            }),
        }
    }

    /// Records what followers reported of targets in the log, in one command, and confirms it once that is committed.
    pub(super) fn record_reports(self: &Arc<Self>) {
        let mut inner = self.inner();
        let reports = std::mem::take(&mut inner.reports);
        for report in &reports {
            inner.unrecorded.remove(&report.record.name);
        }
        drop(inner);
        if reports.is_empty() {
            return;
        }
        let records: BTreeMap<_, _> = reports
            .iter()
            .map(|report| (report.record.name.clone(), report.record.clone()))
            .collect();
        let hub = Arc::clone(self);
        tokio::spawn(async move {
            let command = Command::NoteTargets(records.values().cloned().collect());
            if let Err(error) = hub.replica.propose(command).await {
                // The followers get no confirmation, so that the targets report it again.
                log::warn!(targets = records.len(), error:? = error; "reports of targets not recorded in the log");
                let mut inner = hub.inner();
                for (name, record) in records {
                    inner.unrecorded.entry(name).or_insert(record);
                }
                return;
            }
            for report in reports {
                hub.send(report.follower, LeaderMessage::Noted(report.notice));
            }
        });
    }

    /// Counts time for the targets that the log has as gone. Time that no leader counts only keeps them longer.
    pub(super) fn age_gone_targets(&self, now: Millis) {
        let elapsed = {
            let mut inner = self.inner();
            let elapsed = now - inner.aged_at;
            if elapsed < GONE_AGE_INTERVAL {
                return;
            }
            inner.aged_at = now;
            elapsed
        };
        if self.replica.read(State::has_gone_targets) {
            self.propose(Command::AgeGoneTargets {
                elapsed,
                retention: LOG_RETENTION,
            });
        }
    }

    /// Loads the targets recorded in the log. Targets that no longer exist expire after the usual
    /// time.
    pub(super) fn load_recorded_targets(&self, now: Millis) {
        let recorded: Vec<_> = self
            .replica
            .read(|state| state.targets().cloned().collect());
        // Some records name targets that have lost their address since. Recorded again, they no
        // longer do.
        let changed = self.cx.merge_targets(recorded);
        let is_recorded = |record: &TargetRecord| {
            self.replica
                .read(|state| state.target(&record.name) == Some(record))
        };
        let gone = changed
            .into_iter()
            .filter(|record| record.left && !is_recorded(record));
        let named = gone.map(|record| (record.name.clone(), record));
        self.inner().unrecorded.extend(named);
        let mut targets = self.cx.targets();
        targets.reset_timeouts(now);
        let mut inner = self.inner();
        inner.all_targets = None;
        inner.domains.clear();
        inner.fanout = LoadFanout::default();
        inner.quotas = Ledger::new(now);
        for record in targets.records() {
            inner.set_domain(record);
        }
        inner.leader_since = Some(now);
        inner.aged_at = now;
    }

    /// Records in the log the stores and targets that the system needs after a power loss.
    pub(super) fn record_changes(&self, now: Millis) {
        let mut inner = self.inner();
        if now < inner.record_at {
            return;
        }
        inner.record_at = now + RECORD_INTERVAL;
        let addresses = self.cx.address_book().addresses(now);
        if addresses.len() > 1 && addresses != inner.recorded_stores {
            inner.recorded_stores = addresses.clone();
            self.propose(Command::NoteStores(addresses));
        }
        if !inner.unrecorded.is_empty() {
            let records = std::mem::take(&mut inner.unrecorded);
            self.propose(Command::NoteTargets(records.into_values().collect()));
        }
    }
}
