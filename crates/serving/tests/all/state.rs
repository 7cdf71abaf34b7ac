//! The replicated state: jobs are accepted once and items listed once.

use assert_matches::assert_matches;
use rand::{
    Rng as _,
    SeedableRng as _,
    rngs::StdRng, //
};
use yuccaseam_base::{
    Machine as _,
    Millis,
    TeamName, //
};
use yuccaseam_platform::PromptPart;
use yuccaseam_serving::{
    quarantine::Feature,
    state::{
        Advance,
        Command,
        CommandOutcome,
        Finish,
        FinishedItem,
        NewItem,
        NewJob,
        Output,
        State,
        StoredManifest, //
    },
};

fn job(id: &str, tokens: &[u64]) -> NewJob {
    let items = tokens.iter().enumerate().map(|(number, tokens)| NewItem {
        id: format!("{id}-{number}"),
        path: "/b/1".to_owned(),
        headers: Vec::new(),
        body: b"body".to_vec(),
        tokens: *tokens,
    });
    NewJob {
        id: id.to_owned(),
        host: "h.example".to_owned(),
        route: "h.example/b/".to_owned(),
        waiting_limit: Some(100),
        max_attempts: 3,
        submitted_at: Millis(1),
        items: items.collect(),
    }
}

fn output(after: Option<&str>, lines: &[&str], last_id: &str) -> Output {
    Output {
        after: after.map(str::to_owned),
        lines: lines.iter().map(|line| (*line).to_owned()).collect(),
        last_id: Some(last_id.to_owned()),
    }
}

fn finish(job: &str, item: u32, output: Option<Output>) -> Command {
    Command::Finish(FinishedItem {
        job: job.to_owned(),
        item,
        output,
    })
}

fn advance(job: &str, item: u32, output: Output) -> Command {
    Command::Advance(vec![Advance {
        job: job.to_owned(),
        item,
        output,
    }])
}

fn manifest(version: u64, body: &str) -> Command {
    Command::PutManifest(StoredManifest::pack(version, body.as_bytes()))
}

#[test]
fn highest_manifest_version_wins_and_keeps_its_content() {
    let mut state = State::default();
    for (version, body) in [(3, "three"), (2, "two"), (3, "other")] {
        assert_eq!(state.apply(manifest(version, body)), CommandOutcome::Done);
    }
    let content = state.manifest().and_then(|manifest| manifest.unpack().ok());
    assert_eq!(content.as_deref(), Some(&b"three"[..]));
}

