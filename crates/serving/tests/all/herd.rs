//! Distribution of simultaneous requests by entries whose loads are stale and identical.

use std::{
    collections::HashMap,
    net::{
        IpAddr,
        Ipv4Addr, //
    },
};

use assert_matches::assert_matches;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use yuccaseam_base::Millis;
use yuccaseam_serving::{
    balance::{
        Availability,
        Balancer,
        Load,
        NeighbourReport, //
    },
    targets::{
        TargetKey,
        TargetRecord, //
    },
};

use super::support::{
    balancer,
    target, //
};

const NOW: Millis = Millis(1_000);

fn ip(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 1, 0, number as u8))
}

fn report(number: u64, counts: &[(TargetKey, u32)]) -> NeighbourReport {
    NeighbourReport {
        started_at: 1,
        number,
        complete: false,
        counts: counts.to_vec(),
        failed: None,
    }
}

/// Number of requests of a burst at each target. Requests arrive at random entries, and each entry
/// reports to all others at once.
fn burst(entries: &mut [Balancer], requests: u64, rng: &mut StdRng) -> HashMap<TargetKey, u32> {
    let mut counts_by_target = HashMap::<TargetKey, u32>::new();
    for request in 0..requests {
        let from = rng.random_range(0..entries.len());
        let choice = entries[from]
            .choose("llm", &[], rng.random(), NOW)
            .expect("a target");
        entries[from].begin_request(choice.key);
        *counts_by_target.entry(choice.key).or_default() += 1;
        let counts = [(choice.key, entries[from].local_requests(choice.key))];
        for (number, entry) in entries.iter_mut().enumerate() {
            if number != from {
                entry.receive_neighbour_report(ip(from), report(request + 1, &counts), NOW);
            }
        }
    }
    counts_by_target
}

/// Forty entries without reports of each other choose at the same moment among twenty far targets
/// of similar load. A deterministic choice would send all of them to one target.
#[test]
fn burst_with_identical_stale_loads_is_spread() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut arrivals = HashMap::<TargetKey, u32>::new();
    for _ in 0..40 {
        let mut entry = balancer("b1");
        for number in 0..20 {
            entry.set_target(&target(number, "a1"));
        }
        let choice = entry
            .choose("llm", &[], rng.random(), NOW)
            .expect("a target");
        *arrivals.entry(choice.key).or_default() += 1;
    }
    assert!(arrivals.len() >= 12, "only {} targets used", arrivals.len());
    assert!(arrivals.values().all(|count| *count <= 8), "{arrivals:?}");
}

/// Eight entries of one failure domain receive a burst that fills 60 of the 64 slots of its
/// engines. Because each reports to the others at once, no engine gets more requests than it has
/// slots.
#[test]
fn neighbours_fill_the_engines_of_their_domain_evenly() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut entries: Vec<Balancer> = (0..8).map(|_| balancer("a1")).collect();
    for entry in &mut entries {
        for number in 0..8 {
            entry.set_target(&target(number, "a1"));
        }
    }
    let counts_by_target = burst(&mut entries, 60, &mut rng);
    assert_eq!(counts_by_target.len(), 8);
    assert!(
        counts_by_target.values().all(|count| *count <= 8),
        "{counts_by_target:?}"
    );
}

/// Without a leader, the loads of other failure domains are not updated. Entries of two domains
/// receive a burst that fills 120 of the 128 slots of their region, most of it in one domain.
#[test]
fn burst_without_a_leader_overfills_no_engine_of_the_region() {
    let mut rng = StdRng::seed_from_u64(13);
    let mut entries: Vec<Balancer> = ["a1", "a1", "a1", "a2", "a2"].map(balancer).into();
    for entry in &mut entries {
        entry.set_whole_region(true);
        for number in 0..16 {
            entry.set_target(&target(number, if number < 8 { "a1" } else { "a2" }));
        }
    }
    let counts_by_target = burst(&mut entries, 120, &mut rng);
    assert!(
        counts_by_target.values().all(|count| *count <= 8),
        "{counts_by_target:?}"
    );
}

