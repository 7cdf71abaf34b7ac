//! Quotas of teams: answers to entries that ask for tokens.

use crate::{deputies, link::LeaderMessage, quota::QuotaAsk};

use super::Hub;

impl Hub {
    /// Answers an entry that asks for tokens. Without an answer, the entry spends what it may spend alone.
    pub(super) fn answer_quotas(&self, follower: u64, ask: &QuotaAsk) {
        let Some(table) = self.cx.table() else {
            return;
        };
        let now = self.cx.clock.now();
        let mut inner = self.inner();
        if inner.leader_since.is_none() || !self.replica.holds_lease() {
            return;
        }
        let entry = inner.followers.get(&follower);
        let Some(ip) = entry.and_then(|follower| Some(follower.entry.as_ref()?.ip)) else {
            return;
        };
        deputies::update_limits(&mut inner.quotas, &table, &self.cx);
        let answer = inner.quotas.answer(ip, ask, now);
        drop(inner);
        for (want, grant) in ask.wants.iter().zip(&answer.grants) {
            let refused = u64::from(want.waiting - grant.waiting);
            let counts = [
                ("waiting", grant.waiting.into()),
                ("expected", grant.expected.into()),
                ("refused", refused),
            ];
            for (outcome, count) in counts {
                metrics::counter!("yuccaseam_quota_tokens_total", "outcome" => outcome)
                    .increment(count);
            }
        }
        self.send(follower, LeaderMessage::Quotas(answer));
    }
}
