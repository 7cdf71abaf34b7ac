//! Prompt parts that crash targets are told from those of bystanders, quarantined and tried again.

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

pub(crate) const FIRST: Feature = part(0xf1);
pub(crate) const SESSION: Feature = part(0x51);
pub(crate) const DEADLY: Feature = part(0xd00d);
pub(crate) const OTHER: Feature = part(0x77);
/// Parts of a request that crashes its target.
pub(crate) const PROMPT: [Feature; 3] = [FIRST, SESSION, DEADLY];
/// Time from a request to the crash that it causes.
pub(crate) const RUN: Millis = Millis(80);
/// Time between two crashes.
pub(crate) const GAP: Millis = Millis(300);

/// The leader's manager, with crashes that happen one after the other.
pub(crate) struct Leader {
    pub(crate) manager: QuarantineManager,
    pub(crate) now: Millis,
    pub(crate) crashes: u64,
}

impl Leader {
    pub(crate) fn new() -> Self {
        Self {
            manager: QuarantineManager::default(),
            now: Millis(100_000),
            crashes: 0,
        }
    }

    pub(crate) fn report(&self, target: u64, parts: &[Feature], ran_for: Millis) -> CrashReport {
        CrashReport {
            target: TargetKey(target),
            features: parts.to_vec(),
            ran_for,
            age: Millis::ZERO,
        }
    }

    /// One more target crashes under a request with these parts.
    pub(crate) fn crash(&mut self, parts: &[Feature]) -> Vec<Feature> {
        self.now += GAP;
        self.crashes += 1;
        let report = self.report(self.crashes, parts, RUN);
        self.manager.record_crash(report, self.now)
    }

    /// A target answers a request with these parts.
    pub(crate) fn answer(&mut self, parts: &[Feature]) -> Vec<Feature> {
        self.now += Millis(10);
        self.manager.prove(parts, self.now)
    }

    pub(crate) fn quarantined(&self) -> Vec<Feature> {
        let list = self.manager.list(self.now);
        list.quarantined.iter().map(|entry| entry.feature).collect()
    }
}

/// Guards against requests that crash one target after the other.
#[test]
fn part_of_three_crashes_in_a_row_is_quarantined() {
    let mut leader = Leader::new();
    assert!(leader.crash(&PROMPT).is_empty());
    assert!(leader.crash(&PROMPT).is_empty());
    assert_eq!(leader.crash(&PROMPT), [DEADLY]);
    assert_eq!(leader.quarantined(), [DEADLY]);
}

/// Guards against a quarantine of parts that sound requests share with those that crash targets.
#[test]
fn parts_in_common_with_answered_requests_stay_in_use() {
    let mut leader = Leader::new();
    leader.crash(&PROMPT);
    leader.crash(&PROMPT);
    leader.answer(&[FIRST, SESSION]);
    leader.crash(&PROMPT);
    for _ in 0..5 {
        leader.crash(&[FIRST, OTHER]);
        leader.answer(&[FIRST, OTHER]);
    }
    assert_eq!(leader.quarantined(), [DEADLY]);
}

/// Guards against a second quarantine by requests that were cut off beside the culprit.
#[test]
fn bystanders_of_explained_crashes_are_not_suspected() {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.crash(&PROMPT);
        let bystander = leader.report(leader.crashes, &[FIRST, OTHER], Millis(20));
        leader.manager.record_crash(bystander, leader.now);
    }
    assert_eq!(leader.quarantined(), [DEADLY]);
    for late in 1..=3 {
        let bystander = leader.report(late, &[OTHER, SESSION], Millis(20));
        let culprits = leader.manager.record_crash(bystander, leader.now);
        assert!(culprits.is_empty());
    }
    assert!(leader.manager.list(leader.now).suspected.is_empty());
}

/// Guards against a quarantine of what everybody sends, as many targets crash at the same moment.
#[test]
fn simultaneous_crashes_count_once() {
    let mut leader = Leader::new();
    for target in 1..=9 {
        let report = leader.report(target, &[FIRST], Millis(30));
        leader.now += Millis(5);
        assert!(leader.manager.record_crash(report, leader.now).is_empty());
    }
}

/// Guards against a part of many sound requests that is blamed in place of a later one, because a sound
/// request with it was cut off in one more crash.
#[test]
fn later_part_is_blamed_if_an_earlier_one_was_in_one_more_crash() {
    let mut leader = Leader::new();
    leader.crash(&[FIRST, SESSION]);
    leader.crash(&PROMPT);
    assert_eq!(leader.crash(&PROMPT), [DEADLY]);
}

