//! Exit codes and the errors behind them.
//!
//! | code | meaning |
//! |---|---|
//! | 0 | success |
//! | 1 | no instance responded, or a file could not be read |
//! | 2 | invalid command line |
//! | 3 | refused: nothing was changed or run |
//! | 4 | failed, but may have taken effect: check before retrying |

use std::{
    fmt,
    process::ExitCode, //
};

/// Error of a command.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No instance responded, or a local file could not be read.
    Local(String),
    /// An instance refused: nothing was changed or run.
    Refused(String),
    /// The command may have taken effect.
    Unknown(String),
}

impl Failure {
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Local(_) => ExitCode::from(1),
            Self::Refused(_) => ExitCode::from(3),
            Self::Unknown(_) => ExitCode::from(4),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local(text) => f.write_str(text),
            Self::Refused(text) => write!(f, "refused, nothing was changed: {text}"),
            Self::Unknown(text) => write!(
                f,
                "{text}\nit may have taken effect: check `yuccaseam status`, or retry with the \
                 same key"
            ),
        }
    }
}
