//! Keeping the configuration of this instance current.

use std::sync::Arc;

use anyhow::{
    Context as _,
    bail, //
};
use yuccaseam_base::Millis;
use yuccaseam_state::{
    Answer,
    Configuration,
    Query, //
};

use crate::{
    context::Context,
    measures,
    store::{
        Store,
        remote::{
            self,
            Replied, //
        },
    },
};

/// How often the configuration is confirmed.
const PERIOD: Millis = Millis(500);

impl Store {
    /// Keeps the configuration current for the life of the process.
    pub(crate) fn watch_configuration(&self, cx: &Context) {
        let mut voter = 0;
        loop {
            let asked_at = self.clock.now();
            match self.confirm_configuration(cx, voter) {
                // The confirmation holds from when it was asked for, not from its arrival.
                Ok(()) => cx.health.confirm(asked_at),
                Err(error) => {
                    log::warn!("the configuration is not confirmed: {error:#}");
                    voter += 1;
                }
            }
            std::thread::sleep(PERIOD.duration());
        }
    }

    /// Brings this instance to the configuration that a quorum confirms, at once.
    ///
    /// # Errors
    ///
    /// Fails if no voter confirms it; the watch goes on trying.
    pub(crate) fn refresh_configuration(&self, cx: &Context) -> anyhow::Result<()> {
        let asked_at = self.clock.now();
        let mut result = Ok(());
        for voter in 0..self.voters.len() {
            result = self.confirm_configuration(cx, voter);
            if result.is_ok() {
                cx.health.confirm(asked_at);
                break;
            }
        }
        result
    }

    fn confirm_configuration(&self, cx: &Context, voter: usize) -> anyhow::Result<()> {
        if let Some(replica) = &self.replica
            && let Replied::Answer(Answer::Configuration(new)) =
                replica.query(&Query::Configuration)
        {
            return self.run_configuration(*new);
        }
        let name = &self.voters[voter % self.voters.len()];
        let reply = remote::sync(cx, name, self.configuration().revision)?;
        match reply.configuration {
            None if reply.revision == self.configuration().revision => Ok(()),
            None => bail!("{name} confirms revision {}", reply.revision),
            Some(bytes) => {
                let answer = Answer::decode(&bytes).context("a malformed configuration")?;
                let Answer::Configuration(new) = answer else {
                    bail!("{name} answered with something else");
                };
                self.run_configuration(*new)
            }
        }
    }

    /// Runs a configuration from now on. An older one than runs here is refused.
    fn run_configuration(&self, new: Configuration) -> anyhow::Result<()> {
        let mut current = self
            .configuration
            .write()
            .expect("no thread panics with the lock");
        if new.revision < current.revision {
            bail!("revision {} is older than what runs here", new.revision);
        }
        if new.revision > current.revision {
            log::info!("configuration revision {} is in force", new.revision);
            measures::set_revision(new.revision);
            *current = Arc::new(new);
        }
        Ok(())
    }
}
