//! Changes of the configuration, and how they are made to a copy.

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

/// An exception as an operator writes it: author and revision are added when it is accepted.
#[record]
pub struct NewException {
    /// Its name among the exceptions.
    pub id: String,
    /// Where it holds.
    pub scope: Scope,
    /// The setting that differs.
    pub setting: Setting,
    /// The value there.
    pub value: u64,
    /// Why; never empty.
    pub reason: String,
    /// When it ends, in Unix time.
    pub end: Option<Millis>,
}

/// A whole configuration as an operator writes it.
#[record]
pub struct Document {
    /// The fleet's defaults.
    pub defaults: Defaults,
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Models.
    pub models: Vec<Model>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Teams with a weight of their own.
    pub teams: Vec<Team>,
    /// Exceptions.
    pub exceptions: Vec<NewException>,
}

/// One change of the configuration. The changes of one command are made together or not at all.
#[record]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// Sets a fleet default.
    SetDefault {
        /// The setting.
        setting: Setting,
        /// Its new default.
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
    /// Gives a team the default weight again.
    RemoveTeam(String),
    /// Adds or replaces an exception.
    PutException(NewException),
    /// Removes an exception.
    RemoveException(String),
    /// Replaces everything.
    Replace(Box<Document>),
}

/// Who makes a change, as exceptions record it.
pub(super) struct Authorship<'a> {
    pub(super) author: &'a str,
    pub(super) revision: u64,
}

impl Configuration {
    /// Makes one change. What it refers to and does not exist becomes a problem.
    pub(super) fn make(
        &mut self,
        change: &ConfigurationChange,
        by: &Authorship<'_>,
        problems: &mut Vec<Problem>,
    ) {
        use ConfigurationChange::*;
        match change {
            SetDefault { setting, value } => self.defaults.set(*setting, *value),
            PutClass(class) => put(&mut self.classes, &class.name, class),
            PutModel(model) => put(&mut self.models, &model.name, model),
            PutService(service) => put(&mut self.services, &service.name, service),
            PutTeam(team) => put(&mut self.teams, &team.name, team),
            PutException(exception) => self.put_exception(exception, by),
            RemoveClass(name) => remove(&mut self.classes, name, "classes", problems),
            RemoveModel(name) => remove(&mut self.models, name, "models", problems),
            RemoveService(name) => remove(&mut self.services, name, "services", problems),
            RemoveTeam(name) => remove(&mut self.teams, name, "teams", problems),
            RemoveException(id) => remove(&mut self.exceptions, id, "exceptions", problems),
            Replace(document) => self.replace(document, by, problems),
        }
    }

    /// An exception whose form does not change keeps its author and revision.
    fn put_exception(&mut self, new: &NewException, by: &Authorship<'_>) {
        if self
            .exceptions
            .get(&new.id)
            .is_some_and(|old| new.matches(old))
        {
            return;
        }
        self.exceptions.insert(new.id.clone(), new.written_by(by));
    }

    fn replace(&mut self, new: &Document, by: &Authorship<'_>, problems: &mut Vec<Problem>) {
        self.defaults = new.defaults.clone();
        self.classes = index(&new.classes, |class| &class.name, "classes", problems);
        self.models = index(&new.models, |model| &model.name, "models", problems);
        self.services = index(&new.services, |service| &service.name, "services", problems);
        self.teams = index(&new.teams, |team| &team.name, "teams", problems);
        let written = index(&new.exceptions, |new| &new.id, "exceptions", problems);
        self.exceptions.retain(|id, _| written.contains_key(id));
        for exception in written.values() {
            self.put_exception(exception, by);
        }
    }
}

impl NewException {
    fn matches(&self, old: &Exception) -> bool {
        self.scope == old.scope
            && self.setting == old.setting
            && self.value == old.value
            && self.reason == old.reason
            && self.end == old.end
    }

    fn written_by(&self, by: &Authorship<'_>) -> Exception {
        Exception {
            id: self.id.clone(),
            scope: self.scope.clone(),
            setting: self.setting,
            value: self.value,
            reason: self.reason.clone(),
            author: by.author.to_owned(),
            revision: by.revision,
            end: self.end,
        }
    }
}

fn put<T>(map: &mut BTreeMap<String, T>, name: &str, entry: &T)
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

fn index<T, F>(
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
