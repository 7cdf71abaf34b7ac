//! Polling of the configuration and of the kinds of work that have waiting chunks.

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

/// How often the configuration is confirmed with the store.
const CONFIRM_INTERVAL: Millis = Millis(500);

impl Store {
    /// Polls the configuration until the process exits.
    pub(crate) fn watch_configuration(&self, cx: &Context) {
        // Diskless instances are spread over the replicas and try the next one after a failure.
        let name = cx.settings.instance.as_str();
        let mut voter = xxh3_64(name.as_bytes()) as usize;
        loop {
            if let Err(error) = self.confirm_configuration(cx, voter) {
                log::warn!("cannot confirm the configuration: {error:#}");
                voter = voter.wrapping_add(1);
            }
            std::thread::sleep(CONFIRM_INTERVAL.duration());
        }
    }

    /// Fetches and applies the leader's current configuration immediately.
    ///
    /// # Errors
    ///
    /// Fails if no leader confirms the configuration. Polling continues.
    pub(crate) fn refresh_configuration(&self, cx: &Context) -> anyhow::Result<()> {
        self.confirm_with_leader(cx)
    }

    /// Confirms the configuration with the leader from a replica, and with a replica from any other
    /// instance, so that the leader's load does not grow with the number of daemons.
    fn confirm_configuration(&self, cx: &Context, voter: usize) -> anyhow::Result<()> {
        if self.replica.is_some() {
            return self.confirm_with_leader(cx);
        }
        let name = &self.voters[voter % self.voters.len()];
        let sent_at = self.clock.now();
        let reply = remote::sync(cx, name, self.configuration().revision)?;
        if let Some(bytes) = &reply.configuration {
            let result = QueryResult::decode(bytes).context("malformed configuration")?;
            let QueryResult::Configuration(new) = result else {
                bail!("{name} sent a query result that is not a configuration");
            };
            self.apply_configuration(*new)?;
        }
        if reply.revision < self.configuration().revision {
            bail!("{name} has only confirmed revision {}", reply.revision);
        }
        let models = reply.waiting_models.into_iter().map(Work::Model);
        let services = reply.waiting_services.into_iter().map(Work::Service);
        self.set_waiting(models.chain(services).collect());
        // The confirmation dates from the quorum read, not from the arrival of the reply.
        cx.health
            .record_confirmation(sent_at - Millis(reply.age_ms));
        Ok(())
    }

    fn confirm_with_leader(&self, cx: &Context) -> anyhow::Result<()> {
        let sent_at = self.clock.now();
        let QueryResult::Summary(summary) = self.query(cx, &Query::Summary)? else {
            bail!("the leader sent a query result that is not a summary");
        };
        if summary.revision != self.configuration().revision {
            let QueryResult::Configuration(new) = self.query(cx, &Query::Configuration)? else {
                bail!("the leader sent a query result that is not a configuration");
            };
            self.apply_configuration(*new)?;
        }
        self.set_waiting(summary.waiting.into_iter().collect());
        cx.health.record_confirmation(sent_at);
        Ok(())
    }

    /// Whether job chunks wait for a target of this kind, as last polled. A runner checks this
    /// before it requests leases from the leader, since each lease is a log entry.
    pub(crate) fn has_waiting(&self, work: &Work) -> bool {
        let waiting = self.waiting.read().expect("no thread panics with the lock");
        waiting.contains(work)
    }

    /// The kinds of work for which job chunks wait, as last polled.
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

    /// Puts a configuration in force, unless it is older than the current one.
    fn apply_configuration(&self, new: Configuration) -> anyhow::Result<()> {
        let mut current = self
            .configuration
            .write()
            .expect("no thread panics with the lock");
        if new.revision < current.revision {
            bail!("revision {} is older than the current one", new.revision);
        }
        if new.revision > current.revision {
            log::info!("configuration revision {} in force", new.revision);
            telemetry::set_revision(new.revision);
            *current = Arc::new(new);
        }
        Ok(())
    }
}
