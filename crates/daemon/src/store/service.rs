//! RPC service through which other daemons call the local replica.

use std::sync::Arc;

use tonic::{
    Request,
    Response,
    Status, //
};
use yuccaseam_base::{
    Millis,
    Reason,
    Refusal, //
};
use yuccaseam_state::{
    BlobId,
    Command,
    Configuration,
    Query,
    QueryResult,
    Work, //
};
use yuccaseam_wire::store::{
    self as wire,
    change_members_reply,
    members_reply,
    propose_reply,
    query_reply,
    store_server, //
};

use crate::{
    context::Context,
    instances,
    replica::{
        MemberRequest,
        Replica, //
    },
    store::remote::CallOutcome, //
};

/// Maximum age of a configuration confirmation that a replica forwards.
const MAX_CONFIRMATION_AGE: Millis = Millis(2_000);

/// Serves the local replica to other daemons.
pub(crate) struct StoreService {
    cx: Arc<Context>,
}

impl StoreService {
    pub(crate) fn new(cx: Arc<Context>) -> Self {
        Self { cx }
    }

    fn replica(&self) -> Result<&Replica, Status> {
        let replica = self.cx.store.replica.as_ref();
        replica.ok_or_else(|| Status::failed_precondition("this instance has no replica"))
    }

    /// Runs a call to the replica on a blocking thread.
    async fn on_replica<T, F>(&self, call: F) -> Result<Response<T>, Status>
    where
        T: Send + 'static,
        F: FnOnce(&Replica) -> Result<T, Status> + Send + 'static,
    {
        let cx = Arc::clone(&self.cx);
        let run = move || match &cx.store.replica {
            Some(replica) => call(replica),
            None => Err(Status::failed_precondition("this instance has no replica")),
        };
        let reply = tokio::task::spawn_blocking(run)
            .await
            .map_err(|error| Status::internal(error.to_string()))??;
        Ok(Response::new(reply))
    }
}

#[tonic::async_trait]
impl store_server::Store for StoreService {
    async fn propose(
        &self,
        req: Request<wire::ProposeRequest>,
    ) -> Result<Response<wire::ProposeReply>, Status> {
        let command = req.into_inner().command;
        Command::decode(&command).map_err(malformed)?;
        let result = match self.replica()?.propose_async(command).await {
            CallOutcome::Reply(outcome) => propose_reply::Result::Outcome(outcome.encode()),
            CallOutcome::NotLeader(hint) => propose_reply::Result::LeaderHint(hint_text(hint)),
            CallOutcome::Refused(refusal) => propose_reply::Result::Refused(refused(refusal)),
            CallOutcome::NotRun(why) | CallOutcome::Unknown(why) => {
                propose_reply::Result::Unknown(why)
            }
        };
        Ok(Response::new(wire::ProposeReply {
            result: Some(result),
        }))
    }

    async fn query(
        &self,
        req: Request<wire::QueryRequest>,
    ) -> Result<Response<wire::QueryReply>, Status> {
        let query = Query::decode(&req.get_ref().query).map_err(malformed)?;
        let result = match self.replica()?.query_async(query).await {
            CallOutcome::Reply(result) => query_reply::Result::Answer(result.encode()),
            CallOutcome::NotLeader(hint) => query_reply::Result::LeaderHint(hint_text(hint)),
            CallOutcome::Refused(refusal) => query_reply::Result::Refused(refused(refusal)),
            CallOutcome::NotRun(why) | CallOutcome::Unknown(why) => {
                let refusal = Refusal::not_run(Reason::NoQuorum, why);
                query_reply::Result::Refused(refused(refusal))
            }
        };
        Ok(Response::new(wire::QueryReply {
            result: Some(result),
        }))
    }

    async fn put_blobs(
        &self,
        req: Request<wire::PutBlobsRequest>,
    ) -> Result<Response<wire::PutBlobsReply>, Status> {
        let blobs: Vec<_> = req.into_inner().blobs;
        if blobs
            .iter()
            .any(|blob| BlobId::of(&blob.data).0.as_slice() != blob.id.as_slice())
        {
            return Err(Status::data_loss("blob data does not match its identifier"));
        }
        let blobs: Vec<_> = blobs.into_iter().map(|blob| blob.data).collect();
        self.on_replica(move |replica| {
            replica.put_blobs(&blobs).map_err(unavailable)?;
            Ok(wire::PutBlobsReply {})
        })
        .await
    }

