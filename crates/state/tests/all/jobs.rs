//! Leases, completion of items, suspects, cancellation, fairness and retention.

use assert_matches::assert_matches;
use yuccaseam_base::{
    Millis,
    Reason, //
};
use yuccaseam_state::{
    CancelJob,
    ChunkResults,
    ConfigurationChange,
    ExpireOwner,
    ItemSet,
    JobId,
    JobState,
    Lease,
    MarkSuspects,
    Marked,
    MergeResults,
    Operation,
    Outcome,
    Query,
    QueryResult,
    ReleaseChunk,
    RenewLeases,
    ResultPart,
    Setting,
    StartItems,
    Suspect,
    Team, //
};

use crate::common::{
    HOUR,
    Machine,
    blob,
    done,
    failed,
    items,
    job,
    lease_ref,
    order_desk,
    owner,
    refusal, //
};

fn results(machine: &Machine, job: JobId) -> Vec<ChunkResults> {
    let query = Query::JobResults {
        job,
        from: 0,
        limit: 100,
    };
    match machine.state.query(&query) {
        QueryResult::JobResults(results) => results,
        other => panic!("no results: {other:?}"),
    }
}

/// Creates a report of a target death, numbered above all earlier reports.
fn mark(machine: &Machine, lease: &Lease, suspects: &[u16], alone: bool) -> MarkSuspects {
    MarkSuspects {
        lease: lease_ref(lease),
        items: items(suspects),
        alone,
        death: machine.index,
    }
}

fn report(machine: &mut Machine, lease: &Lease, suspects: &[u16], alone: bool) -> Outcome {
    let mark = mark(machine, lease, suspects, alone);
    machine.apply(mark)
}

fn marked(outcome: Outcome) -> Marked {
    match outcome {
        Outcome::Marked(marked) => marked,
        other => panic!("not marked: {other:?}"),
    }
}

#[test]
fn retried_job_is_created_once_and_a_different_body_is_refused() {
    let mut machine = Machine::new();
    let create = job("presses", "k", &[4, 4]);
    machine.create(&create);
    let outcome = machine.apply(create.clone());
    assert_matches!(outcome, Outcome::JobCreated(created) if created.existing);
    let mut other = create;
    other.fingerprint.0[0] ^= 1;
    assert_eq!(refusal(machine.apply(other)), Reason::KeyReused);
    assert_eq!(machine.lease(&owner("a", 1), 10).len(), 2);
}

#[test]
fn jobs_without_items_or_above_the_limit_are_refused() {
    let mut machine = Machine::new();
    machine.set_default(Setting::JobLimit, 1);
    for chunks in [vec![], vec![0], vec![4_097]] {
        let outcome = machine.apply(job("t", "bad", &chunks));
        assert_eq!(refusal(outcome), Reason::BadRequest);
    }
    machine.create(&job("t", "1", &[1]));
    assert_eq!(
        refusal(machine.apply(job("t", "2", &[1]))),
        Reason::LimitReached
    );
}

#[test]
fn first_completion_wins_and_duplicates_are_counted() {
    let mut machine = Machine::new();
    let id = machine.create(&job("t", "k", &[4]));
    let lease = machine.lease(&owner("a", 1), 1).remove(0);
    machine.complete(done(&lease, items(&[0, 1]), "first"));
    let second = machine.complete(done(&lease, items(&[1, 2, 3]), "second"));
    assert_eq!(
        (second.done, second.duplicate, second.chunk_ended),
        (2, 1, true)
    );
    let status = machine.status(id);
    assert_eq!(
        (status.state, status.done, status.leased_chunks),
        (JobState::Completed, 4, 0)
    );
    let part = |name, list: &[u16]| ResultPart {
        blob: blob(name),
        items: items(list),
    };
    let chunk = results(&machine, id).remove(0);
    assert_eq!(
        chunk.parts,
        [part("first", &[0, 1]), part("second", &[2, 3])]
    );
}

#[test]
fn first_result_counts_even_under_an_expired_lease() {
    let mut machine = Machine::new();
    let id = machine.create(&job("t", "k", &[2]));
    let old = machine.lease(&owner("a", 1), 1).remove(0);
    machine.apply(ExpireOwner {
        owner: owner("a", 1),
    });
    let new = machine.lease(&owner("b", 1), 1).remove(0);
    assert!(new.epoch > old.epoch);
    let late = machine.complete(done(&old, items(&[0]), "late"));
    assert_eq!((late.done, late.late), (1, true));
    let new = machine.complete(done(&new, items(&[0, 1]), "new"));
    assert_eq!((new.done, new.duplicate, new.late), (1, 1, false));
    assert_eq!(machine.status(id).done, 2);
}

