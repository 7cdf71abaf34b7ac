//! Replication over a link of a limited rate to another region.

use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_quorum::{
    Change,
    ChangeError,
    DiskId, //
};

use crate::{
    disk::CHUNK,
    group::{
        Group,
        RegionLink, //
    },
};

/// 30 Mbit/s in bytes per ms.
const RATE: u64 = 3_750;
/// Delay of a message on the idle link.
const DELAY: Millis = Millis(25);
/// Size of an entry.
const ENTRY_BYTES: usize = 10_000;
/// Entries in the log when the learner joins.
const OLD_ENTRIES: usize = 250;
/// Data that may be sent twice: what may be in flight when a message is lost.
const MAX_REPEATED_BYTES: u64 = 256 * 1024;

/// Group with a log of 2.5 MB, in which a voter in another region loses its disk. Returns the leader
/// and the position of that voter.
fn with_lost_disk(seed: u64, pick: fn(usize) -> usize) -> (Group, usize, usize) {
    let mut group = Group::new(3, seed);
    group.value_bytes = ENTRY_BYTES;
    let leader = group.wait_for_leader();
    for _ in 0..OLD_ENTRIES / 10 {
        group.propose(leader, 10);
        group.run(Millis(50));
    }
    group.write();
    let lost = pick(leader);
    group.lose_disk(lost);
    group.remote.insert(lost);
    group.link = Some(RegionLink::new(RATE, DELAY));
    group.write();
    let leader = group.wait_for_leader();
    (group, leader, lost)
}

fn follower(leader: usize) -> usize {
    (leader + 1) % 3
}

fn add_learner(group: &mut Group, at: usize) -> DiskId {
    let (id, name) = (group.replicas[at].id, group.replicas[at].name.clone());
    group.change_and_wait(Change::AddLearner { id, name });
    id
}

/// Writes 17 entries a second.
fn write_for(group: &mut Group, leader: usize, time: Millis) {
    let end = group.now + time;
    while group.now < end {
        if group.now.0.is_multiple_of(60) {
            group.propose(leader, 1);
        }
        group.advance();
    }
}

fn sent(group: &Group) -> u64 {
    group.link.as_ref().expect("there is a link").sent
}

fn log_bytes(group: &Group) -> u64 {
    (group.checks.committed.len() * ENTRY_BYTES) as u64
}

/// Guards against a lost voter that is replaced seconds late: a probe was repeated, with up to 256 KiB of
/// entries, at each heartbeat and at each reply, also to the lost disk, and delayed all that followed it on
/// the link.
fn replace_lost_voter(seed: u64, pick: fn(usize) -> usize) {
    let (mut group, leader, lost) = with_lost_disk(seed, pick);
    let replica = &group.replicas[lost];
    let group_before = &group.core(leader).expect("it runs").membership();
    let old = group_before.voter_named(&replica.name).expect("it voted");
    // Some time passes before the store with the new disk becomes a learner.
    write_for(&mut group, leader, Millis(1_000));
    let sent_before = sent(&group);
    let new = add_learner(&mut group, lost);
    let end = group.now + Millis(1_500);
    let replace = Change::Replace { old, new };
    let mut token = group.change(leader, replace.clone());
    while !group.committed_tokens.contains(&token) {
        assert!(
            group.now < end,
            "the lost voter is not replaced; sent {} of {} bytes",
            sent(&group) - sent_before,
            log_bytes(&group),
        );
        write_for(&mut group, leader, Millis(10));
        match group.refused.get(&token) {
            None => {}
            Some(ChangeError::NotSynced { .. }) => token = group.change(leader, replace.clone()),
            Some(error) => panic!("refused: {error}"),
        }
    }
    let (sent, log) = (sent(&group) - sent_before, log_bytes(&group));
    assert!(
        sent <= log + MAX_REPEATED_BYTES,
        "sent {sent} bytes of {log}"
    );
    group.check_states();
}

cases! { replace_lost_voter:
    lost_follower_on_a_slow_link_is_replaced(41, follower);
    lost_leader_on_a_slow_link_is_replaced(45, |leader| leader);
}

/// Guards against a lost message that makes the leader send everything after it again and again: each
/// message behind it was rejected, and each rejection started the replication anew.
#[test]
fn lost_message_on_a_slow_link_is_followed_by_one_repetition() {
    for seed in 0..40 {
        lose_message(seed);
    }
}

