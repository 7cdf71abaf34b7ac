//! Division of a process's memory and connections among callers that it does not control.

use std::sync::Arc;

use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_platform::ProcessLimits;
use yuccaseam_serving::intake::{
    ConnectionTable,
    Decision,
    IntakeLimits,
    MAX_PAUSE,
    Pool,
    PoolLimits,
    RoomId,
    SMALL_BYTES,
    SlowReader, //
    Submissions,
};

const START: Millis = Millis(10_000);
const CAPACITY: u64 = 16 << 20;
/// Largest body.
const LARGE: u64 = 1 << 20;

fn pool() -> Pool {
    Pool::new(PoolLimits::new(CAPACITY))
}

/// Bodies that ask for this much, and how many of them hold it.
fn ask_many(pool: &mut Pool, bodies: usize, bytes: u64) -> (Vec<RoomId>, usize) {
    let ids: Vec<_> = (0..bodies).map(|_| pool.open(START)).collect();
    for id in &ids {
        pool.ask(*id, bytes, START);
    }
    pool.advance(START);
    let granted = ids
        .iter()
        .filter(|id| pool.ask(**id, bytes, START) == Decision::Granted);
    let granted = granted.count();
    (ids, granted)
}

/// Many large bodies at once: as many arrive as fit beside small ones, and the rest wait in turn.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut pool = pool();
    let (ids, granted) = ask_many(&mut pool, 200, LARGE);
    assert_eq!(granted, 12);
    assert_eq!(pool.held(), 12 * LARGE);
    let (_, small) = ask_many(&mut pool, 50, SMALL_BYTES);
    assert_eq!(small, 50);
    pool.complete(ids[0], LARGE);
    pool.leave(ids[0]);
    assert_eq!(pool.advance(START), [ids[12]]);
    assert_eq!(pool.ask(ids[12], LARGE, START), Decision::Granted);
    assert_eq!(pool.ask(ids[13], LARGE, START), Decision::Waits);
}

/// Whoever has room for a large body has it for all of the body.
#[test]
fn a_large_body_that_has_room_can_finish() {
    let mut pool = pool();
    let (ids, granted) = ask_many(&mut pool, 200, LARGE);
    for id in &ids[..granted] {
        assert_eq!(pool.ask(*id, LARGE, START), Decision::Granted);
    }
}

/// A legal body that is larger than the whole pool is still served: alone.
#[test]
fn a_body_larger_than_the_pool_has_it_alone() {
    let mut pool = pool();
    let (ids, granted) = ask_many(&mut pool, 3, 2 * CAPACITY);
    assert_eq!(granted, 1);
    pool.leave(ids[0]);
    assert_eq!(pool.advance(START), [ids[1]]);
}

/// How a body comes, and whether it is dropped once others wait for its room.
fn assert_dropped(bytes_per_100_ms: u64, dropped: bool) {
    let mut pool = pool();
    let (ids, granted) = ask_many(&mut pool, 13, LARGE);
    assert_eq!(granted, 12);
    let mut now = START;
    let mut told = Vec::new();
    while now < START + MAX_PAUSE * 4 {
        now += Millis(100);
        for id in &ids[..12] {
            pool.record_progress(*id, bytes_per_100_ms);
        }
        told.extend(pool.advance(now));
    }
    let decision = pool.ask(ids[0], LARGE, now);
    assert_eq!(decision == Decision::Evicted, dropped, "{told:?}");
}

cases! { assert_dropped:
    a_body_that_stops(0, true);
    a_body_that_trickles(100, true);
    a_body_on_a_slow_link(30_000, false);
}

/// Slow bodies harm nobody while there is room.
#[test]
fn a_body_that_stops_is_kept_while_nobody_waits() {
    let mut pool = pool();
    let (ids, granted) = ask_many(&mut pool, 12, LARGE);
    assert_eq!(granted, 12);
    let late = START + MAX_PAUSE * 100;
    assert_eq!(pool.advance(late), []);
    assert_eq!(pool.ask(ids[0], LARGE, late), Decision::Granted);
}

/// Answers come as slowly as targets make them, and have run.
#[test]
fn an_answer_that_comes_slowly_is_never_dropped() {
    let mut pool = Pool::new(PoolLimits::new(CAPACITY).patient());
    let (_, granted) = ask_many(&mut pool, 13, LARGE);
    assert_eq!(granted, 12);
    let late = START + MAX_PAUSE * 100;
    assert_eq!(pool.advance(late), []);
    let small = ask_many(&mut pool, 100, SMALL_BYTES);
    assert_eq!(small.1, 64);
    assert_eq!(pool.advance(late), []);
}

/// Bodies that are complete belong to requests that are being served.
#[test]
fn a_complete_body_is_never_dropped() {
    let mut pool = pool();
    let (ids, _) = ask_many(&mut pool, 13, LARGE);
    for id in &ids[..12] {
        pool.complete(*id, LARGE);
    }
    let late = START + MAX_PAUSE * 100;
    assert_eq!(pool.advance(late), []);
    assert_eq!(pool.ask(ids[12], LARGE, late), Decision::Waits);
}

