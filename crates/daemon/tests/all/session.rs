//! A whole session of a caller, as a golden file.

use std::fmt::Write;

use serde_json::Value;
use yuccaseam_testing::{
    Caller,
    Cluster, //
};

use crate::support::places;

/// Sends calls one after another and keeps what the caller reads.
struct Session {
    caller: Caller,
    text: String,
}

impl Session {
    fn call(&mut self, method: &str, path: &str, body: &str) -> Value {
        let answer = self.caller.call(method, path, body);
        let answer = answer.expect("the daemon answers");
        writeln!(self.text, "> {method} {path} {body}").expect("text grows");
        writeln!(self.text, "{}\n{}", answer.status, answer.text.trim_end()).expect("text grows");
        self.text.push('\n');
        answer.json()
    }

    /// The same session with a header in each call from here on.
    fn with_header(self, name: &str, value: &str) -> Self {
        let mut text = self.text;
        writeln!(text, "# {name}: {value}\n").expect("text grows");
        Self {
            caller: self.caller.with_header(name, value),
            text,
        }
    }
}

#[test]
fn a_caller_asks_models_and_services() {
    let place = &places()[0];
    let mut cluster = Cluster::start(std::slice::from_ref(place), &["--body-limit", "2000"]);
    cluster.start_engine("w0", place, &[]);
    cluster.start_service("desk0", place, &[]);
    cluster.wait_until_ready();
    let caller = cluster.caller(0).with_header("X-Request-Id", "golden");
    let mut session = Session {
        caller,
        text: String::new(),
    };

    session.call("GET", "/v1/models", "");
    let ask = r#"{"model":"lagging-llm","prompt":"Which grade?","max_tokens":3}"#;
    session.call("POST", "/v1/completions", ask);
    let ask = r#"{"model":"lagging-llm","prompt":"Which grade?","max_tokens":2,"stream":true}"#;
    session.call("POST", "/v1/completions", ask);
    let ask =
        r#"{"model":"lagging-llm","messages":[{"role":"user","content":"Hi"}],"max_tokens":2}"#;
    session.call("POST", "/v1/chat/completions", ask);
    session.call(
        "POST",
        "/v1/completions",
        r#"{"model":"absent","prompt":"a"}"#,
    );
    session.call("POST", "/v1/completions", r#"{"prompt":"a"}"#);
    session.call("POST", "/v1/completions", "{");
    session.call("GET", "/v1/completions", "");
    session.call("POST", "/v1/nothing", "{}");
    let large = format!(
        r#"{{"model":"lagging-llm","prompt":"{}"}}"#,
        "a".repeat(3_000)
    );
    let answer = session.caller.call("POST", "/v1/completions", &large);
    session
        .text
        .push_str(&answer.expect("the daemon answers").text);
    session.text.push('\n');
    session.call("POST", "/services/absent/orders", "{}");

    let mut session = session.with_header("Idempotency-Key", "key-1");
    session.call("POST", "/services/order-desk/orders", r#"{"order":"o-1"}"#);
    session.call("POST", "/services/order-desk/orders", r#"{"order":"o-1"}"#);
    session.call("POST", "/services/order-desk/orders", r#"{"order":"o-2"}"#);
    let mut session = session.with_header("X-Yuccaseam-Team", "tenders");
    session.call("POST", "/v1/batches?model=lagging-llm", "not JSON\n");
    session.call("GET", "/v1/batches/00", "");

    insta::with_settings!({filters => vec![
        (r#""id":"[0-9a-f]{16}""#, r#""id":"[call]""#),
    ]}, {
        insta::assert_snapshot!("caller_session", session.text);
    });
}
