//! Prompts with a part that crashes every target which begins to answer them.

use std::time::{
    Duration,
    Instant, //
};

use futures_util::future::join_all;
use http::Method;
use yuccaseam_base::cases;
use yuccaseam_testing::platform::{
    BATCH,
    Behaviour,
    HOST,
    ONCE,
    PlatformTarget,
    RESUMABLE,
    Reply,
    SAFE,
    send, //
};

use super::{
    World,
    with_world, //
};

/// Part of a prompt that crashes targets.
const DEADLY: &str = "d00d";
/// Crashes after which the rule counts requests with the part.
const MAX_CRASHES: usize = 5;
/// Time after the last of these crashes from which requests count.
const REACTION_TIME: Duration = Duration::from_secs(4);
/// Requests with the part that may reach targets from then on.
const MAX_LATE_REQUESTS: usize = 3;
/// Time between two requests with the part.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time within which items with a quarantined part complete, if it is sound.
const ITEM_TIME: Duration = Duration::from_secs(6);
/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long requests come in tests with traffic.
const TRAFFIC: Duration = Duration::from_secs(16);
/// Time between two requests that crash targets, in tests with traffic.
const DEADLY_INTERVAL: Duration = Duration::from_millis(450);
/// Time between two sound requests, in tests with traffic.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);
/// Time after the fifth crash from which sound requests have to be served again.
const CALM_AFTER: Duration = REACTION_TIME.saturating_mul(2);
/// Parts of prompts that crash targets, each in requests of its own.
const UNRELATED: [&str; 6] = ["dea1", "dea2", "dea3", "dea4", "dea5", "dea6"];

impl World {
    /// Sends a request whose prompt has these parts, and one of its own at the end.
    async fn prompt(&self, entry: usize, id: &str, shared: &str) -> Option<Reply> {
        self.prompt_at(entry, ONCE, id, shared).await
    }

    async fn prompt_at(&self, entry: usize, prefix: &str, id: &str, shared: &str) -> Option<Reply> {
        let parts = format!("{shared},{:x}:20", fingerprint(id));
        let headers = [
            ("host", HOST),
            ("request-id", id),
            ("deadline-ms", "3000"),
            ("prompt-prefix", &parts),
        ];
        let to = self.system.entries[entry].callers();
        let path = format!("{prefix}1");
        let sent = send(to, Method::POST, &path, &headers, "", PATIENCE).await;
        sent.ok()
    }

    async fn deadly_prompt(&self, number: usize) -> Option<Reply> {
        let shared = format!("f1:100,51:80,{DEADLY}:60");
        let id = format!("deadly-{number}");
        self.prompt(number % self.system.entries.len(), &id, &shared)
            .await
    }

    /// Runs of requests with the part so far.
    fn deadly_runs(&self) -> usize {
        let runs = self.targets.iter().flat_map(PlatformTarget::runs);
        runs.filter(|run| run.id.starts_with("deadly-")).count()
    }

    fn crashes(&self) -> Vec<Instant> {
        let mut crashes: Vec<_> = self
            .targets
            .iter()
            .flat_map(PlatformTarget::crashes)
            .map(|crash| crash.at)
            .collect();
        crashes.sort_unstable();
        crashes
    }
}

/// A number that differs between requests, in place of a digest of the rest of the prompt.
fn fingerprint(id: &str) -> u64 {
    id.bytes()
        .fold(7, |sum, byte| sum * 131 % 0xffff_ffff + u64::from(byte))
}

