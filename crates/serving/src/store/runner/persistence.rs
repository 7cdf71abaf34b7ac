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

impl Runner {
    /// Proposes the output received so far, so that another leader can resume from there.
    pub(super) fn persist_output(&mut self) {
        let mut advances = Vec::new();
        let mut keys = Vec::new();
        for (key, progress) in &mut self.progress {
            if progress.lines.is_empty() || progress.retry_at == Millis::MAX {
                continue;
            }
            if let Some(job) = self.jobs.job_id(key.job) {
                advances.push(Advance {
                    job: job.to_owned(),
                    item: key.item,
                    output: progress.take_output(),
                });
                keys.push(*key);
            }
        }
        if !advances.is_empty() {
            self.propose(Command::Advance(advances), keys);
        }
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
