//! Stores, the instances with disks: the replicated log, the leader's followers, and batch items.

mod group;
mod hub;
mod in_progress;
mod join_snapshot;
mod pages;
mod replica;
mod runner;
mod transport;

pub use group::{
    GroupManager,
    MemberStatus,
    StoreStatus, //
};

pub use in_progress::{
    BoundDecision,
    InProgress, //
};

pub use join_snapshot::{
    JoinSnapshot,
    JoinStep, //
};

pub(crate) use hub::Hub;
pub(crate) use replica::Replica;

use std::{
    net::IpAddr,
    sync::Arc, //
};

use tokio::sync::mpsc;
use yuccaseam_base::{
    InstanceName,
    Millis,
    TeamName, //
};

use crate::{
    cx::Cx,
    link::{
        FollowerMessage,
        Handler,
        HubReply,
        HubRequest,
        LeaderFrame,
        PageRequest, //
    },
    state::{
        Command,
        CommandOutcome,
        NewJob, //
    },
};

use replica::ProposeError;

/// Longest time that a read of results is delayed until there is a result.
const MAX_RESULTS_WAIT: Millis = Millis(1_000);

/// Handles the calls of other instances on an instance with a disk.
pub(crate) struct Store {
    cx: Arc<Cx>,
    replica: Arc<Replica>,
    hub: Arc<Hub>,
}

impl Store {
    /// Opens the data folder and starts the replica, the hub and the batch runner.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be used.
    pub(crate) fn start(cx: &Arc<Cx>) -> anyhow::Result<Arc<Self>> {
        let replica = Replica::open(cx)?;
        let hub = Arc::new(Hub::new(Arc::clone(cx), Arc::clone(&replica)));
        tokio::spawn(hub::run(Arc::clone(&hub)));
        tokio::spawn(runner::run(
            Arc::clone(cx),
            Arc::clone(&replica),
            Arc::clone(&hub),
        ));
        Ok(Arc::new(Self {
            cx: Arc::clone(cx),
            replica,
            hub,
        }))
    }

    /// Whether this instance leads and its state is current.
    pub(crate) fn is_leader(&self) -> bool {
        self.replica.holds_lease()
    }

    /// Transfers leadership to another instance.
    pub(crate) fn transfer_leadership(&self) {
        self.replica.transfer_leadership();
    }

    async fn propose(&self, command: Command) -> HubReply {
        self.reply_to(self.replica.propose(command).await)
    }

    fn reply_to(&self, outcome: Result<CommandOutcome, ProposeError>) -> HubReply {
        match outcome {
            Ok(CommandOutcome::Done) => HubReply::Done,
            Ok(CommandOutcome::OverLimit) => HubReply::OverLimit,
            Ok(CommandOutcome::UnknownJob | CommandOutcome::Gap) => HubReply::NotFound,
            Err(ProposeError::NotLeader) => self.not_leader(),
            Err(ProposeError::Unknown) => HubReply::Unknown,
            Err(ProposeError::NoCapacity) => HubReply::NoCapacity,
            Err(ProposeError::TooFewLeft) => HubReply::TooFewLeft,
        }
    }

    async fn submit(&self, mut job: NewJob, team: Option<TeamName>) -> HubReply {
        // No promise that the job does not run: an earlier attempt to submit it may be in progress.
        let Some(submission) = self.cx.intake.submissions.begin(job.stored_bytes()) else {
            metrics::counter!("yuccaseam_jobs_put_off_total").increment(1);
            log::warn!(job = job.id.as_str(); "job not replicated: too many are in progress");
            return HubReply::Unknown;
        };
        if self.replica.read(|state| state.job(&job.id).is_none()) {
            self.apply_route_limits(&mut job);
        }
        self.reply_to(self.replica.propose_job(team, job, submission).await)
    }

    async fn results(&self, request: &PageRequest, team: Option<&TeamName>) -> HubReply {
        let wait = Millis(request.wait_ms).min(MAX_RESULTS_WAIT);
        let page = pages::read(&self.replica, request, team, wait).await;
        page.unwrap_or_else(|| self.not_leader())
    }

    /// Handles a request about a job on behalf of a team.
    async fn handle_for_team(&self, team: TeamName, request: HubRequest) -> HubReply {
        match request {
            HubRequest::Submit(job) => self.submit(job, Some(team)).await,
            HubRequest::Results(request) => self.results(&request, Some(&team)).await,
            HubRequest::ItemBody { job, item } => self.item_body(&job, &item, Some(&team)).await,
            HubRequest::EndJob(job) => self.propose(Command::EndForTeam { team, job }).await,
            _ => {
                log::warn!(team:%; "request on behalf of a team is not about a job");
                HubReply::NotFound
            }
        }
    }