/// Guards against a rare part that hides an earlier one: a request that is sent again after a crash.
#[test]
fn earlier_part_is_blamed_once_later_ones_differ() {
    let mut leader = Leader::new();
    let mut culprits = Vec::new();
    for last in [1, 1, 2, 3, 4] {
        culprits = leader.crash(&[FIRST, SESSION, part(last)]);
        leader.answer(&[FIRST]);
    }
    assert_eq!(culprits, [SESSION]);
}

/// Guards against a part that is blamed for crashes of requests without it.
#[test]
fn part_of_other_requests_is_not_blamed() {
    let mut leader = Leader::new();
    let bystander = [part(1), part(2), part(3), OTHER];
    leader.crash(&bystander);
    leader.crash(&bystander);
    leader.crash(&PROMPT);
    leader.crash(&PROMPT);
    assert_eq!(leader.crash(&PROMPT), [DEADLY]);
}

/// Guards against a quarantine of sound parts because of requests that were sent to targets which were
/// down already.
#[test]
fn requests_sent_after_the_crash_of_their_target_are_no_evidence() {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.crash(&[]);
        leader.now += Millis(200);
        let late = leader.report(leader.crashes, &[FIRST, OTHER], Millis(50));
        leader.manager.record_crash(late, leader.now);
    }
    assert!(leader.quarantined().is_empty());
}

/// Guards against a quarantine of sound parts by requests that were sent to targets which were down already,
/// if their reports arrive before those of the requests that the crashes cut off.
#[test]
fn requests_sent_after_the_crash_are_no_evidence_if_they_are_reported_first() {
    let mut leader = Leader::new();
    let other_deadly = part(0xdead);
    for (target, deadly) in [(1, DEADLY), (2, other_deadly), (3, DEADLY)] {
        leader.now += GAP;
        let crashed_at = leader.now;
        leader.now += Millis(200);
        let late = leader.report(target, &[OTHER], Millis(1));
        assert!(leader.manager.record_crash(late, leader.now).is_empty());
        let cut_off = CrashReport {
            age: leader.now - crashed_at,
            ..leader.report(target, &[FIRST, SESSION, deadly], RUN)
        };
        leader.manager.record_crash(cut_off, leader.now);
        leader.answer(&[FIRST, SESSION]);
    }
    assert!(leader.quarantined().is_empty());
    assert_eq!(leader.manager.list(leader.now).suspected, [DEADLY]);
}

#[test]
fn reports_of_one_crash_count_once() {
    let mut leader = Leader::new();
    for ran_for in [30, 20, 10, 5] {
        leader.now += GAP;
        let report = leader.report(1, &[FIRST], Millis(ran_for));
        assert!(leader.manager.record_crash(report, leader.now).is_empty());
    }
}

/// Guards against one part that hides another.
#[test]
fn two_parts_are_quarantined_each_by_its_own_crashes() {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.crash(&PROMPT);
        leader.answer(&[FIRST]);
        leader.crash(&[FIRST, OTHER]);
        leader.answer(&[FIRST]);
    }
    assert_eq!(leader.quarantined(), [OTHER, DEADLY]);
}

#[test]
fn part_that_was_served_before_is_quarantined_once_it_crashes_targets() {
    let mut leader = Leader::new();
    leader.answer(&PROMPT);
    leader.crash(&PROMPT);
    leader.answer(&PROMPT);
    assert!(leader.crash(&PROMPT).is_empty());
    assert!(leader.crash(&PROMPT).is_empty());
    assert_eq!(leader.crash(&PROMPT), [DEADLY]);
}

#[test]
fn new_leader_has_the_recorded_parts() {
    let mut manager = QuarantineManager::restore([(DEADLY, 0)], Millis::ZERO);
    let list = manager.list(Millis(1));
    assert_eq!(list.quarantined[0].feature, DEADLY);
    assert!(!list.quarantined[0].trial_due);
    let report = Leader::new().report(1, &PROMPT, RUN);
    assert!(manager.record_crash(report, Millis(2_000)).is_empty());
}

fn list(trial_due: bool) -> FeatureList {
    FeatureList {
        quarantined: vec![QuarantinedFeature {
            feature: DEADLY,
            trial_due,
        }],
        suspected: vec![OTHER],
    }
}

fn check_admission(parts: &[Feature], trial_due: bool, expected: Admission) {
    let mut guard = FeatureGuard::default();
    guard.apply(list(trial_due));
    assert_eq!(guard.admit(parts, Millis(1)), expected);
}