fn lose_message(seed: u64) {
    let mut group = Group::new(3, seed);
    group.value_bytes = ENTRY_BYTES;
    // Acknowledgements of slow syncs come between the rejections.
    group.sync_chance = 0.3;
    let leader = group.wait_for_leader();
    let remote = follower(leader);
    group.remote.insert(remote);
    group.link = Some(RegionLink::new(RATE, DELAY));
    group.write();
    group.run(Millis::from_secs(1));
    let (sent_before, log_before) = (sent(&group), log_bytes(&group));
    for step in 0..30 {
        // The messages of one step are lost, and those of the next ones are in flight when it is noticed.
        group.net.loss = if step == 10 { 1.0 } else { 0.0 };
        group.propose(leader, 2);
        group.net.loss = 0.0;
        group.advance();
    }
    group.run(Millis::from_secs(2));
    let last = group.core(leader).expect("it runs").last_index();
    assert_eq!(group.replicas[remote].applied, last);
    let (sent, log) = (sent(&group) - sent_before, log_bytes(&group) - log_before);
    assert!(
        sent <= log + MAX_REPEATED_BYTES,
        "seed {seed}: sent {sent} bytes of {log}"
    );
    group.check_states();
}

/// Guards against heartbeats that wait behind entries: with megabytes in flight, a follower on a slow link
/// counted as unresponsive while it caught up.
#[test]
fn learner_on_a_slow_link_stays_responsive_while_it_catches_up() {
    let (mut group, leader, lost) = with_lost_disk(42, follower);
    let new = add_learner(&mut group, lost);
    group.run(Millis(300));
    let end = group.now + Millis(1_500);
    while group.now < end {
        group.advance();
        let core = group.core(leader).expect("it runs");
        let contact = core.last_contact(new).expect("it responded");
        assert!(
            group.now < contact + Millis(250),
            "the last contact was at {contact}, now {}",
            group.now
        );
    }
}

/// Guards against chunks of a snapshot that double: each chunk that was offered again on a slow link was
/// acknowledged, and each acknowledgement sent one more.
#[test]
fn snapshot_on_a_slow_link_is_sent_once() {
    let mut group = Group::new(3, 44);
    group.snapshot_every = 50;
    let leader = group.wait_for_leader();
    let lost = (leader + 1) % 3;
    group.lose_disk(lost);
    for _ in 0..20 {
        group.propose(leader, 50);
        group.run(Millis(100));
    }
    group.remote.insert(lost);
    // The acknowledgement of a chunk takes longer than the election timeout.
    group.link = Some(RegionLink::new(RATE, Millis(500)));
    add_learner(&mut group, lost);
    let last = group.checks.last_acknowledged();
    group.run_until("it has everything", |group| {
        group.replicas[lost].applied >= last
    });
    let replica = &group.replicas[lost];
    let (sent, size) = (sent(&group), replica.disk.bytes.len());
    assert!(sent <= (size + CHUNK) as u64, "sent {sent} bytes of {size}");
    group.check_states();
}

/// Guards against a store that votes again only seconds after the link has carried its snapshot: with one
/// chunk in flight at a time, each took a round trip.
#[test]
fn snapshot_on_a_slow_link_takes_as_long_as_its_transmission() {
    // A transfer by round trips of single chunks would take 10 s.
    const LIMIT: Millis = Millis(1_500);
    let mut group = Group::new(3, 46);
    group.snapshot_every = 50;
    let leader = group.wait_for_leader();
    let lost = follower(leader);
    group.lose_disk(lost);
    for _ in 0..250 {
        group.propose(leader, 50);
        group.run(Millis(20));
    }
    group.write();
    group.remote.insert(lost);
    group.link = Some(RegionLink::new(RATE, DELAY));
    add_learner(&mut group, lost);
    let end = group.now + LIMIT;
    let last = group.checks.last_acknowledged();
    let size = group.replicas[leader].disk.bytes.len();
    assert!(size >= 150 * CHUNK, "the snapshot has {size} bytes");
    while group.replicas[lost].applied < last {
        assert!(group.now < end, "the snapshot of {size} bytes is not there");
        group.advance();
    }
    group.check_states();
}
