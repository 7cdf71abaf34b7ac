//! Answers that come with neither a length nor chunks and end with their connection.

use std::{
    io::{
        self,
        BufRead,
        BufReader,
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
};

use http::Method;
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

/// Events of each stream.
const EVENTS: usize = 5;
/// Whole events of a run that is cut short.
const STOP: usize = 2;
/// A request that does not fit into the buffers of a connection whose target does not read.
const LONG_BODY_BYTES: usize = 1_000_000;
/// Bytes that are no event, after the second event of a stream: without an id, with an empty one, with a word
/// as id, with the id of an event before, and without an end of their own.
const NOISE: [(&str, &str); 5] = [
    ("noise-no-id", "data: noise\n\n"),
    ("noise-empty-id", "id:\ndata: noise\n\n"),
    ("noise-word", "id: noise\ndata: noise\n\n"),
    ("noise-repeated", "id: 2\ndata: noise\n\n"),
    ("noise-joined", "data: noise"),
];
/// What a target answers that is asked to resume a stream, which another one has broken off.
const REFUSED_RESUMES: [(&str, &str); 6] = [
    ("resume-404", "HTTP/1.1 404 Not Found"),
    ("resume-400", "HTTP/1.1 400 Bad Request"),
    ("resume-500", "HTTP/1.1 500 Internal Server Error"),
    ("resume-502", "HTTP/1.0 502 Bad Gateway"),
    (
        "resume-rejected",
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1",
    ),
    ("resume-noise", "502 this is no answer in the protocol"),
];
/// Text of such an answer.
const ERROR_TEXT: &str = "id: 3\ndata: internal error\n\n";
/// Status line of a success.
const OK: &str = "HTTP/1.1 200 OK";
/// Streams that their target breaks off, and the last whole event that it sends.
const CUT_SHORT: [(&str, usize); 5] = [
    ("inside-data", STOP),
    ("inside-end", EVENTS - 1),
    ("inside-chunked", STOP),
    ("reset-inside", STOP),
    ("reset-between", STOP),
];

/// Answers as the last segment of the path says. A run that resumes is whole.
fn answer(run: &RawRun) -> Answer {
    let kind = run.path.rsplit('/').next().unwrap_or_default();
    let is_stream = !run.path.starts_with(SAFE);
    let whole = if is_stream {
        events_after(run, EVENTS)
    } else {
        format!("answer to {}", run.id)
    };
    let part = if is_stream {
        events_after(run, STOP)
    } else {
        whole[..5].to_owned()
    };
    match kind {
        "whole-1.0" => unframed("HTTP/1.0 200 OK", run, &whole),
        "whole-close" => unframed("HTTP/1.1 200 OK\r\nConnection: close", run, &whole),
        "reset-always" | "unread" => reset(unframed(OK, run, &part)),
        "404" => unframed("HTTP/1.1 404 Not Found", run, "no such order"),
        "500" => unframed("HTTP/1.1 500 Internal Server Error", run, "it failed"),
        "500-reset" => reset(unframed("HTTP/1.1 500 Internal Server Error", run, "it")),
        "noise-first" if run.earlier == 0 => reset(chunked(run, "data: noise\n\n")),
        _ if let Some(head) = refused_resume(kind) => match run.earlier {
            0 => reset(chunked_part(run, &part)),
            1 => unframed(head, run, ERROR_TEXT),
            _ => unframed(OK, run, &whole),
        },
        _ if let Some(bytes) = noisy_stream(run, kind) => chunked(run, &bytes),
        "reset" if run.earlier == 0 => reset(unframed(OK, run, &part)),
        "reset-between" if run.after.is_none() => reset(unframed(OK, run, &part)),
        "reset-after-last" if run.after.is_none() => reset(unframed(OK, run, &whole)),
        "inside-data" if run.after.is_none() => unframed(OK, run, &whole[..part.len() + 9]),
        "inside-end" if run.after.is_none() => unframed(OK, run, &whole[..whole.len() - 1]),
        "inside-chunked" if run.after.is_none() => chunked(run, &whole[..part.len() + 9]),
        "reset-inside" if run.after.is_none() => reset(unframed(OK, run, &whole[..part.len() + 9])),
        "empty" if run.earlier == 0 => unframed(OK, run, ""),
        "1" => framed(run, &whole),
        _ => unframed(OK, run, &whole),
    }
}

/// The events of a run up to one of them.
fn events_after(run: &RawRun, last: usize) -> String {
    let before = expected_events(&run.id, run.after.unwrap_or(0));
    let events = expected_events(&run.id, last);
    events.strip_prefix(&before).unwrap_or_default().to_owned()
}

fn refused_resume(kind: &str) -> Option<&'static str> {
    let mut kinds = REFUSED_RESUMES.into_iter();
    kinds.find_map(|(name, head)| (name == kind).then_some(head))
}

