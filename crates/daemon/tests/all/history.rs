//! Histories of concurrent operators under faults in seeded combinations of two, checked for
//! linearizability.
//!
//! The object is the configuration's revision: a change names the revision that it expects. What
//! became of a change whose answer was lost is read from the final history of changes.

use std::{
    collections::BTreeMap,
    fs,
    sync::{
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    thread,
    time::Duration, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{
            Action,
            History, //
        }, //
    },
    specifications::Specification, //
};
use yuccaseam_base::cases;
use yuccaseam_testing::{
    Caller,
    Cluster,
    Relay,
    Shape,
    Shapes,
    Signal,
    wait_until, //
};

use crate::support::places;

/// How many operators work at the same time.
const OPERATORS: usize = 4;
/// Rounds of two faults each.
const ROUNDS: usize = 4;
/// How long one fault lasts before the second begins, and the second after the first has ended.
/// Longer than an election, so that the operators go on in between.
const ALONE: Duration = Duration::from_millis(2_500);
/// How long both last together.
const TOGETHER: Duration = Duration::from_millis(1_000);
/// The pause of an operator between two calls.
const PAUSE: Duration = Duration::from_millis(25);

/// What an operator did, and what was answered.
#[derive(Clone, Debug)]
enum Operation {
    /// Read this revision.
    Read(u64),
    /// Changed the configuration at this revision.
    Change(u64),
    /// Was refused, because the configuration did not stand at this revision.
    Conflict(u64),
    /// Changed the configuration at this revision, and got no answer.
    Unanswered { expected: u64, request: String },
}

struct RevisionSpec;

impl Specification for RevisionSpec {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, state: &u64) -> (bool, u64) {
        match operation {
            Operation::Read(revision) => (revision == state, *state),
            Operation::Change(expected) | Operation::Unanswered { expected, .. } => {
                (expected == state, state + 1)
            }
            Operation::Conflict(expected) => (expected != state, *state),
        }
    }
}

/// The calls and answers of all operators, in the order of time. A call that had no effect is
/// left out at the end.
#[derive(Default)]
struct Recorder {
    next: AtomicU64,
    events: Mutex<Vec<(u64, Event)>>,
}

enum Event {
    Call,
    Answer(Operation),
    /// Had no effect.
    Void,
}

impl Recorder {
    fn call(&self) -> u64 {
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        self.note(id, Event::Call);
        id
    }

    fn note(&self, id: u64, event: Event) {
        let mut events = self.events.lock().expect("no operator panics");
        events.push((id, event));
    }

    /// The history for the checker. A change without an answer lasts to the end if it took effect.
    fn history(self, accepted: &BTreeMap<String, u64>) -> Vec<(usize, Action<Operation>)> {
        let events = self.events.into_inner().expect("no operator panics");
        let mut answers = BTreeMap::new();
        for (id, event) in &events {
            if let Event::Answer(operation) = event {
                answers.insert(*id, operation.clone());
            }
        }
        answers.retain(|_, operation| match operation {
            Operation::Unanswered { request, .. } => accepted.contains_key(request),
            _ => true,
        });
        let mut history = Vec::new();
        let mut late = Vec::new();
        for (id, event) in events {
            let Some(operation) = answers.get(&id) else {
                continue;
            };
            let process = id as usize;
            match event {
                Event::Call => history.push((process, Action::Call(operation.clone()))),
                Event::Answer(Operation::Unanswered { .. }) => {
                    late.push((process, Action::Response(operation.clone())));
                }
                Event::Answer(operation) => history.push((process, Action::Response(operation))),
                Event::Void => {}
            }
        }
        history.extend(late);
        history
    }
}

/// Three daemons with disks and a relay in each direction between two of them.
struct System {
    cluster: Cluster,
    /// By the caller and the callee.
    relays: BTreeMap<(usize, usize), Relay>,
    faults: Vec<Fault>,
}

/// What is done to the system for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Kill(usize),
    Freeze(usize),
    LoseDisk(usize),
    /// Nothing from the instance reaches the others.
    Mute(usize),
    /// Nothing from the others reaches the instance.
    Deafen(usize),
    Isolate(usize),
}

impl Fault {
    /// Whether nothing passes from one instance to another.
    fn cuts(self, from: usize, to: usize) -> bool {
        match self {
            Self::Mute(at) => from == at,
            Self::Deafen(at) => to == at,
            Self::Isolate(at) => from == at || to == at,
            Self::Kill(_) | Self::Freeze(_) | Self::LoseDisk(_) => false,
        }
    }
}

