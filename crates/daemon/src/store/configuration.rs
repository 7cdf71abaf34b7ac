//! Keeping the configuration of this instance current, and what else all daemons ask for often.

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

use anyhow::{
    Context as _,
    bail, //
};
use xxhash_rust::xxh3::xxh3_64;
use yuccaseam_base::Millis;
use yuccaseam_state::{
    Configuration,
    Query,
    QueryResult,
    Work, //
};

use crate::{
    context::Context,
    store::{
        Store,
        remote, //
    },
    telemetry,
};

/// How often the configuration is confirmed.
const PERIOD: Millis = Millis(500);

impl Store {
    /// Keeps the configuration current for the life of the process.
    pub(crate) fn watch_configuration(&self, cx: &Context) {
        // Daemons without a disk spread over the replicas, and go to the next one on a failure.
        let name = cx.settings.instance.as_str();
        let mut voter = xxh3_64(name.as_bytes()) as usize;
        loop {
            if let Err(error) = self.confirm_configuration(cx, voter) {
                log::warn!("the configuration is not confirmed: {error:#}");
                voter = voter.wrapping_add(1);
            }
            std::thread::sleep(PERIOD.duration());
        }
    }

    /// Brings this instance to the configuration that the leader confirms, at once.
    ///
    /// # Errors
    ///
    /// Fails if no leader confirms it; the watch goes on trying.
    pub(crate) fn refresh_configuration(&self, cx: &Context) -> anyhow::Result<()> {
        self.confirm_with_leader(cx)
    }

    /// Replicas ask the leader; all others ask a replica, so that the leader's work does not grow
    /// with the number of daemons.
    fn confirm_configuration(&self, cx: &Context, voter: usize) -> anyhow::Result<()> {
        if self.replica.is_some() {
            return self.confirm_with_leader(cx);
        }
        let name = &self.voters[voter % self.voters.len()];
        let asked_at = self.clock.now();
        let reply = remote::sync(cx, name, self.configuration().revision)?;
        if let Some(bytes) = &reply.configuration {
            let answer = QueryResult::decode(bytes).context("a malformed configuration")?;
            let QueryResult::Configuration(new) = answer else {
                bail!("{name} answered with something else");
            };
            self.run_configuration(*new)?;
        }
        if reply.revision < self.configuration().revision {
            bail!("{name} confirms revision {} only", reply.revision);
        }
        let models = reply.waiting_models.into_iter().map(Work::Model);
        let services = reply.waiting_services.into_iter().map(Work::Service);
        self.set_waiting(models.chain(services).collect());
        // The confirmation holds from when the quorum was asked, not from the reply's arrival.
        cx.health
            .record_confirmation(asked_at - Millis(reply.age_ms));
        Ok(())
    }

    fn confirm_with_leader(&self, cx: &Context) -> anyhow::Result<()> {
        let asked_at = self.clock.now();
        let QueryResult::Summary(summary) = self.query(cx, &Query::Summary)? else {
            bail!("the leader answered with something else");
        };
        if summary.revision != self.configuration().revision {
            let QueryResult::Configuration(new) = self.query(cx, &Query::Configuration)? else {
                bail!("the leader answered with something else");
            };
            self.run_configuration(*new)?;
        }
        self.set_waiting(summary.waiting.into_iter().collect());
        cx.health.record_confirmation(asked_at);
        Ok(())
    }

    /// Whether chunks of jobs wait for a target of this kind, as far as is known here. A runner
    /// asks this before it asks the leader for leases, each of which is an entry of the log.
    pub(crate) fn has_waiting(&self, work: &Work) -> bool {
        let waiting = self.waiting.read().expect("no thread panics with the lock");
        waiting.contains(work)
    }

    /// The kinds of work for which chunks of jobs wait, as far as is known here.
    pub(crate) fn waiting(&self) -> BTreeSet<Work> {
        let waiting = self.waiting.read().expect("no thread panics with the lock");
        waiting.clone()
    }

    fn set_waiting(&self, new: BTreeSet<Work>) {
        *self
            .waiting
            .write()
            .expect("no thread panics with the lock") = new;
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
            telemetry::set_revision(new.revision);
            *current = Arc::new(new);
        }
        Ok(())
    }
}
