//! Bodies that together exceed the memory of the process that receives them.

use std::{
    net::SocketAddr,
    sync::LazyLock,
    time::Duration, //
};

use yuccaseam_testing::platform::{
    BATCH,
    Instance,
    SAFE, //
};

use crate::{
    LARGEST_BODY,
    crowd::{
        Crowd,
        Manner,
        announced,
        chunked,
        head, //
    },
    with_world,
};

/// Connections with large bodies: together three times the memory of the process.
const MANY: usize = 200;
/// Connections with bodies that cost the sender much time.
const FEW: usize = 64;
/// Bytes before which a body stops short of its end.
const MISSING: usize = 1;

fn callers(entry: &Instance) -> SocketAddr {
    entry.callers()
}

fn control(entry: &Instance) -> SocketAddr {
    entry.control()
}

fn metrics(entry: &Instance) -> SocketAddr {
    entry.metrics()
}

fn readiness(entry: &Instance) -> SocketAddr {
    entry.readiness()
}

fn safe(member: usize) -> (String, String) {
    (format!("{SAFE}{member}"), format!("hostile-{member}"))
}

fn whole(member: usize) -> Vec<u8> {
    let (path, id) = safe(member);
    announced(&path, &id, LARGEST_BODY, LARGEST_BODY)
}

fn short(member: usize) -> Vec<u8> {
    let (path, id) = safe(member);
    announced(&path, &id, LARGEST_BODY, LARGEST_BODY - MISSING)
}

fn large_chunks(member: usize) -> Vec<u8> {
    let (path, id) = safe(member);
    chunked(&path, &id, 64 << 10, LARGEST_BODY)
}

/// Two of them send as much as is legal.
fn small_chunks(member: usize) -> Vec<u8> {
    let (path, id) = safe(member);
    let sent = if member < 2 {
        LARGEST_BODY
    } else {
        LARGEST_BODY / 4
    };
    chunked(&path, &id, 1 + member % 4, sent)
}

fn announced_over(member: usize) -> Vec<u8> {
    let (path, id) = safe(member);
    announced(&path, &id, 1 << 40, 2 * LARGEST_BODY)
}

fn announced_little_over(member: usize) -> Vec<u8> {
    let (path, id) = safe(member);
    announced(&path, &id, LARGEST_BODY + 1, LARGEST_BODY - MISSING)
}

fn sent_over(member: usize) -> Vec<u8> {
    let (path, id) = safe(member);
    chunked(&path, &id, 16 << 10, 4 * LARGEST_BODY)
}

/// Two requests on a connection, of which the second is read while the first one waits.
fn pipelined(member: usize) -> Vec<u8> {
    [whole(member), short(member)].concat()
}

fn manifest(member: usize) -> Vec<u8> {
    let id = format!("hostile-{member}");
    announced("/Config.Replace", &id, LARGEST_BODY, LARGEST_BODY - MISSING)
}

fn whole_manifest(member: usize) -> Vec<u8> {
    let id = format!("hostile-{member}");
    announced("/Config.Replace", &id, LARGEST_BODY, LARGEST_BODY)
}

fn announcement(member: usize) -> Vec<u8> {
    let path = format!("/Instances.Heartbeat/x-{member}");
    chunked(&path, "-", 64 << 10, LARGEST_BODY)
}

fn odd_path(member: usize) -> Vec<u8> {
    let id = format!("hostile-{member}");
    announced("/no/such/path", &id, LARGEST_BODY, LARGEST_BODY - MISSING)
}

/// A valid job whose only item is nearly as large as is legal.
fn job(member: usize) -> Vec<u8> {
    let path = format!("{BATCH}{member}");
    let id = format!("hostile-{member}");
    let text = "eHh4".repeat((LARGEST_BODY - 1_024) / 4);
    let item = format!(r#"{{"id":"{id}-0","path":"{path}/0","body":"{text}","tokens":10}}"#);
    let body = format!(r#"{{"items":[{item}]}}"#);
    let lines = format!("Content-Length: {}\r\n", body.len());
    [head(&path, &id, &lines), body].concat().into_bytes()
}

/// Items of a job, as many as are legal.
static ITEMS: LazyLock<String> = LazyLock::new(|| {
    let item = |at: usize| format!(r#"{{"id":"{at}","path":"{BATCH}0","body":"","tokens":1}}"#);
    let mut items = item(0);
    for at in 1.. {
        let next = item(at);
        if items.len() + next.len() > LARGEST_BODY - 1_024 {
            break;
        }
        items.push(',');
        items.push_str(&next);
    }
    items
});

fn job_of_many_items(member: usize) -> Vec<u8> {
    let body = format!(r#"{{"items":[{}]}}"#, *ITEMS);
    let lines = format!("Content-Length: {}\r\n", body.len());
    let head = head(
        &format!("{BATCH}{member}"),
        &format!("hostile-{member}"),
        &lines,
    );
    [head, body].concat().into_bytes()
}

fn run<L, S>(listener: L, manner: Manner, script: S)
where
    L: Fn(&Instance) -> SocketAddr,
    S: Fn(usize) -> Vec<u8>,
{
    with_world(async |world| {
        let to = listener(world.entry());
        let crowd = Crowd::send(to, manner, script).await;
        println!("{} connected", crowd.connected());
        world.check().await;
        drop(crowd);
        world.check_in_calm().await;
    });
}

const fn in_pieces(members: usize) -> Manner {
    let mut manner = Manner::at_once(members);
    manner.piece = 16 << 10;
    manner.pause = Duration::from_millis(2);
    manner
}

const fn patient(members: usize) -> Manner {
    let mut manner = Manner::at_once(members);
    manner.sending = Duration::from_secs(4);
    manner
}

macro_rules! cases {
    ($($name:ident: $listener:expr, $manner:expr, $script:expr;)*) => {
        $(
            #[test]
            fn $name() {
                run($listener, $manner, $script);
            }
        )*
    };
}

cases! {
    large_bodies_whole: callers, Manner::at_once(MANY), whole;
    large_bodies_in_pieces: callers, in_pieces(MANY), whole;
    large_bodies_that_stop_short: callers, Manner::at_once(MANY), short;
    large_bodies_in_pieces_that_stop_short: callers, in_pieces(MANY), short;
    large_chunks_that_stop_short: callers, Manner::at_once(MANY), large_chunks;
    small_chunks_that_stop_short: callers, patient(FEW), small_chunks;
    bodies_announced_over_the_limit: callers, Manner::at_once(MANY), announced_over;
    bodies_announced_over_the_limit_that_stop_short:
        callers, Manner::at_once(MANY), announced_little_over;
    bodies_sent_over_the_limit: callers, Manner::at_once(MANY), sent_over;
    pipelined_bodies: callers, Manner::at_once(MANY), pipelined;
    manifests_that_stop_short: control, Manner::at_once(MANY), manifest;
    invalid_manifests: control, Manner::at_once(MANY), whole_manifest;
    announcements_that_stop_short: control, Manner::at_once(MANY), announcement;
    bodies_to_no_control_call: control, Manner::at_once(MANY), odd_path;
    bodies_to_the_readiness_probe: readiness, Manner::at_once(MANY), odd_path;
    bodies_to_the_metrics: metrics, Manner::at_once(MANY), odd_path;
    jobs_of_one_large_item: callers, Manner::at_once(MANY), job;
    jobs_of_many_items: callers, Manner::at_once(MANY), job_of_many_items;
}
