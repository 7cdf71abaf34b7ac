//! Tokens that one entry, or entries without a leader, may spend.

use std::net::{
    IpAddr,
    Ipv4Addr, //
};

use yuccaseam_base::{
    Millis,
    TeamName,
    cases, //
};
use yuccaseam_platform::{
    QuotaBounds,
    RequestQuota, //
};
use yuccaseam_serving::quota::{
    Connection,
    Denial,
    Ledger,
    Limit,
    Purse,
    QuotaAnswer,
    QuotaAsk,
    QuotaGrant,
    QuotaWant,
    Source,
    Take,
    Ticket, //
};

use crate::quota::{
    BOUNDS,
    LARGEST,
    SMALLEST,
    quota_of, //
};

/// An entry freezes for this time, before or after the answer to its question comes.
fn tokens_end_in_freeze(before_answer: Millis, after_answer: Millis) {
    let (limit, team) = (
        Limit::new(quota_of(LARGEST), BOUNDS),
        TeamName("a".to_owned()),
    );
    let mut purse = Purse::new(1);
    purse.set_connection(Connection::Open, Millis::ZERO);
    let mut now = Millis(10_000);
    let mut ticket = Ticket::default();
    assert!(matches!(
        purse.take(&team, &limit, &mut ticket, now),
        Take::Wait(_)
    ));
    let ask = purse.next_ask(now).expect("a request waits");
    let answer = QuotaAnswer {
        number: ask.number,
        fleet: 1_000,
        grants: vec![QuotaGrant {
            waiting: 1,
            expected: 2,
            room_in_ms: None,
        }],
    };
    now += before_answer;
    purse.apply(&answer, now);
    now += after_answer;
    let take = purse.take(&team, &limit, &mut Ticket::default(), now);
    assert!(matches!(take, Take::Wait(_)), "{take:?}");
}

cases! { tokens_end_in_freeze:
    tokens_that_are_held_end_in_freeze(Millis(10), Millis(1_000));
    answer_that_waited_for_frozen_entry_is_void(Millis(1_000), Millis::ZERO);
}

#[test]
fn tokens_ahead_and_at_once_stay_within_the_bucket() {
    let (limit, team) = (
        Limit::new(quota_of(LARGEST), BOUNDS),
        TeamName("a".to_owned()),
    );
    let mut leader = Ledger::new(Millis::ZERO);
    leader.set_limits(1, [(team.clone(), limit)]);
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let mut ask = |waiting, expected, now| {
        let wants = vec![QuotaWant {
            team: team.clone(),
            waiting,
            expected,
        }];
        let ask = QuotaAsk {
            number: 1,
            fleet: 1,
            wants,
        };
        let answer = leader.answer(ip, &ask, Millis(now));
        answer.grants[0].waiting + answer.grants[0].expected
    };
    let ahead = ask(0, 1_000, 10_000);
    assert!(ahead > 20, "{ahead} of a full bucket");
    let at_once = ask(1_000, 0, 10_900);
    // The burst, an eighth of the overage and a quarter of the slack.
    let bucket = 192 + (192 * 5 + 192) / 10 / 8 + 20 / 4;
    assert!(ahead + at_once <= bucket, "{ahead} and {at_once}");
}

/// A leader that is silent may still count the entry as present; one that has closed the connection does not.
fn share_is_spent_after(lost: Connection, delay: Millis) {
    let team = TeamName("a".to_owned());
    let mut leader = Ledger::new(Millis::ZERO);
    leader.set_limits(1, [(team, Limit::new(quota_of(LARGEST), BOUNDS))]);
    let mut purse = Purse::new(1);
    let now = Millis(10_000);
    purse.set_connection(Connection::Open, now);
    let ask = purse.next_ask(now).expect("the first sign is due");
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    purse.apply(&leader.answer(ip, &ask, now), now);
    purse.set_connection(lost, now);
    assert!(delay == Millis::ZERO || !purse.is_absent(now + delay - Millis(1)));
    assert!(purse.is_absent(now + delay));
    assert!(!purse.is_absent(now + Millis(50_000)));
}

cases! { share_is_spent_after:
    share_is_spent_once_a_silent_leader_leaves_it(Connection::Silent, Millis(1_500));
    share_is_spent_at_once_if_the_connection_has_ended(Connection::Ended, Millis::ZERO);
}

