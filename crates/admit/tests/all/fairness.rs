//! Fair sharing of a target between teams, classes, and long and short prompts.

use yuccaseam_admit::{
    Class,
    Event,
    PermitId,
    Settings, //
};
use yuccaseam_base::{
    EntityKey,
    Millis,
    Reason, //
};

use crate::support::{
    Bench,
    granted,
    refused, //
};

const FLOOD: usize = 0;
const OTHER: usize = 1;

fn bench(queue_limit: u32) -> Bench {
    Bench::new(Settings {
        queue_limit,
        ..Settings::for_slots(1)
    })
}

/// Ends running calls one by one and returns the order in which the waiting ones start.
fn drain_in_order(bench: &mut Bench, first: PermitId) -> Vec<PermitId> {
    let mut order = Vec::new();
    let mut running = first;
    loop {
        let next = granted(&bench.send(Event::Finished(running)));
        let [permit] = next[..] else { return order };
        order.push(permit);
        running = permit;
    }
}

#[test]
fn flooding_team_does_not_delay_another_team() {
    let mut bench = bench(100);
    let (first, _) = bench.arrive(FLOOD);
    for _ in 0..50 {
        bench.arrive(FLOOD);
    }
    let (other, _) = bench.arrive(OTHER);
    let order = drain_in_order(&mut bench, first);
    assert!(order[..2].contains(&other));
}

#[test]
fn full_queue_displaces_request_of_the_longest_flow() {
    let mut bench = bench(10);
    for _ in 0..11 {
        bench.arrive(FLOOD);
    }
    let (other, actions) = bench.arrive(OTHER);
    let [(refused_permit, Reason::TeamOverShare, _)] = refused(&actions)[..] else {
        panic!("expected one refusal of the flooding team: {actions:?}");
    };
    assert_ne!(refused_permit, other);
    let (flood, actions) = bench.arrive(FLOOD);
    assert_eq!(refused(&actions)[0].0, flood);
}

#[test]
fn service_shares_follow_team_weights() {
    let mut bench = bench(100);
    let (first, _) = bench.arrive(2);
    let mut heavy = Vec::new();
    for _ in 0..30 {
        let mut request = bench.request(FLOOD);
        request.weight = 2;
        heavy.push(request.permit);
        bench.send(Event::Arrived(request));
        bench.arrive(OTHER);
    }
    let order = drain_in_order(&mut bench, first);
    let early = order[..30].iter().filter(|permit| heavy.contains(permit));
    assert_eq!(early.count(), 20);
}

#[test]
fn short_prompt_does_not_wait_behind_long_prompts_of_its_team() {
    let mut bench = bench(100);
    let (first, _) = bench.arrive(0);
    for _ in 0..10 {
        let mut request = bench.request(0);
        request.prompt_tokens = 30_000;
        bench.send(Event::Arrived(request));
    }
    let (short, _) = bench.arrive(0);
    assert!(drain_in_order(&mut bench, first)[..2].contains(&short));
}

#[test]
fn class_does_not_wait_behind_another_class_of_its_team() {
    let mut bench = bench(100);
    let (first, _) = bench.arrive(0);
    for _ in 0..10 {
        bench.arrive(0);
    }
    let mut request = bench.request(0);
    request.class = Class::from_index(1);
    bench.send(Event::Arrived(request));
    assert!(drain_in_order(&mut bench, first)[..2].contains(&request.permit));
}

#[test]
fn long_prompts_are_charged_by_tokens() {
    let mut bench = bench(100);
    let (first, _) = bench.arrive(2);
    let mut long = Vec::new();
    for _ in 0..10 {
        let mut request = bench.request(0);
        request.prompt_tokens = 900;
        long.push(request.permit);
        bench.send(Event::Arrived(request));
    }
    for _ in 0..50 {
        bench.arrive(1);
    }
    let order = drain_in_order(&mut bench, first);
    let early = order[..30].iter().filter(|permit| long.contains(permit));
    assert_eq!(early.count(), 5);
}

#[test]
fn flows_are_cleared_when_the_queue_is_empty() {
    let mut bench = bench(2_000);
    let (first, _) = bench.arrive(0);
    for team in 1..990 {
        bench.arrive(team);
    }
    assert_eq!(bench.gate.snapshot().flows, 989);
    drain_in_order(&mut bench, first);
    bench.now += Millis(1);
    assert_eq!(bench.gate.snapshot().flows, 0);
}
