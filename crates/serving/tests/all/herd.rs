//! Where requests go when many arrive at once: the loads that entries know are old, and all of them
//! see the same ones.

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
        Balancer,
        Load,
        NeighbourReport,
        Room, //
    },
    targets::TargetKey,
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

/// How many requests of a burst go to each target, if they come to random entries and each entry tells
/// all others at once.
fn burst(entries: &mut [Balancer], requests: u64, rng: &mut StdRng) -> HashMap<TargetKey, u32> {
    let mut at = HashMap::<TargetKey, u32>::new();
    for request in 0..requests {
        let from = rng.random_range(0..entries.len());
        let choice = entries[from]
            .choose("llm", &[], rng.random(), NOW)
            .expect("a target");
        entries[from].begin(choice.key);
        *at.entry(choice.key).or_default() += 1;
        let counts = [(choice.key, entries[from].own(choice.key))];
        for (number, entry) in entries.iter_mut().enumerate() {
            if number != from {
                entry.on_neighbour(ip(from), report(request + 1, &counts), NOW);
            }
        }
    }
    at
}

/// Forty entries that have heard nothing of each other choose among twenty far targets of like load
/// at the same moment. A deterministic choice sends all of them to one.
#[test]
fn a_burst_seen_by_entries_with_the_same_old_loads_spreads() {
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

/// Eight entries of one failure domain take a burst that fills 60 of the 64 slots of its engines.
/// Because each tells the others at once, no engine gets more than it has slots.
#[test]
fn neighbours_fill_the_engines_of_their_domain_evenly() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut entries: Vec<Balancer> = (0..8).map(|_| balancer("a1")).collect();
    for entry in &mut entries {
        for number in 0..8 {
            entry.set_target(&target(number, "a1"));
        }
    }
    let at = burst(&mut entries, 60, &mut rng);
    assert_eq!(at.len(), 8);
    assert!(at.values().all(|count| *count <= 8), "{at:?}");
}

/// The leader is gone, and nobody tells what other failure domains have under way. Entries of two of
/// them take a burst that fills 120 of the 128 slots of their region, most of it in one domain.
#[test]
fn a_burst_while_nobody_leads_overfills_no_engine_of_the_region() {
    let mut rng = StdRng::seed_from_u64(13);
    let mut entries: Vec<Balancer> = ["a1", "a1", "a1", "a2", "a2"].map(balancer).into();
    for entry in &mut entries {
        entry.set_whole_region(true);
        for number in 0..16 {
            entry.set_target(&target(number, if number < 8 { "a1" } else { "a2" }));
        }
    }
    let at = burst(&mut entries, 120, &mut rng);
    assert!(at.values().all(|count| *count <= 8), "{at:?}");
}

/// Entries that know the load of their region exactly need no chance: of two engines of the next
/// failure domain they choose the emptier one.
#[test]
fn exact_loads_of_the_next_domain_are_not_left_to_chance() {
    let mut entry = balancer("a1");
    entry.set_whole_region(true);
    let (busy, idle) = (target(1, "a2"), target(2, "a2"));
    entry.set_target(&busy);
    entry.set_target(&idle);
    let counts = [(busy.key(), 4)];
    entry.on_neighbour(ip(1), report(1, &counts), NOW);
    for draw in 0..200 {
        let choice = entry.choose("llm", &[], draw, NOW).expect("a target");
        assert_eq!(choice.key, idle.key(), "draw {draw}");
    }
}

/// The own failure domain is preferred while it has room, and not beyond.
#[test]
fn a_domain_that_is_full_spills_into_the_next_one() {
    let mut entry = balancer("a1");
    let near = target(1, "a1");
    let far = target(2, "a2");
    entry.set_target(&near);
    entry.set_target(&far);
    let choice = entry.choose("llm", &[], 3, NOW).expect("a target");
    assert_eq!(choice.key, near.key());
    for _ in 0..8 {
        entry.begin(near.key());
    }
    let choice = entry.choose("llm", &[], 3, NOW).expect("a target");
    assert_eq!(choice.key, far.key());
}

