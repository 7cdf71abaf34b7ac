//! Snapshot test of a complete operator session.

use std::fmt::Write;

use yuccaseam_base::Millis;
use yuccaseam_state::{
    CancelJob,
    ConfigurationChange,
    Model,
    NewException,
    Operation,
    Query,
    QueryResult,
    Scope,
    Service,
    SetConfiguration,
    Setting, //
};

use crate::common::{
    Machine,
    done,
    items,
    job,
    owner,
    set, //
};

/// Text of the session: each operation with its outcome.
struct Transcript {
    machine: Machine,
    text: String,
}

impl Transcript {
    fn run<T>(&mut self, title: &str, operation: T)
    where
        T: Into<Operation>,
    {
        self.machine.now += Millis(1_500);
        let outcome = self.machine.apply(operation);
        writeln!(self.text, "# {title}\n{outcome:#?}\n").expect("writing to a string succeeds");
    }

    fn read(&mut self, title: &str, query: &Query) {
        let result = self.machine.state.query(query);
        let text = match result {
            QueryResult::Configuration(configuration) => {
                serde_json::to_string_pretty(&configuration)
                    .expect("a configuration serializes to JSON")
            }
            other => format!("{other:#?}"),
        };
        writeln!(self.text, "# {title}\n{text}\n").expect("writing to a string succeeds");
    }
}

fn first_setup() -> SetConfiguration {
    let model = Model {
        name: "lagging-llm".to_owned(),
        replicas: 9,
    };
    let service = Service {
        name: "order-desk".to_owned(),
        idempotent: false,
        timeout_ms: 10_000,
    };
    let changes = vec![
        ConfigurationChange::PutModel(model),
        ConfigurationChange::PutService(service),
        ConfigurationChange::SetDefault {
            setting: Setting::Balance,
            value: 20,
        },
    ];
    set("setup", 0, changes)
}

fn exception(reason: &str) -> ConfigurationChange {
    ConfigurationChange::PutException(NewException {
        id: "frost".to_owned(),
        scope: Scope::Region("morava".to_owned()),
        setting: Setting::OnlineHeadroom,
        value: 6,
        reason: reason.to_owned(),
        end: Some(Millis::from_secs(1_100_000)),
    })
}

#[test]
fn operator_session() {
    let mut session = Transcript {
        machine: Machine::new(),
        text: String::new(),
    };
    session.run("Alena sets the fleet up", first_setup());
    let mut racing = set("racing", 0, vec![exception("trenches are open")]);
    racing.author = "Bohdan".to_owned();
    session.run("Bohdan loses the race", racing);
    let unexplained = set("unexplained", 1, vec![exception("")]);
    session.run("an exception without a reason", unexplained);
    let mut frost = set("frost", 1, vec![exception("trenches are open until March")]);
    frost.author = "Bohdan".to_owned();
    session.run("Bohdan adds the exception", frost);
    session.run("Alena resends after losing the answer", first_setup());
    session.read("the configuration", &Query::Configuration);
    let history = Query::ConfigurationHistory {
        after: 0,
        limit: 10,
    };
    session.read("its history", &history);
    let create = job("works-council", "summaries", &[2, 2]);
    session.run("a job", create.clone());
    let lease = session.machine.lease(&owner("entry-1", 1), 1).remove(0);
    session.run("some results", done(&lease, items(&[1]), "results"));
    session.run("the cancel", CancelJob { job: create.job });
    session.read("the job", &Query::Job(create.job));
    session.read("the summary", &Query::Summary);
    insta::assert_snapshot!(session.text);
}
