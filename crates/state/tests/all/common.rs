//! Test harness: a state machine with a log index and a clock, and builders for commands.

use assert_matches::assert_matches;
use yuccaseam_base::{
    Millis,
    Reason, //
};
use yuccaseam_state::{
    BlobId,
    ChunkSpec,
    Command,
    CompleteItems,
    Completion,
    ConfigurationChange,
    ConfigurationOutcome,
    CreateJob,
    FailedItem,
    Fingerprint,
    ItemSet,
    JobId,
    JobStatus,
    Lease,
    LeaseChunks,
    LeaseRef,
    LogIndex,
    Operation,
    Outcome,
    OwnerId,
    Query,
    SetConfiguration,
    Setting,
    State,
    Work, //
};

pub(crate) const MODEL: &str = "lagging-llm";
pub(crate) const HOUR: Millis = Millis::from_secs(3_600);

pub(crate) struct Machine {
    pub(crate) state: State,
    pub(crate) index: u64,
    pub(crate) now: Millis,
}

impl Machine {
    pub(crate) fn new() -> Self {
        Self {
            state: State::new(),
            index: 0,
            now: Millis::from_secs(1_000_000),
        }
    }

    pub(crate) fn apply<T>(&mut self, operation: T) -> Outcome
    where
        T: Into<Operation>,
    {
        self.index += 1;
        let command = Command::new(self.now, operation);
        self.state.apply(LogIndex(self.index), &command)
    }

    /// Advances the clock in steps of at most 600 s, the largest advance of the state per command.
    pub(crate) fn wait(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now = end.min(self.now + Millis::from_secs(600));
            self.apply(Operation::ExpireOld);
        }
    }

    pub(crate) fn set(
        &mut self,
        request: &str,
        expected_revision: u64,
        changes: Changes,
    ) -> Outcome {
        self.apply(set(request, expected_revision, changes))
    }

    /// Sets a fleet default at the current revision.
    pub(crate) fn set_default(&mut self, setting: Setting, value: u64) {
        let revision = self.state.configuration().revision;
        let request = format!("default {} {revision}", setting.name());
        let change = ConfigurationChange::SetDefault { setting, value };
        let outcome = self.set(&request, revision, vec![change]);
        assert_matches!(
            outcome,
            Outcome::Configuration(ConfigurationOutcome::Accepted { .. })
        );
    }

    pub(crate) fn create(&mut self, create: &CreateJob) -> JobId {
        let outcome = self.apply(create.clone());
        assert_matches!(outcome, Outcome::JobCreated(_));
        create.job
    }

    pub(crate) fn lease(&mut self, owner: &OwnerId, max: u16) -> Vec<Lease> {
        let request = LeaseChunks {
            owner: owner.clone(),
            serves: vec![model(), order_desk()],
            max,
        };
        match self.apply(request) {
            Outcome::Leased(leases) => leases,
            other => panic!("no leases: {other:?}"),
        }
    }

    pub(crate) fn complete(&mut self, report: CompleteItems) -> Completion {
        match self.apply(report) {
            Outcome::Completed(completion) => completion,
            other => panic!("not completed: {other:?}"),
        }
    }

    pub(crate) fn status(&self, job: JobId) -> JobStatus {
        match self.state.query(&Query::Job(job)) {
            yuccaseam_state::QueryResult::Job(status) => status,
            other => panic!("no status: {other:?}"),
        }
    }
}

pub(crate) type Changes = Vec<ConfigurationChange>;

pub(crate) fn set(request: &str, expected_revision: u64, changes: Changes) -> SetConfiguration {
    SetConfiguration {
        request: request.to_owned(),
        expected_revision,
        author: "Alena".to_owned(),
        changes,
    }
}

pub(crate) fn model() -> Work {
    Work::Model(MODEL.to_owned())
}

pub(crate) fn order_desk() -> Work {
    Work::Service("order-desk".to_owned())
}

pub(crate) fn owner(instance: &str, incarnation: u64) -> OwnerId {
    OwnerId {
        instance: instance.into(),
        incarnation,
    }
}

pub(crate) fn blob(name: &str) -> BlobId {
    BlobId::of(name.as_bytes())
}

/// Creates a job due in a day. `chunks` gives the number of items of each chunk.
pub(crate) fn job(team: &str, key: &str, chunks: &[u16]) -> CreateJob {
    let spec = |(number, &items): (usize, &u16)| ChunkSpec {
        payload: blob(&format!("{team} {key} {number}")),
        items,
    };
    CreateJob {
        job: JobId::of_key(team, key),
        fingerprint: Fingerprint::of(format!("{team} {key} {chunks:?}").as_bytes()),
        team: team.to_owned(),
        class: "batch".to_owned(),
        work: model(),
        idempotent: true,
        deadline: Millis::from_secs(1_000_000) + HOUR * 24,
        chunks: chunks.iter().enumerate().map(spec).collect(),
    }
}

pub(crate) fn lease_ref(lease: &Lease) -> LeaseRef {
    LeaseRef {
        job: lease.job,
        chunk: lease.chunk,
        epoch: lease.epoch,
    }
}

pub(crate) fn items(items: &[u16]) -> ItemSet {
    items.iter().copied().collect()
}

pub(crate) fn done(lease: &Lease, items: ItemSet, result: &str) -> CompleteItems {
    CompleteItems {
        lease: lease_ref(lease),
        result: Some(blob(result)),
        done: items,
        failed: Vec::new(),
    }
}

pub(crate) fn failed(lease: &Lease, item: u16, reason: Reason) -> CompleteItems {
    CompleteItems {
        lease: lease_ref(lease),
        result: None,
        done: ItemSet::new(),
        failed: vec![FailedItem { item, reason }],
    }
}

pub(crate) fn refusal(outcome: Outcome) -> Reason {
    match outcome {
        Outcome::Refused(refusal) => refusal.reason,
        other => panic!("not refused: {other:?}"),
    }
}
