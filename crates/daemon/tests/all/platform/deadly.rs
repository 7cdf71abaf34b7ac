//! Requests that crash every target which begins to run them, and that callers send again.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use yuccaseam_base::cases;
use yuccaseam_testing::platform::{
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

/// Body of the request that crashes targets.
const DEADLY: &str = "deadly";
/// Crashes after which the rule counts the repeats of the request.
const MAX_CRASHES: usize = 3;
/// Time after the last of these crashes from which repeats count.
const REACTION_TIME: Duration = Duration::from_secs(4);
/// Repeats that may reach targets from then on.
const MAX_LATE_REPEATS: usize = 3;
/// Time between two repeats.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time after its quarantine within which the first trial of a request is due.
const TRIAL_TIME: Duration = Duration::from_secs(12);
/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

impl World {
    async fn order(&self, number: usize, prefix: &str, id: &str, body: &str) -> Option<Reply> {
        let headers = [("host", HOST), ("request-id", id), ("deadline-ms", "3000")];
        let entry = &self.system.entries[number % self.system.entries.len()];
        let path = format!("{prefix}1");
        let sent = send(
            entry.callers(),
            Method::POST,
            &path,
            &headers,
            body,
            PATIENCE,
        );
        sent.await.ok()
    }

    /// Repeats the deadly request at one entry after the other.
    async fn repeat(&self, number: usize, prefix: &str) -> Option<Reply> {
        self.order(number, prefix, &format!("repeat-{number}"), DEADLY)
            .await
    }

    /// Runs of the deadly request so far.
    fn repeats_run(&self) -> usize {
        let runs = self.targets.iter().flat_map(PlatformTarget::runs);
        runs.filter(|run| run.id.starts_with("repeat-")).count()
    }

    /// Repeats the request until the system must have reacted to its crashes.
    async fn repeat_until_reaction(&self, prefix: &str) {
        let started_at = Instant::now();
        let mut number = 0;
        while started_at.elapsed() < REACTION_TIME + Duration::from_secs(2) {
            let _ = tokio::join!(
                self.repeat(number, prefix),
                tokio::time::sleep(INTERVAL) //
            );
            number += 1;
        }
        let crashes = self.targets.iter().flat_map(PlatformTarget::crashes);
        let mut crashes: Vec<_> = crashes.map(|crash| crash.at).collect();
        crashes.sort_unstable();
        let third = crashes.get(MAX_CRASHES - 1);
        let third = third.expect("the request crashed three targets");
        tokio::time::sleep(REACTION_TIME.saturating_sub(third.elapsed())).await;
    }

    /// Repeats the request twenty times more. At most three of these reach targets.
    async fn assert_repeats_are_refused(&self, prefix: &str) {
        let runs_before = self.repeats_run();
        for number in 1_000..1_020 {
            let reply = self.repeat(number, prefix).await;
            assert!(reply.is_none_or(|reply| !reply.is_whole_success()));
        }
        let late = self.repeats_run() - runs_before;
        assert!(late <= MAX_LATE_REPEATS, "{late} of 20 reached targets");
    }

    async fn assert_others_are_served(&self, prefix: &str) {
        let mut served = 0;
        for number in 0..20 {
            let id = format!("sound-{number}");
            let reply = self.order(number, prefix, &id, &id).await;
            served += usize::from(reply.is_some_and(|reply| reply.is_whole_success()));
        }
        assert!(served >= 19, "{served} of 20 sound requests were served");
    }
}

fn deadly_targets() -> Behaviour {
    Behaviour {
        crashing_bodies: &[DEADLY],
        ..Behaviour::default()
    }
}

fn check_repeats(prefix: &str) {
    with_world(9, async |world| {
        world.behave(&deadly_targets());
        world.repeat_until_reaction(prefix).await;
        world.assert_repeats_are_refused(prefix).await;
        world.assert_others_are_served(prefix).await;
    });
}

// Guard against one request that crashes target after target, because each attempt of its caller has an id
// of its own, and against sound requests on the same path that are refused with it.
cases! { check_repeats:
    plain_request_that_crashes_targets_stops_reaching_them(SAFE);
    stream_that_crashes_targets_stops_reaching_them(ONCE);
    resumable_stream_that_crashes_targets_stops_reaching_them(RESUMABLE);
}

/// Guards against a deadly request that crashes targets again, because the process that knew of it was
/// restarted.
#[test]
fn deadly_request_is_refused_after_all_processes_were_restarted() {
    with_world(9, async |mut world| {
        world.behave(&deadly_targets());
        world.repeat_until_reaction(SAFE).await;
        let system = &mut world.system;
        for instance in system.stores.iter_mut().chain(&mut system.entries) {
            instance.kill();
        }
        for instance in system.stores.iter_mut().chain(&mut system.entries) {
            instance.start();
        }
        assert!(
            world.system.wait_until_serving().await,
            "every entry serves"
        );
        world.assert_repeats_are_refused(SAFE).await;
        world.assert_others_are_served(SAFE).await;
    });
}

/// Guards against a sound request that is refused for minutes, because the target that its trial was sent to
/// rejected it as full: the trial counted although no target had run it.
#[test]
fn trial_that_a_target_rejects_is_sent_to_another_one() {
    with_world(4, async |world| {
        world.behave(&deadly_targets());
        world.repeat_until_reaction(SAFE).await;
        world.behave(&Behaviour {
            rejects: true,
            ..Behaviour::default()
        });
        world.targets[0].behave(Behaviour::default());
        tokio::time::sleep(TRIAL_TIME).await;
        let reply = world.repeat(2_000, SAFE).await;
        let reply = reply.expect("an answer comes");
        assert!(reply.is_whole_success(), "{reply:?}");
    });
}