/// All entries lose the leader at once, and each gets requests of the smallest team.
#[test]
fn entries_without_answers_together_spend_their_part_of_the_overage() {
    let (limit, team) = (
        Limit::new(quota_of(SMALLEST), BOUNDS),
        TeamName("a".to_owned()),
    );
    let now = Millis(10_000);
    let mut spent = 0;
    for entry in 0..320 {
        let mut purse = Purse::new(entry);
        purse.set_connection(Connection::Open, now);
        let ask = purse.next_ask(now).expect("the first sign is due");
        let answer = QuotaAnswer {
            number: ask.number,
            fleet: 320,
            grants: Vec::new(),
        };
        purse.apply(&answer, now);
        purse.set_connection(Connection::Silent, now);
        for _ in 0..3 {
            let take = purse.take(&team, &limit, &mut Ticket::default(), now);
            spent += usize::from(matches!(take, Take::Granted(_)));
        }
    }
    // An eighth of the overage is 2.6 requests.
    assert!((1..=9).contains(&spent), "{spent}");
}

/// Entries lose the leader after 5 s in which each has sent a request of the team every 800 ms. Returns the
/// requests that go on in the second after. `has_room` is whether the leader has not refused any.
fn requests_without_leader(has_room: bool) -> usize {
    let (limit, team) = (
        Limit::new(quota_of(LARGEST), BOUNDS),
        TeamName("a".to_owned()),
    );
    let mut leader = Ledger::new(Millis::ZERO);
    leader.set_limits(1, [(team.clone(), limit)]);
    let mut purses: Vec<_> = (0..50).map(Purse::new).collect();
    let mut leased = 0;
    let mut continued = 0;
    for step in 0..600 {
        let now = Millis(10_000 + step * 10);
        let is_heard = step < 500;
        for (entry, purse) in (0..).zip(&mut purses) {
            if step == 0 {
                purse.set_connection(Connection::Open, now);
            }
            let wants = step % 80 == entry;
            let take = wants.then(|| purse.take(&team, &limit, &mut Ticket::new(), now));
            continued += usize::from(matches!(take, Some(Take::Granted(Source::Continued))));
            leased += usize::from(matches!(take, Some(Take::Granted(Source::Leased))));
            let Some(ask) = purse.next_ask(now) else {
                continue;
            };
            if !is_heard {
                continue;
            }
            let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, entry as u8));
            let mut answer = leader.answer(ip, &ask, now);
            for grant in &mut answer.grants {
                grant.expected = 1;
                grant.room_in_ms = (!has_room).then_some(1);
            }
            purse.apply(&answer, now);
        }
    }
    assert!(leased > 150, "{leased} with the leader");
    continued
}

/// Without a leader for a second, a team within its quota goes on; one that has used it up does not.
#[test]
fn team_within_its_quota_goes_on_without_a_leader() {
    // 62.5 requests a second before, and up to half more.
    let continued = requests_without_leader(true);
    assert!((20..=93).contains(&continued), "{continued}");
    assert_eq!(requests_without_leader(false), 0);
}

#[test]
fn refused_caller_is_told_when_there_is_room() {
    let quota = RequestQuota {
        requests_per_1000s: 500,
        burst: 1,
    };
    let bounds = QuotaBounds {
        slack_requests: 0,
        ..BOUNDS
    };
    let (limit, team) = (Limit::new(quota, bounds), TeamName("slow".to_owned()));
    let mut leader = Ledger::new(Millis::ZERO);
    leader.set_limits(1, [(team.clone(), limit)]);
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let mut purse = Purse::new(1);
    purse.set_connection(Connection::Open, Millis::ZERO);
    let mut ask = |purse: &mut Purse, now| {
        let mut ticket = Ticket::default();
        assert!(matches!(
            purse.take(&team, &limit, &mut ticket, now),
            Take::Wait(_)
        ));
        let ask = purse.next_ask(now).expect("a request waits");
        purse.apply(&leader.answer(ip, &ask, now), now);
        purse.take(&team, &limit, &mut ticket, now)
    };
    assert!(matches!(ask(&mut purse, Millis(10_000)), Take::Granted(_)));
    let Take::Denied(Denial::OverQuota, room_in) = ask(&mut purse, Millis(10_300)) else {
        panic!("the burst is used up");
    };
    let room_at = Millis(10_300) + room_in;
    assert!((11_500..=12_300).contains(&room_at.0), "{room_at}");
    assert!(matches!(ask(&mut purse, room_at), Take::Granted(_)));
}
