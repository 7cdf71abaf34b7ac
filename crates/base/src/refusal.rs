//! Refusals and failures of requests, with their reason and verdict.

use std::{error, fmt};

use serde::{Deserialize, Serialize};

use crate::{Millis, Verdict, key};

macro_rules! reasons {
    ($($(#[$doc:meta])+ $name:ident = $code:literal,)+) => {
        /// Reason for a refusal. Each has a counter and a stable code.
        #[key]
        #[derive(Serialize, Deserialize)]
        pub enum Reason {
            $($(#[$doc])+ $name,)+
        }

        impl Reason {
            /// All reasons, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the stable code used in responses and counters.
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)+
                }
            }
        }
    };
}

reasons! {
    /// The request is malformed: bad JSON, a missing field, a wrong type.
    BadRequest = "bad_request",
    /// The body is larger than the setting allows.
    BodyTooLarge = "body_too_large",
    /// The method is not served at this path.
    MethodNotAllowed = "method_not_allowed",
    /// Nothing is served at this path, or the named job, target or instance is unknown.
    NotFound = "not_found",
    /// The model is not configured or not served.
    UnknownModel = "unknown_model",
    /// The service is not announced by any target.
    UnknownService = "unknown_service",
    /// The idempotency key is malformed.
    BadKey = "bad_key",
    /// The idempotency key was used before with another body.
    KeyReused = "key_reused",
    /// A call with this idempotency key is still running elsewhere.
    KeyInProgress = "key_in_progress",
    /// A call with this idempotency key started, and its result is unknown.
    OutcomeUnknown = "outcome_unknown",
    /// The queue at every suitable target is full.
    QueueFull = "queue_full",
    /// The request could not start before its deadline.
    DeadlinePassed = "deadline_passed",
    /// The team has used its share while requests of other teams wait.
    TeamOverShare = "team_over_share",
    /// No suitable target is live.
    NoTarget = "no_target",
    /// The daemon that owns the target did not reply in time.
    OwnerUnreachable = "owner_unreachable",
    /// The connection to the target could not be opened, or failed.
    TargetFailed = "target_failed",
    /// The target's response ended before its end marker.
    AnswerCut = "answer_cut",
    /// The retry budget is exhausted.
    RetryBudgetSpent = "retry_budget_spent",
    /// The instance is stopping.
    Stopping = "stopping",
    /// The instance cannot confirm that its configuration is current.
    NotReady = "not_ready",
    /// No quorum of the replicas replied in time.
    NoQuorum = "no_quorum",
    /// The disk is full or failed.
    DiskFull = "disk_full",
    /// Another operator has already changed this revision.
    RevisionConflict = "revision_conflict",
    /// The change would lose the quorum or violate a membership rule.
    UnsafeChange = "unsafe_change",
    /// The job was cancelled.
    Cancelled = "cancelled",
    /// The caller closed its connection.
    CallerGone = "caller_gone",
    /// The target died while it ran only this item, as often as the settings allow.
    ItemAttemptsSpent = "item_attempts_spent",
    /// A configured limit is reached, such as the number of jobs.
    LimitReached = "limit_reached",
    /// An internal error of this program.
    Internal = "internal",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Refusal or failure of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Reason, by which refusals are counted.
    pub reason: Reason,
    /// Human-readable description.
    pub detail: String,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal of a request of which no byte reached a target.
    pub fn not_run<T>(reason: Reason, detail: T) -> Self
    where
        T: Into<String>,
    {
        Self::new(Verdict::NotRun, reason, detail)
    }

    /// Creates a failure of a request that a target may have run.
    pub fn may_have_run<T>(reason: Reason, detail: T) -> Self
    where
        T: Into<String>,
    {
        Self::new(Verdict::MayHaveRun, reason, detail)
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Millis) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Raises the verdict to at least `verdict`: a request with several attempts may have run if
    /// any of them may have run.
    #[must_use]
    pub fn with_verdict_at_least(mut self, verdict: Verdict) -> Self {
        self.verdict = self.verdict.max(verdict);
        self
    }

    fn new<T>(verdict: Verdict, reason: Reason, detail: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            verdict,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.verdict, self.detail)
    }
}

impl error::Error for Refusal {}
