//! Batch items that no target takes, beside items that every target takes.

use http::Method;
use yuccaseam_testing::platform::{
    BATCH,
    expected_events,
    expected_text, //
};

use super::{
    job,
    raw_target::{
        Answer,
        End,
        RawRun,
        RawWorld,
        with_raw_targets, //
    },
};

/// Number of items that no target takes: more than all targets have slots.
const REFUSED_ITEMS: usize = 40;
/// Number of items that every target takes.
const SOUND_ITEMS: usize = 30;
const EVENTS: usize = 3;

/// Refuses as the last segment of the path says.
fn answer(run: &RawRun) -> Answer {
    let head = match run.path.rsplit('/').next().unwrap_or_default() {
        "too-large" => "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1",
        "wrong" => "HTTP/1.1 400 Bad Request\r\nResponse-Signature: s",
        _ => "HTTP/1.1 200 OK\r\nResponse-Signature: s",
    };
    let body = if head.contains("200") {
        let after = expected_events(&run.id, run.after.unwrap_or(0)).len();
        expected_events(&run.id, EVENTS).split_off(after)
    } else {
        String::new()
    };
    let (id, length) = (&run.id, body.len());
    Answer {
        bytes: format!("{head}\r\nRequest-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}"),
        end: End::Framed,
    }
}

async fn submit(raw: &RawWorld, id: &str, body: &str) {
    let path = format!("{BATCH}{id}");
    let reply = raw.world.batch(0, Method::POST, &path, id, body).await;
    assert_eq!(reply.status, 202, "{reply:?}");
}

/// Items that differ only in their path and headers.
fn items_of(id: &str, path: &str, headers: &str) -> String {
    let items = (0..REFUSED_ITEMS).map(|at| {
        format!(
            r#"{{"id":"{id}-{at}","path":"{BATCH}{path}","headers":{{{headers}}},"body":"aGk=","tokens":10}}"#
        )
    });
    let items: Vec<_> = items.collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}

/// Guards against items that no target takes and that keep all slots from others: they were due first, tried
/// again after 300 ms, and each refusal kept its target from all items for 1 s.
fn refused_items_hold_back_no_others(path: &'static str, headers: &'static str) {
    with_raw_targets(answer, async |raw| {
        submit(&raw, "refused", &items_of("refused", path, headers)).await;
        submit(&raw, "sound", &job("sound", SOUND_ITEMS)).await;
        let page = raw.world.results(0, "sound", SOUND_ITEMS).await;
        for result in page["results"].as_array().expect("a list") {
            let id = result["id"].as_str().expect("an id");
            assert_eq!(result["state"], "completed", "{id}");
            assert_eq!(result["text"], expected_text(id, EVENTS), "{id}");
        }
        // They are still owed: none is listed before its lifetime is over.
        let page = raw
            .world
            .batch(0, Method::GET, "/lots/refused?after=0", "-", "");
        let page = page.await;
        assert!(page.body.contains(r#""next":0"#), "{page:?}");
    });
}

yuccaseam_base::cases! { refused_items_hold_back_no_others:
    items_larger_than_every_target_hold_back_no_others("too-large", "");
    items_that_every_target_finds_wrong_hold_back_no_others("wrong", "");
    items_that_are_not_valid_in_http_hold_back_no_others("0", r#""X-Note":"a\u0000b""#);
}
