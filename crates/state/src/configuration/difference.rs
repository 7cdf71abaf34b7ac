//! Differences between two configurations.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use yuccaseam_base::record;

use super::{
    Configuration,
    Exception,
    Model,
    RequestClass,
    Service,
    Setting,
    Team, //
};

/// A human-readable difference between two configurations. Its texts are part of the replicated
/// state, so replicas of different versions must produce the same ones.
#[record]
pub struct Difference {
    /// Path of the part that differs, such as `models/lagging-llm`.
    pub path: String,
    /// Earlier value, if any.
    pub before: Option<String>,
    /// Later value, if any.
    pub after: Option<String>,
}

impl Configuration {
    /// Returns the differences between this and a later configuration, ordered by path within each
    /// list.
    pub fn differences(&self, later: &Self) -> Vec<Difference> {
        let mut differences = Vec::new();
        for &setting in Setting::ALL {
            let before = self.defaults.get(setting);
            let after = later.defaults.get(setting);
            if before != after {
                differences.push(Difference {
                    path: format!("defaults/{}", setting.name()),
                    before: Some(before.to_string()),
                    after: Some(after.to_string()),
                });
            }
        }
        compare(
            "classes",
            &self.classes,
            &later.classes,
            describe_class,
            &mut differences,
        );
        compare(
            "models",
            &self.models,
            &later.models,
            describe_model,
            &mut differences,
        );
        compare(
            "services",
            &self.services,
            &later.services,
            describe_service,
            &mut differences,
        );
        compare(
            "teams",
            &self.teams,
            &later.teams,
            describe_team,
            &mut differences,
        );
        compare(
            "exceptions",
            &self.exceptions,
            &later.exceptions,
            describe_exception,
            &mut differences,
        );
        differences
    }
}

fn compare<T, W>(
    list: &str,
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
    describe: W,
    differences: &mut Vec<Difference>,
) where
    T: PartialEq,
    W: Fn(&T) -> String,
{
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for name in names {
        let (before, after) = (before.get(name), after.get(name));
        if before != after {
            differences.push(Difference {
                path: format!("{list}/{name}"),
                before: before.map(&describe),
                after: after.map(&describe),
            });
        }
    }
}

fn describe_class(class: &RequestClass) -> String {
    let RequestClass {
        kind,
        priority,
        deadline_ms,
        ..
    } = class;
    format!("{kind:?} priority {priority} deadline {deadline_ms} ms").to_lowercase()
}

fn describe_model(model: &Model) -> String {
    format!("{} replicas", model.replicas)
}

fn describe_service(service: &Service) -> String {
    let repeatability = if service.idempotent {
        "idempotent"
    } else {
        "not idempotent"
    };
    format!("{repeatability}, timeout {} ms", service.timeout_ms)
}

fn describe_team(team: &Team) -> String {
    format!("weight {}", team.weight)
}

fn describe_exception(exception: &Exception) -> String {
    let scope = match exception.scope.name() {
        Some(name) => {
            format!("{:?}", exception.scope).replace(&format!("(\"{name}\")"), "") + " " + name
        }
        None => "Fleet".to_owned(),
    };
    let end = exception
        .end
        .map(|end| format!(" until {}", end.0))
        .unwrap_or_default();
    let Exception { value, reason, .. } = exception;
    format!(
        "{scope}: {} = {value}{end}, because {reason}",
        exception.setting.name()
    )
}
