//! Output of items on its way into the replicated state.

use std::sync::Arc;

use yuccaseam_base::Millis;

use crate::{
    schedule::ItemKey,
    state::{
        Advance,
        Command,
        CommandOutcome, //
    },
};

use super::{
    Runner,
    stream::Report, //
};

/// Output of one item in a proposal.
struct ProposedOutput {
    key: ItemKey,
    job: String,
    /// Id of its last event.
    last_id: Option<String>,
}

impl Runner {
    /// Proposes the output received so far, so that another leader can resume from there.
    pub(super) fn persist_output(&mut self) {
        let mut advances = Vec::new();
        let mut proposed = Vec::new();
        for (key, progress) in &mut self.progress {
            if progress.lines.is_empty() || progress.retry_at == Millis::MAX {
                continue;
            }
            if let Some(job) = self.jobs.job_id(key.job) {
                let output = progress.take_output();
                proposed.push(ProposedOutput {
                    key: *key,
                    job: job.to_owned(),
                    last_id: output.last_id.clone(),
                });
                advances.push(Advance {
                    job: job.to_owned(),
                    item: key.item,
                    output,
                });
            }
        }
        if !advances.is_empty() {
            self.propose_outputs(advances, proposed);
        }
    }

    /// Proposes outputs. An item whose output did not take effect resumes from the replicated state; the
    /// others go on.
    fn propose_outputs(&self, advances: Vec<Advance>, proposed: Vec<ProposedOutput>) {
        let replica = Arc::clone(&self.replica);
        let reports = self.reports.clone();
        tokio::spawn(async move {
            let missing: Vec<_> = match replica.propose(Command::Advance(advances)).await {
                Ok(CommandOutcome::Done) => return,
                Ok(_) => replica.read(|state| {
                    let missing = proposed.iter().filter(|output| {
                        state.lacks_output(&output.job, output.key.item, output.last_id.as_deref())
                    });
                    missing.map(|output| output.key).collect()
                }),
                Err(error) => {
                    log::warn!(error:? = error, items = proposed.len(); "item output not persisted");
                    proposed.iter().map(|output| output.key).collect()
                }
            };
            if !missing.is_empty() {
                log::warn!(items = missing.len(); "item output discarded");
                // The runner runs until the process exits.
                let _ = reports.send(Report::NotPersisted(missing));
            }
        });
    }

    /// Proposes a command. Items whose output did not take effect resume from the replicated state.
    pub(super) fn propose(&self, command: Command, keys: Vec<ItemKey>) {
        let replica = Arc::clone(&self.replica);
        let reports = self.reports.clone();
        tokio::spawn(async move {
            match replica.propose(command).await {
                Ok(CommandOutcome::Done) => {}
                Ok(outcome) => {
                    log::warn!(outcome:? = outcome, items = keys.len(); "item output discarded");
                    // The runner runs until the process exits.
                    let _ = reports.send(Report::NotPersisted(keys));
                }
                Err(error) => {
                    log::warn!(error:? = error, items = keys.len(); "item output not persisted");
                    // The runner runs until the process exits.
                    let _ = reports.send(Report::NotPersisted(keys));
                }
            }
        });
    }
}