/// At each change, a manifest goes to some thirty instances of the other region over 60 Mbit/s. In
/// a quarter of a second, a tenth of the time within which it must be in force, 1.9 MB pass: 62 KB
/// for each instance.
#[test]
fn manifest_of_many_routes_fits_the_link_between_regions() {
    let mut rng = StdRng::seed_from_u64(9);
    let routes: Vec<_> = (0..2_000)
        .map(|number| {
            let (host, prefix) = (rng.random::<u32>(), rng.random::<u32>());
            format!(
                r#"{{"name":"r-{number}","host":"h{host:x}.example","path_prefix":"/p{prefix:x}/","type":"safe","timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":500}}"#
            )
        })
        .collect();
    let body = format!(r#"{{"version":7,"routes":[{}]}}"#, routes.join(","));
    let packed = StoredManifest::pack(7, body.as_bytes());
    assert!(
        packed.packed_len() <= 62_000,
        "{} of {} bytes",
        packed.packed_len(),
        body.len()
    );
    assert_eq!(packed.unpack().ok().as_deref(), Some(body.as_bytes()));
}

#[test]
fn resubmitted_job_is_accepted_once() {
    let mut state = State::default();
    assert_eq!(
        state.apply(Command::Submit(job("j", &[40, 40]))),
        CommandOutcome::Done
    );
    assert_eq!(
        state.apply(Command::Submit(job("j", &[40, 40]))),
        CommandOutcome::Done
    );
    assert_eq!(state.jobs().count(), 1);
    assert_eq!(state.waiting_tokens("h.example/b/", None), 80);
}

#[test]
fn tokens_over_the_limit_are_refused_until_items_finish() {
    let mut state = State::default();
    state.apply(Command::Submit(job("j", &[40, 40])));
    assert_eq!(
        state.apply(Command::Submit(job("k", &[40]))),
        CommandOutcome::OverLimit
    );
    assert!(state.job("k").is_none());
    state.apply(finish("j", 0, None));
    assert_eq!(
        state.apply(Command::Submit(job("k", &[40]))),
        CommandOutcome::Done
    );
}

#[test]
fn output_of_several_leaders_is_joined() {
    let mut state = State::default();
    state.apply(Command::Submit(job("j", &[1])));
    let outcome = state.apply(advance("j", 0, output(None, &["a", "b"], "2")));
    assert_eq!(outcome, CommandOutcome::Done);
    let outcome = state.apply(finish("j", 0, Some(output(Some("2"), &["c"], "3"))));
    assert_eq!(outcome, CommandOutcome::Done);
    let job = state.job("j").expect("the job");
    assert_matches!(&job.results()[0].finish, Finish::Completed(text) if text == "a\nb\nc");
    assert!(job.is_settled());
}

/// Two leaders may run an item at the same time for a moment; only output that follows the stored
/// output counts.
#[test]
fn out_of_order_output_is_discarded() {
    let mut state = State::default();
    state.apply(Command::Submit(job("j", &[1])));
    state.apply(advance("j", 0, output(None, &["a", "b"], "2")));
    let stale = state.apply(finish("j", 0, Some(output(Some("1"), &["b", "c"], "3"))));
    assert_eq!(stale, CommandOutcome::Gap);
    assert!(state.job("j").expect("the job").results().is_empty());
    let repeated = state.apply(advance("j", 0, output(None, &["a"], "1")));
    assert_eq!(repeated, CommandOutcome::Gap);
}

/// One proposal holds the output of hundreds of items. That a job has ended or an item is listed meanwhile says
/// nothing about the others.
#[test]
fn output_of_closed_items_is_no_gap() {
    let mut state = State::default();
    state.apply(Command::Submit(job("open", &[1, 1])));
    state.apply(Command::Submit(job("ended", &[1])));
    let end = Command::End {
        job: "ended".to_owned(),
    };
    state.apply(end);
    state.apply(finish("open", 1, Some(output(None, &["x"], "1"))));
    let outputs = [("ended", 0), ("open", 0), ("open", 1)];
    let advances = outputs.map(|(job, item)| Advance {
        job: job.to_owned(),
        item,
        output: output(None, &["a"], "12"),
    });
    let outcome = state.apply(Command::Advance(advances.to_vec()));
    assert_eq!(outcome, CommandOutcome::Done);
    let stored = |job: &str, item: usize| {
        let job = state.job(job).expect("the job");
        job.items()[item].last_id.clone()
    };
    assert_eq!(stored("open", 0).as_deref(), Some("12"));
    assert_eq!(stored("ended", 0), None);
}

/// Two leaders have run an item up to the same event. The later one must not go on from there with its own run,
/// which was not asked to.
#[test]
fn output_up_to_the_same_event_of_another_run_is_a_gap() {
    let mut state = State::default();
    state.apply(Command::Submit(job("j", &[1])));
    state.apply(advance("j", 0, output(None, &["a"], "1")));
    state.apply(advance("j", 0, output(Some("1"), &["b"], "2")));
    let other = state.apply(advance("j", 0, output(None, &["a", "b"], "2")));
    assert_eq!(other, CommandOutcome::Gap);
}

#[test]
fn result_keeps_its_position_and_content() {
    let mut state = State::default();
    state.apply(Command::Submit(job("j", &[1, 1])));
    state.apply(finish("j", 1, Some(output(None, &["x"], "1"))));
    state.apply(finish("j", 0, None));
    assert_eq!(state.apply(finish("j", 1, None)), CommandOutcome::Gap);
    let results = state.job("j").expect("the job").results();
    let order: Vec<_> = results.iter().map(|listed| listed.item).collect();
    assert_eq!(order, [1, 0]);
    assert_matches!(&results[0].finish, Finish::Completed(text) if text == "x");
}

#[test]
fn ended_job_lists_no_results_and_frees_its_tokens() {
    let mut state = State::default();
    state.apply(Command::Submit(job("j", &[90])));
    let end = Command::End {
        job: "j".to_owned(),
    };
    assert_eq!(state.apply(end.clone()), CommandOutcome::Done);
    assert_eq!(state.apply(end), CommandOutcome::Done);
    assert_eq!(state.waiting_tokens("h.example/b/", None), 0);
    assert_eq!(state.apply(finish("j", 0, None)), CommandOutcome::Gap);
    let unknown = Command::End {
        job: "k".to_owned(),
    };
    assert_eq!(state.apply(unknown), CommandOutcome::UnknownJob);
}

#[test]
fn snapshot_restores_the_state() {
    let mut state = State::default();
    state.apply(manifest(4, "four"));
    state.apply(Command::Submit(job("j", &[1, 2])));
    state.apply(advance("j", 1, output(None, &["a"], "1")));
    state.apply(finish("j", 0, Some(output(None, &["x"], "1"))));
    let restored = State::restore(&state.snapshot()).expect("a snapshot");
    assert_eq!(restored, state);
}

fn part(id: u128) -> Feature {
    Feature::prompt_part(PromptPart(id))
}

#[test]
fn quarantined_parts_are_recorded_until_their_release() {
    let mut state = State::default();
    let (released, kept) = (part(1), part(2));
    state.apply(Command::Quarantine {
        features: vec![released, kept],
        trials: 0,
    });
    state.apply(Command::Quarantine {
        features: vec![kept],
        trials: 2,
    });
    state.apply(Command::Release(vec![released]));
    let restored = State::restore(&state.snapshot()).expect("a snapshot");
    let recorded: Vec<_> = restored.quarantined().iter().collect();
    assert_eq!(recorded, [(&kept, &2)]);
}

/// Guards against a store that cannot read the snapshot of an earlier version.
#[test]
fn snapshot_of_an_earlier_version_is_restored() {
    let mut state = State::default();
    state.apply(manifest(4, "four"));
    state.apply(Command::Submit(job("j", &[1, 2])));
    let mut snapshot = state.snapshot();
    for last in [
        "no targets that are gone",
        "no teams of jobs",
        "an unknown rate",
        "an empty map",
    ] {
        assert_eq!(snapshot.pop(), Some(0), "{last} at the end");
        let restored = State::restore(&snapshot).expect("a snapshot of an earlier version");
        assert_eq!(restored, state);
    }
    assert!(State::restore(&snapshot[..snapshot.len() - 1]).is_err());
}

/// Guards against stores that end, or a limit that is passed, because the sum of the tokens is out of
/// range.
#[test]
fn tokens_at_the_edge_of_their_type_are_over_the_limit() {
    let mut state = State::default();
    state.apply(Command::Submit(job("j", &[40])));
    for tokens in [[u64::MAX, 1], [u64::MAX / 2 + 1; 2], [0, u64::MAX - 20]] {
        assert_eq!(
            state.apply(Command::Submit(job("k", &tokens))),
            CommandOutcome::OverLimit
        );
    }
    let unlimited = NewJob {
        waiting_limit: None,
        ..job("u", &[u64::MAX, u64::MAX])
    };
    assert_eq!(
        state.apply(Command::Submit(unlimited)),
        CommandOutcome::Done
    );
    assert_eq!(state.waiting_tokens("h.example/b/", None), u64::MAX);
}

/// Guards against a few items with very many tokens that make the state count as full.
#[test]
fn expected_size_counts_items_and_not_their_tokens() {
    let mut state = State::default();
    let unlimited = |id: &str, tokens: &[u64]| NewJob {
        waiting_limit: None,
        ..job(id, tokens)
    };
    let mut new = unlimited("j", &[1, 1_000_000, 1]);
    for item in &mut new.items {
        item.headers = vec![("Model".to_owned(), "m".to_owned())];
    }
    let first = &new.items[0];
    let request_bytes = (first.path.len() + first.body.len() + "Modelm".len()) as u64;
    let input = new.stored_bytes();
    state.apply(Command::Submit(new));
    let text = "x".repeat(300);
    state.apply(finish("j", 0, Some(output(None, &[&text], "1"))));
    // The request of a listed item is gone, but for its id.
    assert_eq!(state.expected_bytes(), input - request_bytes + 3 * 300);
    // Partial output is part of the result that is expected.
    state.apply(Command::Advance(vec![Advance {
        job: "j".to_owned(),
        item: 2,
        output: output(None, &[&text[..100]], "1"),
    }]));
    assert_eq!(state.expected_bytes(), input - request_bytes + 3 * 300);
    state.apply(finish("j", 1, None));
    assert_eq!(state.expected_bytes(), input - 2 * request_bytes + 2 * 300);
}

#[test]
fn long_result_is_kept_whole_and_compressed() {
    let mut state = State::default();
    state.apply(Command::Submit(job("j", &[1])));
    let line = "a line of a long result ".repeat(10);
    let lines = [line.as_str(); 20];
    state.apply(finish("j", 0, Some(output(None, &lines, "20"))));
    let state = State::restore(&state.snapshot()).expect("a snapshot restores");
    let job = state.job("j").expect("the job is there");
    let text = job.results()[0].finish.text();
    assert_eq!(text.as_deref(), Some(lines.join("\n").as_str()));
    assert!(state.snapshot().len() < line.len() * lines.len() / 2);
}

#[test]
fn item_whose_output_was_discarded_runs_from_its_beginning() {
    let mut state = State::default();
    state.apply(Command::Submit(job("j", &[1])));
    let advance = |after, lines: &[&str], last_id| {
        Command::Advance(vec![Advance {
            job: "j".to_owned(),
            item: 0,
            output: output(after, lines, last_id),
        }])
    };
    assert_eq!(
        state.apply(advance(None, &["noise"], "7")),
        CommandOutcome::Done
    );
    let job_id = "j".to_owned();
    state.apply(Command::Discard {
        job: job_id,
        item: 0,
    });
    assert_eq!(
        state.apply(advance(Some("7"), &["more"], "8")),
        CommandOutcome::Gap
    );
    state.apply(finish("j", 0, Some(output(None, &["a"], "1"))));
    let job = state.job("j").expect("the job is there");
    assert_eq!(job.results()[0].finish.text().as_deref(), Some("a"));
}

/// Guards against jobs that are refused after each change of leader: a new leader has measured no link yet.
#[test]
fn link_rate_outlives_a_leader_and_older_snapshots_lack_it() {
    let mut state = State::default();
    let older = state.snapshot();
    assert_eq!(state.link_rate(), None);
    state.apply(Command::NoteLinkRate(7_000));
    let restored = State::restore(&state.snapshot()).expect("a snapshot restores");
    assert_eq!(restored.link_rate(), Some(7_000));
    // The teams of jobs came after the rate, and the targets that are gone after these.
    let older = State::restore(&older[..older.len() - 3]).expect("an older one restores");
    assert_eq!(older, State::default());
}

fn submit_for(team: &str, job: NewJob) -> Command {
    let team = team.into();
    Command::SubmitForTeam { team, job }
}

#[test]
fn job_is_unknown_to_other_teams() {
    let mut state = State::default();
    let (red, blue) = (TeamName::from("red"), TeamName::from("blue"));
    state.apply(submit_for("red", job("j", &[40])));
    assert!(state.job_for("j", Some(&red)).is_some());
    assert!(state.job_for("j", Some(&blue)).is_none());
    let again = state.apply(submit_for("blue", job("j", &[40])));
    assert_eq!(again, CommandOutcome::UnknownJob);
    let again = state.apply(submit_for("red", job("j", &[40])));
    assert_eq!(again, CommandOutcome::Done);
    let end_for = |team| Command::EndForTeam {
        team,
        job: "j".to_owned(),
    };
    assert_eq!(state.apply(end_for(blue)), CommandOutcome::UnknownJob);
    assert!(!state.job("j").expect("the job").is_ended());
    assert_eq!(state.apply(end_for(red)), CommandOutcome::Done);
    assert!(state.job("j").expect("the job").is_ended());
}

/// Load: a team fills the route; another team sends a small job.
#[test]
fn limit_of_waiting_tokens_holds_for_each_team() {
    let mut state = State::default();
    let over = CommandOutcome::OverLimit;
    assert_eq!(
        state.apply(submit_for("red", job("j", &[90]))),
        CommandOutcome::Done
    );
    assert_eq!(state.apply(submit_for("red", job("k", &[20]))), over);
    assert_eq!(
        state.apply(submit_for("blue", job("l", &[100]))),
        CommandOutcome::Done
    );
    assert_eq!(state.apply(submit_for("blue", job("m", &[1]))), over);
    // A job without a team counts all that wait.
    assert_eq!(state.apply(Command::Submit(job("n", &[1]))), over);
}

#[test]
fn teams_of_jobs_outlive_a_snapshot_and_are_forgotten_with_them() {
    let mut state = State::default();
    state.apply(submit_for("red", job("j", &[1])));
    state.apply(Command::Submit(job("k", &[1])));
    let mut state = State::restore(&state.snapshot()).expect("a snapshot restores");
    assert_eq!(state.team_of("j"), Some(&TeamName::from("red")));
    assert_eq!(state.team_of("k"), None);
    let jobs = vec!["j".to_owned(), "k".to_owned()];
    state.apply(Command::Forget { jobs });
    assert_eq!(state, State::default());
}

/// Guards against results that no caller can read any more once teams are put into force.
#[test]
fn job_accepted_without_teams_is_open_to_any_team() {
    let mut state = State::default();
    state.apply(Command::Submit(job("j", &[1])));
    // An entry of the version before wrote the log and the snapshot.
    let older = state.snapshot();
    let older = older
        .strip_suffix(&[0, 0])
        .expect("no teams of jobs, and no targets that are gone, at the end");
    let state = State::restore(older).expect("a snapshot of the version before");
    assert!(state.job_for("j", Some(&"red".into())).is_some());
    assert!(state.job_for("j", None).is_some());
}
