//! Exit codes and the errors behind them.
//!
//! | code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | no instance answered, or a file could not be read |
//! | 2 | the command line is wrong |
//! | 3 | refused: nothing was changed or run |
//! | 4 | failed after it may have taken effect: look before sending it again |

use std::{
    fmt,
    process::ExitCode, //
};

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No instance answered, or a local file failed.
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
                "{text}\nit may have taken effect: look at `yuccaseam status`, or send it again \
                 with the same key"
            ),
        }
    }
}