/// Guards against requests that crash one target after the other: all have one part of their prompts in
/// common, and no entry knew what the others had seen, or a first event was taken as a proof that the part is
/// sound.
fn requests_with_a_deadly_part_stop_reaching_targets(events_before_crash: usize) {
    with_world(9, async |world| {
        world.behave(&Behaviour {
            crashing_parts: &[DEADLY],
            events_before_crash,
            ..Behaviour::default()
        });
        let mut number = 0;
        let started_at = Instant::now();
        // Long enough for the crashes and the time to react.
        while started_at.elapsed() < REACTION_TIME + Duration::from_secs(2) {
            let _ = tokio::join!(
                world.deadly_prompt(number),
                tokio::time::sleep(INTERVAL) //
            );
            number += 1;
        }
        let crashes = world.crashes();
        assert!(!crashes.is_empty(), "no request crashed a target");
        if let Some(last) = crashes.get(MAX_CRASHES - 1) {
            tokio::time::sleep(REACTION_TIME.saturating_sub(last.elapsed())).await;
        }

        let runs_before = world.deadly_runs();
        for late in 0..20 {
            let reply = world.deadly_prompt(number + late).await;
            assert!(reply.is_none_or(|reply| !reply.is_whole_success()));
        }
        let late_runs = world.deadly_runs() - runs_before;
        assert!(
            late_runs <= MAX_LATE_REQUESTS,
            "{late_runs} of 20 requests reached targets after {} crashes",
            crashes.len()
        );

        let mut served = 0;
        for sound in 0..20 {
            let id = format!("sound-{sound}");
            let reply = world.prompt(sound % 3, &id, "f1:100,51:80").await;
            served += usize::from(reply.is_some_and(|reply| reply.is_whole_success()));
        }
        assert!(served >= 19, "{served} of 20 sound requests were served");
    });
}

cases! { requests_with_a_deadly_part_stop_reaching_targets:
    requests_with_a_part_that_crashes_targets_stop_reaching_them(0);
    requests_with_a_part_that_crashes_targets_after_an_event_stop_reaching_them(1);
    requests_with_a_part_that_crashes_targets_after_some_events_stop_reaching_them(3);
}

/// What came of a sound request.
struct Outcome {
    sent_at: Instant,
    is_served: bool,
}

impl World {
    /// Sends requests with deadly parts, which `deadly` numbers, and sound ones beside them at their own pace.
    async fn serve_traffic(&self, prefix: &str, deadly: fn(usize) -> &'static str) -> Vec<Outcome> {
        let count = |interval: Duration| TRAFFIC.as_millis() / interval.as_millis();
        let deadly_requests = (0..count(DEADLY_INTERVAL) as usize).map(async |number| {
            tokio::time::sleep(DEADLY_INTERVAL * number as u32).await;
            let shared = format!("f1:100,{}:60", deadly(number));
            let id = format!("deadly-{number}");
            let reply = self.prompt_at(number % 3, prefix, &id, &shared).await;
            assert!(reply.is_none_or(|reply| !reply.is_whole_success()));
        });
        let sound_requests = (0..count(SOUND_INTERVAL) as usize).map(async |number| {
            tokio::time::sleep(SOUND_INTERVAL * number as u32).await;
            let sent_at = Instant::now();
            let id = format!("sound-{number}");
            let reply = self
                .prompt_at(number % 3, prefix, &id, "f1:100,51:80")
                .await;
            let is_served = reply.is_some_and(|reply| reply.is_whole_success());
            Outcome { sent_at, is_served }
        });
        let (_, sound) = tokio::join!(join_all(deadly_requests), join_all(sound_requests));
        sound
    }

    /// When the crash was from which the rule counts.
    fn fifth_crash(&self) -> Instant {
        let crashes = self.crashes();
        let fifth = crashes.get(MAX_CRASHES - 1);
        *fifth.unwrap_or_else(|| panic!("only {} targets crashed", crashes.len()))
    }
}

/// Asserts that sound requests are served, at least as often as the rule asks.
fn assert_sound_are_served(sound: &[Outcome], from: Instant) {
    let counted = sound.iter().filter(|outcome| outcome.sent_at >= from);
    let served = counted.clone().filter(|outcome| outcome.is_served).count();
    let counted = counted.count();
    assert!(counted >= 20, "{counted} sound requests count");
    assert!(
        served * 2 >= counted,
        "{served} of {counted} sound requests were served"
    );
}

/// Guards against requests with a deadly part that go on to reach targets because these crash late in their
/// answers, after many events or while other such requests are in flight.
fn late_crashes(prefix: &str, delay: Duration) {
    with_world(9, async |world| {
        world.behave(&Behaviour {
            events: 20,
            pause: Duration::from_millis(30),
            crashing_parts: &[DEADLY],
            crash_delay: delay,
            ..Behaviour::default()
        });
        let sound = world.serve_traffic(prefix, |_| DEADLY).await;
        let fifth = world.fifth_crash();
        let runs = world.targets.iter().flat_map(PlatformTarget::runs);
        let deadly_runs = runs.filter(|run| run.id.starts_with("deadly-"));
        let late_runs = deadly_runs.filter(|run| run.at > fifth + REACTION_TIME);
        let late_runs = late_runs.count();
        assert!(
            late_runs <= MAX_LATE_REQUESTS,
            "{late_runs} requests reached targets too late, {} crashes",
            world.crashes().len()
        );
        assert_sound_are_served(&sound, fifth + CALM_AFTER);
    });
}

