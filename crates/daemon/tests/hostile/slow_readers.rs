//! Callers that do not read what they are sent.

use std::time::Duration;

use yuccaseam_testing::platform::{
    Behaviour,
    ONCE,
    PlatformSystem,
    SAFE, //
};

use crate::{
    crowd::{
        Crowd,
        Manner,
        head, //
    },
    with_world_of,
};

/// Callers: their answers exceed the memory of the process.
const MANY: usize = 180;
/// Bytes of an answer that is passed on whole.
const ANSWER_BYTES: usize = 2_000_000;
/// Requests of a connection: the system's kernel buffers take the first answer.
const REQUESTS: usize = 3;
/// How long the system has to make the answers.
const ANSWERING: Duration = Duration::from_secs(2);

fn run(prefix: &str, behaviour: Behaviour) {
    let manifest = PlatformSystem::manifest(1);
    let manifest = manifest.replace(r#""idle_timeout_ms":15000"#, r#""idle_timeout_ms":3000"#);
    with_world_of(&manifest, async |world| {
        world.target.behave(behaviour);
        let mut manner = Manner::at_once(MANY);
        manner.reads = false;
        let script = |member: usize| {
            let path = format!("{prefix}{member}");
            let lines = "Content-Length: 4\r\nDeadline-Ms: 2000\r\n";
            let request =
                |at: usize| head(&path, &format!("hostile-{member}-{at}"), lines) + "body";
            (0..REQUESTS).map(request).collect::<String>().into_bytes()
        };
        let crowd = Crowd::send(world.entry().callers(), manner, script).await;
        tokio::time::sleep(ANSWERING).await;
        println!("{} connected", crowd.connected());
        world.check_processes();
        // The target's slots are taken for as long as the callers do not read.
        world.target.behave(Behaviour::default());
        world.check().await;
        world.wait_until_closed().await;
        drop(crowd);
        world.check_in_calm().await;
    });
}

#[test]
fn answers_that_are_not_read() {
    run(
        SAFE,
        Behaviour {
            answer_bytes: ANSWER_BYTES,
            ..Behaviour::default()
        },
    );
}

#[test]
fn streams_that_are_not_read() {
    run(
        ONCE,
        Behaviour {
            events: 100_000,
            pause: Duration::ZERO,
            ..Behaviour::default()
        },
    );
}