/// Entries with exact loads of their region need no large jitter: of two engines in another failure
/// domain, they choose the emptier one.
#[test]
fn emptier_engine_wins_when_loads_of_the_region_are_exact() {
    let mut entry = balancer("a1");
    entry.set_whole_region(true);
    let (busy, idle) = (target(1, "a2"), target(2, "a2"));
    entry.set_target(&busy);
    entry.set_target(&idle);
    let counts = [(busy.key(), 4)];
    entry.receive_neighbour_report(ip(1), report(1, &counts), NOW);
    for draw in 0..200 {
        let choice = entry.choose("llm", &[], draw, NOW).expect("a target");
        assert_eq!(choice.key, idle.key(), "draw {draw}");
    }
}

/// The own failure domain is preferred until it is full.
#[test]
fn full_domain_overflows_into_another_domain() {
    let mut entry = balancer("a1");
    let near = target(1, "a1");
    let far = target(2, "a2");
    entry.set_target(&near);
    entry.set_target(&far);
    let choice = entry.choose("llm", &[], 3, NOW).expect("a target");
    assert_eq!(choice.key, near.key());
    for _ in 0..8 {
        entry.begin_request(near.key());
    }
    let choice = entry.choose("llm", &[], 3, NOW).expect("a target");
    assert_eq!(choice.key, far.key());
}

/// A target of another region costs 40 ms and narrow bandwidth, so it ranks after those of the
/// region.
#[test]
fn target_of_another_region_ranks_last() {
    let mut entry = balancer("a1");
    entry.set_target(&target(1, "b1"));
    entry.set_target(&target(2, "a2"));
    for draw in 0..50 {
        let choice = entry.choose("llm", &[], draw, NOW).expect("a target");
        assert_eq!(choice.key, target(2, "a2").key());
    }
}

/// Items can be preempted, so a target full of items still takes callers, after targets with a free
/// slot.
#[test]
fn target_full_of_items_is_available_after_preemption() {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    let load = Load {
        online: 2,
        batch: 6,
    };
    entry.apply_loads(&[(record.key(), load)]);
    entry.record_loads_received(NOW);
    let choice = entry.choose("llm", &[], 1, NOW).expect("a target");
    assert_eq!(choice.availability, Availability::AfterPreemption);
}

/// While there is no leader, nobody preempts items: a request that is sent to a target full of items
/// waits until one of them ends, and is late.
#[test]
fn target_full_of_items_is_full_while_the_leader_is_silent() {
    let mut entry = balancer("a1");
    let (full, busy) = (target(1, "a1"), target(2, "a1"));
    entry.set_target(&full);
    let items = Load {
        online: 2,
        batch: 7,
    };
    entry.apply_loads(&[(full.key(), items)]);
    entry.record_loads_received(NOW);
    let choose = |entry: &Balancer, at| entry.choose("llm", &[], 1, at).expect("a target");
    assert_eq!(
        choose(&entry, NOW).availability,
        Availability::AfterPreemption
    );
    let silent = NOW + Millis(500);
    assert_eq!(choose(&entry, silent).availability, Availability::Full);
    assert_eq!(choose(&entry, silent).queued, 1);
    entry.set_target(&busy);
    for _ in 0..7 {
        entry.begin_request(busy.key());
    }
    assert_eq!(choose(&entry, silent).key, busy.key());
}

/// A target that hung is tried again with one request, not with those of all entries at once.
#[test]
fn target_on_probation_gets_one_request_at_a_time() {
    let mut entry = balancer("a1");
    let (hung, sound) = (target(1, "a1"), target(2, "a2"));
    entry.set_target(&hung);
    entry.set_target(&sound);
    entry.record_failure(hung.key(), NOW);
    entry.record_failure(hung.key(), NOW);
    let closed = NOW + Millis(850);
    let choice = entry.choose("llm", &[], 1, closed).expect("a target");
    assert_eq!(choice.key, hung.key());
    entry.receive_neighbour_report(ip(1), report(1, &[(hung.key(), 1)]), closed);
    let choice = entry.choose("llm", &[], 1, closed).expect("a target");
    assert_eq!(choice.key, sound.key());
    let later = closed + Millis(1_000);
    let choice = entry.choose("llm", &[], 1, later).expect("a target");
    assert_eq!(choice.key, hung.key());
}

