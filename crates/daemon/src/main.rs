//! `yuccaseamd`, the daemon that every instance runs.

use std::process::ExitCode;

fn main() -> ExitCode {
    yuccaseam_daemon::run()
}