cases! { late_crashes:
    requests_with_a_part_that_crashes_targets_late_stop_reaching_them(
        ONCE, Duration::from_millis(700));
    requests_with_a_part_that_crashes_targets_late_are_not_resumed_again_and_again(
        RESUMABLE, Duration::from_millis(700));
    one_shot_requests_with_a_part_that_crashes_targets_late_stop_reaching_them(
        SAFE, Duration::from_millis(700));
    requests_with_a_part_that_crash_targets_while_others_run_stop_reaching_them(
        ONCE, Duration::from_millis(2_800));
}

/// Guards against a quarantine of what sound requests have in common, if targets crash late in their answers to
/// requests without a deadly part in common.
#[test]
fn crashes_without_a_part_in_common_stop_no_sound_requests() {
    with_world(9, async |world| {
        world.behave(&Behaviour {
            events: 20,
            pause: Duration::from_millis(30),
            crashing_parts: &UNRELATED,
            crash_delay: Duration::from_millis(300),
            ..Behaviour::default()
        });
        let sound = world
            .serve_traffic(ONCE, |number| UNRELATED[number % UNRELATED.len()])
            .await;
        assert_sound_are_served(&sound, world.fifth_crash() + CALM_AFTER);
        for store in &world.system.stores {
            assert!(
                !store.log().contains(r#""feature":"f1""#),
                "{}",
                store.log()
            );
        }
    });
}

/// Guards against items that are left lying because a part of their prompts is quarantined, although no target
/// crashes under them.
#[test]
fn items_with_a_quarantined_part_that_is_sound_complete() {
    with_world(6, async |world| {
        world.behave(&Behaviour {
            crashing_parts: &[DEADLY],
            ..Behaviour::default()
        });
        let until = Instant::now() + REACTION_TIME;
        for number in 0.. {
            let reply = world.deadly_prompt(number).await;
            if reply.is_some_and(|reply| reply.body == "request_quarantined") {
                break;
            }
            assert!(Instant::now() < until, "the part is not quarantined");
            tokio::time::sleep(INTERVAL).await;
        }
        world.behave(&Behaviour::default());
        let started_at = Instant::now();
        let items: Vec<_> = (0..4)
            .map(|item| {
                format!(
                    r#"{{"id":"j1-{item}","path":"{BATCH}{item}","body":"aGk=","tokens":10,
                        "headers":{{"Prompt-Prefix":"f1:100,{DEADLY}:60,a{item}:20"}}}}"#
                )
            })
            .collect();
        let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
        let path = format!("{BATCH}j1");
        let reply = world.batch(0, Method::POST, &path, "j1", &body).await;
        assert_eq!(reply.status, 202, "{}", reply.body);
        let page = world.results(0, "j1", 4).await;
        for result in page["results"].as_array().expect("a list") {
            assert_eq!(result["state"], "completed", "{result}");
        }
        let took = started_at.elapsed();
        assert!(took < ITEM_TIME, "the items took {took:?}");
    });
}

/// Guards against a quarantine of sound parts because of targets that break off responses and live on.
#[test]
fn requests_that_live_targets_break_off_are_no_evidence() {
    with_world(6, async |world| {
        let shared = "f1:100,51:80";
        world.behave(&Behaviour {
            breaks_after: Some(0),
            ..Behaviour::default()
        });
        for number in 0..12 {
            let reply = world
                .prompt(number % 3, &format!("broken-{number}"), shared)
                .await;
            assert!(reply.is_none_or(|reply| !reply.is_whole_success()));
            // Longer than the time within which crashes count as one.
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        world.behave(&Behaviour::default());
        let until = Instant::now() + PATIENCE;
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let reply = world
                .prompt(number % 3, &format!("sound-{number}"), shared)
                .await;
            let reply = reply.expect("an answer comes");
            assert_ne!(reply.body, "request_quarantined");
            if reply.is_whole_success() {
                return;
            }
        }
        panic!("no request was served");
    });
}
