//! What is known of a request that did not get its answer.

use std::fmt;

use crate::key;
use serde::{Deserialize, Serialize};

/// Says whether a request may have run at a target.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of the call reached a target connection. Sending it again is always safe.
    NotRun,
    /// A part of the call reached a target, which may have run it. Only an idempotent call may be
    /// sent again.
    MayHaveRun,
    /// The target answered: the call ran, whatever the answer says.
    Ran,
}

impl Verdict {
    /// The stable code that callers read.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }

    /// Whether a call may be sent again, given whether it is idempotent.
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