impl System {
    fn start() -> Self {
        let mut cluster = Cluster::start(&places(), &[]);
        let mut relays = BTreeMap::new();
        for from in 0..3 {
            cluster.daemons[from].kill();
            for to in (0..3).filter(|&to| to != from) {
                let relay = Relay::start("127.0.0.1:0", cluster.daemons[to].peer);
                let relay = relay.expect("a relay starts");
                let name = cluster.daemons[to].name.clone();
                let detours = &mut cluster.daemons[from].detours;
                detours.push((name, relay.address()));
                relays.insert((from, to), relay);
            }
        }
        for at in 0..3 {
            cluster.start_daemon(at);
        }
        cluster.wait_until_ready();
        Self {
            cluster,
            relays,
            faults: Vec::new(),
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..3).find(|&at| {
            let status = self.cluster.caller(at).get("/admin/v1/status");
            status.is_some_and(|status| status["replica"]["leads"] == true)
        })
    }

    /// Sets every relay as the present faults demand. A relay's forward direction is that of its
    /// caller's requests.
    fn set_relays(&self) {
        let passes = |from, to| {
            let cut = self.faults.iter().any(|fault| fault.cuts(from, to));
            Shape {
                cut,
                ..Shape::default()
            }
        };
        for (&(from, to), relay) in &self.relays {
            relay.set(Shapes {
                forward: passes(from, to),
                backward: passes(to, from),
            });
        }
    }

    fn signal(&mut self, at: usize, signal: Signal) {
        if let Some(process) = &mut self.cluster.daemons[at].process {
            process.signal(signal);
        }
    }

    fn begin(&mut self, fault: Fault) {
        self.faults.push(fault);
        self.set_relays();
        match fault {
            Fault::Kill(at) => self.kill(at),
            Fault::Freeze(at) => self.signal(at, Signal::Stop),
            Fault::LoseDisk(at) => {
                self.kill(at);
                let data = self.cluster.daemons[at].data().expect("it has a disk");
                fs::remove_dir_all(data).expect("the folder is there");
                self.cluster.start_daemon(at);
            }
            Fault::Mute(_) | Fault::Deafen(_) | Fault::Isolate(_) => {}
        }
    }

    fn kill(&mut self, at: usize) {
        if self.cluster.daemons[at].process.is_some() {
            self.cluster.daemons[at].kill();
        }
    }

    fn end(&mut self, fault: Fault) {
        self.faults.retain(|&present| present != fault);
        self.set_relays();
        match fault {
            Fault::Kill(at) => self.cluster.start_daemon(at),
            Fault::Freeze(at) => self.signal(at, Signal::Cont),
            Fault::LoseDisk(_) | Fault::Mute(_) | Fault::Deafen(_) | Fault::Isolate(_) => {}
        }
    }

    /// Waits until every instance votes again.
    fn wait_until_whole(&mut self) {
        self.cluster.wait_until_ready();
        let caller = self.cluster.caller(0);
        wait_until("every instance votes", || {
            let members = caller.get("/admin/v1/members");
            let members = members.and_then(|members| members["members"].as_array().cloned());
            members.is_some_and(|members| {
                members.len() == 3 && members.iter().all(|member| member["role"] == "voter")
            })
        });
    }

    /// One fault, then a second one beside it, then the second alone.
    fn round(&mut self, [first, second]: [Fault; 2]) {
        self.begin(first);
        thread::sleep(ALONE);
        self.begin(second);
        thread::sleep(TOGETHER);
        self.end(first);
        thread::sleep(ALONE);
        self.end(second);
        self.wait_until_whole();
    }

    /// Two faults at two instances, the first of which leads half of the time. One disk at most is lost
    /// before the group is whole again.
    fn draw(&self, rng: &mut ChaCha8Rng) -> [Fault; 2] {
        let leader = self.leader().filter(|_| rng.random_bool(0.5));
        let first = leader.unwrap_or_else(|| rng.random_range(0..3));
        let second = (first + rng.random_range(1..3)) % 3;
        let fault = |kind, at| match kind {
            0 => Fault::Kill(at),
            1 => Fault::Freeze(at),
            2 => Fault::Mute(at),
            3 => Fault::Deafen(at),
            4 => Fault::Isolate(at),
            _ => Fault::LoseDisk(at),
        };
        [
            fault(rng.random_range(0..6), first),
            fault(rng.random_range(0..5), second),
        ]
    }
}

