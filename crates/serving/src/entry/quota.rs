//! Quotas of teams: whether a request of a caller may run.

use http::StatusCode;
use yuccaseam_base::{
    Millis,
    TeamName, //
};
use yuccaseam_platform::RequestQuota;

use crate::{
    cx::Cx,
    deputies,
    quota::{
        Denial,
        Limit, //
    },
};

use super::response::{
    HttpResponse,
    refusal_with_status, //
};

/// A request of a team that has a quota.
pub(super) struct LimitedRequest<'a> {
    pub(super) id: &'a str,
    pub(super) team: &'a TeamName,
    pub(super) quota: RequestQuota,
    /// Version of the manifest that the quota is from.
    pub(super) manifest: u64,
}

impl LimitedRequest<'_> {
    /// Spends a token of the team for the request, once an answer of the leader has come if one is needed.
    ///
    /// # Errors
    ///
    /// Returns the response to the caller if there is no token.
    pub(super) async fn spend_token(&self, cx: &Cx) -> Result<(), HttpResponse> {
        let limit = Limit::new(self.quota, cx.settings.quota_bounds);
        match deputies::acquire(cx, self.team, &limit).await {
            Ok(source) => {
                count(source.name());
                Ok(())
            }
            Err((denial, retry_after)) => Err(self.refuse(cx, denial, retry_after)),
        }
    }

    fn refuse(&self, cx: &Cx, denial: Denial, retry_after: Millis) -> HttpResponse {
        let (why, status) = match denial {
            Denial::OverQuota => ("over_quota", StatusCode::TOO_MANY_REQUESTS),
            Denial::NoAnswer => ("quota_unknown", StatusCode::SERVICE_UNAVAILABLE),
        };
        count(why);
        let purse = cx.quota_purse();
        let answer_age = purse.answer_age(cx.clock.now()).map(|age| age.0);
        let tokens = purse.held(self.team);
        drop(purse);
        log::info!(
            request = self.id, why, team:% = self.team, tokens, answer_age_ms = answer_age,
            manifest = self.manifest, come_back_ms = retry_after.0;
            "request refused");
        refusal_with_status(status, why, retry_after)
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("yuccaseam_quota_requests_total", "outcome" => outcome).increment(1);
}
