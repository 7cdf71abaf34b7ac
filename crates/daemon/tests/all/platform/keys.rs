//! Teams of callers and their API keys.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use serde_json::{
    Value,
    json, //
};
use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::TcpStream,
};
use yuccaseam_testing::{
    Signal,
    platform::{
        BATCH,
        Behaviour,
        HOST,
        PlatformSystem,
        RESUMABLE,
        Reply,
        Run,
        SAFE,
        send, //
    },
};

use super::{
    PATIENCE,
    World,
    with_world, //
};

/// Longest time until a manifest is in force at every instance in touch.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Prefix of a public route.
const PUBLIC: &str = "/public/";

/// A manifest with these teams, each with its keys, and one public route.
fn manifest(version: u64, teams: &[(&str, &[&str])]) -> String {
    let text = PlatformSystem::manifest(version);
    let mut manifest: Value = serde_json::from_str(&text).expect("a manifest is JSON");
    let teams = teams
        .iter()
        .map(|(name, keys)| json!({ "name": name, "api_keys": keys }));
    manifest["tenants"] = teams.collect();
    let routes = manifest["routes"].as_array_mut().expect("routes");
    let safe = routes.iter().find(|route| route["path_prefix"] == SAFE);
    let mut public = safe.expect("a route").clone();
    public["path_prefix"] = PUBLIC.into();
    public["public"] = true.into();
    routes.push(public);
    manifest.to_string()
}

async fn put(world: &World, entry: usize, manifest: &str) -> u16 {
    let to = world.system.entries[entry].control();
    let headers = [("host", "control")];
    let path = "/Config.Replace";
    let sent = send(to, Method::POST, path, &headers, manifest, PATIENCE).await;
    sent.expect("an answer comes").status
}

