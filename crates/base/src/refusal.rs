//! Why a request was refused, with its verdict.

use std::{error, fmt};

use serde::{Deserialize, Serialize};

use crate::{Millis, Verdict, key};

macro_rules! reasons {
    ($($(#[$doc:meta])+ $name:ident = $code:literal,)+) => {
        /// The reason for a refusal. Each has a counter and a stable code.
        #[key]
        #[derive(Serialize, Deserialize)]
        pub enum Reason {
            $($(#[$doc])+ $name,)+
        }

        impl Reason {
            /// Every reason, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The stable code that callers and counters carry.
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
    /// No such model is configured or served.
    UnknownModel = "unknown_model",
    /// No such service is announced.
    UnknownService = "unknown_service",
    /// The idempotency key is malformed.
    BadKey = "bad_key",
    /// The idempotency key was used before with another body.
    KeyReused = "key_reused",
    /// A call with this idempotency key is still running elsewhere.
    KeyInProgress = "key_in_progress",
    /// A call with this idempotency key started and its result was lost.
    OutcomeUnknown = "outcome_unknown",
    /// The queue at every suitable target is full.
    QueueFull = "queue_full",
    /// The request could not start before its deadline.
    DeadlinePassed = "deadline_passed",
    /// The team has used its share while others wait.
    TeamOverShare = "team_over_share",
    /// No suitable target is alive.
    NoTarget = "no_target",
    /// The daemon that owns the target did not answer in time.
    OwnerUnreachable = "owner_unreachable",
    /// The target connection could not be opened, or broke.
    TargetFailed = "target_failed",
    /// The target's answer ended before its end mark.
    AnswerCut = "answer_cut",
    /// The retry budget is spent.
    RetryBudgetSpent = "retry_budget_spent",
    /// The instance is stopping.
    Stopping = "stopping",
    /// The instance cannot confirm that its configuration is current.
    NotReady = "not_ready",
    /// No quorum of the instances with disks answered in time.
    NoQuorum = "no_quorum",
    /// The disk is full or failed.
    DiskFull = "disk_full",
    /// Another operator changed the same revision first.
    RevisionConflict = "revision_conflict",
    /// The change would lose the quorum or break a rule of membership.
    UnsafeChange = "unsafe_change",
    /// The job was cancelled.
    Cancelled = "cancelled",
    /// The caller closed its connection.
    CallerGone = "caller_gone",
    /// The item's target died with it, alone, as often as the settings allow.
    ItemAttemptsSpent = "item_attempts_spent",
    /// A limit of the configuration is reached, such as the number of jobs.
    LimitReached = "limit_reached",
    /// A fault of this program.
    Internal = "internal",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// A request that did not get its answer: the verdict, the reason, and what to do next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The reason that is counted.
    pub reason: Reason,
    /// One sentence for a person.
    pub detail: String,
    /// When sending again may help.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal of a request of which no byte reached a target.
    pub fn not_run<T>(reason: Reason, detail: T) -> Self
    where
        T: Into<String>,
    {
        Self::new(Verdict::NotRun, reason, detail)
    }

    /// A failure of a request that a target may have run.
    pub fn may_have_run<T>(reason: Reason, detail: T) -> Self
    where
        T: Into<String>,
    {
        Self::new(Verdict::MayHaveRun, reason, detail)
    }

    /// Sets when sending again may help.
    #[must_use]
    pub fn with_retry_after(mut self, after: Millis) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The same refusal with this verdict if it is the stronger one: a request that was tried
    /// several times may have run if any of its attempts may have.
    #[must_use]
    pub fn at_least(mut self, verdict: Verdict) -> Self {
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
