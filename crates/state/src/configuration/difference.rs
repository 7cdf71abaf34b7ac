//! The differences between two configurations.

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

/// One part of the configuration that differs, written for a person.
#[record]
pub struct Difference {
    /// The part, such as `models/lagging-llm`.
    pub path: String,
    /// What stood there before, if anything.
    pub before: Option<String>,
    /// What stands there after, if anything.
    pub after: Option<String>,
}

impl Configuration {
    /// What differs in a later configuration, in the order of the paths of each list.
    pub fn differences(&self, later: &Self) -> Vec<Difference> {
        let mut found = Vec::new();
        for &setting in Setting::ALL {
            let before = self.defaults.get(setting);
            let after = later.defaults.get(setting);
            if before != after {
                found.push(Difference {
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
            write_class,
            &mut found,
        );
        compare(
            "models",
            &self.models,
            &later.models,
            write_model,
            &mut found,
        );
        compare(
            "services",
            &self.services,
            &later.services,
            write_service,
            &mut found,
        );
        compare("teams", &self.teams, &later.teams, write_team, &mut found);
        compare(
            "exceptions",
            &self.exceptions,
            &later.exceptions,
            write_exception,
            &mut found,
        );
        found
    }
}

fn compare<T, W>(
    list: &str,
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
    write: W,
    found: &mut Vec<Difference>,
) where
    T: PartialEq,
    W: Fn(&T) -> String,
{
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for name in names {
        let (before, after) = (before.get(name), after.get(name));
        if before != after {
            found.push(Difference {
                path: format!("{list}/{name}"),
                before: before.map(&write),
                after: after.map(&write),
            });
        }
    }
}

fn write_class(class: &RequestClass) -> String {
    let RequestClass {
        kind,
        priority,
        deadline_ms,
        ..
    } = class;
    format!("{kind:?} priority {priority} deadline {deadline_ms} ms").to_lowercase()
}

fn write_model(model: &Model) -> String {
    format!("{} replicas", model.replicas)
}

fn write_service(service: &Service) -> String {
    let repeat = if service.idempotent {
        "idempotent"
    } else {
        "not idempotent"
    };
    format!("{repeat}, timeout {} ms", service.timeout_ms)
}

fn write_team(team: &Team) -> String {
    format!("weight {}", team.weight)
}

fn write_exception(exception: &Exception) -> String {
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