/// Waits until all entries have logged that a version of the manifest is in force.
async fn wait_until_in_force(world: &World, version: u64) {
    let until = Instant::now() + APPLY_TIME;
    let line = format!(r#""version":{version}"#);
    for entry in &world.system.entries {
        while !entry
            .log()
            .lines()
            .any(|text| text.contains("manifest in force") && text.contains(&line))
        {
            assert!(
                Instant::now() < until,
                "{version} is not in force: {}",
                entry.log()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn call(world: &World, entry: usize, id: &str, path: &str, fields: &[(&str, &str)]) -> Reply {
    let mut headers = vec![("host", HOST), ("request-id", id), ("deadline-ms", "5000")];
    headers.extend(fields);
    let to = world.system.entries[entry].callers();
    let sent = send(to, Method::POST, path, &headers, "body", PATIENCE).await;
    sent.expect("an answer comes")
}

/// The runs of a request.
fn runs(world: &World, id: &str) -> Vec<Run> {
    let all = world.targets.iter().flat_map(|target| target.runs());
    all.filter(|run| run.id == id).collect()
}

#[track_caller]
fn check_team(world: &World, id: &str, team: Option<&str>) {
    let runs = runs(world, id);
    assert!(!runs.is_empty(), "{id} did not run");
    for run in runs {
        assert_eq!(
            (run.team.as_deref(), run.credentials.as_deref()),
            (team, None),
            "{id}"
        );
    }
}

/// Fails if any process wrote a key to its log.
fn check_logs(world: &World, keys: &[&str]) {
    let processes = world.system.entries.iter().chain(&world.system.stores);
    for log in processes.map(|process| process.log()) {
        for key in keys {
            assert!(!log.contains(key), "a log contains {key}");
        }
    }
}

#[test]
fn request_needs_the_key_of_a_team_and_runs_for_it() {
    with_world(2, async |world| {
        let before = call(&world, 0, "none", &format!("{SAFE}1"), &[("tenant", "own")]).await;
        assert_eq!(before.status, 200);
        assert_eq!(
            runs(&world, "none")[0].team.as_deref(),
            Some("own"),
            "as without teams"
        );
        let teams: &[(&str, &[&str])] = &[("red", &["key-r1", "key-r2"]), ("blue", &["key-b1"])];
        assert_eq!(put(&world, 0, &manifest(2, teams)).await, 200);
        wait_until_in_force(&world, 2).await;
        let path = format!("{SAFE}1");
        let refused = call(&world, 0, "r1", &path, &[]).await;
        assert_eq!(refused.status, 401);
        assert_eq!(refused.headers["www-authenticate"], "Token");
        let unknown = [("authorization", "Token key-x")];
        assert_eq!(call(&world, 1, "r2", &path, &unknown).await.status, 401);
        assert_eq!(call(&world, 1, "r3", "/nowhere/1", &[]).await.status, 404);
        assert!(
            ["r1", "r2", "r3"]
                .iter()
                .all(|id| runs(&world, id).is_empty())
        );
        let red = [
            ("authorization", "Token key-r2"),
            ("tenant", "blue"),
            ("connection", "tenant, authorization"),
        ];
        assert_eq!(call(&world, 2, "r4", &path, &red).await.status, 200);
        check_team(&world, "r4", Some("red"));
        let path = format!("{PUBLIC}1");
        assert_eq!(call(&world, 0, "r5", &path, &unknown).await.status, 200);
        check_team(&world, "r5", None);
        assert_eq!(
            call(&world, 0, "r6", &path, &[("tenant", "red")])
                .await
                .status,
            200
        );
        check_team(&world, "r6", None);
        check_logs(&world, &["key-r1", "key-r2", "key-b1", "key-x"]);
    });
}

#[test]
fn resumed_stream_runs_for_the_same_team() {
    with_world(3, async |world| {
        assert_eq!(
            put(&world, 0, &manifest(2, &[("red", &["key-r1"])])).await,
            200
        );
        wait_until_in_force(&world, 2).await;
        world.targets[0].behave(Behaviour {
            breaks_after: Some(2),
            ..Behaviour::default()
        });
        world.targets[1].behave(Behaviour {
            breaks_after: Some(2),
            ..Behaviour::default()
        });
        let key = [("authorization", "Token key-r1")];
        for number in 0..6 {
            let id = format!("r{number}");
            let reply = call(&world, number % 3, &id, &format!("{RESUMABLE}1"), &key).await;
            assert_eq!(reply.status, 200);
            check_team(&world, &id, Some("red"));
        }
        let resumed = world.targets.iter().flat_map(|target| target.runs());
        assert!(
            resumed.into_iter().any(|run| run.after.is_some()),
            "none was resumed"
        );
    });
}

/// A connection on which several requests are sent.
struct KeptConnection(TcpStream);

impl KeptConnection {
    /// Sends a request with a body and returns the status of its answer, whose length must be given.
    async fn send(&mut self, id: &str, key: &str) -> u16 {
        let body = "x".repeat(100_000);
        let request = format!(
            "POST {SAFE}1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\
             Authorization: Token {key}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let stream = &mut self.0;
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the connection is open");
        let mut received = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&received).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let mut lines = head.lines();
                let status = lines.next().and_then(|line| line.split(' ').nth(1));
                let length = lines.find_map(|line| line.strip_prefix("content-length: "));
                let length = length.and_then(|length| length.parse().ok());
                if Some(body.len()) == length {
                    return status
                        .and_then(|status| status.parse().ok())
                        .expect("a status");
                }
            }
            let mut buf = [0; 4_096];
            let len = stream.read(&mut buf).await.expect("the connection is open");
            assert!(len > 0, "the connection was closed after {text}");
            received.extend_from_slice(&buf[..len]);
        }
    }
}

#[test]
fn key_taken_away_is_refused_on_an_open_connection() {
    with_world(1, async |world| {
        let both: &[&str] = &["key-r1", "key-r2"];
        assert_eq!(put(&world, 0, &manifest(2, &[("red", both)])).await, 200);
        wait_until_in_force(&world, 2).await;
        let stream = TcpStream::connect(world.system.entries[1].callers()).await;
        let mut conn = KeptConnection(stream.expect("the entry accepts"));
        assert_eq!(conn.send("r1", "key-r1").await, 200);
        assert_eq!(
            put(&world, 0, &manifest(3, &[("red", &["key-r2"])])).await,
            200
        );
        tokio::time::sleep(APPLY_TIME).await;
        assert_eq!(conn.send("r2", "key-r1").await, 401);
        assert_eq!(conn.send("r3", "key-r1").await, 401);
        assert!(runs(&world, "r2").is_empty());
        assert_eq!(conn.send("r4", "key-r2").await, 200, "after a refused body");
    });
}

#[test]
fn manifest_in_which_teams_share_a_key_is_refused() {
    with_world(1, async |world| {
        let shared: &[(&str, &[&str])] = &[("red", &["key-r1"]), ("blue", &["key-r1"])];
        assert_eq!(put(&world, 0, &manifest(2, shared)).await, 400);
        assert_eq!(
            put(&world, 1, &manifest(2, &[("red", &["key-r1"])])).await,
            200
        );
        check_logs(&world, &["key-r1"]);
    });
}

/// Guards against an entry that restarts with the keys of before.
#[test]
fn entry_that_restarts_knows_the_keys_in_force() {
    with_world(1, async |mut world| {
        world.system.end_first_start();
        assert_eq!(
            put(&world, 0, &manifest(2, &[("red", &["key-r1"])])).await,
            200
        );
        wait_until_in_force(&world, 2).await;
        world.system.entries[0].kill();
        assert_eq!(
            put(&world, 1, &manifest(3, &[("red", &["key-r2"])])).await,
            200
        );
        world.system.entries[0].start();
        let until = Instant::now() + PATIENCE;
        let path = format!("{SAFE}1");
        let to = world.system.entries[0].callers();
        let mut served = false;
        for number in 0.. {
            for (key, expected) in [("Token key-r2", 200), ("Token key-r1", 401)] {
                let id = format!("{key}-{number}");
                let headers = [("host", HOST), ("request-id", &id), ("authorization", key)];
                let sent = send(to, Method::POST, &path, &headers, "", PATIENCE).await;
                // Until it accepts connections and has a manifest and targets.
                let Ok(reply) = sent else { continue };
                if reply.status != 503 {
                    assert_eq!(reply.status, expected, "{key}");
                    served = served || expected == 200;
                }
            }
            if served {
                break;
            }
            assert!(Instant::now() < until, "the entry does not serve");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against a caller that is refused for good because its entry was frozen while its key was added.
#[test]
fn new_key_is_not_unknown_at_an_entry_that_wakes_up() {
    with_world(1, async |mut world| {
        assert_eq!(
            put(&world, 0, &manifest(2, &[("red", &["key-r1"])])).await,
            200
        );
        wait_until_in_force(&world, 2).await;
        world.system.entries[0].signal(Signal::Stop);
        let keys: &[&str] = &["key-r1", "key-r2"];
        assert_eq!(put(&world, 1, &manifest(3, &[("red", keys)])).await, 200);
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        let to = world.system.entries[0].callers();
        let calls = (0..20).map(|number| async move {
            let id = format!("r{number}");
            let headers = [
                ("host", HOST),
                ("request-id", &id),
                ("authorization", "Token key-r2"),
            ];
            let path = format!("{SAFE}{number}");
            send(to, Method::POST, &path, &headers, "", PATIENCE).await
        });
        let calls = futures_util::future::join_all(calls);
        let wake = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            world.system.entries[0].signal(Signal::Cont);
        };
        let (replies, ()) = tokio::join!(calls, wake);
        for reply in replies {
            let status = reply.expect("an answer comes").status;
            assert!([200, 503].contains(&status), "{status}");
        }
    });
}

async fn about_job(world: &World, method: Method, path: &str, key: &str) -> Reply {
    let key = format!("Token {key}");
    let headers = [("host", HOST), ("request-id", "-"), ("authorization", &key)];
    let to = world.system.entries[1].callers();
    let sent = send(to, method, path, &headers, "", PATIENCE).await;
    sent.expect("an answer comes")
}

#[test]
fn job_belongs_to_the_team_that_submitted_it() {
    with_world(2, async |world| {
        let teams: &[(&str, &[&str])] = &[("red", &["key-r1", "key-r2"]), ("blue", &["key-b1"])];
        assert_eq!(put(&world, 0, &manifest(2, teams)).await, 200);
        wait_until_in_force(&world, 2).await;
        let headers = json!({ "Authorization": "Token key-r1", "Tenant": "blue" });
        let item = json!({ "id": "i1", "path": format!("{BATCH}1"), "headers": headers,
            "body": "aGk=", "tokens": 10 });
        let job = json!({ "items": [item] }).to_string();
        let submit = async |id: &str, key: &str| {
            let headers = [("host", HOST), ("request-id", id), ("authorization", key)];
            let to = world.system.entries[0].callers();
            let path = format!("{BATCH}{id}");
            let sent = send(to, Method::POST, &path, &headers, &job, PATIENCE).await;
            sent.expect("an answer comes").status
        };
        world.behave(&Behaviour {
            events: 60,
            pause: Duration::from_millis(100),
            ..Behaviour::default()
        });
        assert_eq!(submit("j1", "Token key-x").await, 401);
        assert_eq!(submit("j1", "Token key-r1").await, 202);
        assert_eq!(
            submit("j1", "Token key-r2").await,
            202,
            "sent again by its team"
        );
        assert_eq!(
            submit("j1", "Token key-b1").await,
            409,
            "an id of another team"
        );
        let calls = [
            (Method::GET, "/lots/j1?after=0"),
            (Method::GET, "/items/j1?id=i1"),
            (Method::DELETE, "/lots/j1"),
        ];
        for (method, path) in &calls {
            let status = async |key| about_job(&world, method.clone(), path, key).await.status;
            assert_eq!(status("key-x").await, 401, "{method} {path}");
            assert_eq!(status("key-b1").await, 404, "{method} {path}");
        }
        assert_eq!(
            about_job(&world, Method::GET, calls[1].1, "key-r2")
                .await
                .body,
            "hi"
        );
        // The key that it was submitted with is taken away while it runs.
        let teams: &[(&str, &[&str])] = &[("red", &["key-r3"]), ("blue", &["key-b1"])];
        assert_eq!(put(&world, 2, &manifest(3, teams)).await, 200);
        wait_until_in_force(&world, 3).await;
        assert_eq!(
            about_job(&world, Method::GET, calls[0].1, "key-r1")
                .await
                .status,
            401
        );
        let until = Instant::now() + PATIENCE;
        loop {
            let reply = about_job(&world, Method::GET, calls[0].1, "key-r3").await;
            assert_eq!(reply.status, 200);
            let page: Value = serde_json::from_str(&reply.body).expect("a page is JSON");
            if page["next"] == 1 {
                assert_eq!(page["results"][0]["state"], "completed");
                break;
            }
            assert!(Instant::now() < until, "{page}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        check_team(&world, "i1", Some("red"));
        check_logs(&world, &["key-r1", "key-r2", "key-r3", "key-b1", "key-x"]);
    });
}
