//! Shares of services: collects the demand at all entries, and tells them which flows are beyond their share.

use std::collections::BTreeMap;

use yuccaseam_base::Millis;

use crate::{
    link::{
        LeaderFrame,
        LeaderMessage, //
    },
    shares::{
        SHARES_INTERVAL,
        ServiceCapacity,
        ServiceDemand,
        ServiceShares,
        ShareManager, //
    },
};

use super::Hub;

/// State of the shares at the leader.
#[derive(Default)]
pub(super) struct HubShares {
    manager: ShareManager,
    update_at: Millis,
    /// List as last sent to followers.
    sent: Vec<ServiceShares>,
}

impl HubShares {
    fn log_changes(&self, list: &[ServiceShares]) {
        let was_listed = |service: &str, flow| {
            let sent = self.sent.iter().filter(|shares| shares.service == service);
            sent.flat_map(|shares| &shares.beyond)
                .any(|(sent, _)| sent == flow)
        };
        for shares in list {
            for (flow, permille) in &shares.beyond {
                if was_listed(&shares.service, flow) {
                    continue;
                }
                let wanted = self.manager.wanted_slots(&shares.service, flow);
                log::info!(
                    service:% = shares.service, team:% = flow.team, priority = flow.priority,
                    wanted_slots = wanted,
                    share_slots = wanted * permille / 1_000;
                    "team beyond its share");
            }
        }
    }
}

impl Hub {
    /// Records that a follower understands lists of flows beyond their share, and tells it so that it reports
    /// its demand.
    pub(super) fn accept_shares(&self, follower: u64) {
        let mut inner = self.inner();
        let message = LeaderMessage::Shares(inner.shares.sent.clone());
        if let Some(follower) = inner.followers.get_mut(&follower) {
            follower.accepts_shares = true;
        }
        drop(inner);
        self.send(follower, message);
    }

    /// Records the demand at a follower.
    pub(super) fn record_demand(&self, follower: u64, demands: Vec<ServiceDemand>) {
        let now = self.cx.clock.now();
        self.inner().shares.manager.report(follower, demands, now);
    }

    /// Computes the shares and sends them to the followers while any flow is beyond its share.
    pub(super) fn send_shares(&self, now: Millis) {
        let mut inner = self.inner();
        let shares = &mut inner.shares;
        if shares.manager.is_idle() || now < shares.update_at {
            return;
        }
        shares.update_at = now + SHARES_INTERVAL;
        let Some(table) = self.cx.table() else {
            return;
        };
        drop(inner);
        let capacities = self.capacities();
        let mut inner = self.inner();
        let shares = &mut inner.shares;
        let weights = table.share_weights();
        let list = shares
            .manager
            .update(&capacities, |team| weights.of(team), now);
        if list.is_empty() && shares.sent.is_empty() {
            return;
        }
        shares.log_changes(&list);
        shares.sent.clone_from(&list);
        let flows: usize = list.iter().map(|shares| shares.beyond.len()).sum();
        metrics::gauge!("yuccaseam_flows_beyond_share").set(flows as f64);
        let frame = LeaderFrame::from(&LeaderMessage::Shares(list));
        inner.followers.retain(|_, follower| {
            !follower.accepts_shares || follower.tx.try_send(frame.clone()).is_ok()
        });
    }

    /// Slots of the targets that take work, by service.
    fn capacities(&self) -> Vec<ServiceCapacity> {
        let targets = self.cx.targets();
        let mut slots = BTreeMap::<&str, u32>::new();
        for record in targets.records().filter(|record| record.takes_work()) {
            *slots.entry(&record.service).or_default() += record.slots;
        }
        let capacities = slots.into_iter().map(|(service, slots)| ServiceCapacity {
            service: service.to_owned(),
            slots,
        });
        capacities.collect()
    }
}
