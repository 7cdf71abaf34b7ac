//! Command-line client for operators.
//!
//! `explain` reads log lines. Every other command makes one or a few HTTP calls to any instance.
//! Tables go to standard output and errors to standard error; `--json` prints the instance's
//! response. The exit code distinguishes refusals from failures: see [`exit`].

mod client;
mod commands;
mod exit;
mod explain;
mod flags;
mod table;

use std::process::ExitCode;

use crate::{
    client::Client,
    exit::Failure,
    flags::{
        Yuccaseam,
        YuccaseamCmd, //
    },
};

fn main() -> ExitCode {
    let flags = Yuccaseam::from_env_or_exit();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("error: {failure}");
            failure.exit_code()
        }
    }
}

fn run(flags: Yuccaseam) -> Result<(), Failure> {
    if let YuccaseamCmd::Explain(explain) = &flags.subcommand {
        return explain::run(&explain.id, &explain.file);
    }
    let client = Client::new(flags.server.as_deref(), flags.team.as_deref())?;
    commands::run(&client, flags.subcommand, flags.json)
}
