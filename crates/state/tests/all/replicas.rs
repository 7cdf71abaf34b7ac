//! Replicas that apply the same log reach the same state, also after a restore from a snapshot.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccaseam_base::Millis;
use yuccaseam_state::{
    AbandonClaims,
    CallOutcome,
    ClaimKey,
    Command,
    CompleteItems,
    ConfigurationChange,
    Fingerprint,
    FinishKey,
    IssueOrder,
    ItemSet,
    JobId,
    KeyId,
    LeaseChunks,
    LeaseRef,
    LogIndex,
    ObserveTarget,
    Operation,
    ResponseBody,
    Setting,
    State,
    StoredResponse, //
};

use crate::common::{
    blob,
    job,
    model,
    owner,
    set, //
};

/// Creates a random operation over a few names, so that operations affect the same entries.
fn operation(rng: &mut ChaCha8Rng, revision: u64) -> Operation {
    let name = format!("n{}", rng.random_range(0..6));
    let owner = owner(&name, rng.random_range(1..3));
    let index = LogIndex(rng.random_range(1..300));
    match rng.random_range(0..11) {
        0 => {
            let change = ConfigurationChange::SetDefault {
                setting: Setting::Balance,
                value: rng.random_range(0..=100),
            };
            let request = format!("r{}", rng.random_range(0..200));
            set(&request, revision, vec![change]).into()
        }
        1 => job("t", &name, &[3, 4]).into(),
        2 | 3 => {
            let request = LeaseChunks {
                owner,
                serves: vec![model()],
                max: 2,
            };
            request.into()
        }
        4 | 5 => {
            let lease = LeaseRef {
                job: JobId::of_key("t", &name),
                chunk: rng.random_range(0..2),
                epoch: index,
            };
            let report = CompleteItems {
                lease,
                result: Some(blob(&name)),
                done: ItemSet::full(rng.random_range(0..4)),
                failed: Vec::new(),
            };
            report.into()
        }
        6 => {
            let claim = ClaimKey {
                key: KeyId::of("t", "s", &name),
                fingerprint: Fingerprint::of(b"body"),
                owner,
                request: rng.random_range(0..3),
            };
            claim.into()
        }
        7 => {
            let response = StoredResponse {
                status: 200,
                content_type: String::new(),
                body: ResponseBody::Blob(blob(&name)),
            };
            let finish = FinishKey {
                key: KeyId::of("t", "s", &name),
                claim: index,
                end: CallOutcome::Response(response),
            };
            finish.into()
        }
        8 => AbandonClaims { owner }.into(),
        9 => {
            let target = name.as_str().into();
            match rng.random_bool(0.5) {
                true => ObserveTarget {
                    target,
                    model: Some("m".to_owned()),
                }
                .into(),
                false => IssueOrder {
                    target,
                    model: "m".to_owned(),
                    store: "s".to_owned(),
                }
                .into(),
            }
        }
        _ => Operation::ExpireOld,
    }
}

#[test]
fn replicas_agree_with_one_restored_from_a_snapshot_at_any_point() {
    let mut rng = ChaCha8Rng::seed_from_u64(23);
    let mut now = Millis::from_secs(1_000_000);
    let mut leader = State::new();
    let mut follower = State::new();
    let mut rejoined = State::new();
    for index in 1..=3_000 {
        now += Millis(rng.random_range(0..60_000));
        let revision = leader.configuration().revision
            - u64::from(rng.random_bool(0.2)).min(leader.configuration().revision);
        let command = Command::new(now, operation(&mut rng, revision));
        let bytes = command.encode();
        let received = Command::decode(&bytes).expect("an encoded command decodes");
        assert_eq!(received, command);
        let outcome = leader.apply(LogIndex(index), &command);
        assert_eq!(follower.apply(LogIndex(index), &received), outcome);
        assert_eq!(rejoined.apply(LogIndex(index), &received), outcome);
        let snapshot = rejoined.snapshot();
        rejoined = State::restore(&snapshot).expect("a snapshot restores");
        assert_eq!(rejoined, leader);
    }
    assert_eq!(follower.content_hash(), leader.content_hash());
    assert_eq!(rejoined.content_hash(), leader.content_hash());
}

#[test]
fn log_index_is_applied_once() {
    let mut state = State::new();
    let create = Command::new(Millis(1), job("t", "k", &[1]));
    state.apply(LogIndex(5), &create);
    let before = state.clone();
    for index in [0, 4, 5] {
        state.apply(
            LogIndex(index),
            &Command::new(Millis(9), job("t", "other", &[1])),
        );
        assert_eq!(state, before);
    }
}
