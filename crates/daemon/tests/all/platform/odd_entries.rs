//! Announcements, manifests, jobs and headers of other writers: nested deeply, too large, or with numbers
//! out of range or at the edge of their type.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use http::Method;
use yuccaseam_base::cases;
use yuccaseam_testing::platform::{
    BATCH,
    HOST,
    ONCE,
    PlatformSystem,
    RESUMABLE,
    Reply,
    SAFE,
    send, //
};

use super::{
    PATIENCE,
    World,
    job,
    with_world, //
};

/// Longer than a target without announcements is kept.
const TARGET_TIMEOUT: Duration = Duration::from_millis(7_500);
/// Depth of a deeply nested value.
const DEPTH: usize = 100_000;
/// Several messages of this size exceed the largest message between instances.
const HUGE_BYTES: usize = 9 << 20;
/// Largest answer to an announcement that a target reads.
const MAX_REPLY_BYTES: usize = 4 << 10;
/// Largest log of a process in these tests.
const MAX_LOG_BYTES: usize = 1 << 20;
/// Connections to the leader that one process may lose beside load. A message that it cannot receive ends
/// each of them, several a second.
const MAX_FAILED_STREAMS: usize = 3;
/// Name of the sound target.
const SOUND_TARGET: &str = "engine-0";
/// Stands for the address of the sound target.
const SOUND_ADDRESS: &str = "SOUND-ADDRESS";

fn nested() -> String {
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

fn quoted(text: &str) -> String {
    format!("\"{text}\"")
}

/// An announcement in which some fields have other values, written as JSON.
fn announcement(fields: &[(&str, String)], sound_address: &str) -> String {
    let mut text = vec![
        ("service", quoted("llm")),
        ("address", quoted("127.0.0.1:9")),
        ("zone", quoted("a1")),
        ("slots", "8".to_owned()),
        ("state", quoted("ready")),
        ("sequence", "1".to_owned()),
        ("born", "1700000000000".to_owned()),
    ];
    for (name, value) in fields {
        text.retain(|(known, _)| known != name);
        text.push((name, value.replace(SOUND_ADDRESS, sound_address)));
    }
    let fields: Vec<_> = text
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(","))
}

impl World {
    async fn control(&self, entry: usize, method: Method, path: &str, body: &str) -> Reply {
        let to = self.system.entries[entry].control();
        let sent = send(to, method, path, &[("host", "control")], body, PATIENCE).await;
        sent.expect("an answer comes")
    }