/// The first run of a stream, with noise after the second event. The stream ends as if it were complete.
fn noisy_stream(run: &RawRun, kind: &str) -> Option<String> {
    let (_, noise) = NOISE.into_iter().find(|(name, _)| *name == kind)?;
    let before = expected_events(&run.id, STOP);
    let after = events_after(run, EVENTS).split_off(before.len());
    (run.earlier == 0 && run.after.is_none()).then(|| format!("{before}{noise}{after}"))
}

fn unframed(status: &str, run: &RawRun, body: &str) -> Answer {
    let id = &run.id;
    Answer {
        bytes: format!("{status}\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\r\n{body}"),
        end: End::Close,
    }
}

fn framed(run: &RawRun, body: &str) -> Answer {
    let status = format!("{OK}\r\nContent-Length: {}", body.len());
    Answer {
        end: End::Framed,
        ..unframed(&status, run, body)
    }
}

fn chunked(run: &RawRun, body: &str) -> Answer {
    let status = format!("{OK}\r\nTransfer-Encoding: chunked");
    let body = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    Answer {
        end: End::Framed,
        ..unframed(&status, run, &body)
    }
}

/// A chunk of an answer that does not end.
fn chunked_part(run: &RawRun, part: &str) -> Answer {
    let status = format!("{OK}\r\nTransfer-Encoding: chunked");
    unframed(&status, run, &format!("{:x}\r\n{part}\r\n", part.len()))
}

fn reset(answer: Answer) -> Answer {
    let end = End::Reset;
    Answer { end, ..answer }
}

impl RawWorld {
    async fn call(&self, id: &str, path: &str) -> Reply {
        let reply = self.world.system.call(0, id, path).await;
        reply.unwrap_or_else(|error| panic!("{path}: {error}"))
    }
}

#[test]
fn buffered_answer_that_ends_with_its_connection_is_whole() {
    with_raw_targets(answer, async |raw| {
        for kind in ["whole", "whole-1.0", "whole-close"] {
            for turn in 0..10 {
                let id = format!("{kind}-{turn}");
                let reply = raw.call(&id, &format!("{SAFE}{kind}")).await;
                assert!(reply.is_whole_success() && reply.is_signed(), "{reply:?}");
                assert_eq!(reply.body, format!("answer to {id}"));
                assert!(reply.headers.contains_key("content-length"), "{reply:?}");
            }
        }
        assert!(raw.sent_after_close().is_empty());
    });
}

#[test]
fn buffered_answer_that_is_reset_midway_is_not_whole() {
    with_raw_targets(answer, async |raw| {
        let reply = raw.call("r1", &format!("{SAFE}reset")).await;
        let log = raw.world.system.entries[0].log();
        assert!(reply.is_whole_success(), "{reply:?}\n{log}");
        assert_eq!(reply.body, "answer to r1");

        let reply = raw.call("r2", &format!("{SAFE}reset-always")).await;
        assert_eq!(reply.status, 502, "{reply:?}");
        assert!(!reply.is_signed(), "{reply:?}");
    });
}

/// The entry may still write the request when the connection is reset, so that the error is one of
/// writing.
#[test]
fn answer_that_is_reset_before_the_request_was_read_is_not_whole() {
    with_raw_targets(answer, async |raw| {
        let entry = raw.world.system.entries[0].callers();
        let body = "x".repeat(LONG_BODY_BYTES);
        for turn in 0..10 {
            let id = format!("l{turn}");
            let headers = [("host", HOST), ("request-id", &id), ("deadline-ms", "5000")];
            let call = async |path: &str| {
                let reply = send(entry, Method::POST, path, &headers, &body, PATIENCE).await;
                reply.unwrap_or_else(|error| panic!("{path}: {error}"))
            };
            let reply = call(&format!("{SAFE}unread")).await;
            assert_eq!(reply.status, 502, "{reply:?}");
            assert!(!reply.is_signed(), "{reply:?}");
            let reply = call(&format!("{ONCE}unread")).await;
            assert!(!reply.is_whole_success(), "{reply:?}");
        }
    });
}

