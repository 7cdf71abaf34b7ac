//! Two faults together, in an order that a seed gives, under every kind of work at once: what
//! callers were told is compared with what the targets recorded.

use std::{
    thread,
    time::Duration, //
};

use rand::{
    Rng,
    SeedableRng,
    seq::SliceRandom, //
};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_testing::{
    Answer,
    Caller,
    Cluster,
    Cut,
    Entry,
    Figures,
    Item,
    Link,
    LoadPhase,
    Schedule,
    Signal,
    run_online,
    wait_until, //
};

use crate::support::{
    places,
    runs, //
};

/// The daemon that callers of streams don't use, as it may die.
const MAY_DIE: usize = 1;

/// How many orders are sent during the faults.
const ORDERS: u64 = 80;

/// The time between two orders.
const ORDER_GAP: Duration = Duration::from_millis(100);

/// How long an order runs, so that some run when a fault comes.
const SLOW: Millis = Millis(400);

/// When an order is sent again, which is while it runs.
const RESEND: Duration = Duration::from_millis(150);

/// How long a fault lasts before it is mended.
const FAULT: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A daemon is killed, and started again.
    KilledDaemon,
    /// A daemon is frozen, and wakes.
    FrozenDaemon,
    /// A worker is killed.
    KilledWorker,
    /// A copy of the order desk is killed.
    KilledDesk,
    /// The link between the regions is cut in silence, and heals.
    CutLink,
}

const FAULTS: [Fault; 5] = [
    Fault::KilledDaemon,
    Fault::FrozenDaemon,
    Fault::KilledWorker,
    Fault::KilledDesk,
    Fault::CutLink,
];

struct System {
    cluster: Cluster,
    link: Link,
}

impl System {
    fn start() -> Self {
        let places = places();
        let mut cluster = Cluster::new(&places, &[]);
        let link = cluster.join_regions_by_link();
        cluster.start_daemons();
        for (index, place) in places.iter().enumerate() {
            cluster.start_engine(&format!("w{index}"), place, &[]);
            cluster.start_service(&format!("desk{index}"), place, &[]);
        }
        cluster.wait_until_ready();
        Self { cluster, link }
    }

    fn begin(&mut self, fault: Fault) {
        let cut = Cut {
            sends: true,
            receives: true,
        };
        match fault {
            Fault::KilledDaemon => self.cluster.daemons[MAY_DIE].kill(),
            Fault::FrozenDaemon => self.signal(Signal::Stop),
            Fault::KilledWorker => self.kill_target("w1"),
            Fault::KilledDesk => self.kill_target("desk1"),
            Fault::CutLink => self.link.cut("cechy", cut),
        }
    }

    fn mend(&mut self, fault: Fault) {
        match fault {
            Fault::KilledDaemon => self.cluster.start_daemon(MAY_DIE),
            Fault::FrozenDaemon => self.signal(Signal::Cont),
            Fault::KilledWorker | Fault::KilledDesk => {}
            Fault::CutLink => self.link.heal(),
        }
    }

    /// A daemon that was killed before can't be frozen.
    fn signal(&mut self, signal: Signal) {
        if let Some(process) = &mut self.cluster.daemons[MAY_DIE].process {
            process.signal(signal);
        }
    }

    fn kill_target(&mut self, name: &str) {
        let target = self.cluster.targets.get_mut(name);
        target.expect("it was started").process.kill();
    }
}

/// An order with the answer to each time it was sent; none where the connection broke.
struct Told {
    order: String,
    answers: Vec<Option<Answer>>,
}

/// Sends an order, and beside that again through the next daemon, as a client does that believes
/// its first call lost.
fn send_order(callers: &[Caller], number: u64) -> Told {
    let order = format!("order-{number}");
    let answers = thread::scope(|scope| {
        let first = scope.spawn(|| send_until_known(callers, number as usize, &order));
        thread::sleep(RESEND);
        let mut answers = send_until_known(callers, number as usize + 1, &order);
        answers.extend(first.join().expect("no panic"));
        answers
    });
    Told { order, answers }
}

/// Sends an order through one daemon, and the next while the answer is lost or "not run".
fn send_until_known(callers: &[Caller], first: usize, order: &str) -> Vec<Option<Answer>> {
    let body = json!({ "order": order, "slow": SLOW.0 });
    let mut answers = Vec::new();
    for attempt in 0..4 {
        let caller = &callers[(first + attempt) % callers.len()];
        let caller = caller.clone().with_header("Idempotency-Key", order);
        let answer = caller.post("/services/order-desk/orders", &body).ok();
        let verdict = answer.as_ref().and_then(Answer::verdict);
        let is_known = answer.is_some() && verdict.as_deref() != Some("not_run");
        answers.push(answer);
        if is_known {
            break;
        }
    }
    answers
}

