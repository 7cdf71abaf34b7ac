//! Targets that answer before they have read the request, or with a status that is none.

use http::Method;
use yuccaseam_base::cases;
use yuccaseam_testing::platform::{
    BATCH,
    HOST,
    ONCE,
    RESUMABLE,
    Reply,
    SAFE,
    expected_events,
    expected_text,
    send, //
};

use super::{
    PATIENCE,
    raw_target::{
        Answer,
        End,
        RawRun,
        RawWorld,
        with_raw_targets, //
    },
};

/// Size of a request that does not fit into the buffers of a connection.
const LONG_BODY_BYTES: usize = 900_000;
/// Events of each stream.
const EVENTS: usize = 5;
/// Events that a target sends before it resets the connection.
const PART: usize = 2;
/// Bytes of the request that a target reads before it resets the connection.
const READ_BYTES: [usize; 8] = [0, 1, 4_096, 65_536, 131_072, 262_144, 524_288, 700_000];

/// Answers at once and without a length: the first run with a part and, unless the path says otherwise, with a
/// signature.
fn early_answer(run: &RawRun) -> Answer {
    if !run.path.contains("/late-") {
        return whole_answer(run);
    }
    let body = match run.path.starts_with(SAFE) {
        true => "answer".to_owned(),
        false => expected_events(&run.id, PART),
    };
    let signature = match run.path.contains("/unsigned/") {
        true => "",
        false => "Response-Signature: s\r\n",
    };
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n{signature}", run.id);
    Answer {
        bytes: format!("{head}\r\n{body}"),
        end: match run.path.contains("-closed/") {
            true => End::Close,
            false => End::Reset,
        },
    }
}

async fn upload(raw: &RawWorld, id: &str, path: &str) -> Option<Reply> {
    let entry = raw.world.system.entries[0].callers();
    let headers = [("host", HOST), ("request-id", id), ("deadline-ms", "5000")];
    let body = "x".repeat(LONG_BODY_BYTES);
    let reply = send(entry, Method::POST, path, &headers, &body, PATIENCE).await;
    // A connection that ends without an answer is none that looks whole.
    reply.ok()
}

/// Guards against a part that is passed on as a complete answer. The target ends the connection while the entry
/// writes, with a reset or with a close that a reset follows, so that either a read or a write may meet the reset.
fn no_part_of_an_early_answer_looks_whole(prefix: &'static str) {
    with_raw_targets(early_answer, async |raw| {
        let mut ran = 0;
        for turn in 0..5 {
            for bytes in READ_BYTES {
                for signed in ["signed", "unsigned", "signed-closed"] {
                    let id = format!("{signed}-{bytes}-{turn}");
                    let path = format!("{prefix}{signed}/late-{bytes}");
                    let reply = upload(&raw, &id, &path).await;
                    ran += raw.runs_of(&id);
                    if let Some(reply) = reply {
                        assert!(!reply.is_whole_success(), "{path}: {reply:?}");
                    }
                }
            }
        }
        assert!(ran > 0, "no request reached a target");
    });
}

cases! { no_part_of_an_early_answer_looks_whole:
    part_of_an_early_buffered_answer_is_no_success(SAFE);
    part_of_an_early_stream_is_no_success(ONCE);
    part_of_an_early_resumable_stream_is_no_success(RESUMABLE);
}

/// Answers early in the first run of an item, and whole afterwards.
fn early_then_whole(run: &RawRun) -> Answer {
    match run.earlier {
        0 => early_answer(run),
        _ => whole_answer(run),
    }
}

fn whole_answer(run: &RawRun) -> Answer {
    let body = if run.path.starts_with(SAFE) {
        format!("answer to {}", run.id)
    } else {
        let before = expected_events(&run.id, run.after.unwrap_or(0));
        let events = expected_events(&run.id, EVENTS);
        events.strip_prefix(&before).unwrap_or_default().to_owned()
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s",
        run.id
    );
    Answer {
        bytes: format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        end: End::Framed,
    }
}

