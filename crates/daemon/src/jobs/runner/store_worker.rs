//! Executes the store operations of a target's thread, one after another.

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
    validity::LeaseValidity, //
};

/// Pause before an operation that found no quorum is retried.
const RETRY_BACKOFF: Millis = Millis(200);

/// Executes the store actions of one runner until the runner's thread ends.
pub(super) struct StoreWorker {
    pub(super) cx: Arc<Context>,
    /// Model or service of the target.
    pub(super) work: Work,
    pub(super) validity: Arc<LeaseValidity>,
    pub(super) tx: Sender<Input>,
}

impl StoreWorker {
    pub(super) fn run(&self, actions: &Receiver<Action>) {
        for action in actions {
            if let Some(input) = self.execute(action)
                && self.tx.send(input).is_err()
            {
                return;
            }
        }
    }

    fn execute(&self, action: Action) -> Option<Input> {
        match action {
            Action::LeaseMore { max } => Some(self.lease_chunks(max)),
            Action::MarkStarted { lease, items } => {
                let outcome = self.propose(StartItems { lease, items });
                Some(Input::Runner(match outcome {
                    Ok(Outcome::Started(items)) => Event::Started { lease, items },
                    other => lease_lost(lease, &other),
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
                    other => lease_lost(lease, &other),
                }))
            }
            Action::Flush {
                lease,
                results,
                done,
                failed,
            } => Some(Input::Runner(self.flush(CompleteItems {
                lease,
                result: Some(self.put_results(&results)),
                done,
                failed,
            }))),
            Action::Release { lease, not_run } => {
                self.release(lease, not_run);
                None
            }
            Action::Start { .. } | Action::Stop(_) | Action::SlotUnused(_) | Action::Ready(_) => {
                None
            }
        }
    }

    /// Leases chunks and reads their items. A chunk whose items cannot be read is returned.
    fn lease_chunks(&self, max: u16) -> Input {
        if !self.cx.store.has_waiting(&self.work) {
            return Input::Leased(Vec::new());
        }
        let owner = self.cx.store.owner().clone();
        let sent_at = self.cx.clock.now();
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
                self.validity.record_renewal(sent_at);
                leases
            }
            other => {
                log::debug!("no chunk leased: {other:?}");
                Vec::new()
            }
        };
        Input::Leased(
            leases
                .into_iter()
                .filter_map(|lease| self.read_payload(lease))
                .collect(),
        )
    }

    fn read_payload(&self, lease: Lease) -> Option<LeasedChunk> {
        match self.cx.store.get_blob(&self.cx, &lease.spec.payload) {
            Ok(blob) => Some(LeasedChunk {
                lease,
                payload: Arc::new(Payload::parse(&blob)),
            }),
            Err(refusal) => {
                log::warn!(
                    "cannot read chunk {} of job {}: {refusal}",
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
                lease_lost(lease, &other);
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
                "cannot return chunk {} of job {}: {refusal}",
                lease.chunk,
                lease.job
            );
        }
    }

    /// Stores a result blob on a majority of voters. Retries without limit.
    fn put_results(&self, results: &[u8]) -> yuccaseam_state::BlobId {
        loop {
            match self.cx.store.put_blobs(&self.cx, vec![results.to_vec()]) {
                Ok(ids) if ids.len() == 1 => return ids[0],
                Ok(_) => log::error!("store returned a wrong number of blob identifiers"),
                Err(refusal) => log::warn!("cannot store batch results: {refusal}"),
            }
            thread::sleep(RETRY_BACKOFF.duration());
        }
    }

    /// Proposes an operation, and retries it until the state machine replies.
    fn propose<T>(&self, operation: T) -> Result<Outcome, Refusal>
    where
        T: Into<Operation>,
    {
        let operation = operation.into();
        loop {
            match self.cx.store.propose(&self.cx, operation.clone()) {
                Err(refusal) if is_transient(&refusal) => {
                    log::debug!("retrying a proposal: {refusal}");
                    thread::sleep(RETRY_BACKOFF.duration());
                }
                outcome => return outcome,
            }
        }
    }
}

/// Whether a refusal comes without a reply of the state machine, so that the proposal is retried.
fn is_transient(refusal: &Refusal) -> bool {
    matches!(
        refusal.reason,
        Reason::NoQuorum | Reason::NotReady | Reason::DiskFull | Reason::OwnerUnreachable
    )
}

fn lease_lost(lease: LeaseRef, outcome: &Result<Outcome, Refusal>) -> Event {
    log::info!(
        "lease of chunk {} of job {} lost: {outcome:?}",
        lease.chunk,
        lease.job
    );
    Event::LeaseLost(lease)
}