cases! { check_admission:
    request_with_a_quarantined_part_is_refused(&PROMPT, false, Admission::Refused(DEADLY));
    request_with_its_other_parts_is_served(&[FIRST, SESSION], false, Admission::Allowed);
    suspected_part_is_served(&[OTHER], false, Admission::Allowed);
    due_trial_is_left_to_the_leader(&PROMPT, true, Admission::TrialDue(DEADLY));
    request_without_parts_is_served(&[], false, Admission::Allowed);
}

#[test]
fn answers_are_reported_only_for_parts_that_the_leader_watches() {
    let mut guard = FeatureGuard::default();
    guard.apply(list(false));
    assert_eq!(guard.prove(&[FIRST, OTHER], Millis(1)), [OTHER]);
    assert!(guard.prove(&[FIRST], Millis(1)).is_empty());
}

/// Guards against a list that is lost while an entry connects to the next leader, and against one that the
/// next leader does not have.
#[test]
fn list_is_in_force_until_the_next_leader_has_sent_its_own() {
    let mut guard = FeatureGuard::default();
    guard.apply(list(false));
    guard.end_connection();
    assert_eq!(guard.admit(&PROMPT, Millis(1)), Admission::Refused(DEADLY));
    guard.apply(list(false));
    assert_eq!(guard.admit(&PROMPT, Millis(1)), Admission::Refused(DEADLY));
    guard.end_connection();
    guard.apply(FeatureList::default());
    assert_eq!(guard.admit(&PROMPT, Millis(1)), Admission::Allowed);
}

/// Guards against an entry cut off from the leader that crashes target after target.
#[test]
fn entry_without_a_leader_quarantines_for_a_time_by_its_own_evidence() {
    let mut guard = FeatureGuard::default();
    let mut now = Millis(1_000);
    for target in 1..=3 {
        now += GAP;
        assert_eq!(guard.admit(&PROMPT, now), Admission::Allowed);
        guard.record_crash(TargetKey(target), &PROMPT, RUN, now);
    }
    assert_eq!(guard.admit(&PROMPT, now), Admission::Refused(DEADLY));
    assert_eq!(guard.admit(&[FIRST], now), Admission::Allowed);
    let later = now + Millis::from_secs(31);
    assert_eq!(guard.admit(&PROMPT, later), Admission::Allowed);
    guard.record_crash(TargetKey(4), &PROMPT, RUN, later);
    let again = later + Millis::from_secs(59);
    assert_eq!(guard.admit(&PROMPT, again), Admission::Refused(DEADLY));
    guard.prove(&PROMPT, again);
    assert_eq!(guard.admit(&PROMPT, again), Admission::Allowed);
}

/// Guards against a quarantine of sound parts at a single entry, which does not know of the crashes that others
/// saw and sends requests to targets that are down.
#[test]
fn entry_with_a_leader_leaves_the_decision_to_it() {
    let mut guard = FeatureGuard::default();
    guard.apply(FeatureList::default());
    let mut now = Millis(1_000);
    for target in 1..=3 {
        now += GAP;
        let (report, culprit) = guard.record_crash(TargetKey(target), &[FIRST, OTHER], RUN, now);
        assert!(report.is_some());
        assert!(culprit.is_empty());
    }
    assert_eq!(guard.admit(&[FIRST, OTHER], now), Admission::Allowed);
    guard.end_connection();
    guard.record_crash(TargetKey(4), &[FIRST, OTHER], RUN, now + GAP);
    let admission = guard.admit(&[FIRST, OTHER], now + GAP);
    assert_eq!(admission, Admission::Refused(OTHER));
}

/// Guards against evidence that is lost with its leader.
#[test]
fn next_leader_quarantines_by_the_crashes_that_entries_report_again() {
    let mut guard = FeatureGuard::default();
    let mut now = Millis(1_000);
    for target in 1..=3 {
        now += GAP;
        guard.record_crash(TargetKey(target), &PROMPT, RUN, now);
    }
    let mut manager = QuarantineManager::default();
    let received_at = Millis(900_000);
    let reports = guard.recent_reports(now + Millis(2_000));
    let culprits: Vec<_> = reports
        .into_iter()
        .flat_map(|report| manager.record_crash(report, received_at))
        .collect();
    assert_eq!(culprits, [DEADLY]);
}

