//! The configuration: fleet defaults, request classes, models, services, team weights and a short
//! list of exceptions.

mod change;
mod difference;
mod effective;
mod history;
mod settings;
mod validate;

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use yuccaseam_base::{
    Millis,
    key,
    record, //
};

pub use change::{
    ConfigurationChange,
    Document,
    NewException, //
};
pub use difference::Difference;
pub use effective::SettingContext;
pub(crate) use history::ConfigurationStore;
pub use history::{
    ConfigurationOutcome,
    HistoryEntry,
    SetConfiguration, //
};
pub use settings::{
    AllowedScopes,
    Defaults,
    Setting, //
};
pub use validate::Problem;

/// The kind of a request class.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassKind {
    /// Requests whose caller waits for the response.
    Online,
    /// Items of batch jobs, which yield to online requests.
    Batch,
}

/// A request class.
#[record]
pub struct RequestClass {
    /// Name, as given in requests.
    pub name: String,
    /// Online or batch.
    pub kind: ClassKind,
    /// Priority; classes with lower values go first.
    pub priority: u8,
    /// Time limit of a request from its arrival, in milliseconds.
    pub deadline_ms: u64,
}

/// A model to be served.
#[record]
pub struct Model {
    /// Name, as given in requests.
    pub name: String,
    /// Number of targets that should serve the model.
    pub replicas: u32,
}

/// A plain service, which is not a model engine.
#[record]
pub struct Service {
    /// Name, as given in the request path.
    pub name: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Time limit of a call, in milliseconds.
    pub timeout_ms: u64,
}

/// A team with its own weight.
#[record]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Weight in fair sharing with other teams.
    pub weight: u64,
}

/// Scope of an exception, from widest to narrowest.
#[record]
#[derive(Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// The whole fleet; replaces the default until the exception ends.
    Fleet,
    /// Daemons and targets of one region.
    Region(String),
    /// Daemons and targets of one failure domain.
    FailureDomain(String),
    /// One instance.
    Instance(String),
    /// Requests of one class.
    Class(String),
    /// Requests for one model.
    Model(String),
    /// Requests of one team.
    Team(String),
}

/// An override of a fleet default, documented for those who pay for the fleet.
#[record]
pub struct Exception {
    /// Unique identifier of the exception.
    pub id: String,
    /// Scope in which the exception applies.
    pub scope: Scope,
    /// Setting that is overridden.
    pub setting: Setting,
    /// Value of the setting in the scope.
    pub value: u64,
    /// Reason for the exception; never empty.
    pub reason: String,
    /// Author of the exception.
    pub author: String,
    /// Revision that last changed the exception.
    pub revision: u64,
    /// Unix time at which the exception ends, if any.
    pub end: Option<Millis>,
}

/// All operator-defined configuration at one revision.
#[record]
pub struct Configuration {
    /// Revision number, incremented by each accepted change; 0 before the first.
    pub revision: u64,
    /// Fleet defaults.
    pub defaults: Defaults,
    /// Request classes by name.
    pub classes: BTreeMap<String, RequestClass>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
    /// Teams with their own weight, by name.
    pub teams: BTreeMap<String, Team>,
    /// Exceptions by identifier.
    pub exceptions: BTreeMap<String, Exception>,
}

impl Default for Configuration {
    /// Creates the initial configuration: default settings and one class of each kind.
    fn default() -> Self {
        let online = RequestClass {
            name: "online".to_owned(),
            kind: ClassKind::Online,
            priority: 0,
            deadline_ms: 60_000,
        };
        let batch = RequestClass {
            name: "batch".to_owned(),
            kind: ClassKind::Batch,
            priority: 9,
            deadline_ms: 24 * 3_600_000,
        };
        let classes = [online, batch].map(|class| (class.name.clone(), class));
        Self {
            revision: 0,
            defaults: Defaults::default(),
            classes: classes.into(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            teams: BTreeMap::new(),
            exceptions: BTreeMap::new(),
        }
    }
}
