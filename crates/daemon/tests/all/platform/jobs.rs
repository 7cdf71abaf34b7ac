//! Batch jobs.

use std::time::{
    Duration,
    Instant, //
};

use http::Method;
use yuccaseam_testing::{
    Signal,
    platform::{
        BATCH,
        Behaviour,
        HOST,
        PlatformSystem,
        expected_text,
        send, //
    },
};

use super::{
    PATIENCE,
    job, //
    with_world,
};

#[test]
fn a_job_is_accepted_once_and_outlives_its_leader() {
    with_world(3, async |mut world| {
        world.system.end_first_start();
        let path = format!("{BATCH}j1");
        let reply = world
            .batch(0, Method::POST, &path, "j1", &job("j1", 12))
            .await;
        assert_eq!(reply.status, 202);
        let reply = world
            .batch(1, Method::POST, &path, "j1", &job("j1", 12))
            .await;
        assert_eq!(reply.status, 202, "a job that is sent again");
        for store in 0..3 {
            world.system.stores[store].kill();
            world.system.stores[store].start();
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        let page = world.results(2, "j1", 12).await;
        assert_eq!(page["total"], 12);
        for result in page["results"].as_array().expect("a list") {
            let id = result["id"].as_str().expect("an id");
            assert_eq!(result["state"], "completed");
            assert_eq!(result["text"], expected_text(id, 5), "{id}");
        }
        let again = world.results(0, "j1", 12).await;
        assert_eq!(again, page, "results keep their positions");
    });
}

#[test]
fn a_poisoned_item_ends_and_an_ended_job_stops() {
    with_world(2, async |world| {
        world.behave(&Behaviour {
            poisoned: Some("/1"),
            events: 20,
            ..Behaviour::default()
        });
        let path = format!("{BATCH}j1");
        let reply = world
            .batch(0, Method::POST, &path, "j1", &job("j1", 3))
            .await;
        assert_eq!(reply.status, 202);
        let page = world.results(0, "j1", 3).await;
        let errored: Vec<_> = page["results"]
            .as_array()
            .expect("a list")
            .iter()
            .filter(|result| result["state"] == "errored")
            .map(|result| result["id"].clone())
            .collect();
        assert_eq!(errored, ["j1-1"]);
        assert_eq!(world.runs_of("j1-1"), 3, "as often as the route allows");

        world.behave(&Behaviour {
            events: 2_000,
            ..Behaviour::default()
        });
        let reply = world
            .batch(0, Method::POST, &format!("{BATCH}j2"), "j2", &job("j2", 2))
            .await;
        assert_eq!(reply.status, 202);
        let reply = world
            .batch(1, Method::GET, "/items/j2?id=j2-0", "-", "")
            .await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "hi"));
        let reply = world.batch(1, Method::DELETE, "/lots/j2", "-", "").await;
        assert_eq!(reply.status, 200);
        let until = Instant::now() + Duration::from_secs(3);
        while world
            .targets
            .iter()
            .any(|target| !target.running().is_empty())
        {
            assert!(Instant::now() < until, "items of an ended job still run");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Guards against a quota that is exceeded: an entry that wakes up still has the manifest of before, and the
/// limit of its route went with the job.
#[test]
fn job_at_an_entry_that_wakes_up_is_held_to_the_newest_limit() {
    with_world(1, async |mut world| {
        world.system.entries[0].signal(Signal::Stop);
        let entry = world.system.entries[0].callers();
        let (path, body) = (format!("{BATCH}j1"), job("j1", 12));
        let headers = [("host", HOST), ("request-id", "j1")];
        let sent = async { send(entry, Method::POST, &path, &headers, &body, PATIENCE).await };
        let lower = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let body = PlatformSystem::manifest(2).replace(r#""cap":100000"#, r#""cap":100"#);
            assert!(body.contains(r#""cap":100,"#), "{body}");
            let to = world.system.entries[1].control();
            let headers = [("host", "control")];
            let path = "/Config.Replace";
            let sent = send(to, Method::POST, path, &headers, &body, PATIENCE).await;
            assert_eq!(sent.expect("an answer comes").status, 200);
            tokio::time::sleep(Duration::from_millis(3_500)).await;
            world.system.entries[0].signal(Signal::Cont);
        };
        let (reply, ()) = tokio::join!(sent, lower);
        let reply = reply.expect("an answer comes");
        // 120 tokens do not fit.
        assert_eq!(reply.status, 429, "{reply:?}");
    });
}
