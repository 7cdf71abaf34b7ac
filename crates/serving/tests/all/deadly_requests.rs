//! Whole requests that crash targets are told from bystanders and from the parts of their prompts.

use http::Request;
use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_platform::PromptPart;
use yuccaseam_serving::{
    quarantine::{
        Admission,
        CrashReport,
        Feature,
        FeatureGuard,
        FeatureList,
        QuarantineManager,
        QuarantinedFeature, //
    },
    targets::TargetKey,
};

const fn part(id: u128) -> Feature {
    Feature::prompt_part(PromptPart(id))
}

const FIRST: Feature = Feature::prompt_part(PromptPart(0xf1));
const SESSION: Feature = Feature::prompt_part(PromptPart(0x51));
/// Time from a request to the crash that it causes.
const RUN: Millis = Millis(40);
/// Time between two crashes.
const GAP: Millis = Millis(300);

/// A whole request, which differs from others by its body.
fn whole(body: &str) -> Feature {
    request("POST", "/orders/1?a=b", "7", "f1:100,9:20", body)
}

fn request(method: &str, path: &str, id: &str, prompt: &str, body: &str) -> Feature {
    let req = Request::builder().method(method).uri(path);
    let req = req.header("host", "h.example").header("request-id", id);
    let req = req.header("prompt-prefix", prompt).body(());
    let (head, ()) = req.expect("a request").into_parts();
    Feature::whole_request(&head, body.as_bytes())
}

/// The leader's manager, and crashes of one target after the other.
struct Leader {
    manager: QuarantineManager,
    now: Millis,
    target: u64,
}

impl Leader {
    fn new() -> Self {
        Self {
            manager: QuarantineManager::default(),
            now: Millis(100_000),
            target: 0,
        }
    }

    /// One more target crashes, some time after the last one, and cuts off these requests.
    fn crash_after(&mut self, gap: Millis, requests: &[&[Feature]]) -> Vec<Feature> {
        self.now += gap;
        self.target += 1;
        let reports = requests.iter().map(|features| CrashReport {
            target: TargetKey(self.target),
            features: features.to_vec(),
            ran_for: RUN,
            age: Millis::ZERO,
        });
        let reports: Vec<_> = reports.collect();
        let culprits = reports
            .into_iter()
            .flat_map(|report| self.manager.record_crash(report, self.now));
        culprits.collect()
    }

    fn crash(&mut self, requests: &[&[Feature]]) -> Vec<Feature> {
        self.crash_after(GAP, requests)
    }

    fn answer(&mut self, features: &[Feature]) {
        self.now += Millis(10);
        self.manager.prove(features, self.now);
    }

    fn quarantined(&self) -> Vec<Feature> {
        let list = self.manager.list(self.now);
        list.quarantined.iter().map(|entry| entry.feature).collect()
    }
}

/// Guards against a request without a prompt that crashes one target after the other.
#[test]
fn request_of_three_crashes_in_a_row_is_quarantined() {
    let mut leader = Leader::new();
    let deadly = whole("deadly");
    assert!(leader.crash(&[&[deadly]]).is_empty());
    assert!(leader.crash(&[&[deadly]]).is_empty());
    assert_eq!(leader.crash(&[&[deadly]]), [deadly]);
    assert_eq!(leader.quarantined(), [deadly]);
}

/// Guards against repeats that are missed because the entry sends the request to the next target as soon as
/// its connection to the first one breaks.
#[test]
fn crashes_by_immediate_retries_count_separately() {
    let mut leader = Leader::new();
    let deadly = whole("deadly");
    for _ in 0..3 {
        leader.crash_after(RUN, &[&[deadly]]);
    }
    assert_eq!(leader.quarantined(), [deadly]);
}

/// Guards against a quarantine of what many callers send, as many targets lose power at the same moment.
#[test]
fn targets_that_crash_at_the_same_moment_count_once() {
    let mut leader = Leader::new();
    let poll = whole("");
    for target in 1..=9 {
        let report = CrashReport {
            target: TargetKey(target),
            features: vec![poll],
            ran_for: Millis(200),
            age: Millis::ZERO,
        };
        leader.now += Millis(5);
        assert!(leader.manager.record_crash(report, leader.now).is_empty());
    }
}

/// Guards against a bystander of the same crashes that is blamed in place of the culprit.
#[test]
fn culprit_is_quarantined_beside_a_bystander_of_all_its_crashes() {
    let mut leader = Leader::new();
    let (deadly, bystander) = (whole("deadly"), whole("bystander"));
    for _ in 0..3 {
        leader.crash(&[&[bystander], &[deadly]]);
    }
    assert!(leader.quarantined().contains(&deadly));
}

