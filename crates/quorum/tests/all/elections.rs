//! Elections: which replicas can become leader, and which can vote.

use assert_matches::assert_matches;
use yuccaseam_base::Millis;
use yuccaseam_quorum::{
    Action,
    Body,
    Core,
    DiskId,
    Envelope,
    Event,
    Index,
    LastEntry,
    Restored,
    SyncSeq,
    Term,
    Timing, //
};

use crate::{
    group::Group,
    single::{
        group_of_three,
        voter, //
    }, //
};

const FAR_LATER: Millis = Millis::from_secs(60);

/// Request of a candidate with a very long log, so that only the rules on identity and time can
/// cause a refusal.
fn request(to: DiskId, body: fn(LastEntry) -> Body) -> Event {
    let last = LastEntry {
        term: Term(9),
        index: Index(1_000),
    };
    Event::Received(Envelope {
        from: DiskId(2),
        to,
        term: Term(9),
        body: body(last),
    })
}

fn vote(last: LastEntry) -> Body {
    Body::Vote {
        last,
        transfer: false,
    }
}

fn pre_vote(last: LastEntry) -> Body {
    Body::PreVote { last }
}

fn replies(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Send(_)))
        .count()
}

#[test]
fn vote_is_sent_only_after_its_sync() {
    let mut core = voter(DiskId(1), group_of_three());
    let actions = core.step(FAR_LATER, request(DiskId(1), vote));
    assert_matches!(&actions[..], [Action::Persist(persist)] if persist.seq == SyncSeq(1));
    let actions = core.step(FAR_LATER, Event::Synced(SyncSeq(1)));
    assert_matches!(
        &actions[..],
        [Action::Send(Envelope {
            body: Body::VoteReply { granted: true },
            ..
        })]
    );
}

#[test]
fn empty_disk_does_not_reply_to_vote_requests() {
    let mut core = voter(DiskId(4), Restored::default());
    for body in [vote, pre_vote] {
        assert_eq!(core.step(FAR_LATER, request(DiskId(4), body)), []);
    }
    assert_eq!(core.step(FAR_LATER + FAR_LATER, Event::Tick), []);
}

#[test]
fn message_for_a_lost_disk_is_dropped() {
    let mut core = voter(DiskId(4), group_of_three());
    assert_eq!(core.step(FAR_LATER, request(DiskId(1), vote)), []);
}

#[test]
fn restarted_voter_refuses_votes_while_it_may_support_a_lease() {
    let mut core = voter(DiskId(1), group_of_three());
    let soon = Timing::default().election_timeout - Millis(1);
    assert_eq!(core.step(soon, request(DiskId(1), vote)), []);
    let later = Timing::default().election_timeout;
    core.step(later, request(DiskId(1), vote));
    let actions = core.step(later, Event::Synced(SyncSeq(1)));
    assert_eq!(replies(&actions), 1);
}

#[test]
fn empty_disk_and_one_voter_elect_no_leader() {
    let mut group = Group::new(3, 1);
    group.write();
    let leader = group.wait_for_leader();
    let follower = (leader + 1) % 3;
    group.crash(leader);
    group.lose_disk(follower);
    group.run(Millis::from_secs(20));
    assert_eq!(group.leader(), None);
    group.restart(leader);
    group.write();
}

#[test]
fn reconnected_follower_does_not_depose_the_leader() {
    let mut group = Group::new(3, 2);
    group.write();
    let leader = group.wait_for_leader();
    let term = group.core(leader).map(Core::term);
    group.isolate((leader + 1) % 3);
    group.run(Millis::from_secs(30));
    group.cuts.clear();
    group.run(Millis::from_secs(5));
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.core(leader).map(Core::term), term);
}

#[test]
fn sole_voter_becomes_leader_at_once_and_after_each_restart() {
    let mut group = Group::new(1, 3);
    for _ in 0..3 {
        group.write();
        group.crash(0);
        group.restart(0);
    }
    group.write();
    group.check_states();
}

#[test]
fn leadership_transfer_completes_within_the_election_timeout() {
    let mut group = Group::new(3, 4);
    group.write();
    let old = group.wait_for_leader();
    let requested_at = group.now;
    group.step(old, Event::TransferLeadership);
    group.run_until("another leader", |group| {
        group.leader().is_some_and(|at| at != old)
    });
    assert!(group.now < requested_at + Timing::default().election_timeout);
    group.write();
}

/// Group in which one follower is cut off from the leader only; the other follower is connected to
/// both.
fn cut_leader_from_one_follower() -> (Group, usize, usize) {
    let mut group = Group::new(3, 5);
    group.write();
    let leader = group.wait_for_leader();
    group.run(Millis(500));
    group.cut_both(leader, (leader + 1) % 3);
    (group, leader, (leader + 2) % 3)
}

#[test]
fn follower_connected_to_the_leader_grants_no_vote() {
    let (mut group, leader, _) = cut_leader_from_one_follower();
    let term = group.core(leader).map(Core::term);
    group.run(Millis::from_secs(30));
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.core(leader).map(Core::term), term);
}

#[test]
fn restarts_of_the_connecting_voter_do_not_depose_the_leader() {
    let (mut group, leader, between) = cut_leader_from_one_follower();
    let term = group.core(leader).map(Core::term);
    for _ in 0..50 {
        group.crash(between);
        group.restart(between);
        group.run(Timing::default().election_timeout - Timing::default().heartbeat_interval);
    }
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.core(leader).map(Core::term), term);
}

/// Guards against slow recovery from a power loss: no leader is left, and callers wait for the
/// first election.
#[test]
fn voters_restarted_together_elect_a_leader_as_soon_as_they_can_vote() {
    let election = Timing::default().election_timeout;
    for seed in 0..20 {
        let mut group = Group::new(3, seed);
        group.write();
        for at in 0..3 {
            group.crash(at);
        }
        for at in 0..3 {
            group.restart(at);
        }
        let restarted_at = group.now;
        group.run_until("a leader", |group| group.leader().is_some());
        let took = group.now - restarted_at;
        assert!(
            took < Millis(election.0 * 3 / 2),
            "seed {seed}: {} ms",
            took.0
        );
    }
}

/// Guards against a second election after a power loss. Two voters in different regions restart at the
/// same moment, the third lost its disk: both must not stand at the same time.
#[test]
fn two_voters_restarted_together_do_not_split_the_votes() {
    let election = Timing::default().election_timeout;
    for seed in 0..60 {
        let mut group = Group::new(3, seed);
        group.net.min_delay_ms = 25;
        group.write();
        for at in 0..3 {
            group.crash(at);
        }
        let lost = (seed % 3) as usize;
        // Messages that were under way arrive while no replica runs.
        group.run(Millis(500));
        group.lose_disk(lost);
        for at in (0..3).filter(|at| *at != lost) {
            group.restart(at);
        }
        let restarted_at = group.now;
        group.run_until("a leader", |group| group.leader().is_some());
        let took = group.now - restarted_at;
        assert!(
            took < Millis(election.0 * 3 / 2),
            "seed {seed}: {} ms",
            took.0
        );
    }
}