#[test]
fn late_result_ends_an_unleased_chunk() {
    let mut machine = Machine::new();
    let id = machine.create(&job("t", "k", &[2]));
    let lease = machine.lease(&owner("a", 1), 1).remove(0);
    machine.apply(ExpireOwner {
        owner: owner("a", 1),
    });
    let late = machine.complete(done(&lease, ItemSet::full(2), "late"));
    assert!(late.job_ended);
    assert_eq!(machine.lease(&owner("b", 1), 1), []);
    assert_eq!(machine.status(id).state, JobState::Completed);
}

#[test]
fn invalid_reports_change_nothing() {
    let mut machine = Machine::new();
    machine.create(&job("t", "k", &[2, 2]));
    let lease = machine.lease(&owner("a", 1), 1).remove(0);
    let mut blobless = done(&lease, items(&[0]), "r");
    blobless.result = None;
    let mut never_leased = done(&lease, items(&[0]), "r");
    never_leased.lease.chunk = 1;
    let bad = [
        done(&lease, items(&[2]), "r"),
        failed(&lease, 2, Reason::BadRequest),
        blobless,
        never_leased,
    ];
    let before = machine.state.live_blobs();
    for report in bad {
        assert_eq!(refusal(machine.apply(report)), Reason::BadRequest);
    }
    assert_eq!(machine.state.live_blobs(), before);
}

#[test]
fn restarted_owner_loses_the_leases_of_its_earlier_run() {
    let mut machine = Machine::new();
    machine.create(&job("t", "k", &[2]));
    let first = machine.lease(&owner("a", 1), 1);
    let again = machine.lease(&owner("a", 2), 1);
    assert_eq!(first.len(), 1);
    assert_eq!(again.len(), 1);
    let release = ReleaseChunk {
        lease: lease_ref(&first[0]),
        not_run: ItemSet::new(),
    };
    assert_eq!(machine.apply(release), Outcome::Released { stood: false });
}

#[test]
fn leases_expire_unless_renewed() {
    let mut machine = Machine::new();
    machine.create(&job("t", "k", &[2, 2]));
    machine.lease(&owner("a", 1), 1);
    machine.lease(&owner("b", 1), 1);
    let lease = Millis(machine.state.configuration().defaults.lease_ms);
    machine.wait(lease - Millis(1));
    let renewed = machine.apply(RenewLeases {
        owner: owner("b", 1),
    });
    assert_eq!(renewed, Outcome::Renewed { chunks: 1 });
    machine.wait(Millis(1));
    let free = machine.lease(&owner("c", 1), 10);
    assert_eq!(
        free.iter().map(|lease| lease.chunk).collect::<Vec<_>>(),
        [0]
    );
}

#[test]
fn cancel_is_idempotent_and_drops_late_results() {
    let mut machine = Machine::new();
    let id = machine.create(&job("t", "k", &[2, 2]));
    let lease = machine.lease(&owner("a", 1), 1).remove(0);
    machine.complete(done(&lease, items(&[0]), "kept"));
    let outcome = machine.apply(CancelJob { job: id });
    assert_matches!(outcome, Outcome::JobCancelled(s) if s.state == JobState::Cancelling);
    let late = machine.complete(done(&lease, items(&[1]), "late"));
    assert_eq!((late.done, late.dropped), (0, 1));
    let release = ReleaseChunk {
        lease: lease_ref(&lease),
        not_run: ItemSet::new(),
    };
    machine.apply(release);
    let outcome = machine.apply(CancelJob { job: id });
    assert_matches!(outcome, Outcome::JobCancelled(s) if s.state == JobState::Cancelled);
    assert_eq!(machine.status(id).done, 1);
    assert_eq!(machine.lease(&owner("b", 1), 10), []);
    assert_eq!(machine.state.live_blobs(), [blob("kept")]);
}

#[test]
fn cancel_of_a_completed_job_changes_nothing() {
    let mut machine = Machine::new();
    let id = machine.create(&job("t", "k", &[1]));
    let lease = machine.lease(&owner("a", 1), 1).remove(0);
    machine.complete(done(&lease, items(&[0]), "r"));
    machine.apply(CancelJob { job: id });
    assert_eq!(machine.status(id).state, JobState::Completed);
}

#[test]
fn cancelled_jobs_are_listed_after_a_log_index() {
    let mut machine = Machine::new();
    let first = machine.create(&job("t", "1", &[1]));
    let second = machine.create(&job("t", "2", &[1]));
    machine.apply(CancelJob { job: first });
    let between = machine.state.applied();
    machine.apply(CancelJob { job: second });
    let query = Query::CancelledJobs { after: between };
    let result = machine.state.query(&query);
    let upto = machine.state.applied();
    let expected = QueryResult::CancelledJobs {
        jobs: vec![second],
        upto,
    };
    assert_eq!(result, expected);
}