/// Guards against sound requests that are refused because a request like them crashes targets.
#[test]
fn bystanders_of_a_quarantined_request_are_not_suspected() {
    let mut leader = Leader::new();
    let deadly = whole("deadly");
    for _ in 0..3 {
        leader.crash(&[&[deadly]]);
    }
    for _ in 0..5 {
        leader.crash(&[&[deadly], &[whole("bystander")]]);
    }
    assert_eq!(leader.quarantined(), [deadly]);
    assert!(leader.manager.list(leader.now).suspected.is_empty());
}

/// Guards against a sound request that is refused for minutes, because its trial ran beside that of the request
/// which crashes targets: both are quarantined by the same crashes, so both trials are due at the same time.
#[test]
fn trials_of_two_requests_do_not_run_at_the_same_time() {
    let mut leader = Leader::new();
    let (deadly, bystander) = (whole("deadly"), whole("bystander"));
    for _ in 0..3 {
        leader.crash(&[&[bystander], &[deadly]]);
    }
    assert_eq!(leader.quarantined().len(), 2);
    leader.now += Millis::from_secs(11);
    assert_eq!(leader.manager.grant_trial(deadly, leader.now), Some(1));
    leader.now += RUN;
    assert_eq!(leader.manager.grant_trial(bystander, leader.now), None);
    leader.now += Millis::from_secs(1);
    assert_eq!(leader.manager.grant_trial(bystander, leader.now), Some(1));
}

/// Guards against a prompt part that is refused to everybody because of one request that has it.
#[test]
fn parts_of_a_deadly_request_stay_in_use() {
    let mut leader = Leader::new();
    let deadly = [FIRST, SESSION, whole("deadly")];
    let mut culprits = Vec::new();
    for _ in 0..6 {
        culprits.extend(leader.crash(&[&deadly]));
    }
    assert_eq!(culprits, [whole("deadly")]);
    assert_eq!(leader.quarantined(), [whole("deadly")]);
}

/// Guards against a prompt part that two deadly requests have in common and that is blamed for both.
#[test]
fn common_part_of_two_deadly_requests_stays_in_use() {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.crash(&[&[FIRST, whole("one")]]);
        leader.crash(&[&[FIRST, whole("two")]]);
    }
    let mut expected = [whole("one"), whole("two")];
    expected.sort_unstable();
    assert_eq!(leader.quarantined(), expected);
}

/// Guards against a prompt part that crashes targets and stays hidden, because each request with it is sent
/// again until the request is quarantined.
#[test]
fn deadly_part_is_blamed_though_each_request_is_sent_three_times() {
    let mut leader = Leader::new();
    let mut crashes = 0;
    'sent: for number in 0..6 {
        for _ in 0..3 {
            if leader.quarantined().contains(&SESSION) {
                break 'sent;
            }
            leader.crash(&[&[FIRST, SESSION, whole(&format!("own {number}"))]]);
            leader.answer(&[FIRST]);
            crashes += 1;
        }
    }
    assert!(leader.quarantined().contains(&SESSION));
    assert!(crashes <= 7, "{crashes} crashes");
    assert!(!leader.quarantined().contains(&FIRST));
}

/// Guards against a sound part that is blamed in place of a later one, because a whole request with it was
/// quarantined before.
#[test]
fn later_part_is_blamed_after_a_request_with_the_same_first_part_was_quarantined() {
    let mut leader = Leader::new();
    let (other, deadly) = (part(0xdead), part(0xd00d));
    for _ in 0..3 {
        leader.crash(&[&[FIRST, part(1), other, whole("one")]]);
    }
    assert_eq!(leader.quarantined(), [whole("one")]);
    leader.crash(&[&[FIRST, part(2), deadly, whole("two")]]);
    assert_eq!(
        leader.crash(&[&[FIRST, part(3), deadly, whole("three")]]),
        [deadly]
    );
}

/// Guards against a quarantine of a request that targets answer in between.
#[test]
fn answered_request_is_cleared_of_the_crashes_before() {
    let mut leader = Leader::new();
    let poll = whole("");
    for _ in 0..4 {
        leader.crash(&[&[poll]]);
        leader.crash(&[&[poll]]);
        leader.answer(&[poll]);
    }
    assert!(leader.quarantined().is_empty());
}

/// Guards against trials that start anew, because a request is found guilty a second time.
#[test]
fn quarantined_request_is_not_quarantined_again() {
    let mut leader = Leader::new();
    let deadly = [FIRST, whole("deadly")];
    for _ in 0..3 {
        leader.crash(&[&deadly]);
    }
    for number in 0..4 {
        let other = [FIRST, whole(&format!("other {number}"))];
        let culprits = leader.crash(&[&deadly, &other]);
        assert!(!culprits.contains(&whole("deadly")));
    }
}

