//! Settings with a fleet default and optional exceptions.

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    key,
    record, //
};

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Scopes that exceptions to a setting may have.
#[key]
pub enum AllowedScopes {
    /// The whole fleet only: the replicated state reads the setting without a context.
    Fleet,
    /// Any scope.
    Any,
}

macro_rules! settings {
    ($($(#[$doc:meta])+ $field:ident, $name:ident = $default:expr, $min:expr, $max:expr, $reach:ident;)+) => {
        /// A configuration setting.
        #[key]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Setting {
            $($(#[$doc])+ $name,)+
        }

        impl Setting {
            /// All settings, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the name that operators use.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($field),)+
                }
            }

            /// Returns the smallest valid value.
            pub const fn min(self) -> u64 {
                match self {
                    $(Self::$name => $min,)+
                }
            }

            /// Returns the largest valid value.
            pub const fn max(self) -> u64 {
                match self {
                    $(Self::$name => $max,)+
                }
            }

            /// Returns the scopes that exceptions to the setting may have.
            pub const fn allowed_scopes(self) -> AllowedScopes {
                match self {
                    $(Self::$name => AllowedScopes::$reach,)+
                }
            }
        }

        /// A value for every setting: the fleet defaults, or the effective values in one context.
        #[record]
        pub struct Defaults {
            $($(#[$doc])+ pub $field: u64,)+
        }

        impl Defaults {
            /// Returns the value of a setting.
            pub const fn get(&self, setting: Setting) -> u64 {
                match setting {
                    $(Setting::$name => self.$field,)+
                }
            }

            /// Sets the value of a setting.
            pub const fn set(&mut self, setting: Setting, value: u64) {
                match setting {
                    $(Setting::$name => self.$field = value,)+
                }
            }
        }

        impl Default for Defaults {
            fn default() -> Self {
                Self {
                    $($field: $default,)+
                }
            }
        }
    };
}

settings! {
    /// Balance between online latency (0) and batch throughput (100).
    balance, Balance = 30, 0, 100, Any;
    /// Slots of a target that batch leaves free for online requests.
    online_headroom, OnlineHeadroom = 2, 0, 1_024, Any;
    /// Online requests that may wait at one target.
    queue_limit, QueueLimit = 256, 1, 100_000, Any;
    /// Longest time that an online request waits for a permit, in milliseconds.
    online_wait_ms, OnlineWaitMs = 5 * SECOND_MS, 1, 10 * MINUTE_MS, Any;
    /// Largest request body, in bytes.
    body_limit_bytes, BodyLimitBytes = 4 << 20, 1 << 10, 256 << 20, Any;
    /// Retries allowed per hundred requests.
    retry_budget_percent, RetryBudgetPercent = 10, 0, 100, Any;
    /// Largest number of retries of one request.
    max_retries, MaxRetries = 2, 0, 10, Any;
    /// Weight of a team without its own weight.
    team_weight, TeamWeight = 1, 1, 1_000, Any;
    /// Number of target deaths with an item alone in flight after which the item fails.
    item_attempt_limit, ItemAttemptLimit = 3, 1, 10, Fleet;
    /// Items in one chunk of a job.
    chunk_items, ChunkItems = 256, 1, 4_096, Any;
    /// Duration of a chunk lease without renewal, in milliseconds.
    lease_ms, LeaseMs = 30 * SECOND_MS, SECOND_MS, 10 * MINUTE_MS, Fleet;
    /// Time limit of an order to a target, in milliseconds.
    order_ms, OrderMs = 10 * MINUTE_MS, SECOND_MS, 24 * HOUR_MS, Fleet;
    /// Time before its deadline from which a job is urgent, in milliseconds.
    urgent_ms, UrgentMs = 2 * HOUR_MS, 0, 7 * DAY_MS, Fleet;
    /// Largest number of jobs, including ended ones within their retention.
    job_limit, JobLimit = 20_000, 1, 1_000_000, Fleet;
    /// Retention of an idempotency key after the end of its call, in milliseconds.
    key_retention_ms, KeyRetentionMs = DAY_MS, MINUTE_MS, 30 * DAY_MS, Fleet;
    /// Retention of a job and its results after its end, in milliseconds.
    job_retention_ms, JobRetentionMs = 3 * DAY_MS, MINUTE_MS, 90 * DAY_MS, Fleet;
    /// Retention of the outcome of an operator request, in milliseconds.
    request_retention_ms, RequestRetentionMs = 3 * DAY_MS, MINUTE_MS, 30 * DAY_MS, Fleet;
    /// Largest number of changes in the configuration history.
    history_limit, HistoryLimit = 10_000, 1, 1_000_000, Fleet;
}