#[test]
fn error_answer_without_length_is_passed_on_whole_or_not_at_all() {
    with_raw_targets(answer, async |raw| {
        for prefix in [ONCE, RESUMABLE, SAFE] {
            let id = format!("n{prefix}");
            let reply = raw.call(&id, &format!("{prefix}404")).await;
            assert_eq!((reply.status, reply.complete), (404, true), "{reply:?}");
            assert_eq!(reply.body, "no such order");
            assert!(reply.is_signed(), "{reply:?}");

            let id = format!("f{prefix}");
            let reply = raw.call(&id, &format!("{prefix}500")).await;
            assert_eq!((reply.status, reply.complete), (500, true), "{reply:?}");
            assert_eq!(reply.body, "it failed");
            assert!(reply.is_signed(), "{reply:?}");

            let id = format!("r{prefix}");
            let reply = raw.call(&id, &format!("{prefix}500-reset")).await;
            assert_eq!(reply.status, 502, "{reply:?}");
            assert!(!reply.is_signed(), "{reply:?}");
        }
        assert!(raw.sent_after_close().is_empty());
    });
}

#[test]
fn stream_that_ends_with_its_connection_between_events_is_whole() {
    with_raw_targets(answer, async |raw| {
        for prefix in [ONCE, RESUMABLE] {
            for kind in ["whole", "whole-1.0"] {
                let id = format!("{kind}{prefix}");
                let reply = raw.call(&id, &format!("{prefix}{kind}")).await;
                assert!(reply.is_whole_success(), "{reply:?}");
                assert_eq!(reply.body, expected_events(&id, EVENTS));
                assert!(raw.resumed_after(&id).is_empty(), "{id}");
            }
        }
        assert!(raw.sent_after_close().is_empty());
    });
}

/// Guards against a stream that is passed on as complete although its target broke it off.
#[test]
fn stream_cut_short_that_may_not_be_resumed_never_looks_complete() {
    with_raw_targets(answer, async |raw| {
        for (kind, last) in CUT_SHORT {
            let reply = raw.call(kind, &format!("{ONCE}{kind}")).await;
            assert!(!reply.complete, "{kind}: {reply:?}");
            assert_eq!(reply.body, expected_events(kind, last), "{kind}");
            assert_eq!(raw.runs_of(kind), 1, "{kind}");
        }
    });
}

#[test]
fn stream_cut_short_resumes_after_its_last_whole_event() {
    with_raw_targets(answer, async |raw| {
        for (kind, last) in CUT_SHORT {
            let reply = raw.call(kind, &format!("{RESUMABLE}{kind}")).await;
            let log = raw.world.system.entries[0].log();
            assert!(reply.is_whole_success(), "{kind}: {reply:?}\n{log}");
            assert_eq!(reply.body, expected_events(kind, EVENTS), "{kind}");
            assert_eq!(raw.resumed_after(kind), [last], "{kind}");
        }
        assert!(raw.sent_after_close().is_empty());
    });
}

/// All events came, but not the end: the run that goes on after the last one has none to send.
#[test]
fn stream_that_is_reset_after_its_last_event_ends_with_an_empty_run() {
    with_raw_targets(answer, async |raw| {
        let reply = raw
            .call("s1", &format!("{RESUMABLE}reset-after-last"))
            .await;
        assert!(reply.is_whole_success(), "{reply:?}");
        assert_eq!(reply.body, expected_events("s1", EVENTS));
        assert_eq!(raw.resumed_after("s1"), [EVENTS]);
    });
}

