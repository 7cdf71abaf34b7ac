//! What a target's thread asks of the store, one request after another.

use std::{
    sync::{
        Arc,
        mpsc::{
            Receiver,
            Sender, //
        },
    },
    thread,
};

use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};
use yuccaseam_batch::{
    Action,
    Event, //
};
use yuccaseam_state::{
    CompleteItems,
    ItemSet,
    Lease,
    LeaseChunks,
    LeaseRef,
    MarkSuspects,
    Operation,
    Outcome,
    ReleaseChunk,
    StartItems,
    Work, //
};

use crate::context::Context;

use super::{
    Input,
    LeasedChunk,
    payload::Payload,
    validity::Validity, //
};

/// The pause before a request that found no quorum is repeated.
const PAUSE: Millis = Millis(200);

/// Carries out the actions of one runner until it is gone.
pub(super) struct Storing {
    pub(super) cx: Arc<Context>,
    /// What the target serves.
    pub(super) work: Work,
    pub(super) validity: Arc<Validity>,
    pub(super) tx: Sender<Input>,
}

impl Storing {
    pub(super) fn run(&self, actions: &Receiver<Action>) {
        for action in actions {
            if let Some(input) = self.carry_out(action)
                && self.tx.send(input).is_err()
            {
                return;
            }
        }
    }

    fn carry_out(&self, action: Action) -> Option<Input> {
        match action {
            Action::LeaseMore { max } => Some(self.lease(max)),
            Action::MarkStarted { lease, items } => {
                let outcome = self.propose(StartItems { lease, items });
                Some(Input::Runner(match outcome {
                    Ok(Outcome::Started(items)) => Event::Started { lease, items },
                    other => lost(lease, &other),
                }))
            }
            Action::MarkSuspects {
                lease,
                items,
                alone,
                death,
            } => {
                let outcome = self.propose(MarkSuspects {
                    lease,
                    items,
                    alone,
                    death,
                });
                Some(Input::Runner(match outcome {
                    Ok(Outcome::Marked(marked)) => Event::Marked {
                        lease,
                        suspects: marked.suspects,
                        failed: marked.failed,
                    },
                    other => lost(lease, &other),
                }))
            }
            Action::Flush {
                lease,
                results,
                done,
                failed,
            } => Some(Input::Runner(self.flush(CompleteItems {
                lease,
                result: Some(self.put(&results)),
                done,
                failed,
            }))),
            Action::Release { lease, not_run } => {
                self.release(lease, not_run);
                None
            }
            Action::Start { .. } | Action::Stop(_) | Action::Unused(_) | Action::Ready(_) => None,
        }
    }

    /// Leases chunks and reads their items. A chunk whose items cannot be read goes back.
    fn lease(&self, max: u16) -> Input {
        if !self.cx.store.has_waiting(&self.work) {
            return Input::Leased(Vec::new());
        }
        let owner = self.cx.store.owner().clone();
        let asked_at = self.cx.clock.now();
        let outcome = self.cx.store.propose(
            &self.cx,
            LeaseChunks {
                owner,
                serves: vec![self.work.clone()],
                max,
            },
        );
        let leases = match outcome {
            Ok(Outcome::Leased(leases)) => {
                self.validity.renewed(asked_at);
                leases
            }
            other => {
                log::debug!("no leases: {other:?}");
                Vec::new()
            }
        };
        Input::Leased(
            leases
                .into_iter()
                .filter_map(|lease| self.read(lease))
                .collect(),
        )
    }

    fn read(&self, lease: Lease) -> Option<LeasedChunk> {
        match self.cx.store.get_blob(&self.cx, &lease.spec.payload) {
            Ok(blob) => Some(LeasedChunk {
                lease,
                payload: Arc::new(Payload::parse(&blob)),
            }),
            Err(refusal) => {
                log::warn!(
                    "chunk {} of {} cannot be read: {refusal}",
                    lease.chunk,
                    lease.job
                );
                let lease = LeaseRef {
                    job: lease.job,
                    chunk: lease.chunk,
                    epoch: lease.epoch,
                };
                self.release(lease, ItemSet::new());
                None
            }
        }
    }

    fn flush(&self, report: CompleteItems) -> Event {
        let lease = report.lease;
        match self.propose(report) {
            Ok(Outcome::Completed(completion)) => Event::Flushed {
                lease,
                late: completion.late || completion.dropped > 0,
                chunk_ended: completion.chunk_ended,
            },
            other => {
                lost(lease, &other);
                Event::Flushed {
                    lease,
                    late: true,
                    chunk_ended: false,
                }
            }
        }
    }

    fn release(&self, lease: LeaseRef, not_run: ItemSet) {
        if let Err(refusal) = self.propose(ReleaseChunk { lease, not_run }) {
            log::warn!(
                "chunk {} of {} is not returned: {refusal}",
                lease.chunk,
                lease.job
            );
        }
    }

    /// Stores a result blob on a majority, however long that takes.
    fn put(&self, results: &[u8]) -> yuccaseam_state::BlobId {
        loop {
            match self.cx.store.put_blobs(&self.cx, vec![results.to_vec()]) {
                Ok(ids) if ids.len() == 1 => return ids[0],
                Ok(_) => log::error!("the store answered for another number of blobs"),
                Err(refusal) => log::warn!("results are not stored: {refusal}"),
            }
            thread::sleep(PAUSE.duration());
        }
    }

    /// Proposes an operation until the state machine answers.
    fn propose<T>(&self, operation: T) -> Result<Outcome, Refusal>
    where
        T: Into<Operation>,
    {
        let operation = operation.into();
        loop {
            match self.cx.store.propose(&self.cx, operation.clone()) {
                Err(refusal) if is_passing(&refusal) => {
                    log::debug!("proposing again: {refusal}");
                    thread::sleep(PAUSE.duration());
                }
                outcome => return outcome,
            }
        }
    }
}

/// Whether the state machine has not answered.
fn is_passing(refusal: &Refusal) -> bool {
    matches!(
        refusal.reason,
        Reason::NoQuorum | Reason::NotReady | Reason::DiskFull | Reason::OwnerUnreachable
    )
}

fn lost(lease: LeaseRef, outcome: &Result<Outcome, Refusal>) -> Event {
    log::info!(
        "chunk {} of {} is lost: {outcome:?}",
        lease.chunk,
        lease.job
    );
    Event::LeaseLost(lease)
}
