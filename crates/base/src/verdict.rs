//! Whether a failed request may have run.

use std::fmt;

use crate::key;
use serde::{Deserialize, Serialize};

/// Whether a request may have run at a target.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of the call was sent on a connection to a target. A retry is always safe.
    NotRun,
    /// Part of the call may have reached a target, which may have run it. Only an idempotent call
    /// can be retried.
    MayHaveRun,
    /// The target responded: the call ran, whatever the response.
    Ran,
}

impl Verdict {
    /// Returns the stable code used in responses to callers.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }

    /// Returns whether a call can be retried, given whether it is idempotent.
    pub const fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
