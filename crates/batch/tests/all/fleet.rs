//! Simulation of several owners on one replicated state, with failed runs, dying targets, pauses
//! and owners that fail: every item ends exactly once.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccaseam_admit::RunId;
use yuccaseam_base::{
    Millis,
    Reason,
    Verdict,
    cases, //
};
use yuccaseam_batch::{
    Action,
    Event,
    Failure,
    ItemRef,
    Runner,
    Settings, //
};
use yuccaseam_state::{
    BlobId,
    ChunkSpec,
    Command,
    CompleteItems,
    CreateJob,
    ExpireOwner,
    Fingerprint,
    JobId,
    JobState,
    LeaseChunks,
    LogIndex,
    MarkSuspects,
    Outcome,
    OwnerId,
    Query,
    QueryResult,
    ReleaseChunk,
    RenewLeases,
    StartItems,
    State,
    Work, //
};

const SLOTS: usize = 4;
const OWNERS: usize = 3;
const STEP: Millis = Millis(50);
const STEPS: u64 = 20_000;
/// Item that kills its target.
const POISON_ITEM: u16 = 2;

struct Running {
    run: RunId,
    item: ItemRef,
    steps_left: u32,
    stop_requested: bool,
}

struct Owner {
    id: OwnerId,
    runner: Runner,
    running: Vec<Running>,
    next_run: u64,
}

struct Fleet {
    state: State,
    index: u64,
    now: Millis,
    owners: Vec<Owner>,
    rng: ChaCha8Rng,
    idempotent: bool,
    /// Number of times each item was sent.
    sent: std::collections::BTreeMap<(u32, u16), u32>,
    job: JobId,
}

impl Fleet {
    fn new(seed: u64, idempotent: bool) -> Self {
        let mut fleet = Self {
            state: State::new(),
            index: 0,
            now: Millis::from_secs(1_000_000),
            owners: (0..OWNERS).map(|number| owner(number, 1)).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            idempotent,
            sent: Default::default(),
            job: JobId::of_key("t", "k"),
        };
        let spec = |number: u8| ChunkSpec {
            payload: BlobId([number; 32]),
            items: 10,
        };
        fleet.apply(CreateJob {
            job: fleet.job,
            fingerprint: Fingerprint([0; 16]),
            team: "t".to_owned(),
            class: "batch".to_owned(),
            work: work(),
            idempotent,
            deadline: Millis::MAX,
            chunks: (0..8).map(spec).collect(),
        });
        fleet
    }

    fn apply<T>(&mut self, operation: T) -> Outcome
    where
        T: Into<yuccaseam_state::Operation>,
    {
        self.index += 1;
        let command = Command::new(self.now, operation);
        self.state.apply(LogIndex(self.index), &command)
    }

    fn handle(&mut self, number: usize, event: Event) {
        let actions = self.owners[number].runner.handle(event, self.now);
        for action in actions {
            self.execute(number, action);
        }
    }

    fn execute(&mut self, number: usize, action: Action) {
        let owner = &mut self.owners[number];
        let reply = match action {
            Action::LeaseMore { max } => {
                let id = owner.id.clone();
                let serves = vec![work()];
                match self.apply(LeaseChunks {
                    owner: id,
                    serves,
                    max,
                }) {
                    Outcome::Leased(leases) => Event::Leased(leases),
                    other => panic!("{other:?}"),
                }
            }
            Action::MarkStarted { lease, items } => match self.apply(StartItems { lease, items }) {
                Outcome::Started(items) => Event::Started { lease, items },
                _ => Event::LeaseLost(lease),
            },
            Action::MarkSuspects {
                lease,
                items,
                alone,
                death,
            } => match self.apply(MarkSuspects {
                lease,
                items,
                alone,
                death,
            }) {
                Outcome::Marked(marked) => Event::Marked {
                    lease,
                    suspects: marked.suspects,
                    failed: marked.failed,
                },
                _ => Event::LeaseLost(lease),
            },
            Action::Flush {
                lease,
                results,
                done,
                failed,
            } => match self.apply(CompleteItems {
                lease,
                result: Some(BlobId::of(&results)),
                done,
                failed,
            }) {
                Outcome::Completed(completion) => Event::Flushed {
                    lease,
                    late: completion.late,
                    chunk_ended: completion.chunk_ended,
                },
                other => panic!("{other:?}"),
            },
            Action::Release { lease, not_run } => {
                self.apply(ReleaseChunk { lease, not_run });
                return;
            }
            Action::Start { run, item, .. } => {
                let steps_left = self.rng.random_range(1..30);
                *self.sent.entry((item.lease.chunk, item.item)).or_default() += 1;
                self.owners[number].running.push(Running {
                    run,
                    item,
                    steps_left,
                    stop_requested: false,
                });
                return;
            }
            Action::Stop(run) => {
                let mut running = owner.running.iter_mut();
                if let Some(running) = running.find(|running| running.run == run) {
                    running.stop_requested = true;
                }
                return;
            }
            Action::SlotUnused(_) | Action::Ready(_) => return,
        };
        self.handle(number, reply);
    }

