//! Commitment rules that random schedules rarely exercise.

use yuccaseam_base::Millis;
use yuccaseam_quorum::{
    Append,
    AppendResult,
    Body,
    Core,
    DiskId,
    Echo,
    Entry,
    Envelope,
    Event,
    HardState,
    Index,
    Payload,
    Restored,
    SyncSeq,
    Term, //
};

use crate::single::{
    group_of_three,
    voter, //
};

const NOW: Millis = Millis::from_secs(60);

/// Voter whose log has uncommitted entries of term 2.
fn with_entries(count: u64) -> Core {
    let entry = |index| Entry {
        index: Index(index),
        term: Term(2),
        payload: Payload::Empty,
    };
    let restored = Restored {
        hard_state: HardState {
            term: Term(2),
            vote: None,
        },
        entries: (1..=count).map(entry).collect(),
        ..group_of_three()
    };
    voter(DiskId(1), restored)
}

fn receive(core: &mut Core, term: u64, body: Body) {
    let envelope = Envelope {
        from: DiskId(2),
        to: DiskId(1),
        term: Term(term),
        body,
    };
    core.step(NOW, Event::Received(envelope));
}

fn matched(core: &mut Core, index: u64) {
    let result = AppendResult::Matched(Index(index));
    let echo = Echo::default();
    receive(core, 3, Body::AppendReply { result, echo });
}

#[test]
fn entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term() {
    let mut core = with_entries(1);
    core.step(NOW, Event::Tick);
    let pre_vote = Body::PreVoteReply {
        asked: Term(2),
        granted: true,
    };
    receive(&mut core, 2, pre_vote);
    core.step(NOW, Event::Synced(SyncSeq(1)));
    receive(&mut core, 3, Body::VoteReply { granted: true });
    assert!(core.is_leader());
    core.step(NOW, Event::Synced(SyncSeq(2)));

    matched(&mut core, 1);
    assert_eq!(core.commit_index(), Index(0));
    matched(&mut core, 2);
    assert_eq!(core.commit_index(), Index(2));
}

#[test]
fn follower_commits_only_entries_verified_against_the_leader() {
    let mut core = with_entries(3);
    let append = Append {
        prev_index: Index(0),
        prev_term: Term(0),
        entries: Vec::new(),
        commit: Index(3),
        echo: Echo::default(),
    };
    receive(&mut core, 3, Body::Append(append));
    assert_eq!(core.leader(), Some(DiskId(2)));
    assert_eq!(core.commit_index(), Index(0));
}
