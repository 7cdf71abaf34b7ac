//! Random events neither leak a slot nor start more requests than there are slots.

use std::collections::BTreeSet;

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::RngSeed, //
};
use yuccaseam_admit::{
    Action,
    Balance,
    Entry,
    Event,
    Gate,
    LoadReport,
    PermitId,
    Request,
    RunId,
    Settings,
    Team, //
};
use yuccaseam_base::{
    EntityKey,
    Millis, //
};

const SLOTS: u32 = 5;

/// One step; the numbers select among the existing permits, entries and runs.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(u8),
    Finish(u8),
    Withdraw(u8),
    Disconnect(u8),
    Ready(u8),
    FirstToken(u8),
    EndRun(u8),
    Report,
    Advance(u8),
}

fn step() -> impl Strategy<Value = Step> {
    (0..12_u8, any::<u8>()).prop_map(|(kind, n)| match kind {
        0..=2 => Step::Arrive(n),
        3 | 4 => Step::Finish(n),
        5 => Step::Withdraw(n),
        6 => Step::Disconnect(n),
        7 => Step::Ready(n),
        8 => Step::FirstToken(n),
        9 => Step::EndRun(n),
        10 => Step::Report,
        _ => Step::Advance(n),
    })
}

/// Reference model of the state that the gate should have.
#[derive(Default)]
struct Driver {
    now: Millis,
    permits: u64,
    waiting: BTreeSet<(PermitId, Entry)>,
    running: BTreeSet<(PermitId, Entry)>,
    runs: BTreeSet<RunId>,
    pausing: BTreeSet<RunId>,
}

impl Driver {
    fn event(&mut self, step: Step) -> Event {
        match step {
            Step::Arrive(n) => Event::Arrived(self.request(n)),
            Step::Finish(n) => match pick(&self.running, n) {
                Some((permit, entry)) => {
                    self.running.remove(&(permit, entry));
                    Event::Finished(permit)
                }
                None => Event::Finished(PermitId(u64::MAX)),
            },
            Step::Withdraw(n) => match pick(&self.waiting, n) {
                Some((permit, entry)) => {
                    self.waiting.remove(&(permit, entry));
                    Event::Withdrawn(permit)
                }
                None => Event::Tick,
            },
            Step::Disconnect(n) => self.disconnect(Entry::from_index(n as usize % 3)),
            Step::Ready(n) => Event::BatchReady(u32::from(n % 20)),
            Step::FirstToken(n) => match pick(&self.runs, n) {
                Some(run) => Event::BatchFirstToken(run),
                None => Event::Tick,
            },
            Step::EndRun(n) => self.end_run(n),
            Step::Report => Event::Load(LoadReport {
                running: (self.running.len() + self.runs.len()) as u32,
                waiting: 0,
                kv_permille: 100,
                age: Millis::ZERO,
            }),
            Step::Advance(n) => {
                self.now += Millis(u64::from(n));
                Event::Tick
            }
        }
    }

    fn request(&mut self, n: u8) -> Request {
        self.permits += 1;
        let permit = PermitId(self.permits);
        let entry = Entry::from_index(n as usize % 3);
        self.waiting.insert((permit, entry));
        Request {
            permit,
            entry,
            team: Team::from_index(n as usize % 4),
            class: EntityKey::from_index(0),
            prompt_tokens: u32::from(n) * 30,
            answer_tokens: 100,
            weight: u32::from(n % 3),
            deadline: self.now + Millis(u64::from(n) * 4),
        }
    }

    fn disconnect(&mut self, entry: Entry) -> Event {
        self.running.retain(|(_, of)| *of != entry);
        Event::EntryDisconnected(entry)
    }

    fn end_run(&mut self, n: u8) -> Event {
        let run = pick(&self.pausing, n).or_else(|| pick(&self.runs, n));
        let Some(run) = run else {
            return Event::Tick;
        };
        self.runs.remove(&run);
        if self.pausing.remove(&run) {
            Event::BatchPaused(run)
        } else {
            Event::BatchFinished(run)
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Grant { entry, permit } => {
                assert!(
                    self.waiting.remove(&(permit, entry)),
                    "granted request was waiting"
                );
                self.running.insert((permit, entry));
            }
            Action::Refuse { entry, permit, .. } => {
                assert!(
                    self.waiting.remove(&(permit, entry)),
                    "refused request was waiting"
                );
            }
            Action::StartBatch(run) => {
                assert!(self.runs.insert(run), "run starts once");
                assert!(self.running.len() + self.runs.len() <= SLOTS as usize);
            }
            Action::PauseBatch(run) => {
                assert!(self.runs.contains(&run));
                assert!(self.pausing.insert(run), "run is paused once");
            }
        }
    }

    fn check(&self, gate: &Gate) {
        let snapshot = gate.snapshot();
        assert_eq!(snapshot.online as usize, self.running.len());
        assert_eq!(snapshot.waiting, self.waiting.len());
        assert_eq!(snapshot.batch as usize, self.runs.len());
        assert_eq!(snapshot.foreign, 0);
        assert!(snapshot.online <= SLOTS);
        assert!(snapshot.waiting == 0 || snapshot.online == SLOTS);
        let active = self.runs.len() - self.pausing.len();
        assert!(snapshot.online as usize + active <= SLOTS as usize);
    }
}

fn pick<T>(set: &BTreeSet<T>, n: u8) -> Option<T>
where
    T: Copy,
{
    let index = (n as usize).checked_rem(set.len())?;
    set.iter().nth(index).copied()
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_slot_leaks(balance in 0..=100_u8, steps in vec(step(), 1..400)) {
        let mut gate = Gate::new(Settings {
            balance: Balance::percent(balance),
            queue_limit: 6,
            permit_ttl: Millis::MAX,
            ..Settings::for_slots(SLOTS)
        });
        let mut driver = Driver::default();
        for step in steps {
            let event = driver.event(step);
            for action in gate.handle(event, driver.now) {
                driver.apply(action);
            }
            driver.check(&gate);
        }
    }
}
