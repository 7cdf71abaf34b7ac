//! Requests and streams of callers.

use std::time::{
    Duration,
    Instant, //
};

use yuccaseam_testing::platform::{
    Behaviour,
    ONCE,
    PlatformTarget,
    RESUMABLE,
    SAFE,
    expected_events, //
};

use super::{
    with_world, //
};

#[test]
fn requests_streams_and_unknown_routes_are_answered() {
    with_world(3, async |world| {
        let reply = world.system.call(0, "q1", &format!("{SAFE}1")).await;
        let reply = reply.expect("an answer comes");
        assert_eq!(reply.body, "answer to q1");
        assert!(reply.headers.contains_key("response-signature"));

        let reply = world.system.call(1, "s1", &format!("{ONCE}1")).await;
        let reply = reply.expect("an answer comes");
        assert!(reply.is_whole_success());
        assert_eq!(reply.body, expected_events("s1", 5));
        let runs = world.targets.iter().flat_map(PlatformTarget::runs);
        let run = runs.into_iter().find(|run| run.id == "s1").expect("it ran");
        assert!(run.time_left.is_some_and(|left| left <= 5_000));

        let reply = world.system.call(2, "x1", "/nowhere/1").await;
        assert_eq!(reply.expect("an answer comes").status, 404);
    });
}

#[test]
fn a_stream_that_may_not_be_resumed_runs_once_and_never_looks_complete() {
    with_world(3, async |world| {
        world.behave(&Behaviour {
            breaks_after: Some(2),
            ..Behaviour::default()
        });
        let reply = world.system.call(0, "s1", &format!("{ONCE}1")).await;
        let reply = reply.expect("the head comes");
        assert!(!reply.complete);
        assert_eq!(reply.body, expected_events("s1", 2));
        assert_eq!(world.runs_of("s1"), 1);
    });
}

#[test]
fn a_stream_that_may_be_resumed_goes_on_elsewhere() {
    with_world(3, async |world| {
        world.behave(&Behaviour {
            breaks_after: Some(2),
            ..Behaviour::default()
        });
        let reply = world.system.call(0, "s1", &format!("{RESUMABLE}1")).await;
        let reply = reply.expect("an answer comes");
        assert!(reply.is_whole_success(), "{reply:?}");
        assert_eq!(reply.body, expected_events("s1", 5));
        assert_eq!(world.runs_of("s1"), 3);
    });
}

#[test]
fn a_refusal_is_true_and_says_when_to_come_back() {
    with_world(2, async |world| {
        world.behave(&Behaviour {
            rejects: true,
            ..Behaviour::default()
        });
        let before = Instant::now();
        let reply = world.system.call(0, "s1", &format!("{ONCE}1")).await;
        let reply = reply.expect("an answer comes");
        assert_eq!(reply.status, 503);
        assert!(reply.headers.contains_key("retry-after"));
        assert!(before.elapsed() < Duration::from_secs(1));
        world.behave(&Behaviour::default());
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(world.runs_of("s1"), 0);
    });
}

#[test]
fn a_caller_that_leaves_frees_its_target() {
    with_world(1, async |world| {
        world.behave(&Behaviour {
            events: 500,
            ..Behaviour::default()
        });
        let path = format!("{ONCE}1");
        let call = world.system.call(0, "s1", &path);
        let left = tokio::time::timeout(Duration::from_millis(300), call).await;
        assert!(left.is_err(), "the stream goes on for seconds");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(world.targets[0].running().is_empty());
    });
}