/// Guards against a quarantine of sound parts by a new leader that has the reports of one entry only, which sent
/// requests to targets that were down already.
#[test]
fn new_leader_decides_once_all_entries_have_reported() {
    let mut leader = Leader::new();
    leader.manager = QuarantineManager::restore([], leader.now);
    for target in 1..=3 {
        let late = CrashReport {
            age: Millis(2_000) - Millis(GAP.0 * target),
            ..leader.report(target, &[OTHER], Millis(1))
        };
        assert!(leader.manager.record_crash(late, leader.now).is_empty());
    }
    leader.now += Millis(100);
    for target in 1..=3 {
        let cut_off = CrashReport {
            age: Millis(2_300) - Millis(GAP.0 * target),
            ..leader.report(target, &PROMPT, RUN)
        };
        assert!(leader.manager.record_crash(cut_off, leader.now).is_empty());
    }
    leader.now += Millis::from_secs(1);
    assert_eq!(leader.manager.decide(leader.now), [DEADLY]);
}

/// Guards against evidence that is pushed out by requests to targets that are down, before the next leader
/// has it.
#[test]
fn requests_sent_after_a_crash_are_not_reported_to_the_next_leader() {
    let mut guard = FeatureGuard::default();
    let crashed_at = Millis(1_000);
    guard.record_crash(TargetKey(1), &PROMPT, RUN, crashed_at);
    for number in 1..=200 {
        let late = crashed_at + Millis(10 * number);
        let (report, _) = guard.record_crash(TargetKey(1), &[FIRST, OTHER], Millis(1), late);
        assert_eq!(report, None);
    }
    let reports = guard.recent_reports(crashed_at + Millis(2_500));
    let reported: Vec<_> = reports.iter().map(|report| &report.features[..]).collect();
    assert_eq!(reported, [&PROMPT[..]]);
}

/// Guards against a part that is quarantined again by evidence from before its release.
#[test]
fn crashes_with_a_released_part_are_not_reported_again() {
    let mut guard = FeatureGuard::default();
    guard.record_crash(TargetKey(1), &PROMPT, RUN, Millis(1_000));
    guard.record_crash(TargetKey(2), &[OTHER], RUN, Millis(1_000));
    guard.apply(list(false));
    guard.apply(FeatureList::default());
    assert!(guard.recent_reports(Millis(2_000)).is_empty());
}

/// Guards against an earlier part that stays hidden for ever: each request has a part of its own behind it
/// and is sent twice.
#[test]
fn earlier_part_is_blamed_if_each_request_is_sent_twice() {
    let mut leader = Leader::new();
    for own in [1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6] {
        leader.crash(&[FIRST, DEADLY, part(own)]);
        leader.answer(&[FIRST]);
    }
    let quarantined = leader.quarantined();
    assert!(quarantined.contains(&DEADLY), "{quarantined:?}");
}

/// Guards against evidence that an entry drops as it connects to a new leader, which has no list yet.
#[test]
fn crashes_with_suspected_parts_are_reported_to_the_next_leader() {
    let mut guard = FeatureGuard::default();
    guard.record_crash(TargetKey(1), &PROMPT, RUN, Millis(1_000));
    guard.record_crash(TargetKey(2), &PROMPT, RUN, Millis(1_300));
    guard.apply(FeatureList {
        quarantined: Vec::new(),
        suspected: vec![DEADLY],
    });
    guard.end_connection();
    guard.apply(FeatureList::default());
    assert_eq!(guard.recent_reports(Millis(2_000)).len(), 2);
}

/// Guards against a crash that is not counted because an older request with the same parts was there too.
#[test]
fn last_of_several_requests_with_the_same_parts_decides_the_order() {
    let mut leader = Leader::new();
    leader.crash(&PROMPT);
    leader.crash(&PROMPT);
    leader.now += GAP;
    let older = leader.report(3, &PROMPT, Millis(500));
    assert!(leader.manager.record_crash(older, leader.now).is_empty());
    let newer = leader.report(3, &PROMPT, RUN);
    assert_eq!(leader.manager.record_crash(newer, leader.now), [DEADLY]);
}

/// Guards against evidence that is lost as all stores restart: crashes from before the start of the leader's
/// clock.
#[test]
fn crashes_before_the_start_of_the_leader_keep_their_order() {
    let mut leader = Leader::new();
    leader.now = Millis(2_000);
    let mut culprits = Vec::new();
    for target in 1..=3 {
        let mut report = leader.report(target, &PROMPT, RUN);
        report.age = Millis(10_000) - Millis(GAP.0 * target);
        culprits.extend(leader.manager.record_crash(report, leader.now));
    }
    assert_eq!(culprits, [DEADLY]);
}

