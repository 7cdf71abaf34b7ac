//! The settings that have a fleet default and may have exceptions.

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    key,
    record, //
};

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;
const HOUR: u64 = 60 * MINUTE;
const DAY: u64 = 24 * HOUR;

/// What an exception to a setting may be limited to.
#[key]
pub enum Reach {
    /// Only the whole fleet: the replicated state reads it without a place.
    Fleet,
    /// Any scope.
    Any,
}

macro_rules! settings {
    ($($(#[$doc:meta])+ $field:ident, $name:ident = $default:expr, $min:expr, $max:expr, $reach:ident;)+) => {
        /// The name of one setting.
        #[key]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Setting {
            $($(#[$doc])+ $name,)+
        }

        impl Setting {
            /// Every setting, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The name that operators write.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($field),)+
                }
            }

            /// The least value allowed.
            pub const fn min(self) -> u64 {
                match self {
                    $(Self::$name => $min,)+
                }
            }

            /// The largest value allowed.
            pub const fn max(self) -> u64 {
                match self {
                    $(Self::$name => $max,)+
                }
            }

            /// What an exception to it may be limited to.
            pub const fn reach(self) -> Reach {
                match self {
                    $(Self::$name => Reach::$reach,)+
                }
            }
        }

        /// The value of every setting: the fleet's defaults, or what is in force at one place.
        #[record]
        pub struct Defaults {
            $($(#[$doc])+ pub $field: u64,)+
        }

        impl Defaults {
            /// The value of one setting.
            pub const fn get(&self, setting: Setting) -> u64 {
                match setting {
                    $(Setting::$name => self.$field,)+
                }
            }

            /// Changes the value of one setting.
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
    /// Slots of a target that batch leaves free for online.
    online_headroom, OnlineHeadroom = 2, 0, 1_024, Any;
    /// Online requests that may wait at one target.
    queue_limit, QueueLimit = 256, 1, 100_000, Any;
    /// How long an online request may wait for a permit, in milliseconds.
    online_wait_ms, OnlineWaitMs = 5 * SECOND, 1, 10 * MINUTE, Any;
    /// The largest body of a request, in bytes.
    body_limit_bytes, BodyLimitBytes = 4 << 20, 1 << 10, 256 << 20, Any;
    /// Retries allowed for each hundred requests.
    retry_budget_percent, RetryBudgetPercent = 10, 0, 100, Any;
    /// Retries of one request.
    max_retries, MaxRetries = 2, 0, 10, Any;
    /// The weight of a team that has none of its own.
    team_weight, TeamWeight = 1, 1, 1_000, Any;
    /// Target deaths with an item alone in flight, after which the item fails.
    item_attempt_limit, ItemAttemptLimit = 3, 1, 10, Fleet;
    /// Items in one chunk of a job.
    chunk_items, ChunkItems = 256, 1, 4_096, Any;
    /// How long an owner keeps its chunk leases without renewal, in milliseconds.
    lease_ms, LeaseMs = 30 * SECOND, SECOND, 10 * MINUTE, Fleet;
    /// How long an order to a target may take, in milliseconds.
    order_ms, OrderMs = 10 * MINUTE, SECOND, 24 * HOUR, Fleet;
    /// Time before its deadline from which a job goes before others, in milliseconds.
    urgent_ms, UrgentMs = 2 * HOUR, 0, 7 * DAY, Fleet;
    /// Jobs that may exist, ended ones within retention included.
    job_limit, JobLimit = 20_000, 1, 1_000_000, Fleet;
    /// How long an idempotency key is remembered after its call ended, in milliseconds.
    key_retention_ms, KeyRetentionMs = DAY, MINUTE, 30 * DAY, Fleet;
    /// How long a job and its results are kept after its end, in milliseconds.
    job_retention_ms, JobRetentionMs = 3 * DAY, MINUTE, 90 * DAY, Fleet;
    /// How long the outcome of an operator's request is remembered, in milliseconds.
    request_retention_ms, RequestRetentionMs = 3 * DAY, MINUTE, 30 * DAY, Fleet;
    /// Changes of configuration that the history keeps.
    history_limit, HistoryLimit = 10_000, 1, 1_000_000, Fleet;
}
