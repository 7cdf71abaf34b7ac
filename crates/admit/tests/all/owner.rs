//! Owner changes, disconnected entries and load reports.

use yuccaseam_admit::{
    Entry,
    Event,
    PermitId,
    Settings, //
};
use yuccaseam_base::{
    EntityKey,
    Millis, //
};

use crate::support::{
    Bench,
    ENTRY,
    granted,
    refused, //
};

fn entry() -> Entry {
    Entry::from_index(ENTRY)
}

#[test]
fn new_owner_counts_running_requests_from_load_report() {
    let mut bench = Bench::new(Settings::for_slots(4));
    bench.load(3, Millis(200));
    let (first, actions) = bench.arrive(0);
    assert_eq!(granted(&actions), [first]);
    let (_, actions) = bench.arrive(0);
    assert_eq!(granted(&actions), []);
}

#[test]
fn permits_of_previous_owner_are_adopted_and_end_once() {
    let mut bench = Bench::new(Settings::for_slots(4));
    bench.load(3, Millis(200));
    let in_use = vec![PermitId(901), PermitId(902), PermitId(903)];
    bench.send(Event::Renewed {
        entry: entry(),
        in_use,
    });
    assert_eq!(bench.gate.snapshot().online, 3);
    assert_eq!(bench.gate.snapshot().foreign, 0);
    bench.send(Event::Finished(PermitId(901)));
    bench.send(Event::Finished(PermitId(901)));
    assert_eq!(bench.gate.snapshot().online, 2);
}

#[test]
fn load_report_is_compared_with_state_at_its_time() {
    let mut bench = Bench::new(Settings::for_slots(4));
    let (first, _) = bench.arrive(0);
    let (second, _) = bench.arrive(0);
    bench.now += Millis(300);
    bench.send(Event::Finished(first));
    bench.send(Event::Finished(second));
    bench.now += Millis(100);
    bench.load(2, Millis(200));
    assert_eq!(bench.gate.snapshot().foreign, 0);
}

#[test]
fn disconnected_entry_releases_its_slots() {
    let mut bench = Bench::new(Settings::for_slots(1));
    bench.arrive(0);
    let (waiting, _) = bench.arrive(0);
    let mut other = bench.request(0);
    other.entry = Entry::from_index(7);
    bench.send(Event::Arrived(other));
    let actions = bench.send(Event::EntryDisconnected(entry()));
    assert_eq!(refused(&actions)[0].0, waiting);
    assert_eq!(granted(&actions), [other.permit]);
}

#[test]
fn unresponsive_entry_is_disconnected() {
    let cfg = Settings::for_slots(1);
    let mut bench = Bench::new(cfg);
    bench.arrive(0);
    bench.now += cfg.permit_ttl + Millis(1);
    bench.send(Event::Tick);
    assert_eq!(bench.gate.snapshot().online, 0);
}

#[test]
fn renewal_without_a_permit_releases_it() {
    let mut bench = Bench::new(Settings::for_slots(1));
    bench.arrive(0);
    bench.now += Millis(2_000);
    bench.send(Event::Renewed {
        entry: entry(),
        in_use: Vec::new(),
    });
    assert_eq!(bench.gate.snapshot().online, 0);
}

#[test]
fn renewal_within_grant_grace_keeps_the_permit() {
    let mut bench = Bench::new(Settings::for_slots(1));
    bench.arrive(0);
    bench.now += Millis(10);
    bench.send(Event::Renewed {
        entry: entry(),
        in_use: Vec::new(),
    });
    assert_eq!(bench.gate.snapshot().online, 1);
}
