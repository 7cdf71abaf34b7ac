//! Event streams that arrive in pieces of any size.

use assert_matches::assert_matches;
use yuccaseam_serving::events::{
    EventSplitter,
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
        assert_eq!(splitter.last_id(), Some("3"));
    }
}

#[test]
fn broken_stream_resumes_after_the_last_complete_event() {
    let mut splitter = EventSplitter::default();
    assert_matches!(splitter.push(&STREAM[..20]), Ok(Some(_)));
    assert!(splitter.is_mid_event());
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.discard_partial();
    assert_matches!(splitter.push(b"id: 2\ndata: b c\n\n"), Ok(Some(events)) if events.starts_with(b"id: 2"));
    assert_eq!(splitter.last_id(), Some("2"));
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
