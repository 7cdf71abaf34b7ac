//! Targets that stop in the middle of the head of an answer and close.

use http::Method;
use yuccaseam_base::cases;
use yuccaseam_testing::platform::{
    BATCH,
    ONCE,
    RESUMABLE,
    SAFE,
    expected_events,
    expected_text, //
};

use super::raw_target::{
    Answer,
    End,
    RawRun,
    RawWorld,
    with_raw_targets, //
};

/// Events of each stream.
const EVENTS: usize = 3;
/// How an answer states its end.
const FRAMINGS: [&str; 3] = ["length", "chunks", "neither"];
/// Of the requests that may run again, the share that is served, in percent: a target that has failed is left
/// alone for a while.
const MIN_SERVED_PERCENT: usize = 90;

/// Answers as the last segment of the path says, `FRAMING-END-CUT`. The head of the first run is cut off after
/// that many bytes.
fn answer(run: &RawRun) -> Answer {
    let kind = run.path.rsplit('/').next().unwrap_or_default();
    let mut words = kind.split('-');
    let (framing, end, cut) = (words.next(), words.next(), words.next());
    let body = body(run);
    let head = head(&run.id, framing.unwrap_or_default(), body.len());
    let cut = cut.and_then(|cut| cut.parse().ok()).unwrap_or(head.len());
    if run.earlier == 0 && cut < head.len() {
        return Answer {
            bytes: head[..cut].to_owned(),
            end: match end {
                Some("reset") => End::Reset,
                _ => End::Close,
            },
        };
    }
    let (body, end) = match framing {
        Some("chunks") => (
            format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
            End::Framed,
        ),
        Some("length") => (body, End::Framed),
        _ => (body, End::Close),
    };
    let bytes = head + &body;
    Answer { bytes, end }
}

fn body(run: &RawRun) -> String {
    if run.path.starts_with(SAFE) {
        return format!("answer to {}", run.id);
    }
    let before = expected_events(&run.id, run.after.unwrap_or(0));
    let events = expected_events(&run.id, EVENTS);
    events.strip_prefix(&before).unwrap_or_default().to_owned()
}

fn head(id: &str, framing: &str, length: usize) -> String {
    let framing = match framing {
        "length" => format!("Content-Length: {length}\r\n"),
        "chunks" => "Transfer-Encoding: chunked\r\n".to_owned(),
        _ => String::new(),
    };
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n{framing}\r\n")
}

/// Each place in the head of an answer, closed there, and each eighth one reset.
fn cuts(framing: &str) -> impl Iterator<Item = String> {
    let len = head("x-000", framing, 10).len();
    let closed = (0..len).map(|cut| ("close", cut));
    let reset = (0..len).step_by(8).map(|cut| ("reset", cut));
    closed
        .chain(reset)
        .map(move |(end, cut)| format!("{framing}-{end}-{cut}"))
}

/// Guards against an answer that looks whole although its target stopped in the head.
fn no_success_from_a_head_that_is_cut_off(prefix: &'static str) {
    with_raw_targets(answer, async |raw| {
        let (mut ran, mut served) = (0, 0);
        for (number, cut) in FRAMINGS.into_iter().flat_map(cuts).enumerate() {
            let id = format!("x-{number:03}");
            let path = format!("{prefix}{cut}");
            // A connection that ends without an answer is none that looks whole.
            let reply = raw.world.system.call(number % 3, &id, &path).await;
            ran += usize::from(raw.runs_of(&id) > 0);
            let Some(reply) = reply.ok().filter(|reply| reply.status < 300) else {
                continue;
            };
            assert_ne!(prefix, ONCE, "{path}: {reply:?}");
            assert!(reply.complete, "{path}: {reply:?}");
            let expected = match prefix {
                SAFE => format!("answer to {id}"),
                _ => expected_events(&id, EVENTS),
            };
            assert_eq!(reply.body, expected, "{path}");
            served += 1;
        }
        assert!(ran > 0, "no request reached a target");
        assert!(
            prefix == ONCE || served * 100 >= ran * MIN_SERVED_PERCENT,
            "{served} of {ran} requests were served"
        );
    });
}

cases! { no_success_from_a_head_that_is_cut_off:
    buffered_answer_whose_head_is_cut_off_is_no_success(SAFE);
    stream_whose_head_is_cut_off_is_no_success(ONCE);
    resumed_stream_whose_head_was_cut_off_is_whole(RESUMABLE);
}

async fn run_items(raw: &RawWorld, job: &str, cuts: &[String]) -> serde_json::Value {
    let items = cuts.iter().enumerate().map(|(at, cut)| {
        format!(r#"{{"id":"{job}-{at}","path":"{BATCH}{cut}","body":"aGk=","tokens":10}}"#)
    });
    let body = format!(r#"{{"items":[{}]}}"#, items.collect::<Vec<_>>().join(","));
    let path = format!("{BATCH}{job}");
    let reply = raw.world.batch(0, Method::POST, &path, job, &body).await;
    assert_eq!(reply.status, 202, "{reply:?}");
    raw.world.results(0, job, cuts.len()).await
}

/// Guards against an item that is completed with an empty or short text.
#[test]
fn batch_item_whose_head_is_cut_off_runs_again() {
    with_raw_targets(answer, async |raw| {
        for framing in FRAMINGS {
            // Every fourth place: a target that has failed is left alone for a while.
            let cuts: Vec<_> = cuts(framing).step_by(4).collect();
            let page = run_items(&raw, framing, &cuts).await;
            for result in page["results"].as_array().expect("a list") {
                let id = result["id"].as_str().expect("an id");
                assert_eq!(result["state"], "completed", "{id}");
                assert_eq!(result["text"], expected_text(id, EVENTS), "{id}");
            }
        }
    });
}