fn send_orders(callers: &[Caller]) -> Vec<Told> {
    thread::scope(|scope| {
        let mut senders = Vec::new();
        for number in 0..ORDERS {
            senders.push(scope.spawn(move || send_order(callers, number)));
            thread::sleep(ORDER_GAP);
        }
        let joined = senders.into_iter().map(|sender| sender.join());
        joined.map(|told| told.expect("no panic")).collect()
    })
}

fn check_orders(told: &[Told], records: &[Entry]) {
    let mut answered = 0;
    for Told { order, answers } in told {
        let ran = runs(records, order);
        assert!(ran <= 1, "{order} ran {ran} times: {answers:?}");
        let all = answers.iter().flatten();
        let receipts: Vec<_> = all.filter(|answer| answer.status == 200).collect();
        if let Some(receipt) = receipts.first() {
            assert_eq!(ran, 1, "{order} was answered: {answers:?}");
            let same = |other: &&Answer| other.json() == receipt.json();
            assert!(receipts.iter().all(same), "{order}: {receipts:?}");
            answered += 1;
        }
        let verdicts = answers.iter().flatten().map(Answer::verdict);
        let all_not_run = verdicts
            .clone()
            .all(|told| told.as_deref() == Some("not_run"));
        if all_not_run && verdicts.count() == answers.len() {
            assert_eq!(ran, 0, "{order} was told not run: {answers:?}");
        }
    }
    assert!(answered > told.len() / 2, "{answered} orders were answered");
}

/// Streams through daemons that stay alive are whole, wrong never; one that the link is cut from
/// may refuse.
fn check_streams(figures: &Figures) {
    let outcomes = figures.report().outcomes;
    for outcome in ["wrong", "cut", "hung_up"] {
        assert_eq!(figures.count(outcome), 0, "{outcomes:?}");
    }
    assert!(figures.count("whole") > 0, "{outcomes:?}");
}

fn questions(seed: u64) -> Schedule {
    let phases = vec![LoadPhase {
        name: "faults".to_owned(),
        length: ORDER_GAP * ORDERS as u32,
        rate: 12.0,
    }];
    Schedule {
        seed,
        phases,
        tokens: 60,
    }
}

fn items() -> Vec<Item> {
    let item = |number| Item {
        id: format!("item-{number}"),
        prompt: format!("tender {number}"),
        tokens: 24,
    };
    (0..600).map(item).collect()
}

fn two_faults(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = FAULTS;
    faults.shuffle(&mut rng);
    let [first, second] = [faults[0], faults[1]];
    let offset = Duration::from_millis(rng.random_range(0..3_000));
    println!("seed {seed}: {first:?}, {second:?} {offset:?} after it");

    let mut system = System::start();
    let callers: Vec<_> = (0..3).map(|index| system.cluster.caller(index)).collect();
    let steady = [callers[0].clone(), callers[2].clone()];
    let items = items();
    let created = callers[MAY_DIE].create_job("lagging-llm", "job", &items);
    let created = created.expect("the daemon answers").json();
    let (told, figures) = thread::scope(|scope| {
        let orders = scope.spawn(|| send_orders(&callers));
        let online = scope.spawn(|| run_online(&questions(seed), &steady, "lagging-llm"));
        thread::sleep(Duration::from_secs(1));
        system.begin(first);
        thread::sleep(offset);
        system.begin(second);
        thread::sleep(FAULT);
        system.mend(first);
        system.mend(second);
        (
            orders.join().expect("no panic"),
            online.join().expect("no panic"),
        )
    });
    check_streams(&figures[0]);

    let job = created["id"].as_str().expect("a job has an identifier");
    wait_until("the job completes", || {
        let state = callers[0].job(job).unwrap_or_default();
        state["status"] == "completed"
    });
    let results = callers[2].results(job).expect("results are readable");
    assert_eq!(results.len(), items.len());
    for (item, result) in items.iter().zip(&results) {
        assert!(item.is_answered_by(result), "{result}");
    }
    check_orders(&told, &system.cluster.records());
}

cases! { two_faults:
    a_desk_and_a_daemon_are_killed(2);
    a_worker_is_killed_and_the_link_cut(4);
    a_daemon_is_killed_and_a_worker_too(14);
    a_daemon_is_frozen_and_the_link_cut(13);
    the_link_is_cut_and_a_daemon_frozen(15);
}