/// One operator: reads, and mostly changes what it read, through any instance.
struct Operator<'a> {
    number: usize,
    callers: &'a [Caller],
    recorder: &'a Recorder,
    rng: ChaCha8Rng,
    known: u64,
}

impl Operator<'_> {
    fn run(mut self, stop: &AtomicBool) {
        let mut count = 0;
        while !stop.load(Ordering::SeqCst) {
            let caller = &self.callers[self.rng.random_range(0..self.callers.len())];
            self.read(caller);
            if self.rng.random_bool(0.7) {
                count += 1;
                self.change(caller, format!("{}-{count}", self.number));
            }
            thread::sleep(PAUSE);
        }
    }

    fn read(&mut self, caller: &Caller) {
        let id = self.recorder.call();
        let answer = caller.get("/admin/v1/configuration");
        let revision = answer.and_then(|answer| answer["revision"].as_u64());
        let event = match revision {
            Some(revision) => {
                self.known = revision;
                Event::Answer(Operation::Read(revision))
            }
            None => Event::Void,
        };
        self.recorder.note(id, event);
    }

    fn change(&mut self, caller: &Caller, request: String) {
        let expected = self.known;
        let body = json!({
            "request": request,
            "author": "jana",
            "expected": expected,
            "changes": [{"set_default": {"setting": "balance", "value": expected % 100}}],
        });
        let id = self.recorder.call();
        let answer = caller.post("/admin/v1/configuration", &body);
        let event = match answer {
            Ok(answer) if answer.status == 200 => {
                self.known = expected + 1;
                Event::Answer(Operation::Change(expected))
            }
            Ok(answer) if answer.status == 409 => Event::Answer(Operation::Conflict(expected)),
            Ok(answer) if answer.verdict().as_deref() == Some("not_run") => Event::Void,
            _ => Event::Answer(Operation::Unanswered { expected, request }),
        };
        self.recorder.note(id, event);
    }
}

/// Every accepted change: its request and the revision that it made.
fn accepted(caller: &Caller) -> BTreeMap<String, u64> {
    let mut accepted = BTreeMap::new();
    let mut after = 0;
    loop {
        let path = format!("/admin/v1/configuration/history?after={after}");
        let page = caller.get(&path).expect("the system is whole");
        let page = page["history"].as_array().expect("a list").clone();
        for entry in &page {
            after = entry["revision"].as_u64().expect("a revision");
            let request = entry["request"].as_str().expect("a request");
            accepted.insert(request.to_owned(), after);
        }
        if page.is_empty() {
            return accepted;
        }
    }
}

fn linearizable(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut system = System::start();
    system.wait_until_whole();
    let callers: Vec<Caller> = (0..3).map(|at| system.cluster.caller(at)).collect();
    let recorder = Recorder::default();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for number in 0..OPERATORS {
            let operator = Operator {
                number,
                callers: &callers,
                recorder: &recorder,
                rng: ChaCha8Rng::seed_from_u64(seed * 100 + number as u64),
                known: 0,
            };
            let stop = &stop;
            scope.spawn(move || operator.run(stop));
        }
        let _stop = StopOnDrop(&stop);
        for _ in 0..ROUNDS {
            let faults = system.draw(&mut rng);
            println!("seed {seed}: {faults:?}");
            system.round(faults);
        }
    });
    let accepted = accepted(&callers[0]);
    let history = recorder.history(&accepted);
    let changes = changes(&history);
    println!(
        "seed {seed}: {} changes accepted, {changes} answered",
        accepted.len()
    );
    assert!(changes > 0, "nothing was changed");
    check_order(&accepted);
    let history = History::from_actions(history);
    assert!(
        WGLChecker::<RevisionSpec>::is_linearizable(history),
        "the history of seed {seed} is not linearizable"
    );
}

/// Lets the operators end when a round panics, so that the test ends too.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

fn changes(history: &[(usize, Action<Operation>)]) -> usize {
    let answered = |action: &&(usize, Action<Operation>)| {
        matches!(action.1, Action::Response(Operation::Change(_)))
    };
    history.iter().filter(answered).count()
}

/// Each revision was made by one change, without a gap.
fn check_order(accepted: &BTreeMap<String, u64>) {
    let mut revisions: Vec<u64> = accepted.values().copied().collect();
    revisions.sort_unstable();
    let expected: Vec<u64> = (1..=revisions.len() as u64).collect();
    assert_eq!(revisions, expected);
}

cases! { linearizable:
    operators_see_one_history_seed_1(1);
    operators_see_one_history_seed_2(2);
    operators_see_one_history_seed_3(3);
}
