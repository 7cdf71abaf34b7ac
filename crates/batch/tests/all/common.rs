//! Runner with a simulated clock, and helpers that create events.

use yuccaseam_admit::RunId;
use yuccaseam_base::{
    Millis,
    Reason,
    Verdict, //
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
    ItemSet,
    JobId,
    Lease,
    LeaseRef,
    LogIndex,
    Work, //
};

pub(crate) struct Bench {
    pub(crate) runner: Runner,
    pub(crate) now: Millis,
}

impl Bench {
    /// Creates a runner that receives these leases for its first request.
    pub(crate) fn new(leases: Vec<Lease>) -> Self {
        let mut bench = Self {
            runner: Runner::new(settings(), 5),
            now: Millis(1_000),
        };
        let actions = bench.on(Event::Tick);
        assert_eq!(actions, [Action::LeaseMore { max: 2 }]);
        bench.on(Event::Leased(leases));
        bench
    }

    pub(crate) fn on(&mut self, event: Event) -> Vec<Action> {
        self.runner.handle(event, self.now)
    }

    pub(crate) fn advance(&mut self, duration: Millis) -> Vec<Action> {
        self.now += duration;
        self.on(Event::Tick)
    }

    /// Grants a slot and returns the item started in it.
    pub(crate) fn start(&mut self, run: u64) -> Option<ItemRef> {
        self.on(Event::SlotGranted(RunId(run)))
            .into_iter()
            .find_map(|action| match action {
                Action::Start { item, .. } => Some(item),
                _ => None,
            })
    }

    pub(crate) fn finish(&mut self, run: u64) -> Vec<Action> {
        self.on(Event::Finished {
            run: RunId(run),
            line: b"result\n".to_vec(),
        })
    }

    pub(crate) fn fail(&mut self, run: u64, verdict: Verdict, transient: bool) -> Vec<Action> {
        let failure = Failure {
            verdict,
            reason: Reason::TargetFailed,
            transient,
        };
        self.on(Event::Failed {
            run: RunId(run),
            failure,
            line: b"error\n".to_vec(),
        })
    }
}

pub(crate) fn settings() -> Settings {
    Settings {
        min_available_items: 4,
        flush_items: 3,
        ..Settings::default()
    }
}

pub(crate) fn lease(chunk: u32, items: u16) -> Lease {
    let spec = ChunkSpec {
        payload: BlobId([0; 32]),
        items,
    };
    Lease {
        job: JobId([1; 16]),
        chunk,
        epoch: LogIndex(7),
        spec,
        ended: ItemSet::new(),
        suspects: Vec::new(),
        team: "t".to_owned(),
        class: "batch".to_owned(),
        work: Work::Model("m".to_owned()),
        idempotent: true,
        deadline: Millis::MAX,
    }
}

/// Lease of a non-idempotent job.
pub(crate) fn non_idempotent_lease(chunk: u32, items: u16) -> Lease {
    Lease {
        idempotent: false,
        ..lease(chunk, items)
    }
}

pub(crate) fn lease_ref(chunk: u32) -> LeaseRef {
    LeaseRef {
        job: JobId([1; 16]),
        chunk,
        epoch: LogIndex(7),
    }
}

pub(crate) fn items(items: &[u16]) -> ItemSet {
    items.iter().copied().collect()
}