/// A report that is late or lost must not leave requests counted for ever.
#[test]
fn complete_report_corrects_counts_after_a_lost_datagram() {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    entry.receive_neighbour_report(ip(1), report(1, &[(record.key(), 8)]), NOW);
    assert_matches!(entry.choose("llm", &[], 1, NOW), Some(choice) if choice.availability == Availability::Full);
    // An older report that arrives late changes nothing.
    entry.receive_neighbour_report(ip(1), report(1, &[(record.key(), 3)]), NOW);
    assert_matches!(entry.choose("llm", &[], 1, NOW), Some(choice) if choice.load.online == 8);
    let complete = NeighbourReport {
        complete: true,
        ..report(2, &[])
    };
    entry.receive_neighbour_report(ip(1), complete, NOW);
    assert_matches!(entry.choose("llm", &[], 1, NOW), Some(choice) if choice.load.online == 0);
}

/// The requests of a neighbour that was killed under load must not make targets look full.
#[test]
fn counts_of_an_unresponsive_neighbour_expire() {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    entry.receive_neighbour_report(ip(1), report(1, &[(record.key(), 8)]), NOW);
    entry.expire(NOW + Millis(1_000));
    assert_matches!(entry.choose("llm", &[], 1, NOW), Some(choice) if choice.load.online == 8);
    entry.expire(NOW + Millis(2_500));
    assert_matches!(entry.choose("llm", &[], 1, NOW), Some(choice) if choice.load.online == 0);
}

/// Engines that crash under load are avoided at once, and tried again later.
#[test]
fn failed_target_is_avoided_during_its_cooldown() {
    let mut entry = balancer("a1");
    let good = target(1, "b1");
    let bad = target(2, "a1");
    entry.set_target(&good);
    entry.set_target(&bad);
    entry.record_failure(bad.key(), NOW);
    let choice = entry.choose("llm", &[], 1, NOW).expect("a target");
    assert_eq!(choice.key, good.key());
    let choice = entry
        .choose("llm", &[], 1, NOW + Millis(600))
        .expect("a target");
    assert_eq!(choice.key, bad.key());
}

/// If most targets fail at once, the cause is the network or the load, and the few others must not
/// get all requests.
#[test]
fn no_target_is_avoided_when_most_fail() {
    let mut entry = balancer("a1");
    for number in 0..4 {
        entry.set_target(&target(number, "a1"));
    }
    for number in 0..3 {
        entry.record_failure(target(number, "a1").key(), NOW);
        entry.record_failure(target(number, "a1").key(), NOW);
    }
    for _ in 0..6 {
        entry.begin_request(target(3, "a1").key());
    }
    let choice = entry.choose("llm", &[], 5, NOW).expect("a target");
    assert_ne!(choice.key, target(3, "a1").key());
}

/// When every target has failed recently, the least bad one is still tried.
#[test]
fn last_target_is_chosen_despite_a_failure() {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    entry.record_failure(record.key(), NOW);
    assert!(entry.choose("llm", &[], 1, NOW).is_some());
}

/// A draining target gets no new requests, whatever its load.
#[test]
fn draining_target_is_not_chosen() {
    let mut entry = balancer("a1");
    let mut record = target(1, "a1");
    entry.set_target(&record);
    record.draining = true;
    entry.set_target(&record);
    assert_eq!(entry.choose("llm", &[], 1, NOW), None);
}

/// Guards against new work for a start that a later one of the same name has replaced, while a request
/// of the earlier start has not ended.
#[test]
fn replaced_start_of_a_target_takes_no_work() {
    let mut entry = balancer("a1");
    let old = target(1, "a1");
    entry.set_target(&old);
    entry.begin_request(old.key());
    let new = TargetRecord {
        started_at: 2,
        draining: true,
        ..old.clone()
    };
    entry.set_target(&new);
    assert_eq!(entry.choose("llm", &[], 0, NOW), None);
    assert!(!entry.takes_work(old.key()));
    entry.end_request(old.key());
    entry.load_report();
    assert_eq!(entry.local_requests(old.key()), 0);
}
