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
pub use effective::Place;
pub(crate) use history::ConfigurationStore;
pub use history::{
    ConfigurationOutcome,
    HistoryEntry,
    SetConfiguration, //
};
pub use settings::{
    Defaults,
    Reach,
    Setting, //
};
pub use validate::Problem;

/// Whether a request class is for requests that a caller waits for.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassKind {
    /// A caller waits for the answer.
    Online,
    /// Items of jobs, which yield to online requests.
    Batch,
}

/// A request class.
#[record]
pub struct RequestClass {
    /// The name that requests carry.
    pub name: String,
    /// Online or batch.
    pub kind: ClassKind,
    /// Classes of lower number go first.
    pub priority: u8,
    /// How long a request may take from its arrival, in milliseconds.
    pub deadline_ms: u64,
}

/// A model to be served.
#[record]
pub struct Model {
    /// The name that requests carry.
    pub name: String,
    /// How many targets should serve it.
    pub replicas: u32,
}

/// A plain service beside the model engines.
#[record]
pub struct Service {
    /// The name in the request's path.
    pub name: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// How long a call may take, in milliseconds.
    pub timeout_ms: u64,
}

/// A team that has a weight of its own.
#[record]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Its share beside other teams.
    pub weight: u64,
}

/// Where an exception holds.
#[record]
#[derive(Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Everywhere, in place of the default until the exception's end.
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

/// A departure from the fleet's defaults, for the payers to read.
#[record]
pub struct Exception {
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
    /// Who wrote it.
    pub author: String,
    /// The revision that brought its present form.
    pub revision: u64,
    /// When it ends, in Unix time.
    pub end: Option<Millis>,
}

/// Everything that operators set, at one revision.
#[record]
pub struct Configuration {
    /// Grows by one with each accepted change; 0 before the first.
    pub revision: u64,
    /// The fleet's defaults.
    pub defaults: Defaults,
    /// Request classes by name.
    pub classes: BTreeMap<String, RequestClass>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
    /// Teams with a weight of their own, by name.
    pub teams: BTreeMap<String, Team>,
    /// Exceptions by identifier.
    pub exceptions: BTreeMap<String, Exception>,
}

impl Default for Configuration {
    /// The configuration before any change: defaults, and one class of each kind.
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
