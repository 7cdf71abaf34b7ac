//! Concurrent operators, retries, validation and exceptions.

use assert_matches::assert_matches;
use yuccaseam_base::{
    Millis,
    Reason,
    cases, //
};
use yuccaseam_state::{
    ConfigurationChange,
    ConfigurationOutcome,
    Model,
    NewException,
    Outcome,
    Query,
    QueryResult,
    Scope,
    Setting,
    SettingContext,
    Team, //
};

use crate::common::{
    HOUR,
    Machine,
    refusal,
    set, //
};

fn balance(value: u64) -> Vec<ConfigurationChange> {
    vec![ConfigurationChange::SetDefault {
        setting: Setting::Balance,
        value,
    }]
}

fn exception(id: &str, scope: Scope, setting: Setting, value: u64) -> NewException {
    NewException {
        id: id.to_owned(),
        scope,
        setting,
        value,
        reason: "frozen trenches at the eastern main".to_owned(),
        end: None,
    }
}

fn accepted(revision: u64) -> Outcome {
    Outcome::Configuration(ConfigurationOutcome::Accepted { revision })
}

#[test]
fn concurrent_change_conflicts_and_names_the_winner() {
    let mut machine = Machine::new();
    assert_eq!(machine.set("first", 0, balance(40)), accepted(1));
    let first_at = machine.now;
    machine.now += Millis(5);
    let mut second = set("second", 0, balance(60));
    second.author = "Bohdan".to_owned();
    assert_eq!(
        machine.apply(second),
        Outcome::Configuration(ConfigurationOutcome::Conflict {
            revision: 1,
            author: "Alena".to_owned(),
            at: first_at,
        })
    );
    assert_eq!(machine.state.configuration().defaults.balance, 40);
}

#[test]
fn retry_after_hundreds_of_changes_gets_the_first_outcome_once() {
    let mut machine = Machine::new();
    assert_eq!(machine.set("lost answer", 0, balance(40)), accepted(1));
    for revision in 1..500 {
        machine.now += Millis(1_000);
        let request = format!("change {revision}");
        let value = revision % 100;
        assert_eq!(
            machine.set(&request, revision, balance(value)),
            accepted(revision + 1)
        );
    }
    let before = machine.state.configuration().clone();
    assert_eq!(machine.set("lost answer", 0, balance(40)), accepted(1));
    assert_eq!(machine.state.configuration(), &before);
}

#[test]
fn retry_of_a_conflict_gets_the_same_conflict() {
    let mut machine = Machine::new();
    machine.set("first", 0, balance(40));
    let conflict = machine.set("loser", 0, balance(60));
    machine.set("third", 1, balance(50));
    assert_eq!(machine.set("loser", 0, balance(60)), conflict);
}

#[test]
fn request_identifier_is_not_reused_for_different_content() {
    let mut machine = Machine::new();
    machine.set("same", 0, balance(40));
    assert_eq!(
        refusal(machine.set("same", 0, balance(41))),
        Reason::KeyReused
    );
    assert_eq!(machine.state.configuration().defaults.balance, 40);
}

#[test]
fn request_is_removed_only_after_its_retention() {
    let mut machine = Machine::new();
    machine.set_default(Setting::RequestRetentionMs, HOUR.0);
    machine.set("old", 1, balance(40));
    machine.wait(HOUR - Millis(1));
    assert_eq!(machine.set("old", 1, balance(40)), accepted(2));
    machine.wait(Millis(1));
    assert_matches!(
        machine.set("old", 1, balance(40)),
        Outcome::Configuration(ConfigurationOutcome::Conflict { revision: 2, .. })
    );
}

#[test]
fn all_problems_are_reported_and_nothing_changes() {
    let mut machine = Machine::new();
    let mut unexplained = exception("quiet", Scope::Fleet, Setting::Balance, 101);
    unexplained.reason = " ".to_owned();
    let changes = vec![
        ConfigurationChange::SetDefault {
            setting: Setting::TeamWeight,
            value: 0,
        },
        ConfigurationChange::PutException(unexplained),
        ConfigurationChange::PutException(exception(
            "ghost",
            Scope::Model("ghost".to_owned()),
            Setting::Balance,
            1,
        )),
        ConfigurationChange::PutException(exception(
            "local",
            Scope::Region("morava".to_owned()),
            Setting::LeaseMs,
            2_000,
        )),
        ConfigurationChange::RemoveModel("none".to_owned()),
        ConfigurationChange::PutTeam(Team {
            name: "no spaces".to_owned(),
            weight: 1,
        }),
    ];
    let outcome = machine.set("bad", 0, changes);
    let Outcome::Configuration(ConfigurationOutcome::Invalid { problems }) = outcome else {
        panic!("accepted: {outcome:?}");
    };
    let paths: Vec<&str> = problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    let expected = [
        "models/none",
        "defaults/team_weight",
        "teams/no spaces",
        "exceptions/ghost",
        "exceptions/local",
        "exceptions/quiet",
        "exceptions/quiet",
    ];
    assert_eq!(paths, expected);
    assert_eq!(machine.state.configuration().revision, 0);
}

