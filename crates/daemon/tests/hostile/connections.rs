//! Connections and heads that together exceed the descriptors or the memory of a process.

use crate::{
    crowd::{
        Crowd,
        Manner,
        head, //
    },
    with_world,
};

/// More connections than the process may hold descriptors.
const MANY: usize = 600;
/// Bytes of a head that does not end: below the manifest's limit.
const HEAD_BYTES: usize = 16_000;

fn nothing(_: usize) -> Vec<u8> {
    Vec::new()
}

fn half_a_head(member: usize) -> Vec<u8> {
    let lines = format!("X-Long: {}", "x".repeat(HEAD_BYTES));
    let mut bytes = head("/safe/1", &format!("hostile-{member}"), &lines).into_bytes();
    bytes.truncate(bytes.len() - 4);
    bytes
}

fn head_without_its_body(member: usize) -> Vec<u8> {
    let id = format!("hostile-{member}");
    head("/safe/1", &id, "Content-Length: 10\r\n").into_bytes()
}

macro_rules! cases {
    ($($name:ident: $listener:ident, $script:expr;)*) => {
        $(
            #[test]
            fn $name() {
                with_world(async |world| {
                    let to = world.entry().$listener();
                    let crowd = Crowd::send(to, Manner::at_once(MANY), $script).await;
                    println!("{} connected", crowd.connected());
                    world.wait_until_settled().await;
                    world.check().await;
                    drop(crowd);
                    world.check_in_calm().await;
                });
            }
        )*
    };
}

cases! {
    silent_connections_of_callers: callers, nothing;
    silent_connections_to_control: control, nothing;
    silent_connections_to_the_readiness_probe: readiness, nothing;
    silent_connections_to_the_metrics: metrics, nothing;
    heads_that_stop_short: callers, half_a_head;
    heads_without_their_bodies: callers, head_without_its_body;
}