async fn run_items(raw: &RawWorld, job: &str, kinds: &[String], body: &str) -> serde_json::Value {
    let items = kinds.iter().enumerate().map(|(at, kind)| {
        format!(r#"{{"id":"{job}-{at}","path":"{BATCH}{kind}","body":"{body}","tokens":10}}"#)
    });
    let items = format!(r#"{{"items":[{}]}}"#, items.collect::<Vec<_>>().join(","));
    let path = format!("{BATCH}{job}");
    let reply = raw.world.batch(0, Method::POST, &path, job, &items).await;
    assert_eq!(reply.status, 202, "{reply:?}");
    raw.world.results(0, job, kinds.len()).await
}

#[track_caller]
fn check_items(page: &serde_json::Value) {
    for result in page["results"].as_array().expect("a list") {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "completed", "{id}");
        assert_eq!(result["text"], expected_text(id, EVENTS), "{id}");
    }
}

/// Guards against an item that is completed with a part of its text.
#[test]
fn item_whose_early_answer_is_cut_off_goes_on() {
    with_raw_targets(early_then_whole, async |raw| {
        let body = "eHh4".repeat(LONG_BODY_BYTES / 4);
        let size = body.len() / 4 * 3;
        for bytes in READ_BYTES.into_iter().filter(|bytes| *bytes < size) {
            for end in ["signed", "signed-closed"] {
                let kinds = [format!("{end}/late-{bytes}")];
                let job = format!("{end}-{bytes}");
                check_items(&run_items(&raw, &job, &kinds, &body).await);
            }
        }
    });
}

/// Status lines that no answer can have, as the last segment of a path.
const ODD_STATUSES: [&str; 8] = ["000", "099", "100", "101", "103", "600", "999", "-20"];

/// The first run of a request has the status that its path names, the further ones are whole.
fn odd_status(run: &RawRun) -> Answer {
    let status = run.path.rsplit('/').next().unwrap_or_default();
    let is_odd = run.earlier == 0 || run.path.contains("/always/");
    let status = if is_odd { status } else { "200" };
    let body = if run.path.starts_with(SAFE) {
        format!("answer to {}", run.id)
    } else {
        expected_events(&run.id, EVENTS)
    };
    let head = format!(
        "HTTP/1.1 {status} S\r\nRequest-Id: {}\r\nResponse-Signature: s",
        run.id
    );
    Answer {
        bytes: format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        end: if is_odd { End::Close } else { End::Framed },
    }
}

/// Guards against a status that no caller can understand, and a body that comes with it.
fn no_odd_status_is_passed_on(prefix: &'static str) {
    with_raw_targets(odd_status, async |raw| {
        for (number, status) in ODD_STATUSES.into_iter().enumerate() {
            let id = format!("s{number}");
            let path = format!("{prefix}always/{status}");
            let reply = raw.world.system.call(number % 3, &id, &path).await;
            let reply = reply.unwrap_or_else(|error| panic!("{path}: {error}"));
            assert!(raw.runs_of(&id) > 0, "{path} did not run");
            assert!([502, 504].contains(&reply.status), "{path}: {reply:?}");
            assert!(!reply.is_signed(), "{path}: {reply:?}");
        }
    });
}

cases! { no_odd_status_is_passed_on:
    odd_status_of_a_buffered_answer_is_not_passed_on(SAFE);
    odd_status_of_a_stream_is_not_passed_on(ONCE);
    odd_status_of_a_resumable_stream_is_not_passed_on(RESUMABLE);
}

#[test]
fn item_that_gets_an_odd_status_runs_again() {
    with_raw_targets(odd_status, async |raw| {
        let kinds = ODD_STATUSES.map(|status| format!("once/{status}"));
        check_items(&run_items(&raw, "j", &kinds, "aGk=").await);
    });
}