#[test]
fn only_an_item_that_kills_its_target_alone_fails() {
    let mut machine = Machine::new();
    let limit = 3;
    machine.set_default(Setting::ItemAttemptLimit, limit);
    let id = machine.create(&job("t", "k", &[4]));
    let lease = machine.lease(&owner("a", 1), 1).remove(0);
    for _ in 0..10 {
        let shared = marked(report(&mut machine, &lease, &[1, 2], false));
        assert!(shared.failed.is_empty());
        assert!(
            shared
                .suspects
                .iter()
                .all(|suspect| suspect.died_alone == 0)
        );
    }
    for death in 1..limit {
        let alone = marked(report(&mut machine, &lease, &[2], true));
        let suspect = Suspect {
            item: 2,
            died_alone: death as u8,
        };
        assert_eq!(alone.suspects, [suspect]);
    }
    let last = marked(report(&mut machine, &lease, &[2], true));
    assert_eq!(last.failed[0].reason, Reason::ItemAttemptsSpent);
    let ended = machine.complete(done(&lease, items(&[0, 1, 3]), "r"));
    assert!(ended.job_ended);
    let status = machine.status(id);
    assert_eq!((status.done, status.failed), (3, 1));
}

#[test]
fn death_reported_twice_is_counted_once() {
    let mut machine = Machine::new();
    machine.create(&job("t", "k", &[4]));
    let lease = machine.lease(&owner("a", 1), 1).remove(0);
    let death = mark(&machine, &lease, &[2], true);
    let first = machine.apply(death.clone());
    assert_eq!(machine.apply(death.clone()), first);
    assert_eq!(marked(first).suspects[0].died_alone, 1);
    machine.set_default(Setting::ItemAttemptLimit, 2);
    let mut second = death;
    second.death += 1;
    let failed = marked(machine.apply(second.clone())).failed;
    assert_eq!(marked(machine.apply(second)).failed, failed);
    assert_eq!(failed[0].reason, Reason::ItemAttemptsSpent);
}

#[test]
fn owner_can_list_leases_after_a_lost_reply() {
    let mut machine = Machine::new();
    machine.create(&job("t", "k", &[4, 4]));
    let leases = machine.lease(&owner("a", 1), 2);
    machine.lease(&owner("b", 1), 1);
    let expected: Vec<_> = leases.iter().map(lease_ref).collect();
    let query = Query::Leases(owner("a", 1));
    assert_eq!(machine.state.query(&query), QueryResult::Leases(expected));
}

#[test]
fn next_lease_lists_suspects() {
    let mut machine = Machine::new();
    machine.create(&job("t", "k", &[4]));
    let lease = machine.lease(&owner("a", 1), 1).remove(0);
    report(&mut machine, &lease, &[1, 2], false);
    report(&mut machine, &lease, &[2], true);
    machine.complete(done(&lease, items(&[1]), "r"));
    machine.apply(ExpireOwner {
        owner: owner("a", 1),
    });
    let next = machine.lease(&owner("b", 1), 1).remove(0);
    let suspect = Suspect {
        item: 2,
        died_alone: 1,
    };
    assert_eq!(next.suspects, [suspect]);
    assert_eq!(next.ended, items(&[1]));
}

#[test]
fn non_idempotent_item_starts_once() {
    let mut machine = Machine::new();
    let mut create = job("t", "k", &[4]);
    create.work = order_desk();
    create.idempotent = false;
    let id = machine.create(&create);
    let first = machine.lease(&owner("a", 1), 1).remove(0);
    let start = |lease: &Lease, list: &[u16]| StartItems {
        lease: lease_ref(lease),
        items: items(list),
    };
    assert_eq!(
        machine.apply(start(&first, &[0, 1, 2])),
        Outcome::Started(items(&[0, 1, 2]))
    );
    assert_eq!(
        machine.apply(start(&first, &[2, 3])),
        Outcome::Started(items(&[2, 3])),
        "the reply for item 2 may have been lost"
    );
    machine.complete(done(&first, items(&[0]), "r"));
    let release = ReleaseChunk {
        lease: lease_ref(&first),
        not_run: items(&[3]),
    };
    machine.apply(release);
    assert_eq!(machine.status(id).failed, 2);
    assert_eq!(
        refusal(machine.apply(start(&first, &[3]))),
        Reason::NotFound
    );
    let second = machine.lease(&owner("b", 1), 1).remove(0);
    assert_eq!(
        machine.apply(start(&second, &[0, 1, 2, 3])),
        Outcome::Started(items(&[3]))
    );
    let late = machine.complete(done(&first, items(&[1]), "late"));
    assert_eq!(late.done, 1);
    let status = machine.status(id);
    assert_eq!((status.done, status.failed), (2, 1));
}

