//! Targets that drain or leave: the leader confirms it once it is in the log.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use yuccaseam_base::TargetName;

use crate::{
    link::LeaderMessage,
    state::{
        Command,
        State, //
    },
    targets::TargetRecord,
};

use super::Hub;

/// A target that drains or leaves, which a follower reported.
pub(super) struct Departure {
    follower: u64,
    /// Number of the report, to confirm it.
    notice: u64,
    record: TargetRecord,
}

impl Hub {
    /// Tells all followers of a target that has left, and confirms it to the one that reported it. `left` is `None` if
    /// there is nothing to tell: the target is unknown, or has started again since.
    pub(super) fn on_left(
        &self,
        follower: u64,
        notice: u64,
        name: &TargetName,
        left: Option<TargetRecord>,
    ) {
        match left {
            Some(record) => {
                self.broadcast_targets(vec![record]);
                self.confirm_departure(follower, notice, name);
            }
            None => self.send(follower, LeaderMessage::Noted(notice)),
        }
    }

    /// Confirms to a follower that a target drains or leaves, once that is in the log: the next leader, which may
    /// know only the log, must not send the target work either.
    pub(super) fn confirm_departure(&self, follower: u64, notice: u64, name: &TargetName) {
        let record = self.cx.targets().record_named(name).cloned();
        let unrecorded = record.filter(|record| {
            let is_recorded = |state: &State| {
                let recorded = state.target(name);
                recorded.is_some_and(|recorded| recorded.covers_drain(record))
            };
            !self.replica.read(is_recorded)
        });
        match unrecorded {
            None => self.send(follower, LeaderMessage::Noted(notice)),
            Some(record) => self.inner().departures.push(Departure {
                follower,
                notice,
                record,
            }),
        }
    }

    /// Records the departures of targets in the log, in one command, and confirms them once it is committed.
    pub(super) fn record_departures(self: &Arc<Self>) {
        let mut inner = self.inner();
        let departures = std::mem::take(&mut inner.departures);
        for departure in &departures {
            inner.unrecorded.remove(&departure.record.name);
        }
        drop(inner);
        if departures.is_empty() {
            return;
        }
        let records: BTreeMap<_, _> = departures
            .iter()
            .map(|departure| (departure.record.name.clone(), departure.record.clone()))
            .collect();
        let hub = Arc::clone(self);
        tokio::spawn(async move {
            let command = Command::NoteTargets(records.values().cloned().collect());
            if let Err(error) = hub.replica.propose(command).await {
                // The followers get no confirmation, so that the targets report it again.
                log::warn!(targets = records.len(), error:? = error; "departures not recorded in the log");
                let mut inner = hub.inner();
                for (name, record) in records {
                    inner.unrecorded.entry(name).or_insert(record);
                }
                return;
            }
            for departure in departures {
                hub.send(departure.follower, LeaderMessage::Noted(departure.notice));
            }
        });
    }
}