/// Many small bodies that stop short: an ordinary one gets the room of the slowest.
#[test]
fn small_bodies_that_stop_give_way() {
    let mut pool = pool();
    let fit = (CAPACITY / SMALL_BYTES) as usize;
    let (_, granted) = ask_many(&mut pool, fit, SMALL_BYTES);
    assert_eq!(granted, fit);
    let ordinary = pool.open(START);
    assert_eq!(pool.ask(ordinary, 4_096, START), Decision::Waits);
    assert_eq!(pool.advance(START), [], "nobody is slow yet");
    let late = START + MAX_PAUSE;
    assert_eq!(pool.ask(ordinary, 4_096, late), Decision::Waits);
    let told = pool.advance(late);
    assert_eq!(told.len(), 1);
    pool.leave(told[0]);
    assert_eq!(pool.ask(ordinary, 4_096, late), Decision::Granted);
}

/// Chunked bodies that have become large wait with what came of them: they give way to small ones.
#[test]
fn bodies_that_wait_give_way_to_small_ones() {
    let mut pool = pool();
    let (ids, _) = ask_many(&mut pool, (CAPACITY / SMALL_BYTES) as usize, SMALL_BYTES);
    for id in &ids {
        pool.ask(*id, LARGE, START);
    }
    let ordinary = pool.open(START);
    assert_eq!(pool.ask(ordinary, 4_096, START), Decision::Waits);
    assert_eq!(pool.advance(START).len(), 1);
}

/// What is held never exceeds the pool, however bodies come and go.
#[test]
fn a_pool_is_never_exceeded() {
    let mut pool = pool();
    let mut ids = Vec::new();
    let mut draw = 1_u64;
    for step in 0..20_000_u64 {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let now = START + Millis(step);
        match (draw >> 33) % 5 {
            0 | 1 => ids.push(pool.open(now)),
            2 if !ids.is_empty() => {
                let id = ids.swap_remove((draw >> 40) as usize % ids.len());
                pool.leave(id);
            }
            _ if !ids.is_empty() => {
                let id = ids[(draw >> 40) as usize % ids.len()];
                let bytes = (draw >> 20) % (2 * LARGE);
                if pool.ask(id, bytes, now) == Decision::Evicted {
                    pool.leave(id);
                    ids.retain(|kept| *kept != id);
                }
            }
            _ => {}
        }
        pool.advance(now);
        assert!(pool.held() <= CAPACITY, "{} at step {step}", pool.held());
    }
    for id in ids {
        pool.leave(id);
    }
    assert_eq!(pool.held(), 0);
}

/// More connections than descriptors: those that never had a request go first, busy ones never.
#[test]
fn idle_connections_give_way_to_new_ones() {
    let mut table = ConnectionTable::new(3);
    let ids: Vec<_> = (0..3)
        .filter_map(|at| table.open(START + Millis(at)))
        .collect();
    table.record_request(ids[0]);
    table.record_request(ids[1]);
    table.record_idle(ids[1], START + Millis(10));
    assert_eq!(table.open(START), None);
    assert_eq!(table.select_for_close(), Some(ids[2]));
    assert_eq!(table.select_for_close(), None, "one is being closed");
    assert!(table.confirm_close(ids[2]));
    table.close(ids[2]);
    assert_eq!(table.select_for_close(), Some(ids[1]));
    table.record_request(ids[1]);
    assert!(!table.confirm_close(ids[1]), "it has a request now");
    assert_eq!(table.select_for_close(), None, "all have requests");
    assert!(table.open(START).is_some());
}

/// Ordinary and burst load of an entry of the users' platform stay far below its limits.
#[test]
fn ordinary_load_meets_no_limit() {
    let limits = IntakeLimits::of(ProcessLimits {
        memory_bytes: Some(160_000_000),
        descriptors: Some(4_100),
    });
    // Forty requests in progress, and ten times that in a burst, each with a body and an answer that are
    // small, on connections of their own and with as many idle ones.
    let burst = 400;
    assert!(limits.connections >= 2 * burst, "{limits:?}");
    let small = limits.bodies.capacity / SMALL_BYTES;
    assert!(small >= burst as u64, "{limits:?}");
    assert!(limits.answers.capacity / SMALL_BYTES >= 300, "{limits:?}");
    // Seven bodies of the largest legal size arrive at the same time.
    assert!(limits.bodies.large() >= 7 * (4 << 20), "{limits:?}");
}

/// Without limits in the settings, none is met by what one machine sends.
#[test]
fn defaults_are_generous() {
    let limits = IntakeLimits::of(ProcessLimits {
        memory_bytes: None,
        descriptors: None,
    });
    assert!(limits.connections >= 10_000, "{limits:?}");
    assert!(limits.bodies.large() >= 300 << 20, "{limits:?}");
}

/// Callers that stop reading for seconds: their targets cut the streams off, and are not to blame.
#[test]
fn a_stream_that_ends_after_a_pause_was_cut_off() {
    let mut reader = SlowReader::default();
    reader.record_passed(START);
    assert!(!reader.record_read(START + Millis(20)));
    assert!(!reader.may_have_been_cut_off(START + Millis(20)));
    reader.record_passed(START + Millis(30));
    assert!(reader.record_read(START + Millis(3_000)));
    assert!(reader.may_have_been_cut_off(START + Millis(3_100)));
    assert!(!reader.may_have_been_cut_off(START + Millis(6_000)));
}

/// Jobs from 52 entries at once: the leader replicates no more than fit, and always one.
#[test]
fn jobs_in_progress_are_bounded() {
    let submissions = Arc::new(Submissions::new(20 * LARGE));
    let entries: Vec<_> = (0..52).map(|_| submissions.begin(LARGE)).collect();
    assert_eq!(entries.iter().flatten().count(), 20);
    drop(entries);
    assert!(submissions.begin(30 * LARGE).is_some());
    assert!(submissions.begin(LARGE).is_some());
}
