//! Event streams that arrive in pieces of any size.

use assert_matches::assert_matches;
use yuccaseam_base::cases;
use yuccaseam_serving::events::{
    EventSplitter,
    InvalidEvent,
    event_data, //
};

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b c\n\nid: 3\ndata: d\n\n";

#[test]
fn only_complete_events_are_returned() {
    for cut in 0..STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut complete = Vec::new();
        for piece in [&STREAM[..cut], &STREAM[cut..]] {
            if let Some(events) = splitter.push(piece).expect("small events") {
                assert!(events.ends_with(b"\n\n"));
                complete.extend_from_slice(&events);
            }
        }
        assert_eq!(complete, STREAM, "cut at {cut}");
        assert!(!splitter.is_mid_event());
        assert_eq!(splitter.last_id(), Some(3));
    }
}

#[test]
fn broken_stream_resumes_after_the_last_complete_event() {
    let mut splitter = EventSplitter::default();
    assert_matches!(splitter.push(&STREAM[..20]), Ok(Some(_)));
    assert!(splitter.is_mid_event());
    assert_eq!(splitter.last_id(), Some(1));
    splitter.discard_partial();
    assert_matches!(splitter.push(b"id: 2\ndata: b c\n\n"), Ok(Some(events)) if events.starts_with(b"id: 2"));
    assert_eq!(splitter.last_id(), Some(2));
}

/// A broken target sends bytes without an end of an event, until its connection is closed.
#[test]
fn event_without_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    let piece = [b'x'; 16 * 1024];
    let pieces = (1..1_000).take_while(|_| splitter.push(&piece).is_ok());
    assert_eq!(pieces.count(), 16);
}

#[test]
fn event_data_yields_all_data_lines() {
    let data: Vec<_> = event_data(STREAM).collect();
    assert_eq!(data, [b"a".as_slice(), b"b c", b"d"]);
}

/// Guards against bytes that are no answer in results and streams: whatever ended with an empty line was
/// taken as an event, and the stream went on after it.
fn invalid_event_stays_out(event: &str) {
    let bytes = [STREAM, event.as_bytes(), b"id: 9\ndata: e\n\n"].concat();
    for cut in 0..bytes.len() {
        let mut splitter = EventSplitter::default();
        let mut complete = Vec::new();
        let mut error = None;
        for piece in [&bytes[..cut], &bytes[cut..], b""] {
            match splitter.push(piece) {
                Ok(events) => complete.extend(events.into_iter().flatten()),
                Err(invalid) => error = Some(invalid),
            }
        }
        assert_eq!(complete, STREAM, "cut at {cut}");
        assert_eq!(error, Some(InvalidEvent::OutOfOrder), "cut at {cut}");
        assert!(splitter.is_mid_event(), "the stream must not look complete");
        assert_eq!(splitter.last_id(), Some(3));
    }
}

cases! { invalid_event_stays_out:
    event_without_an_id_stays_out("data: noise\n\n");
    event_with_an_empty_id_stays_out("id:\ndata: noise\n\n");
    event_with_a_word_as_id_stays_out("id: x4\ndata: noise\n\n");
    event_with_a_signed_id_stays_out("id: +4\ndata: noise\n\n");
    event_that_is_repeated_stays_out("id: 3\ndata: d\n\n");
    event_with_a_lower_id_stays_out("id: 2\ndata: b c\n\n");
    event_joined_to_noise_stays_out("noiseid: 4\ndata: d\n\n");
}

#[test]
fn first_event_of_a_resumed_stream_follows_the_last_one() {
    let mut splitter = EventSplitter::after(Some(2));
    assert_eq!(splitter.push(STREAM), Err(InvalidEvent::OutOfOrder));
    splitter.discard_partial();
    assert_matches!(splitter.push(b"id: 3\ndata: d\n\n"), Ok(Some(_)));
}

#[test]
fn comments_between_events_are_skipped() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b": open\n\n"), Ok(None));
    let events = splitter.push(b"id: 1\ndata: a\n\n:\n\nid: 2\ndata: b\n\n");
    assert_eq!(
        events.ok().flatten().as_deref(),
        Some(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n".as_slice())
    );
    assert!(!splitter.is_mid_event());
}
