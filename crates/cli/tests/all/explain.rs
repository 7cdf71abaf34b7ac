//! Output of `explain`: the history of a request and its cause.

use std::{
    io::Write as _,
    process::{
        Command,
        Stdio, //
    },
};

use yuccaseam_base::cases;

/// Output of `explain` for these log lines.
fn explain(id: &str, lines: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_yuccaseam"))
        .args(["explain", id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the client starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    stdin.write_all(lines.as_bytes()).expect("lines are read");
    drop(stdin);
    let out = child.wait_with_output().expect("the client ends");
    String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned()
}

fn has_cause(lines: &str, expected: &str) {
    let text = explain("r1", lines);
    assert!(text.contains(&format!("cause: {expected}")), "{text}");
}

cases! { has_cause:
    refusal_when_all_targets_are_full(
        r#"edge-1 {"time_ms":1060,"level":"INFO","message":"request ended","request":"r1","outcome":"given_up","why":"queue_full","loads_age_ms":35,"took_ms":60}"#,
        "every target of its service was full (load reports were 35 ms old)"
    );
    refusal_of_a_team_beyond_its_share(
        concat!(
            r#"edge-1 {"time_ms":1001,"level":"INFO","message":"request beyond its team's share","request":"r1","team":"acme","priority":0,"fits_permille":210}"#,
            "\n",
            r#"edge-1 {"time_ms":1001,"level":"INFO","message":"request ended","request":"r1","outcome":"given_up","why":"team_over_share","took_ms":1}"#
        ),
        "slots were short, and team acme sent more than its share"
    );
    refusal_by_an_entry_without_a_manifest(
        r#"edge-1 {"time_ms":1060,"level":"INFO","message":"request refused","request":"r1","why":"no_manifest","up_for_ms":310}"#,
        "the entry had no manifest yet, 310 ms after its start"
    );
    refusal_of_a_team_over_its_quota(
        r#"edge-1 {"time_ms":1060,"level":"INFO","message":"request refused","request":"r1","why":"over_quota","team":"a","tokens":0,"answer_age_ms":12,"manifest":3,"come_back_ms":80}"#,
        "team a had used up its quota of manifest 3 (the leader's last answer was 12 ms old)"
    );
    refusal_because_nobody_knew_the_quota(
        r#"edge-1 {"time_ms":1060,"level":"INFO","message":"request refused","request":"r1","why":"quota_unknown","team":"a","tokens":0,"manifest":3,"come_back_ms":700}"#,
        "nobody said whether team a had room in its quota (the leader had never answered)"
    );
    refusal_of_an_unknown_key(
        r#"edge-1 {"time_ms":1060,"level":"INFO","message":"request refused","request":"r1","why":"unknown_key","manifest":7,"contact_age_ms":40}"#,
        "no team of manifest 7 has its API key"
    );
    refusal_of_a_key_that_may_be_newer(
        r#"edge-1 {"time_ms":1060,"level":"INFO","message":"request refused","request":"r1","why":"unconfirmed_key","manifest":7,"contact_age_ms":4000}"#,
        "no team of manifest 7 has its API key, and the entry had not heard of the leader for 4000 ms"
    );
    refusal_because_of_a_quarantined_prompt_part(
        concat!(
            r#"edge-1 {"time_ms":1050,"level":"INFO","message":"a feature of the request is quarantined","request":"r1","feature":"d00d"}"#,
            "\n",
            r#"edge-1 {"time_ms":1051,"level":"INFO","message":"request ended","request":"r1","outcome":"given_up","why":"request_quarantined","took_ms":1}"#
        ),
        "part d00d of its prompt is quarantined: targets crashed under requests with it"
    );
    refusal_because_the_whole_request_is_quarantined(
        concat!(
            r#"edge-1 {"time_ms":1050,"level":"INFO","message":"a feature of the request is quarantined","request":"r1","feature":"request:a1b2"}"#,
            "\n",
            r#"edge-1 {"time_ms":1051,"level":"INFO","message":"request ended","request":"r1","outcome":"given_up","why":"request_quarantined","took_ms":1}"#
        ),
        "it is quarantined: targets crashed under this request, with other ids"
    );
    slow_response(
        r#"edge-1 {"time_ms":2000,"level":"INFO","message":"request ended","request":"r1","outcome":"streamed","target_name":"e7","waited_ms":20,"first_event_ms":520,"believed_online":9,"believed_batch":0,"took_ms":1000}"#,
        "it was served by e7: 20 ms until it was sent there, 500 ms until the first event (estimated load 9 requests and 0 items), 1000 ms in all"
    );
    killed_entry_is_reported_as_restarted(
        concat!(
            r#"edge-1 {"time_ms":2000,"level":"INFO","message":"target rejected the request","request":"r1","target_name":"e7"}"#,
            "\n",
            r#"edge-1 {"time_ms":2900,"level":"INFO","message":"starting"}"#
        ),
        "edge-1 terminated without logging its end and restarted 900 ms after the last line"
    );
    job_with_a_preempted_item(
        concat!(
            r#"edge-1 {"time_ms":1010,"level":"INFO","message":"batch job submitted","request":"r1","items":1,"outcome":"accepted","took_ms":10}"#,
            "\n",
            r#"store-1 {"time_ms":1100,"level":"INFO","message":"batch item started","job":"r1","item":0,"target_name":"e7"}"#,
            "\n",
            r#"store-1 {"time_ms":1200,"level":"INFO","message":"batch item preempted","job":"r1","item":0}"#
        ),
        "the job was accepted after 10 ms; its items were started 1 times, preempted 1 times and ended 0 times"
    );
    job_logged_by_an_older_process(
        concat!(
            r#"edge-1 {"time_ms":1010,"level":"INFO","message":"batch job handed in","request":"r1","items":1,"outcome":"accepted","took_ms":10}"#,
            "\n",
            r#"store-1 {"time_ms":1100,"level":"INFO","message":"batch item started","job":"r1","item":0,"target_name":"e7"}"#,
            "\n",
            r#"store-1 {"time_ms":1200,"level":"INFO","message":"batch item makes way","job":"r1","item":0}"#
        ),
        "the job was accepted after 10 ms; its items were started 1 times, preempted 1 times and ended 0 times"
    );
}

#[test]
fn leader_events_are_shown_in_current_and_older_texts() {
    let lines = concat!(
        r#"edge-1 {"time_ms":900,"level":"WARN","message":"leader connection lost","why":"w"}"#,
        "\n",
        r#"edge-1 {"time_ms":910,"level":"INFO","message":"became leader; state is current"}"#,
        "\n",
        r#"edge-1 {"time_ms":920,"level":"INFO","message":"leadership lost"}"#,
        "\n",
        r#"edge-1 {"time_ms":930,"level":"WARN","message":"the leader is followed no more","why":"w"}"#,
        "\n",
        r#"edge-1 {"time_ms":940,"level":"INFO","message":"this instance leads, and its state is current"}"#,
        "\n",
        r#"edge-1 {"time_ms":950,"level":"INFO","message":"this instance does not lead any more"}"#,
        "\n",
        r#"edge-1 {"time_ms":960,"level":"INFO","message":"group changed"}"#,
        "\n",
        r#"edge-1 {"time_ms":1060,"level":"INFO","message":"request refused","request":"r1","why":"no_manifest","up_for_ms":310}"#,
    );
    let text = explain("r1", lines);
    insta::assert_snapshot!(text, @r"
    r1
           +0 ms  edge-1  request refused  up_for_ms=310  why=no_manifest
    meanwhile
         -160 ms  edge-1  leader connection lost  why=w
         -150 ms  edge-1  became leader; state is current
         -140 ms  edge-1  leadership lost
         -130 ms  edge-1  the leader is followed no more  why=w
         -120 ms  edge-1  this instance leads, and its state is current
         -110 ms  edge-1  this instance does not lead any more
    cause: the entry had no manifest yet, 310 ms after its start
    ");
}

/// A file may be read while it is written, and other programs write to the same collector.
#[test]
fn truncated_and_foreign_lines_are_skipped() {
    let lines = concat!(
        "kernel: link is up\n",
        r#"edge-1 {"time_ms":1000,"level":"WARN","message":"request failed at the target","request":"r1","target_name":"e7","failure":"broken"}"#,
        "\n",
        r#"store-1 {"time_ms":990,"level":"INFO","message":"target announced","target_name":"e7","number":4}"#,
        "\n",
        r#"edge-1 {"time_ms":1001,"level":"INFO","message":"request ended","request":"r1","outcome":"given_up","why":"broken","took_ms":101}"#,
        "\n",
        r#"edge-1 {"time_ms":1002,"level":"IN"#,
    );
    let text = explain("r1", lines);
    insta::assert_snapshot!(text, @r"
    r1
         +100 ms  edge-1  request failed at the target  failure=broken  target_name=e7
         +101 ms  edge-1  request ended  outcome=given_up  took_ms=101  why=broken
    meanwhile
          +90 ms  store-1  target announced  number=4  target_name=e7
    cause: e7 broke off
    (2 lines were skipped: truncated, or from other programs)
    ");
}

#[test]
fn unknown_request_is_an_error() {
    let text = explain("r2", r#"{"time_ms":1,"message":"starting"}"#);
    assert!(text.contains("no line mentions r2"), "{text}");
}
