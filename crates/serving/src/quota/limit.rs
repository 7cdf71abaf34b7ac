//! The figures of one quota, and how the allowed overage is divided.

use yuccaseam_base::{
    Millis,
    value, //
};
use yuccaseam_platform::{
    QuotaBounds,
    RequestQuota, //
};

/// Parts in which tokens are counted: a rate of one in 1,000 s gives one part a ms.
pub(super) const PARTS_PER_TOKEN: u64 = 1_000_000;
/// Divisor of the overage for each use of it. The part that no use takes is for messages on their way.
const RELATIVE_DIVISOR: u64 = 8;
/// Divisor of the slack for the larger bucket.
const MARGIN_SLACK_DIVISOR: u64 = 4;
/// Divisor of the slack for each change of leaders, and for requests without an answer.
const SLACK_DIVISOR: u64 = 8;

/// Rate, capacity and reserves of a team's quota, in parts of a token.
///
/// In any window, the team's requests stay within the quota and the overage, which has these uses: a larger
/// bucket, two changes of leaders, and twice what entries spend without an answer.
#[value]
#[derive(Copy)]
pub struct Limit {
    /// Parts a ms.
    pub(super) rate: u64,
    /// The quota's burst.
    pub(super) burst: u64,
    /// Largest level of the leader's bucket.
    pub(super) capacity: u64,
    /// Largest level of a new leader's bucket while tokens of the former one may be spent.
    pub(super) takeover: u64,
    /// What all entries together may spend in each window without an answer.
    pub(super) spare: u64,
    /// Length of a window.
    pub(super) window: Millis,
}

impl Limit {
    /// Divides the overage that the bounds allow.
    pub fn new(quota: RequestQuota, bounds: QuotaBounds) -> Self {
        let rate = quota.requests_per_1000s;
        let burst = quota.burst.max(1).saturating_mul(PARTS_PER_TOKEN);
        let in_window = rate.saturating_mul(bounds.window.0).saturating_add(burst);
        let relative = in_window / 1_000 * bounds.overage_permille / RELATIVE_DIVISOR;
        let slack = bounds.slack_requests.saturating_mul(PARTS_PER_TOKEN);
        let reserve = relative + slack / SLACK_DIVISOR;
        Self {
            rate,
            burst,
            capacity: burst + relative + slack / MARGIN_SLACK_DIVISOR,
            takeover: reserve,
            spare: reserve,
            window: bounds.window,
        }
    }

    /// Largest number of requests in a window that the quota and its bounds allow.
    pub fn max_in_window(quota: RequestQuota, bounds: QuotaBounds) -> u64 {
        let parts = quota.requests_per_1000s * bounds.window.0 + quota.burst * PARTS_PER_TOKEN;
        parts * (1_000 + bounds.overage_permille) / 1_000 / PARTS_PER_TOKEN + bounds.slack_requests
    }
}