    /// Every entry serves requests, though not each one beside load.
    async fn assert_served(&self, id: &str) {
        for (at, entry) in self.system.entries.iter().enumerate() {
            let until = Instant::now() + PATIENCE;
            for attempt in 0.. {
                let id = format!("{id}-{at}-{attempt}");
                let reply = self.system.call(at, &id, &format!("{SAFE}1")).await;
                let reply = reply.expect("an answer comes");
                if reply.status == 200 {
                    break;
                }
                let is_lost = Instant::now() >= until;
                assert!(!is_lost, "{id}: {}\n{}", reply.body, entry.log());
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// No process has ended, and every entry follows the leader, one that has just started too.
    async fn assert_sound(&mut self) {
        let instances = self.system.stores.iter_mut();
        for instance in instances.chain(&mut self.system.entries) {
            assert!(
                instance.is_running(),
                "{}\n{}",
                instance.name,
                instance.log()
            );
            let log = instance.log();
            assert!(
                log.len() < MAX_LOG_BYTES,
                "{}: {}",
                instance.name,
                log.len()
            );
            for trouble in ["panicked", "malformed"] {
                assert!(!log.contains(trouble), "{}\n{log}", instance.name);
            }
            let failed = log.matches("the stream failed").count();
            assert!(failed <= MAX_FAILED_STREAMS, "{}\n{log}", instance.name);
        }
        self.system.entries[2].kill();
        self.system.end_first_start();
        self.system.entries[2].start();
        assert!(
            self.system.put_manifest(1_000).await,
            "a manifest is accepted"
        );
        for entry in &self.system.entries {
            let until = Instant::now() + PATIENCE;
            while !entry.log().contains("\"version\":1000") {
                assert!(Instant::now() < until, "{}\n{}", entry.name, entry.log());
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        let until = Instant::now() + PATIENCE;
        while !self.system.wait_until_serving().await {
            assert!(Instant::now() < until, "an entry does not serve");
        }
    }
}

/// Guards against processes that end or stop following the leader, and against a sound target that
/// loses its name or address, because of one announcement of another writer.
fn odd_announcement_does_no_harm(status: u16, name: &str, fields: &[(&str, String)]) {
    with_world(1, async |mut world| {
        let sound_address = world.targets[0].address().to_string();
        let body = announcement(fields, &sound_address);
        for number in 0..2 * world.system.entries.len() {
            let name = if name == SOUND_TARGET {
                name.to_owned()
            } else {
                format!("{name}{number}")
            };
            let path = format!("/Instances.Heartbeat/{name}");
            let reply = world.control(number % 3, Method::POST, &path, &body).await;
            assert_eq!(reply.status, status);
            assert!(reply.body.len() <= MAX_REPLY_BYTES, "{}", reply.body.len());
        }
        let until = Instant::now() + TARGET_TIMEOUT;
        let mut round = 0;
        while Instant::now() < until {
            world.assert_served(&format!("r{round}")).await;
            round += 1;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        world.assert_sound().await;
    });
}

cases! { odd_announcement_does_no_harm:
    unknown_field_is_nested_deeply(200, "odd-", &[("models", nested())]);
    known_field_is_nested_deeply(400, "odd-", &[("service", nested())]);
    slots_are_out_of_range(400, "odd-", &[("slots", "1e308".to_owned())]);
    slots_are_the_largest(400, "odd-", &[("slots", u32::MAX.to_string())]);
    number_is_out_of_range(400, SOUND_TARGET, &[("sequence", "18446744073709551616".to_owned())]);
    start_is_out_of_range(400, SOUND_TARGET, &[("born", "1e400".to_owned())]);
    start_of_another_target_is_the_largest(400, "odd-", &[
        ("born", u64::MAX.to_string()),
        ("address", quoted(SOUND_ADDRESS)),
    ]);
    start_of_the_same_target_is_the_largest(400, SOUND_TARGET, &[
        ("born", u64::MAX.to_string()),
        ("sequence", u64::MAX.to_string()),
        ("address", quoted(SOUND_ADDRESS)),
    ]);
    start_is_in_nanoseconds(400, SOUND_TARGET, &[
        ("born", "1800000000000000000".to_owned()),
        ("address", quoted("127.0.0.1:9")),
    ]);
    port_is_zero(400, "odd-", &[("address", quoted("127.0.0.1:0"))]);
    port_is_out_of_range(400, "odd-", &[("address", quoted("127.0.0.1:65536"))]);
    address_is_unspecified(400, "odd-", &[("address", quoted("0.0.0.0:9"))]);
    zone_is_unknown(200, "odd-", &[("zone", quoted("nowhere"))]);
    zone_is_huge(400, "odd-", &[("zone", quoted(&"z".repeat(HUGE_BYTES)))]);
    service_is_unknown(200, "odd-", &[("service", quoted("nothing"))]);
    service_is_huge(400, "odd-", &[("service", quoted(&"s".repeat(HUGE_BYTES)))]);
    state_is_huge(400, "odd-", &[("state", quoted(&"r".repeat(HUGE_BYTES)))]);
    name_is_long(400, &"n".repeat(8_000), &[]);
}

/// Guards against the loss of a sound target for good, after one announcement of another writer with its
/// address and a start that could be true.
#[test]
fn address_returns_to_a_target_that_goes_on_to_announce_itself() {
    with_world(1, async |mut world| {
        let sound_address = world.targets[0].address().to_string();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.expect("the time of day is after 1970").as_millis();
        let fields = [
            ("address", quoted(SOUND_ADDRESS)),
            ("born", now.to_string()),
        ];
        let body = announcement(&fields, &sound_address);
        let path = "/Instances.Heartbeat/odd";
        let reply = world.control(0, Method::POST, path, &body).await;
        assert_eq!(reply.status, 200);
        tokio::time::sleep(TARGET_TIMEOUT).await;
        world.assert_served("returned").await;
        world.assert_sound().await;
    });
}

/// Guards against processes that end because the sum of the tokens of a job is out of range: each store
/// applies the job, and again when it restarts.
#[test]
fn tokens_at_the_edge_of_their_type_do_no_harm() {
    with_world(1, async |mut world| {
        for (number, tokens) in [u64::MAX, u64::MAX / 2 + 1].into_iter().enumerate() {
            let id = format!("huge{number}");
            let body = job(&id, 3).replace("\"tokens\":10", &format!("\"tokens\":{tokens}"));
            let reply = world.batch(0, Method::POST, BATCH, &id, &body).await;
            assert_eq!(reply.status, 429, "{}", reply.body);
        }
        let reply = world
            .batch(0, Method::POST, BATCH, "sound", &job("sound", 2))
            .await;
        assert_eq!(reply.status, 202);
        world.results(1, "sound", 2).await;
        world.assert_sound().await;
    });
}

/// Guards against callers without an answer after a manifest with figures at the edge of their type.
fn odd_manifest_does_no_harm(from: &str, to: &str) {
    with_world(1, async |mut world| {
        let sound = PlatformSystem::manifest(2);
        let odd = sound.replace(from, to);
        assert_ne!(odd, sound);
        let reply = world
            .control(0, Method::POST, "/Config.Replace", &odd)
            .await;
        assert!([200, 400].contains(&reply.status), "{}", reply.status);
        tokio::time::sleep(Duration::from_millis(500)).await;
        for (number, path) in [SAFE, ONCE, RESUMABLE, SAFE].into_iter().enumerate() {
            for entry in 0..3 {
                let id = format!("m{number}-{entry}");
                let reply = world.system.call(entry, &id, path).await;
                assert_eq!(reply.expect("an answer comes").status, 200, "{id}");
            }
        }
        world.assert_sound().await;
    });
}

cases! { odd_manifest_does_no_harm:
    timeout_is_the_largest("\"timeout_ms\":5000", "\"timeout_ms\":1e308");
    objective_is_the_largest("\"target_latency_ms\":300", "\"target_latency_ms\":1e308");
    gap_is_the_largest("\"gap_target_ms\":250", "\"gap_target_ms\":1e308");
    attempts_are_the_largest("\"max_attempts\":3", "\"max_attempts\":4294967295");
    weights_are_the_largest(
        "\"service\":\"llm\"",
        "\"weighted_services\":[{\"service\":\"llm\",\"weight\":1e308},{\"service\":\"llm\",\"weight\":1e308}]",
    );
    completion_is_the_largest("\"completion_target_ms\":18000", "\"completion_target_ms\":1e308");
    limits_are_zero("\"max_header_bytes\":16384", "\"max_header_bytes\":0");
    field_is_nested_deeply("\"priority\":0", &format!("\"notes\":{},\"priority\":0", nested()));
}

/// Guards against a process that answers no one after a header at the edge of its type.
fn odd_header_does_no_harm(name: &str, value: &str) {
    with_world(1, async |mut world| {
        for entry in 0..3 {
            let to = world.system.entries[entry].callers();
            for (number, path) in [SAFE, ONCE, RESUMABLE].into_iter().enumerate() {
                let id = format!("h{entry}-{number}");
                let headers = [("host", HOST), ("request-id", id.as_str()), (name, value)];
                let sent = send(to, Method::POST, path, &headers, "", PATIENCE).await;
                assert_eq!(sent.expect("an answer comes").status, 200, "{id}");
            }
        }
        world.assert_served("after").await;
        world.assert_sound().await;
    });
}

cases! { odd_header_does_no_harm:
    deadline_is_the_largest("deadline-ms", "18446744073709551615");
    deadline_is_out_of_range("deadline-ms", "18446744073709551616");
    wait_is_the_largest("wait-ms", "18446744073709551615");
    tokens_of_a_prompt_are_the_largest("token-usage", "18446744073709551615,18446744073709551615");
    parts_of_a_prompt_are_out_of_range("prompt-prefix", "fffffffffffffffffffffffffffffffffffffff:1e99,1:1");
}