/// Guards against a list of quarantined requests that only grows, as callers give up for good.
#[test]
fn request_that_does_not_come_again_is_forgotten() {
    let mut leader = Leader::new();
    let deadly = whole("deadly");
    for _ in 0..3 {
        leader.crash(&[&[deadly]]);
    }
    leader.now += Millis::from_secs(3_600);
    assert!(leader.manager.release_unused(leader.now).is_empty());
    leader.now += Millis::from_secs(60);
    assert_eq!(leader.manager.release_unused(leader.now), [deadly]);
    assert!(leader.quarantined().is_empty());
    for _ in 0..3 {
        leader.crash(&[&[deadly]]);
    }
    assert_eq!(leader.quarantined(), [deadly]);
}

/// Guards against an entry cut off from the leader that crashes target after target.
#[test]
fn entry_without_a_leader_quarantines_a_request_by_its_own_evidence() {
    let mut guard = FeatureGuard::default();
    let deadly = [whole("deadly")];
    let mut now = Millis(1_000);
    for target in 1..=3 {
        now += RUN;
        assert_eq!(guard.admit(&deadly, now), Admission::Allowed);
        guard.record_crash(TargetKey(target), &deadly, RUN, now);
    }
    assert_eq!(guard.admit(&deadly, now), Admission::Refused(deadly[0]));
    assert_eq!(guard.admit(&[whole("sound")], now), Admission::Allowed);
}

/// Guards against an entry that lets a request crash target after target while it has no leader, because it
/// quarantined it once before and a leader released it.
#[test]
fn entry_without_a_leader_quarantines_a_released_request_again() {
    let mut guard = FeatureGuard::default();
    let deadly = [whole("deadly")];
    let mut now = Millis(1_000);
    for target in 1..=6 {
        if target == 4 {
            let quarantined = FeatureList {
                quarantined: vec![QuarantinedFeature {
                    feature: deadly[0],
                    trial_due: true,
                }],
                suspected: Vec::new(),
            };
            guard.apply(quarantined);
            guard.apply(FeatureList::default());
            guard.end_connection();
        }
        now += GAP;
        assert_eq!(guard.admit(&deadly, now), Admission::Allowed);
        guard.record_crash(TargetKey(target), &deadly, RUN, now);
        if target % 3 == 0 {
            assert_eq!(guard.admit(&deadly, now), Admission::Refused(deadly[0]));
        }
    }
}

/// Guards against evidence that is lost with its leader.
#[test]
fn next_leader_quarantines_a_request_by_the_crashes_that_entries_report_again() {
    let mut guard = FeatureGuard::default();
    let deadly = [whole("deadly")];
    let mut now = Millis(1_000);
    for target in 1..=3 {
        now += GAP;
        guard.record_crash(TargetKey(target), &deadly, RUN, now);
    }
    let mut manager = QuarantineManager::default();
    let reports = guard.recent_reports(now + Millis(2_000));
    let culprits = reports
        .into_iter()
        .flat_map(|report| manager.record_crash(report, Millis(900_000)));
    assert_eq!(culprits.collect::<Vec<_>>(), deadly);
}

fn check_same(other: Feature, is_same: bool) {
    assert_eq!(other == whole("body"), is_same);
}

/// Guards against sound prompts that are refused with another one, because the requests have the same path
/// and no body.
#[test]
fn requests_without_a_body_differ_by_their_prompts() {
    let prompt = |parts: &str| {
        let req = Request::builder().method("POST").uri("/generate");
        let req = req.header("prompt-prefix", parts).body(());
        let (head, ()) = req.expect("a request").into_parts();
        Feature::whole_request(&head, b"")
    };
    assert_eq!(prompt("f1:100,d00d:20,9:5"), prompt("f1:100,d00d:20,9:5"));
    assert_ne!(prompt("f1:100,d00d:20,9:5"), prompt("f1:100,51:20,9:5"));
    assert_ne!(prompt("f1:100,d00d:20,9:5"), prompt("f1:100,d00d:20,8:5"));
}

cases! { check_same:
    repeat_with_another_id_is_the_same_request(
        request("POST", "/orders/1?a=b", "8", "f1:100,9:20", "body"),
        true,
    );
    other_body_is_another_request(
        request("POST", "/orders/1?a=b", "7", "f1:100,9:20", "bodies"),
        false,
    );
    other_prompt_is_another_request(
        request("POST", "/orders/1?a=b", "7", "f1:100,8:20", "body"),
        false,
    );
    other_path_is_another_request(
        request("POST", "/orders/2?a=b", "7", "f1:100,9:20", "body"),
        false,
    );
    other_query_is_another_request(
        request("POST", "/orders/1?a=c", "7", "f1:100,9:20", "body"),
        false,
    );
    other_method_is_another_request(
        request("PUT", "/orders/1?a=b", "7", "f1:100,9:20", "body"),
        false,
    );
}

/// Guards against batch items that are refused because of a request with the same path and body: an accepted
/// item is owed.
#[test]
fn items_are_no_whole_requests() {
    let headers = [("prompt-prefix".to_owned(), "f1:100,9:20".to_owned())];
    assert_eq!(Feature::of_item(&headers), [FIRST]);
    assert!(Feature::of_item(&[]).is_empty());
}