#[test]
fn active_exceptions_do_not_conflict() {
    let mut machine = Machine::new();
    let region = || Scope::Region("cechy".to_owned());
    let put = |id, end| {
        let mut exception = exception(id, region(), Setting::Balance, 10);
        exception.end = end;
        vec![ConfigurationChange::PutException(exception)]
    };
    assert_eq!(
        machine.set("a", 0, put("a", Some(machine.now + HOUR))),
        accepted(1)
    );
    let outcome = machine.set("b", 1, put("b", None));
    assert_matches!(
        outcome,
        Outcome::Configuration(ConfigurationOutcome::Invalid { .. })
    );
    machine.wait(HOUR);
    assert_eq!(machine.set("c", 1, put("b", None)), accepted(2));
}

fn narrowest_scope_applies(context: SettingContext, balance: u64) {
    let mut machine = Machine::new();
    let scopes = [
        Scope::Fleet,
        Scope::Region("morava".to_owned()),
        Scope::FailureDomain("brno-a".to_owned()),
        Scope::Instance("entry-1".to_owned()),
        Scope::Team("foremen".to_owned()),
    ];
    let numbered = scopes.into_iter().zip(1..);
    let put = |(scope, value)| {
        let id = format!("e{value}");
        ConfigurationChange::PutException(exception(&id, scope, Setting::Balance, value))
    };
    assert_eq!(
        machine.set("all", 0, numbered.map(put).collect()),
        accepted(1)
    );
    let configuration = machine.state.configuration();
    let effective = configuration.effective(Setting::Balance, &context, machine.now);
    assert_eq!(effective, balance);
    assert_eq!(
        configuration.effective_all(&context, machine.now).balance,
        balance
    );
}

fn context(domain: &str, instance: &str, team: &str) -> SettingContext {
    SettingContext {
        region: Some("morava".to_owned()),
        failure_domain: Some(domain.to_owned()),
        instance: Some(instance.to_owned()),
        team: Some(team.to_owned()),
        ..SettingContext::default()
    }
}

cases! { narrowest_scope_applies:
    fleet_elsewhere(SettingContext::default(), 1);
    region_over_fleet(context("jihlava-b", "entry-9", "clerks"), 2);
    failure_domain_over_region(context("brno-a", "entry-9", "clerks"), 3);
    instance_over_failure_domain(context("brno-a", "entry-1", "clerks"), 4);
    team_over_instance(context("brno-a", "entry-1", "foremen"), 5);
}

#[test]
fn team_weight_overrides_default_but_not_exception() {
    let mut machine = Machine::new();
    let team = |weight| {
        ConfigurationChange::PutTeam(Team {
            name: "foremen".to_owned(),
            weight,
        })
    };
    machine.set("weight", 0, vec![team(5)]);
    let now = machine.now;
    assert_eq!(machine.state.configuration().team_weight("foremen", now), 5);
    assert_eq!(machine.state.configuration().team_weight("clerks", now), 1);
    let scope = Scope::Team("foremen".to_owned());
    let frost = exception("frost", scope, Setting::TeamWeight, 9);
    machine.set("frost", 1, vec![ConfigurationChange::PutException(frost)]);
    assert_eq!(machine.state.configuration().team_weight("foremen", now), 9);
}

#[test]
fn exception_keeps_its_author_until_it_changes() {
    let mut machine = Machine::new();
    let region = || Scope::Region("cechy".to_owned());
    let put = |value| {
        let exception = exception("e", region(), Setting::Balance, value);
        vec![ConfigurationChange::PutException(exception)]
    };
    machine.set("a", 0, put(1));
    let mut same = set("b", 1, put(1));
    same.author = "Bohdan".to_owned();
    machine.apply(same);
    let kept = &machine.state.configuration().exceptions["e"];
    assert_eq!((kept.author.as_str(), kept.revision), ("Alena", 1));
    let mut other = set("c", 2, put(2));
    other.author = "Bohdan".to_owned();
    machine.apply(other);
    let changed = &machine.state.configuration().exceptions["e"];
    assert_eq!((changed.author.as_str(), changed.revision), ("Bohdan", 3));
}

#[test]
fn history_lists_differences_and_keeps_its_limit() {
    let mut machine = Machine::new();
    machine.set_default(Setting::HistoryLimit, 3);
    for revision in 1..6 {
        let model = Model {
            name: "labelwriter".to_owned(),
            replicas: revision as u32,
        };
        let request = format!("r{revision}");
        machine.set(
            &request,
            revision,
            vec![ConfigurationChange::PutModel(model)],
        );
    }
    let query = Query::ConfigurationHistory {
        after: 0,
        limit: 10,
    };
    let QueryResult::ConfigurationHistory(entries) = machine.state.query(&query) else {
        panic!("no history");
    };
    let revisions: Vec<u64> = entries.iter().map(|entry| entry.revision).collect();
    assert_eq!(revisions, [4, 5, 6]);
    let last = &entries[2].differences[0];
    assert_eq!(last.path, "models/labelwriter");
    assert_eq!(last.before.as_deref(), Some("4 replicas"));
    assert_eq!(last.after.as_deref(), Some("5 replicas"));
}

#[test]
fn clock_far_ahead_does_not_expire_everything() {
    let mut machine = Machine::new();
    machine.set("kept", 0, balance(40));
    let true_time = machine.now;
    machine.now += HOUR * 24 * 365;
    machine.apply(yuccaseam_state::Operation::ExpireOld);
    machine.now = true_time;
    assert_eq!(machine.set("kept", 0, balance(40)), accepted(1));
}
