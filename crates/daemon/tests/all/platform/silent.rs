//! Sound targets that send nothing for a while and then go on.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use tokio::task::JoinHandle;
use yuccaseam_testing::platform::{
    BATCH,
    Behaviour,
    HOST,
    ONCE,
    PlatformTarget,
    RESUMABLE,
    Reply,
    SAFE,
    Silence,
    SilenceBefore,
    expected_events,
    expected_text,
    send, //
};

use super::{
    PATIENCE,
    World,
    field,
    job,
    with_world, //
};

/// Pause of a sound target.
const SHORT: Duration = Duration::from_millis(1_000);
/// Pause after which a stream is moved to another target, if one has a free slot.
const LONG: Duration = Duration::from_millis(2_200);
/// Shared parts of the prompts.
const SHARED: &str = "f1:100,51:80";
/// Slots of each target.
const SLOTS: usize = 8;

/// Behaviour of a target that is silent once in each run.
fn silent(before: SilenceBefore, lasts: Duration) -> Behaviour {
    Behaviour {
        silence: Some(Silence { before, lasts }),
        ..Behaviour::default()
    }
}

impl World {
    /// Sends a request with a prompt to the first entry.
    fn ask(&self, id: &str, path: &str) -> JoinHandle<Reply> {
        let to = self.system.entries[0].callers();
        let (id, path) = (id.to_owned(), format!("{path}1"));
        tokio::spawn(async move {
            let parts = format!("{SHARED},{:x}:20", id.len());
            let headers = [
                ("host", HOST),
                ("request-id", &id),
                ("deadline-ms", "5000"),
                ("prompt-prefix", &parts),
            ];
            let sent = send(to, Method::POST, &path, &headers, "", PATIENCE).await;
            sent.expect("an answer comes")
        })
    }

