//! Settings are checked as a whole before anything starts.

use std::process::{
    Command,
    Output, //
};

fn daemon(args: &[&str], vars: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccaseamd"));
    command.args(args).env_clear().envs(vars.iter().copied());
    command.output().expect("the daemon starts")
}

#[test]
fn every_error_is_listed_at_once() {
    let out = daemon(
        &["--check", "--http", "nowhere", "--log-format", "xml"],
        &[
            ("YUCCASEAM_VOTERS", "absent"),
            ("YUCCASEAM_BODY_LIMIT", "-1"),
        ],
    );
    assert_eq!(out.status.code(), Some(2));
    insta::assert_snapshot!(String::from_utf8_lossy(&out.stderr), @r#"
    error: --http nowhere: invalid socket address syntax
    error: --log-format "xml": expected text or json
    error: --body-limit -1: invalid digit found in string
    error: --voters: absent is not among --peers
    see `yuccaseamd --help`
    "#);
}

#[test]
fn a_flag_goes_before_its_variable() {
    let out = daemon(
        &["--check", "--instance", "from-flag"],
        &[
            ("YUCCASEAM_INSTANCE", "from-variable"),
            ("YUCCASEAM_REGION", "from-variable"),
        ],
    );
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success());
    assert!(text.contains(r#""from-flag""#), "{text}");
    assert!(text.contains(r#""from-variable""#), "{text}");
}

#[test]
fn a_voter_needs_a_data_folder() {
    let out = daemon(
        &[
            "--check",
            "--instance",
            "a",
            "--peers",
            "b=127.0.0.1:1",
            "--voters",
            "a,b",
        ],
        &[],
    );
    let text = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2));
    assert!(text.contains("--data is needed"), "{text}");
}

#[test]
fn help_names_every_flag() {
    let out = daemon(&["--help"], &[]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success());
    for flag in [
        "--instance",
        "--peers",
        "--voters",
        "--data",
        "--drain-bound",
        "--check",
    ] {
        assert!(text.contains(flag), "{flag} is not in the help");
    }
}