#[test]
fn stream_that_its_caller_resumes_after_the_last_event_is_empty_and_whole() {
    with_raw_targets(answer, async |raw| {
        let headers = [
            ("host", HOST),
            ("request-id", "c1"),
            ("deadline-ms", "5000"),
            ("last-event-id", "5"),
        ];
        let entry = raw.world.system.entries[0].callers();
        let path = format!("{RESUMABLE}whole");
        let reply = send(entry, Method::POST, &path, &headers, "", PATIENCE).await;
        let reply = reply.expect("an answer comes");
        assert!(reply.is_whole_success(), "{reply:?}");
        assert_eq!(reply.body, "");
        assert_eq!(raw.resumed_after("c1"), [EVENTS]);
    });
}

/// Guards against an empty answer that looks complete: a target that crashes before its first event
/// may have sent the head, and its connection ends as that of a whole answer does.
#[test]
fn stream_that_ends_with_its_connection_before_its_first_event_is_broken() {
    with_raw_targets(answer, async |raw| {
        // The connection may be closed before the head of the answer was written.
        let path = format!("{ONCE}empty");
        let reply = raw.world.system.call(0, "e1", &path).await;
        let reply = reply.ok().filter(Reply::is_whole_success);
        assert!(reply.is_none(), "{reply:?}");
        assert_eq!(raw.runs_of("e1"), 1);

        let reply = raw.call("e2", &format!("{RESUMABLE}empty")).await;
        assert!(reply.is_whole_success(), "{reply:?}");
        assert_eq!(reply.body, expected_events("e2", EVENTS));
    });
}