/// A target of another region costs 40 ms and narrow bandwidth: it comes after a target of the region.
#[test]
fn another_region_comes_last() {
    let mut entry = balancer("a1");
    entry.set_target(&target(1, "b1"));
    entry.set_target(&target(2, "a2"));
    for draw in 0..50 {
        let choice = entry.choose("llm", &[], draw, NOW).expect("a target");
        assert_eq!(choice.key, target(2, "a2").key());
    }
}

/// Items make way, so a target full of items still takes callers, after those with a free slot.
#[test]
fn a_target_full_of_items_has_room_after_batch() {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    let load = Load {
        online: 2,
        batch: 6,
    };
    entry.set_loads(&[(record.key(), load)]);
    let choice = entry.choose("llm", &[], 1, NOW).expect("a target");
    assert_eq!(choice.room, Room::AfterBatch);
}

/// A report that is late or lost leaves no request counted for ever.
#[test]
fn a_complete_report_replaces_what_a_lost_datagram_left() {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    entry.on_neighbour(ip(1), report(1, &[(record.key(), 8)]), NOW);
    assert_matches!(entry.choose("llm", &[], 1, NOW), Some(choice) if choice.room == Room::Full);
    // An older report that arrives late changes nothing.
    entry.on_neighbour(ip(1), report(1, &[(record.key(), 3)]), NOW);
    assert_matches!(entry.choose("llm", &[], 1, NOW), Some(choice) if choice.load.online == 8);
    let complete = NeighbourReport {
        complete: true,
        ..report(2, &[])
    };
    entry.on_neighbour(ip(1), complete, NOW);
    assert_matches!(entry.choose("llm", &[], 1, NOW), Some(choice) if choice.load.online == 0);
}

/// A neighbour that was killed under load must not make its targets look full.
#[test]
fn a_silent_neighbour_is_forgotten() {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    entry.on_neighbour(ip(1), report(1, &[(record.key(), 8)]), NOW);
    entry.expire(NOW + Millis(1_000));
    assert_matches!(entry.choose("llm", &[], 1, NOW), Some(choice) if choice.load.online == 8);
    entry.expire(NOW + Millis(2_500));
    assert_matches!(entry.choose("llm", &[], 1, NOW), Some(choice) if choice.load.online == 0);
}

/// Engines that crash under load are avoided at once, and tried again later.
#[test]
fn a_target_that_failed_is_avoided_for_a_while() {
    let mut entry = balancer("a1");
    let good = target(1, "b1");
    let bad = target(2, "a1");
    entry.set_target(&good);
    entry.set_target(&bad);
    entry.failed(bad.key(), NOW);
    let choice = entry.choose("llm", &[], 1, NOW).expect("a target");
    assert_eq!(choice.key, good.key());
    let choice = entry
        .choose("llm", &[], 1, NOW + Millis(600))
        .expect("a target");
    assert_eq!(choice.key, bad.key());
}

/// Most targets fail at once: it is the network or the load, and the few others must not get it all.
#[test]
fn when_most_targets_fail_none_is_left_alone() {
    let mut entry = balancer("a1");
    for number in 0..4 {
        entry.set_target(&target(number, "a1"));
    }
    for number in 0..3 {
        entry.failed(target(number, "a1").key(), NOW);
        entry.failed(target(number, "a1").key(), NOW);
    }
    for _ in 0..6 {
        entry.begin(target(3, "a1").key());
    }
    let choice = entry.choose("llm", &[], 5, NOW).expect("a target");
    assert_ne!(choice.key, target(3, "a1").key());
}

/// When every target failed of late, the least bad one is still tried.
#[test]
fn the_last_target_is_not_given_up() {
    let mut entry = balancer("a1");
    let record = target(1, "a1");
    entry.set_target(&record);
    entry.failed(record.key(), NOW);
    assert!(entry.choose("llm", &[], 1, NOW).is_some());
}

/// A target that drains takes nothing new, whatever its load.
#[test]
fn a_draining_target_is_not_chosen() {
    let mut entry = balancer("a1");
    let mut record = target(1, "a1");
    entry.set_target(&record);
    record.draining = true;
    entry.set_target(&record);
    assert_eq!(entry.choose("llm", &[], 1, NOW), None);
}