    /// Simulates one step of an owner and its target.
    fn step(&mut self, number: usize) {
        self.handle(number, Event::Tick);
        if self.owners[number].running.len() < SLOTS {
            let run = RunId(self.owners[number].next_run);
            self.owners[number].next_run += 1;
            self.handle(number, Event::SlotGranted(run));
        }
        self.run_target(number);
        let chance = self.rng.random_range(0..1_000);
        match chance {
            0..3 => self.restart_owner(number),
            3..13 => {
                if let Some(running) = self.owners[number].running.last() {
                    let run = running.run;
                    self.handle(number, Event::Pause(run));
                }
            }
            _ => (),
        }
    }

    fn run_target(&mut self, number: usize) {
        let mut ended = Vec::new();
        let mut died = false;
        let rng = &mut self.rng;
        self.owners[number].running.retain_mut(|running| {
            running.steps_left -= 1;
            let poison = running.item.lease.chunk == 0 && running.item.item == POISON_ITEM;
            if running.stop_requested {
                ended.push(Event::Stopped {
                    run: running.run,
                    tokens: 1,
                });
                return false;
            }
            if running.steps_left > 0 {
                return true;
            }
            died |= poison;
            ended.push(end_event(rng, running, poison));
            false
        });
        for event in ended {
            self.handle(number, event);
        }
        if died {
            self.owners[number].running.clear();
            self.handle(number, Event::TargetDied);
        }
    }

    /// Restarts the owner's process without its state; with a probability of one half its leases
    /// expire at once.
    fn restart_owner(&mut self, number: usize) {
        let old = self.owners[number].id.clone();
        self.owners[number] = owner(number, old.incarnation + 1);
        if self.rng.random_bool(0.5) {
            self.apply(ExpireOwner { owner: old });
        }
    }

    fn status(&self) -> yuccaseam_state::JobStatus {
        match self.state.query(&Query::Job(self.job)) {
            QueryResult::Job(status) => status,
            other => panic!("{other:?}"),
        }
    }

    /// Runs until the job has ended.
    fn run(&mut self) {
        for step in 0..STEPS {
            self.now += STEP;
            for number in 0..OWNERS {
                self.step(number);
            }
            if step % 100 == 0 {
                for number in 0..OWNERS {
                    let owner = self.owners[number].id.clone();
                    self.apply(RenewLeases { owner });
                }
            }
            if self.status().state == JobState::Completed {
                return;
            }
        }
        panic!("the job did not end: {:?}", self.status());
    }
}

fn end_event(rng: &mut ChaCha8Rng, running: &Running, poison: bool) -> Event {
    let run = running.run;
    if poison {
        return Event::Cut { run, tokens: 0 };
    }
    if rng.random_ratio(1, 20) {
        let failure = Failure {
            verdict: Verdict::MayHaveRun,
            reason: Reason::TargetFailed,
            transient: true,
        };
        let line = b"error\n".to_vec();
        return Event::Failed { run, failure, line };
    }
    let ItemRef { lease, item } = running.item;
    let line = format!("{} {item} {}\n", lease.chunk, lease.epoch).into_bytes();
    Event::Finished { run, line }
}

fn work() -> Work {
    Work::Model("m".to_owned())
}

fn owner(number: usize, incarnation: u64) -> Owner {
    let cfg = Settings {
        min_available_items: 8,
        flush_items: 4,
        max_attempts: 6,
        ..Settings::default()
    };
    Owner {
        id: OwnerId {
            instance: format!("owner-{number}").as_str().into(),
            incarnation,
        },
        runner: Runner::new(cfg, number as u64),
        running: Vec::new(),
        next_run: 0,
    }
}

fn every_item_ends(seed: u64) {
    let mut fleet = Fleet::new(seed, true);
    fleet.run();
    let status = fleet.status();
    let expected = (79, 1);
    assert_eq!(
        (status.done, status.failed),
        expected,
        "only the poison item fails"
    );
}

cases! { every_item_ends:
    seed_1(1);
    seed_2(2);
    seed_3(3);
    seed_4(4);
    seed_5(5);
}

fn no_item_is_sent_twice(seed: u64) {
    let mut fleet = Fleet::new(seed, false);
    fleet.run();
    let status = fleet.status();
    assert_eq!(status.done + status.failed, 80);
    assert!(!fleet.idempotent);
    let most = fleet.sent.values().max();
    assert_eq!(most, Some(&1), "a call that may have run is not repeated");
}

cases! { no_item_is_sent_twice:
    once_seed_1(1);
    once_seed_2(2);
    once_seed_3(3);
    once_seed_4(4);
}