    /// Replaces the limits of a job by those of the newest manifest: an instance that was frozen may still
    /// have an older one.
    fn apply_route_limits(&self, job: &mut NewJob) {
        let newest = self.replica.read(|state| state.manifest().cloned());
        if let Some(newest) = newest {
            self.cx.apply_manifest(&newest);
        }
        let Some(table) = self.cx.table() else {
            return;
        };
        let path_start = job.route.find('/').unwrap_or_default();
        if let Some(route) = table.find(&job.host, &job.route[path_start..]) {
            job.waiting_limit = route.max_waiting_tokens;
            job.max_attempts = route.max_attempts;
        }
    }

    fn not_leader(&self) -> HubReply {
        HubReply::NotLeader(self.leader_ip())
    }

    fn leader_ip(&self) -> Option<IpAddr> {
        let leader = self.replica.leader();
        leader.and_then(|name| self.cx.address_book().ip(&name))
    }

    async fn manifest(&self) -> HubReply {
        if !self.replica.read_barrier().await {
            return self.not_leader();
        }
        HubReply::Manifest(self.replica.read(|state| state.manifest().cloned()))
    }

    async fn item_body(&self, job: &str, item: &str, team: Option<&TeamName>) -> HubReply {
        if !self.replica.read_barrier().await {
            return self.not_leader();
        }
        let body = self.replica.read(|state| {
            let item = state.job_for(job, team)?.item(item)?;
            (!item.is_listed()).then(|| item.body.clone())
        });
        body.map_or(HubReply::NotFound, HubReply::Body)
    }

    async fn start_retiring(&self, instance: InstanceName) -> HubReply {
        if !self.replica.read_barrier().await {
            return self.not_leader();
        }
        if self
            .replica
            .read(|state| state.retiring().contains(&instance))
        {
            return HubReply::Done;
        }
        if !self.replica.knows_store(&instance) {
            return HubReply::NotFound;
        }
        self.reply_to(self.replica.propose_retirement(instance).await)
    }

    async fn get_retiring(&self, instance: &InstanceName) -> HubReply {
        if !self.replica.read_barrier().await {
            return self.not_leader();
        }
        if !self
            .replica
            .read(|state| state.retiring().contains(instance))
        {
            return HubReply::NotFound;
        }
        HubReply::Retired(self.replica.has_left_group(instance))
    }
}

#[tonic::async_trait]
impl Handler for Store {
    async fn handle(&self, request: HubRequest) -> HubReply {
        match request {
            HubRequest::Gossip(entries) => HubReply::Gossip(self.cx.merge_stores(entries)),
            HubRequest::PutManifest(manifest) => self.propose(Command::PutManifest(manifest)).await,
            HubRequest::GetManifest => self.manifest().await,
            HubRequest::Submit(job) => self.submit(job, None).await,
            HubRequest::Results(request) => self.results(&request, None).await,
            HubRequest::ItemBody { job, item } => self.item_body(&job, &item, None).await,
            HubRequest::EndJob(job) => self.propose(Command::End { job }).await,
            HubRequest::ForTeam { team, request } => self.handle_for_team(team, *request).await,
            HubRequest::StartRetiring(instance) => self.start_retiring(instance).await,
            HubRequest::GetRetiring(instance) => self.get_retiring(&instance).await,
            HubRequest::ReportCrashes(_)
            | HubRequest::ProveFeatures(_)
            | HubRequest::TryFeature(_)
                if !self.hub.decides_on_features() =>
            {
                self.not_leader()
            }
            HubRequest::ReportCrashes(reports) => {
                self.hub.record_crashes(reports);
                HubReply::Done
            }
            HubRequest::ProveFeatures(features) => {
                self.hub.prove_features(&features);
                HubReply::Done
            }
            HubRequest::TryFeature(feature) if self.hub.grant_trial(feature) => HubReply::Done,
            HubRequest::TryFeature(_) => HubReply::NotFound,
            HubRequest::Leads if self.is_leader() => HubReply::Done,
            HubRequest::Leads | HubRequest::PassOn(_) | HubRequest::AskDeputy { .. } => {
                self.not_leader()
            }
        }
    }

    fn follow(&self, tx: mpsc::Sender<LeaderFrame>) -> Result<u64, Option<IpAddr>> {
        self.hub.follow(tx).ok_or_else(|| self.leader_ip())
    }

    fn on_message(&self, follower: u64, message: FollowerMessage) {
        self.hub.on_message(follower, message);
    }

    fn unfollow(&self, follower: u64) {
        self.hub.unfollow(follower);
    }

    fn on_packet(&self, from: String, message: Vec<u8>) {
        self.replica.on_packet(InstanceName(from), &message);
    }
}