    async fn get_blob(
        &self,
        req: Request<wire::GetBlobRequest>,
    ) -> Result<Response<wire::GetBlobReply>, Status> {
        let id = req.into_inner().id;
        let id = <[u8; 32]>::try_from(id.as_slice())
            .map_err(|_| Status::invalid_argument("blob identifier must have 32 bytes"))?;
        self.on_replica(move |replica| {
            let data = replica.get_blob(&BlobId(id)).map_err(unavailable)?;
            Ok(wire::GetBlobReply { data })
        })
        .await
    }

    async fn identify(
        &self,
        _req: Request<wire::IdentifyRequest>,
    ) -> Result<Response<wire::IdentifyReply>, Status> {
        Ok(Response::new(instances::identify(&self.cx)))
    }

    async fn sync(
        &self,
        req: Request<wire::SyncRequest>,
    ) -> Result<Response<wire::SyncReply>, Status> {
        self.replica()?;
        let known = req.get_ref().revision;
        // Reads the age first, so that the configuration is at least as new as the age states.
        let age = self.cx.health.confirmation_age();
        let Some(age) = age.filter(|age| *age <= MAX_CONFIRMATION_AGE) else {
            return Err(Status::unavailable(
                "no recent confirmation of the configuration",
            ));
        };
        let configuration = self.cx.store.configuration();
        let revision = configuration.revision;
        let mut reply = wire::SyncReply {
            revision,
            age_ms: age.0,
            ..wire::SyncReply::default()
        };
        if revision != known {
            let result = QueryResult::Configuration(Box::new(Configuration::clone(&configuration)));
            reply.configuration = Some(result.encode());
        }
        for work in self.cx.store.waiting() {
            match work {
                Work::Model(name) => reply.waiting_models.push(name),
                Work::Service(name) => reply.waiting_services.push(name),
            }
        }
        Ok(Response::new(reply))
    }

    async fn members(
        &self,
        _req: Request<wire::MembersRequest>,
    ) -> Result<Response<wire::MembersReply>, Status> {
        self.on_replica(|replica| {
            let result = match replica.members() {
                CallOutcome::Reply(members) => {
                    let members = members.into_iter().map(wire::Member::from).collect();
                    members_reply::Result::Members(wire::MemberList { members })
                }
                CallOutcome::NotLeader(hint) => members_reply::Result::LeaderHint(hint_text(hint)),
                CallOutcome::Refused(refusal) => return Err(unavailable(refusal)),
                CallOutcome::NotRun(why) | CallOutcome::Unknown(why) => {
                    return Err(Status::unavailable(why));
                }
            };
            Ok(wire::MembersReply {
                result: Some(result),
            })
        })
        .await
    }

    async fn change_members(
        &self,
        req: Request<wire::ChangeMembersRequest>,
    ) -> Result<Response<wire::ChangeMembersReply>, Status> {
        let request = MemberRequest::try_from(req.into_inner()).map_err(malformed)?;
        self.on_replica(move |replica| {
            let result = match replica.change_members(request) {
                CallOutcome::Reply(()) => {
                    change_members_reply::Result::Committed(wire::Committed {})
                }
                CallOutcome::NotLeader(hint) => {
                    change_members_reply::Result::LeaderHint(hint_text(hint))
                }
                CallOutcome::Refused(refusal) => {
                    change_members_reply::Result::Refused(refused(refusal))
                }
                CallOutcome::NotRun(why) | CallOutcome::Unknown(why) => {
                    change_members_reply::Result::Unknown(why)
                }
            };
            Ok(wire::ChangeMembersReply {
                result: Some(result),
            })
        })
        .await
    }
}

fn hint_text(hint: Option<yuccaseam_base::InstanceName>) -> String {
    hint.map(|name| name.to_string()).unwrap_or_default()
}

fn refused(refusal: Refusal) -> wire::Refused {
    wire::Refused {
        reason: refusal.reason.code().to_owned(),
        detail: refusal.detail,
    }
}

fn malformed<E>(error: E) -> Status
where
    E: std::fmt::Display,
{
    Status::invalid_argument(error.to_string())
}

fn unavailable(refusal: Refusal) -> Status {
    Status::unavailable(refusal.to_string())
}