/// Submits a job of one item and returns its result.
async fn run_item(raw: &RawWorld, job: &str, kind: &str) -> serde_json::Value {
    let item = format!(r#"{{"id":"{job}-0","path":"{BATCH}{kind}","body":"aGk=","tokens":10}}"#);
    let body = format!(r#"{{"items":[{item}]}}"#);
    let path = format!("{BATCH}{job}");
    let reply = raw.world.batch(0, Method::POST, &path, job, &body).await;
    assert_eq!(reply.status, 202, "{reply:?}");
    let page = raw.world.results(0, job, 1).await;
    page["results"][0].clone()
}

#[test]
fn batch_item_is_completed_only_with_its_whole_text() {
    with_raw_targets(answer, async |raw| {
        let whole = [("whole", None), ("whole-1.0", None)];
        let last_event = [("reset-after-last", Some(EVENTS))];
        let cut_short = CUT_SHORT.map(|(kind, last)| (kind, Some(last)));
        let kinds = whole.into_iter().chain(cut_short).chain(last_event);
        for (at, (kind, last)) in kinds.enumerate() {
            let job = format!("j{at}");
            let result = run_item(&raw, &job, kind).await;
            let item = format!("{job}-0");
            assert_eq!(result["state"], "completed", "{kind}");
            assert_eq!(result["text"], expected_text(&item, EVENTS), "{kind}");
            let resumed = raw.resumed_after(&item);
            assert!(last.is_none_or(|last| resumed.contains(&last)), "{kind}");
        }
        assert!(raw.sent_after_close().is_empty());
    });
}

/// Guards against an item with an empty text: see the test of streams.
#[test]
fn batch_item_whose_run_ends_before_its_first_event_runs_again() {
    with_raw_targets(answer, async |raw| {
        let result = run_item(&raw, "j1", "empty").await;
        assert_eq!(result["state"], "completed");
        assert_eq!(result["text"], expected_text("j1-0", EVENTS));
    });
}

/// Sends a request on a connection that is kept, and returns the body of the answer.
fn ask(stream: &mut BufReader<TcpStream>, id: &str, path: &str) -> io::Result<String> {
    let req = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\
         Content-Length: 2\r\n\r\nhi"
    );
    stream.get_mut().write_all(req.as_bytes())?;
    let (mut length, mut is_chunked) = (None, false);
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.split_once(':') else {
            if line.is_empty() {
                break;
            }
            assert_eq!(line, "HTTP/1.1 200 OK");
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok(),
            "transfer-encoding" => is_chunked = value.trim() == "chunked",
            "connection" => panic!("the entry closes the connection: {value}"),
            _ => {}
        }
    }
    assert_ne!(length.is_some(), is_chunked, "the answer states its end");
    let mut body = String::new();
    if let Some(length) = length {
        stream.take(length).read_to_string(&mut body)?;
        return Ok(body);
    }
    loop {
        let size = u64::from_str_radix(&read_line(stream)?, 16).map_err(io::Error::other)?;
        stream.take(size).read_to_string(&mut body)?;
        read_line(stream)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn connect(entry: SocketAddr) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(entry)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(BufReader::new(stream))
}

#[test]
fn connection_of_the_caller_stays_usable_after_an_unframed_answer() {
    with_raw_targets(answer, async |raw| {
        let entry = raw.world.system.entries[0].callers();
        let mut stream = connect(entry).expect("the entry accepts");
        for turn in 0..4 {
            let id = format!("b{turn}");
            let body = ask(&mut stream, &id, &format!("{SAFE}whole"));
            assert_eq!(body.expect("a whole answer"), format!("answer to {id}"));
            for prefix in [ONCE, RESUMABLE] {
                let id = format!("s{turn}{prefix}");
                let body = ask(&mut stream, &id, &format!("{prefix}whole"));
                assert_eq!(body.expect("a whole answer"), expected_events(&id, EVENTS));
            }
        }
        assert!(raw.sent_after_close().is_empty());
    });
}

/// Guards against bytes that are no event in streams: they were forwarded as if they were, and the stream
/// went on after them, from its beginning if they came first.
#[test]
fn stream_with_bytes_that_are_no_event_goes_on_at_another_target() {
    with_raw_targets(answer, async |raw| {
        for (kind, _) in NOISE.into_iter().chain([("noise-first", "")]) {
            let reply = raw.call(kind, &format!("{RESUMABLE}{kind}")).await;
            assert!(reply.is_whole_success(), "{kind}: {reply:?}");
            assert_eq!(reply.body, expected_events(kind, EVENTS), "{kind}");
            let resumed = raw.resumed_after(kind);
            let expected: &[usize] = if kind == "noise-first" { &[] } else { &[STOP] };
            assert_eq!(resumed, expected, "{kind}");
        }
        for (kind, _) in NOISE {
            let id = format!("once-{kind}");
            let reply = raw
                .world
                .system
                .call(0, &id, &format!("{ONCE}{kind}"))
                .await;
            let whole = reply.ok().filter(Reply::is_whole_success);
            assert!(whole.is_none(), "{kind}: {whole:?}");
            assert_eq!(raw.runs_of(&id), 1);
        }
    });
}

/// Guards against bytes that are no event in completed results: see the test of streams.
#[test]
fn batch_item_with_bytes_that_are_no_event_goes_on_at_another_target() {
    with_raw_targets(answer, async |raw| {
        for (kind, _) in NOISE.into_iter().chain([("noise-first", "")]) {
            let result = run_item(&raw, kind, kind).await;
            assert_eq!(result["state"], "completed", "{kind}");
            let item = format!("{kind}-0");
            assert_eq!(result["text"], expected_text(&item, EVENTS), "{kind}");
        }
    });
}

/// Guards against the text or the head of an error in the middle of a stream: it has begun and broken off, and
/// the next target answers with an error.
#[test]
fn error_of_the_next_target_stays_out_of_a_stream_that_has_begun() {
    with_raw_targets(answer, async |raw| {
        for (kind, _) in REFUSED_RESUMES {
            let expected = expected_events(kind, EVENTS);
            let path = format!("{RESUMABLE}{kind}");
            let reply = raw.world.system.call(0, kind, &path).await;
            assert!(raw.runs_of(kind) >= 2, "{kind} was not resumed");
            // An answer that is cut off may end in an error of the connection.
            let Ok(reply) = reply else {
                continue;
            };
            if reply.is_whole_success() {
                assert_eq!(reply.body, expected, "{kind}");
            } else {
                assert!(!reply.complete, "{kind}: {reply:?}");
                assert!(expected.starts_with(&reply.body), "{kind}: {reply:?}");
            }
        }
    });
}

/// The same for the results of batch items.
#[test]
fn error_of_the_next_target_stays_out_of_a_result_that_has_begun() {
    with_raw_targets(answer, async |raw| {
        for (kind, _) in REFUSED_RESUMES {
            let result = run_item(&raw, kind, kind).await;
            assert_eq!(result["state"], "completed", "{kind}");
            let item = format!("{kind}-0");
            assert_eq!(result["text"], expected_text(&item, EVENTS), "{kind}");
        }
    });
}
