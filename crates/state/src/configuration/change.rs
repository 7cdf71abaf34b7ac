//! Configuration changes and their application to a copy.

use std::collections::BTreeMap;

use yuccaseam_base::{
    Millis,
    record, //
};

use super::{
    Configuration,
    Defaults,
    Exception,
    Model,
    Problem,
    RequestClass,
    Scope,
    Service,
    Setting,
    Team, //
};

/// An exception as submitted by an operator. Author and revision are added when it is accepted.
#[record]
pub struct NewException {
    /// Unique identifier of the exception.
    pub id: String,
    /// Scope in which the exception applies.
    pub scope: Scope,
    /// Setting to override.
    pub setting: Setting,
    /// Value of the setting in the scope.
    pub value: u64,
    /// Reason for the exception; never empty.
    pub reason: String,
    /// Unix time at which the exception ends, if any.
    pub end: Option<Millis>,
}

/// A complete configuration as submitted by an operator.
#[record]
pub struct Document {
    /// Fleet defaults.
    pub defaults: Defaults,
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Models.
    pub models: Vec<Model>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Teams with their own weight.
    pub teams: Vec<Team>,
    /// Exceptions.
    pub exceptions: Vec<NewException>,
}

/// A configuration change. The changes of one command are applied atomically.
#[record]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// Sets a fleet default.
    SetDefault {
        /// Setting to change.
        setting: Setting,
        /// New default.
        value: u64,
    },
    /// Adds or replaces a request class.
    PutClass(RequestClass),
    /// Removes a request class.
    RemoveClass(String),
    /// Adds or replaces a model.
    PutModel(Model),
    /// Removes a model.
    RemoveModel(String),
    /// Adds or replaces a plain service.
    PutService(Service),
    /// Removes a plain service.
    RemoveService(String),
    /// Adds or replaces a team's weight.
    PutTeam(Team),
    /// Resets a team to the default weight.
    RemoveTeam(String),
    /// Adds or replaces an exception.
    PutException(NewException),
    /// Removes an exception.
    RemoveException(String),
    /// Replaces the whole configuration.
    Replace(Box<Document>),
}

/// Author and revision of a change, as recorded in exceptions.
pub(super) struct Authorship<'a> {
    pub(super) author: &'a str,
    pub(super) revision: u64,
}

impl Configuration {
    /// Applies one change. References to entries that do not exist are added to `problems`.
    pub(super) fn apply_change(
        &mut self,
        change: &ConfigurationChange,
        authorship: &Authorship<'_>,
        problems: &mut Vec<Problem>,
    ) {
        use ConfigurationChange::*;
        match change {
            SetDefault { setting, value } => self.defaults.set(*setting, *value),
            PutClass(class) => insert(&mut self.classes, &class.name, class),
            PutModel(model) => insert(&mut self.models, &model.name, model),
            PutService(service) => insert(&mut self.services, &service.name, service),
            PutTeam(team) => insert(&mut self.teams, &team.name, team),
            PutException(exception) => self.put_exception(exception, authorship),
            RemoveClass(name) => remove(&mut self.classes, name, "classes", problems),
            RemoveModel(name) => remove(&mut self.models, name, "models", problems),
            RemoveService(name) => remove(&mut self.services, name, "services", problems),
            RemoveTeam(name) => remove(&mut self.teams, name, "teams", problems),
            RemoveException(id) => remove(&mut self.exceptions, id, "exceptions", problems),
            Replace(document) => self.replace(document, authorship, problems),
        }
    }

    /// Adds or replaces an exception. An unchanged one keeps its author and revision.
    fn put_exception(&mut self, new: &NewException, authorship: &Authorship<'_>) {
        if self
            .exceptions
            .get(&new.id)
            .is_some_and(|old| new.is_same_as(old))
        {
            return;
        }
        self.exceptions
            .insert(new.id.clone(), new.to_exception(authorship));
    }

    fn replace(
        &mut self,
        new: &Document,
        authorship: &Authorship<'_>,
        problems: &mut Vec<Problem>,
    ) {
        self.defaults = new.defaults.clone();
        self.classes = index_by_name(&new.classes, |class| &class.name, "classes", problems);
        self.models = index_by_name(&new.models, |model| &model.name, "models", problems);
        self.services = index_by_name(&new.services, |service| &service.name, "services", problems);
        self.teams = index_by_name(&new.teams, |team| &team.name, "teams", problems);
        let submitted = index_by_name(&new.exceptions, |new| &new.id, "exceptions", problems);
        self.exceptions.retain(|id, _| submitted.contains_key(id));
        for exception in submitted.values() {
            self.put_exception(exception, authorship);
        }
    }
}

impl NewException {
    fn is_same_as(&self, old: &Exception) -> bool {
        self.scope == old.scope
            && self.setting == old.setting
            && self.value == old.value
            && self.reason == old.reason
            && self.end == old.end
    }

    fn to_exception(&self, authorship: &Authorship<'_>) -> Exception {
        Exception {
            id: self.id.clone(),
            scope: self.scope.clone(),
            setting: self.setting,
            value: self.value,
            reason: self.reason.clone(),
            author: authorship.author.to_owned(),
            revision: authorship.revision,
            end: self.end,
        }
    }
}

fn insert<T>(map: &mut BTreeMap<String, T>, name: &str, entry: &T)
where
    T: Clone,
{
    map.insert(name.to_owned(), entry.clone());
}

fn remove<T>(map: &mut BTreeMap<String, T>, name: &str, list: &str, problems: &mut Vec<Problem>) {
    if map.remove(name).is_none() {
        problems.push(Problem::new(
            list,
            name,
            "there is none of this name to remove",
        ));
    }
}

fn index_by_name<T, F>(
    entries: &[T],
    name: F,
    list: &str,
    problems: &mut Vec<Problem>,
) -> BTreeMap<String, T>
where
    T: Clone,
    F: Fn(&T) -> &String,
{
    let mut map = BTreeMap::new();
    for entry in entries {
        let name = name(entry);
        if map.insert(name.clone(), entry.clone()).is_some() {
            problems.push(Problem::new(list, name, "the name stands twice"));
        }
    }
    map
}
