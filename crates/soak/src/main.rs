//! The `yuccaseam-soak` program: runs a range of seeds and reports violated guarantees.

use std::{
    process::ExitCode,
    time::Duration, //
};

use yuccaseam_soak::{
    Config,
    run, //
};

mod flags {
    xflags::xflags! {
        /// Runs real processes under random faults and checks the system's guarantees from outside.
        cmd yuccaseam-soak {
            /// First seed. Default: 1.
            optional --seed seed: u64
            /// Number of seeds to run. Default: 1.
            optional --seeds count: u64
            /// Duration of fault injection in each run, in seconds. Default: 20.
            optional --seconds seconds: u64
            /// Number of entries, in addition to three stores. Default: 4.
            optional --entries count: usize
            /// Number of targets. Default: 6.
            optional --targets count: usize
        }
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let flags = flags::YuccaseamSoak::from_env_or_exit();
    let first = flags.seed.unwrap_or(1);
    let mut failed = 0;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let report = run(Config {
            seed,
            length: Duration::from_secs(flags.seconds.unwrap_or(20)),
            entries: flags.entries.unwrap_or(4),
            targets: flags.targets.unwrap_or(6),
        })
        .await;
        match report {
            Ok(report) => {
                print!("{report}");
                failed += usize::from(!report.violations.is_empty());
            }
            Err(error) => {
                println!("seed {seed}: {error:#}");
                failed += 1;
            }
        }
    }
    println!("{failed} seeds failed");
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