#[test]
fn merged_results_are_in_one_blob() {
    let mut machine = Machine::new();
    let id = machine.create(&job("t", "k", &[2]));
    let lease = machine.lease(&owner("a", 1), 1).remove(0);
    machine.complete(done(&lease, items(&[0]), "r0"));
    machine.complete(done(&lease, items(&[1]), "r1"));
    let merge = |replaces: &[&str]| MergeResults {
        job: id,
        chunk: 0,
        replaces: replaces.iter().map(|name| blob(name)).collect(),
        result: blob("both"),
    };
    assert_eq!(refusal(machine.apply(merge(&["r1"]))), Reason::BadRequest);
    assert_eq!(machine.apply(merge(&["r0", "r1"])), Outcome::Merged);
    assert_eq!(machine.state.live_blobs(), [blob("both")]);
    assert_eq!(results(&machine, id)[0].parts[0].items, ItemSet::full(2));
}

#[test]
fn teams_share_by_weight_whatever_their_number_of_jobs() {
    let mut machine = Machine::new();
    let heavy = Team {
        name: "heavy".to_owned(),
        weight: 3,
    };
    machine.set("weight", 0, vec![ConfigurationChange::PutTeam(heavy)]);
    for key in 0..20 {
        machine.create(&job("flood", &key.to_string(), &[10; 20]));
    }
    machine.create(&job("heavy", "k", &[10; 400]));
    machine.create(&job("small", "k", &[10; 400]));
    let leases: Vec<Lease> = (0..10)
        .flat_map(|_| machine.lease(&owner("a", 1), 40))
        .collect();
    let share = |team: &str| leases.iter().filter(|lease| lease.team == team).count();
    assert_eq!(leases.len(), 400);
    assert_eq!(share("heavy"), 240);
    assert_eq!(share("small"), 80);
}

#[test]
fn idle_team_does_not_accumulate_credit() {
    let mut machine = Machine::new();
    machine.create(&job("busy", "k", &[10; 400]));
    for _ in 0..4 {
        machine.lease(&owner("a", 1), 50);
    }
    machine.create(&job("idle", "k", &[10; 400]));
    let leases = machine.lease(&owner("a", 1), 40);
    let idle = leases.iter().filter(|lease| lease.team == "idle").count();
    let half_and_one_chunk = 21;
    assert!((20..=half_and_one_chunk).contains(&idle), "{idle} of 40");
}

#[test]
fn urgent_jobs_go_first_then_earliest_deadline_within_a_team() {
    let mut machine = Machine::new();
    let now = machine.now;
    let due = |team, key, hours| {
        let mut create = job(team, key, &[10]);
        create.deadline = now + HOUR * hours;
        create
    };
    machine.create(&due("one", "later", 20));
    machine.create(&due("one", "sooner", 10));
    machine.create(&due("two", "urgent-2", 1));
    machine.create(&due("two", "urgent-1", 1));
    let leases = machine.lease(&owner("a", 1), 4);
    let order: Vec<JobId> = leases.iter().map(|lease| lease.job).collect();
    let urgent = [
        JobId::of_key("two", "urgent-1"),
        JobId::of_key("two", "urgent-2"),
    ];
    assert!(urgent.contains(&order[0]) && urgent.contains(&order[1]));
    let rest = [
        JobId::of_key("one", "sooner"),
        JobId::of_key("one", "later"),
    ];
    assert_eq!(order[2..], rest);
}

#[test]
fn ended_job_is_kept_for_its_retention() {
    let mut machine = Machine::new();
    machine.set_default(Setting::JobRetentionMs, HOUR.0);
    let create = job("t", "k", &[1]);
    let id = machine.create(&create);
    let lease = machine.lease(&owner("a", 1), 1).remove(0);
    machine.complete(done(&lease, items(&[0]), "r"));
    machine.wait(HOUR - Millis(1));
    assert_matches!(machine.apply(create), Outcome::JobCreated(created) if created.existing);
    assert_eq!(machine.state.live_blobs(), [blob("r")]);
    machine.wait(Millis(1));
    assert_matches!(
        machine.state.query(&Query::Job(id)),
        QueryResult::Refused(_)
    );
    assert!(machine.state.live_blobs().is_empty());
}

#[test]
fn running_job_does_not_expire() {
    let mut machine = Machine::new();
    machine.set_default(Setting::JobRetentionMs, HOUR.0);
    let id = machine.create(&job("t", "k", &[1]));
    machine.wait(HOUR * 48);
    machine.apply(Operation::ExpireOld);
    assert_eq!(machine.status(id).state, JobState::Running);
}
