//! Validation of a configuration. All problems are reported, not only the first.

use std::{
    collections::BTreeMap,
    fmt, //
};

use yuccaseam_base::{
    Millis,
    record, //
};

use super::{
    AllowedScopes,
    Configuration,
    Exception,
    Scope,
    Setting, //
};

const MAX_NAME_BYTES: usize = 128;
const MAX_REASON_BYTES: usize = 1_000;
const MAX_EXCEPTIONS: usize = 200;
const MAX_REPLICAS: u32 = 100_000;
const MAX_DEADLINE_MS: u64 = 30 * 24 * 3_600_000;
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// A violated validation rule.
#[record]
pub struct Problem {
    /// Path of the invalid part, such as `classes/online`.
    pub path: String,
    /// Human-readable description. It is part of the replicated state, so replicas of different
    /// versions must produce the same text.
    pub detail: String,
}

impl Problem {
    pub(super) fn new<D>(list: &str, name: &str, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self {
            path: format!("{list}/{name}"),
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.detail)
    }
}

impl Configuration {
    /// Returns all problems of the configuration at the Unix time `at`.
    pub fn validate(&self, at: Millis) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.check_defaults(&mut problems);
        self.check_classes(&mut problems);
        self.check_models_and_services(&mut problems);
        self.check_teams(&mut problems);
        self.check_exceptions(at, &mut problems);
        problems
    }

    fn check_defaults(&self, problems: &mut Vec<Problem>) {
        for &setting in Setting::ALL {
            check_value(
                "defaults",
                setting.name(),
                setting,
                self.defaults.get(setting),
                problems,
            );
        }
    }

    fn check_classes(&self, problems: &mut Vec<Problem>) {
        for (name, class) in &self.classes {
            check_name("classes", name, problems);
            if !(1..=MAX_DEADLINE_MS).contains(&class.deadline_ms) {
                let detail = format!("deadline_ms must be 1 to {MAX_DEADLINE_MS}");
                problems.push(Problem::new("classes", name, detail));
            }
        }
    }

    fn check_models_and_services(&self, problems: &mut Vec<Problem>) {
        for (name, model) in &self.models {
            check_name("models", name, problems);
            if model.replicas > MAX_REPLICAS {
                let detail = format!("replicas must be at most {MAX_REPLICAS}");
                problems.push(Problem::new("models", name, detail));
            }
        }
        for (name, service) in &self.services {
            check_name("services", name, problems);
            if !(1..=MAX_TIMEOUT_MS).contains(&service.timeout_ms) {
                let detail = format!("timeout_ms must be 1 to {MAX_TIMEOUT_MS}");
                problems.push(Problem::new("services", name, detail));
            }
        }
    }

    fn check_teams(&self, problems: &mut Vec<Problem>) {
        for (name, team) in &self.teams {
            check_name("teams", name, problems);
            check_value("teams", name, Setting::TeamWeight, team.weight, problems);
        }
    }

    fn check_exceptions(&self, at: Millis, problems: &mut Vec<Problem>) {
        if self.exceptions.len() > MAX_EXCEPTIONS {
            let detail = format!("the list is short: at most {MAX_EXCEPTIONS}");
            problems.push(Problem::new("exceptions", "*", detail));
        }
        let mut first = BTreeMap::new();
        for (id, exception) in &self.exceptions {
            self.check_exception(exception, problems);
            if !exception.is_active(at) {
                continue;
            }
            if let Some(other) = first.insert((exception.setting, &exception.scope), id) {
                let detail = format!("the same setting and scope as exception `{other}`");
                problems.push(Problem::new("exceptions", id, detail));
            }
        }
    }

    fn check_exception(&self, exception: &Exception, problems: &mut Vec<Problem>) {
        let id = &exception.id;
        let mut report = |detail: &str| problems.push(Problem::new("exceptions", id, detail));
        if exception.reason.trim().is_empty() {
            report("a written reason is required");
        }
        if exception.reason.len() > MAX_REASON_BYTES {
            report("the reason is too long");
        }
        if exception.setting.allowed_scopes() == AllowedScopes::Fleet
            && exception.scope != Scope::Fleet
        {
            report("this setting holds for the whole fleet only");
        }
        match &exception.scope {
            Scope::Class(name) if !self.classes.contains_key(name) => report("no such class"),
            Scope::Model(name) if !self.models.contains_key(name) => report("no such model"),
            _ => (),
        }
        check_name("exceptions", id, problems);
        if let Some(name) = exception.scope.name() {
            check_name(&format!("exceptions/{id}/scope"), name, problems);
        }
        check_value(
            "exceptions",
            id,
            exception.setting,
            exception.value,
            problems,
        );
    }
}

impl Scope {
    /// Returns the name of the region, failure domain, instance, class, model or team; `None` for
    /// the fleet.
    pub fn name(&self) -> Option<&str> {
        match self {
            Self::Fleet => None,
            Self::Region(name)
            | Self::FailureDomain(name)
            | Self::Instance(name)
            | Self::Class(name)
            | Self::Model(name)
            | Self::Team(name) => Some(name),
        }
    }
}

fn check_name(list: &str, name: &str, problems: &mut Vec<Problem>) {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        let detail = format!("a name is 1 to {MAX_NAME_BYTES} of letters, digits and -_.:/");
        problems.push(Problem::new(list, name, detail));
    }
}

fn check_value(list: &str, name: &str, setting: Setting, value: u64, problems: &mut Vec<Problem>) {
    let (min, max) = (setting.min(), setting.max());
    if !(min..=max).contains(&value) {
        let detail = format!("{} must be {min} to {max}, not {value}", setting.name());
        problems.push(Problem::new(list, name, detail));
    }
}
