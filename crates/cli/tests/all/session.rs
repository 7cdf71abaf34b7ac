//! Session of an operator, compared with a golden file.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    process::Command, //
};

use yuccaseam_testing::{
    Cluster,
    Place, //
};

/// Runs commands and collects their output as a terminal would show it.
struct Session<'a> {
    server: SocketAddr,
    dir: &'a Path,
    text: String,
}

impl Session<'_> {
    fn run(&mut self, args: &[&str]) {
        let out = Command::new(env!("CARGO_BIN_EXE_yuccaseam"))
            .args(["--server", &self.server.to_string()])
            .args(args)
            .current_dir(self.dir)
            .env("USER", "jana")
            .output()
            .expect("the client starts");
        self.text
            .push_str(&format!("$ yuccaseam {}\n", args.join(" ")));
        self.text.push_str(&String::from_utf8_lossy(&out.stdout));
        self.text.push_str(&String::from_utf8_lossy(&out.stderr));
        let code = out.status.code().expect("the client is not killed");
        self.text.push_str(&format!("[exit code {code}]\n\n"));
    }

    fn file(&self, name: &str, text: &str) {
        fs::write(self.dir.join(name), text).expect("a temporary file");
    }
}

#[test]
fn an_operator_changes_the_configuration_and_runs_jobs() {
    let place = Place::new("morava", "brno-a").with_disk();
    let mut cluster = Cluster::start(std::slice::from_ref(&place), &[]);
    cluster.wait_until_ready();
    let mut session = Session {
        server: cluster.daemons[0].http,
        dir: cluster.dir(),
        text: String::new(),
    };

    session.file(
        "balance.json",
        r#"[{"set_default":{"setting":"balance","value":60}}]"#,
    );
    session.file("none.json", r#"[{"remove_model":"absent"}]"#);
    session.file("broken.json", "[{");
    session.file("items.jsonl", "{\"prompt\":\"a\"}\n\n{\"prompt\":\"b\"}");
    session.file("bad.jsonl", "{\"prompt\":\"a\"}\nnot JSON\n");
    session.file(
        "exception.json",
        r#"[{"put_exception":{"id":"frost","scope":{"region":"morava"},"setting":"balance",
            "value":10,"reason":"Open trenches in frost until March","end":null}},
            {"put_model":{"name":"lagging-llm","replicas":9}}]"#,
    );

    session.run(&[
        "configuration",
        "apply",
        "balance.json",
        "--expect",
        "0",
        "--request",
        "r1",
    ]);
    session.run(&[
        "configuration",
        "apply",
        "balance.json",
        "--expect",
        "0",
        "--request",
        "r2",
    ]);
    session.run(&[
        "configuration",
        "apply",
        "exception.json",
        "--expect",
        "1",
        "--request",
        "r3",
    ]);
    session.run(&[
        "configuration",
        "apply",
        "balance.json",
        "--expect",
        "0",
        "--request",
        "r1",
    ]);
    session.run(&[
        "configuration",
        "apply",
        "none.json",
        "--expect",
        "2",
        "--request",
        "r4",
    ]);
    session.run(&["configuration", "apply", "broken.json"]);
    session.run(&["configuration", "apply", "absent.json"]);
    session.run(&["exceptions"]);
    session.run(&[
        "job",
        "create",
        "items.jsonl",
        "--model",
        "lagging-llm",
        "--key",
        "k",
    ]);
    session.run(&[
        "job",
        "create",
        "items.jsonl",
        "--model",
        "lagging-llm",
        "--key",
        "k",
    ]);
    session.run(&[
        "job",
        "create",
        "bad.jsonl",
        "--model",
        "lagging-llm",
        "--key",
        "l",
    ]);
    session.run(&[
        "job",
        "create",
        "items.jsonl",
        "--model",
        "absent",
        "--key",
        "m",
    ]);
    session.run(&["jobs"]);
    session.run(&["job", "describe", "nonsense"]);
    session.run(&["targets"]);
    session.run(&["models"]);

    insta::with_settings!({filters => vec![
        (r"Unix time \d+ ms", "Unix time [time] ms"),
        (r"--server \S+", "--server [server]"),
    ]}, {
        insta::assert_snapshot!("operator_session", session.text);
    });
}