    /// Waits until a request runs at a target, and returns the target's number.
    async fn target_of(&self, id: &str) -> usize {
        let until = Instant::now() + PATIENCE;
        loop {
            let runs_it = |target: &PlatformTarget| target.running().iter().any(|run| run == id);
            if let Some(target) = self.targets.iter().position(runs_it) {
                return target;
            }
            assert!(Instant::now() < until, "{id} does not run");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn entry_log(&self) -> String {
        self.system.entries[0].log()
    }
}

/// Guards against issue 28: a target that is silent for a second lost its requests to other targets.
#[test]
fn requests_of_a_target_that_is_silent_for_a_second_run_once() {
    with_world(3, async |world| {
        let cases = [
            (ONCE, SilenceBefore::Head),
            (ONCE, SilenceBefore::Event(1)),
            (ONCE, SilenceBefore::Event(3)),
            (RESUMABLE, SilenceBefore::Head),
            (RESUMABLE, SilenceBefore::Event(1)),
            (RESUMABLE, SilenceBefore::Event(3)),
            (SAFE, SilenceBefore::Head),
        ];
        for (number, (path, before)) in cases.into_iter().enumerate() {
            world.behave(&silent(before, SHORT));
            let id = format!("q{number}");
            let reply = world.ask(&id, path).await.expect("the call ends");
            assert!(reply.is_whole_success(), "{path} {before:?}: {reply:?}");
            if path == SAFE {
                assert_eq!(reply.body, format!("answer to {id}"));
            } else {
                assert_eq!(reply.body, expected_events(&id, 5), "{path} {before:?}");
            }
            assert_eq!(world.runs_of(&id), 1, "{path} {before:?}");
        }
        assert!(!world.store_logs().contains("feature quarantined"));
    });
}

/// Guards against issue 28: a target that is silent for a second lost its batch items.
#[test]
fn items_of_a_target_that_is_silent_for_a_second_run_once() {
    with_world(3, async |world| {
        let cases = [
            SilenceBefore::Head,
            SilenceBefore::Event(1),
            SilenceBefore::Event(3),
        ];
        for (number, before) in cases.into_iter().enumerate() {
            world.behave(&silent(before, SHORT));
            let id = format!("j{number}");
            let path = format!("{BATCH}{id}");
            let reply = world.batch(0, Method::POST, &path, &id, &job(&id, 4)).await;
            assert_eq!(reply.status, 202);
            let page = world.results(0, &id, 4).await;
            for result in page["results"].as_array().expect("a list") {
                let item = result["id"].as_str().expect("an id");
                assert_eq!(result["state"], "completed");
                assert_eq!(result["text"], expected_text(item, 5), "{item}");
                assert_eq!(world.runs_of(item), 1, "{item} {before:?}");
            }
        }
        assert!(!world.store_logs().contains("feature quarantined"));
    });
}

/// Guards against issue 28: targets that were silent for a second stayed out of service.
#[test]
fn a_target_takes_requests_again_after_a_silence() {
    with_world(2, async |world| {
        let quiet = &world.targets[world.target_of_warm_up().await];
        quiet.behave(silent(SilenceBefore::Event(3), SHORT));
        let calls: Vec<_> = (0..SLOTS / 2)
            .map(|number| world.ask(&format!("s{number}"), RESUMABLE))
            .collect();
        for call in calls {
            let reply = call.await.expect("the call ends");
            assert!(reply.is_whole_success(), "{reply:?}");
        }
        quiet.behave(Behaviour::default());
        let until = Instant::now() + Duration::from_secs(2);
        for number in 0.. {
            let before = quiet.runs().len();
            let id = format!("t{number}");
            let reply = world.ask(&id, SAFE).await.expect("the call ends");
            assert!(reply.is_whole_success(), "{reply:?}");
            if quiet.runs().len() > before {
                return;
            }
            assert!(Instant::now() < until, "it gets no request for 2 s");
        }
    });
}

impl World {
    /// The target that the first entry prefers.
    async fn target_of_warm_up(&self) -> usize {
        self.wait_until_others_are_idle(0).await;
        let call = self.ask("warm-up", ONCE);
        let target = self.target_of("warm-up").await;
        let reply = call.await.expect("the call ends");
        assert!(reply.is_whole_success(), "{reply:?}");
        target
    }
}

/// Guards against issue 28: a stream was cut because its target was silent and there was no other one.
#[test]
fn a_stream_whose_silent_target_is_the_only_one_is_not_cut() {
    with_world(1, async |world| {
        for (number, before) in [SilenceBefore::Event(1), SilenceBefore::Event(3)]
            .into_iter()
            .enumerate()
        {
            world.behave(&silent(before, LONG));
            let id = format!("s{number}");
            let reply = world.ask(&id, RESUMABLE).await.expect("the call ends");
            assert!(reply.is_whole_success(), "{before:?}: {reply:?}");
            assert_eq!(reply.body, expected_events(&id, 5));
            assert_eq!(world.runs_of(&id), 1);
        }
    });
}

/// Guards against issue 28: a request was given up because its target was silent and there was no other
/// one.
#[test]
fn a_request_whose_silent_target_is_the_only_one_is_not_given_up() {
    with_world(1, async |world| {
        for (id, path) in [("s1", RESUMABLE), ("q1", SAFE)] {
            world.behave(&silent(SilenceBefore::Head, LONG));
            let reply = world.ask(id, path).await.expect("the call ends");
            assert!(reply.is_whole_success(), "{path}: {reply:?}");
            assert_eq!(world.runs_of(id), 1);
        }
    });
}

/// Guards against issue 28: a stream was cut because its target was silent and all others were full.
#[test]
fn a_stream_whose_target_is_silent_while_others_are_full_is_not_cut() {
    with_world(2, async |world| {
        let long = Behaviour {
            events: 40,
            pause: Duration::from_millis(100),
            ..Behaviour::default()
        };
        world.behave(&long);
        // The streams leave one slot, so that there is none for a stream that moves.
        let fill: Vec<_> = (0..SLOTS * 2 - 1)
            .map(|number| world.ask(&format!("fill-{number}"), ONCE))
            .collect();
        let running = || world.targets.iter().flat_map(PlatformTarget::running);
        let until = Instant::now() + PATIENCE;
        while running().count() < fill.len() {
            assert!(Instant::now() < until, "{} run", running().count());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        world.behave(&silent(SilenceBefore::Event(3), LONG));
        let first = world.ask("s1", RESUMABLE);
        let target = world.target_of("s1").await;
        let reply = first.await.expect("the call ends");
        assert!(reply.is_whole_success(), "{reply:?}");
        assert_eq!(reply.body, expected_events("s1", 5));
        assert_eq!(world.runs_of("s1"), 1, "first at target {target}");
        for call in fill {
            call.await.expect("the call ends");
        }
    });
}

/// Guards against issue 28: a stream was cut because the target that should take it over from a silent
/// one rejected it.
#[test]
fn a_stream_that_no_other_target_takes_over_goes_on_at_its_own() {
    with_world(2, async |world| {
        let preferred = world.target_of_warm_up().await;
        world.targets[1 - preferred].behave(Behaviour {
            rejects: true,
            ..Behaviour::default()
        });
        world.targets[preferred].behave(silent(SilenceBefore::Event(3), LONG));
        let call = world.ask("s1", RESUMABLE);
        world.target_of("s1").await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.targets[preferred].behave(Behaviour::default());
        let reply = call.await.expect("the call ends");
        assert!(reply.is_whole_success(), "{reply:?}\n{}", world.entry_log());
        assert_eq!(reply.body, expected_events("s1", 5));
    });
}

/// Guards against issue 28: a stream whose target broke off was cut because no other one took it at once.
#[test]
fn a_broken_stream_is_resumed_once_a_target_takes_it() {
    with_world(2, async |world| {
        let preferred = world.target_of_warm_up().await;
        let other = 1 - preferred;
        world.targets[preferred].behave(Behaviour {
            breaks_after: Some(2),
            ..Behaviour::default()
        });
        world.targets[other].behave(Behaviour {
            rejects: true,
            ..Behaviour::default()
        });
        let call = world.ask("s1", RESUMABLE);
        world.target_of("s1").await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        for target in &world.targets {
            target.behave(Behaviour::default());
        }
        let reply = call.await.expect("the call ends");
        assert!(reply.is_whole_success(), "{reply:?}\n{}", world.entry_log());
        assert_eq!(reply.body, expected_events("s1", 5));
    });
}

/// A silent target must not hold a stream that another one can go on with.
#[test]
fn a_stream_whose_target_stays_silent_goes_on_elsewhere() {
    with_world(2, async |world| {
        let preferred = world.target_of_warm_up().await;
        world.targets[preferred].behave(silent(SilenceBefore::Event(3), PATIENCE));
        let started = Instant::now();
        let reply = world.ask("s1", RESUMABLE).await.expect("the call ends");
        assert!(reply.is_whole_success(), "{reply:?}");
        assert_eq!(reply.body, expected_events("s1", 5));
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "callers leave after 2 s"
        );
        assert_eq!(world.runs_of("s1"), 2);
        assert!(world.targets[preferred].running().is_empty());
    });
}

/// Guards against issue 28: a stream whose target broke off between the head and the first event ended
/// without an answer.
#[test]
fn a_stream_that_breaks_before_its_first_event_is_answered() {
    with_world(1, async |world| {
        world.behave(&Behaviour {
            breaks_after: Some(0),
            ..Behaviour::default()
        });
        let reply = world.ask("s1", ONCE).await.expect("the call ends");
        assert_eq!(reply.status, 502);
        assert!(reply.complete);
        assert!(!reply.is_signed());
        assert_eq!(world.runs_of("s1"), 1);
    });
}

/// An operator must be able to tell a response that was cut from one that its caller gave up.
#[test]
fn a_response_that_is_cut_leaves_a_line() {
    with_world(1, async |world| {
        world.behave(&Behaviour {
            breaks_after: Some(2),
            ..Behaviour::default()
        });
        let reply = world.ask("s1", ONCE).await.expect("the call ends");
        assert!(!reply.complete);
        let message = "connection ended without a complete response";
        let until = Instant::now() + PATIENCE;
        let log = loop {
            let log = world.entry_log();
            if field(&log, message, "request").as_deref() == Some("s1") {
                break log;
            }
            assert!(Instant::now() < until, "{log}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(field(&log, message, "phase").as_deref(), Some("responding"));
        assert_eq!(
            field(&log, message, "reason").as_deref(),
            Some("response_failed")
        );
        assert_eq!(field(&log, message, "failure").as_deref(), Some("broken"));
    });
}