/// Guards against evidence that is lost at the next change of leader, because a sound part of the same
/// requests was answered.
#[test]
fn crashes_with_a_part_that_is_still_suspected_are_reported_again() {
    let mut guard = FeatureGuard::default();
    guard.record_crash(TargetKey(1), &PROMPT, RUN, Millis(1_000));
    guard.record_crash(TargetKey(2), &PROMPT, RUN, Millis(1_300));
    guard.apply(FeatureList {
        quarantined: Vec::new(),
        suspected: PROMPT.to_vec(),
    });
    guard.apply(FeatureList {
        quarantined: Vec::new(),
        suspected: vec![DEADLY],
    });
    assert_eq!(guard.recent_reports(Millis(2_000)).len(), 2);
}

/// Guards against an entry that refuses a part which the leader has released.
#[test]
fn release_by_the_leader_ends_the_quarantine_at_each_entry() {
    let mut guard = FeatureGuard::default();
    let mut now = Millis(1_000);
    for target in 1..=3 {
        now += GAP;
        guard.record_crash(TargetKey(target), &PROMPT, RUN, now);
    }
    guard.apply(list(false));
    guard.apply(list(true));
    assert_eq!(guard.admit(&PROMPT, now), Admission::TrialDue(DEADLY));
    guard.apply(FeatureList::default());
    assert_eq!(guard.admit(&PROMPT, now), Admission::Allowed);
}

/// Guards against targets that crash unnoticed, because a connection to them was reset while they had a
/// request with another part that is quarantined.
#[test]
fn crash_counts_after_a_reset_of_a_connection_to_the_same_target() {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.crash(&[FIRST, OTHER]);
    }
    assert_eq!(leader.quarantined(), [OTHER]);
    leader.answer(&[FIRST]);
    for target in 4..=9 {
        let reset = leader.report(target, &[FIRST, OTHER], Millis(40));
        assert!(leader.manager.record_crash(reset, leader.now).is_empty());
    }
    leader.now += Millis::from_secs(30);
    for _ in 4..=9 {
        leader.crash(&PROMPT);
        leader.answer(&[FIRST]);
    }
    let quarantined = leader.quarantined();
    assert!(quarantined.contains(&DEADLY), "{quarantined:?}");
}

/// Guards against evidence that is lost because an earlier reset of connections to the same target is reported
/// after its crash, as to a new leader.
#[test]
fn crash_counts_if_an_earlier_reset_is_reported_after_it() {
    let mut leader = Leader::new();
    let reset_at = leader.now;
    leader.now += Millis::from_secs(20);
    for _ in 0..3 {
        leader.crash(&PROMPT);
        let reset = CrashReport {
            age: leader.now - reset_at,
            ..leader.report(leader.crashes, &[FIRST, OTHER], Millis(40))
        };
        leader.manager.record_crash(reset, leader.now);
    }
    assert_eq!(leader.quarantined(), [DEADLY]);
}

/// Guards against a sound part that is blamed for crashes by requests with a part that is quarantined already:
/// those in flight at that moment, and trials.
#[test]
fn crashes_under_a_quarantined_part_are_no_evidence_against_others() {
    let mut leader = Leader::new();
    for _ in 0..3 {
        leader.crash(&PROMPT);
    }
    for _ in 0..5 {
        leader.crash(&PROMPT);
        let bystander = leader.report(leader.crashes, &[FIRST, OTHER], Millis(20));
        leader.manager.record_crash(bystander, leader.now);
    }
    assert_eq!(leader.quarantined(), [DEADLY]);
    assert!(leader.manager.list(leader.now).suspected.is_empty());
}

/// One target after another crashes under requests that were all sent before the first crash.
fn crash_in_flight(leader: &mut Leader, count: u64) -> Vec<Feature> {
    let started_at = leader.now;
    let mut culprits = Vec::new();
    for number in 1..=count {
        leader.now += GAP;
        let own = Feature::prompt_part(PromptPart(0xabc0 + u128::from(number)));
        let parts = [FIRST, DEADLY, own];
        let report = leader.report(number, &parts, leader.now - started_at);
        culprits.extend(leader.manager.record_crash(report, leader.now));
    }
    culprits
}

/// Guards against targets that crash so late in their answers that further requests are in flight by then, each
/// of which counted as sent before the first crash.
#[test]
fn crashes_of_requests_in_flight_together_quarantine_their_part() {
    assert_eq!(crash_in_flight(&mut Leader::new(), 5), [DEADLY]);
}

/// Guards against a quarantine of what requests have in common, because some targets are lost one after the
/// other.
#[test]
fn some_crashes_of_requests_in_flight_together_are_no_evidence() {
    assert!(crash_in_flight(&mut Leader::new(), 4).is_empty());
}
